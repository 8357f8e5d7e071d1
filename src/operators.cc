// Compares the bearer token of a request with all operators' keys.

#include "operators.h"

#include <algorithm>

namespace sesamesill {

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference = static_cast<unsigned char>(difference | (a[i] ^ b[i]));
    }
    return difference == 0;
}

std::optional<std::string> operator_of(const http_request& request,
                                       const std::vector<operator_key>& keys,
                                       const std::string& environment)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.headers.find("authorization");
    if (header == request.headers.end() || header->second.compare(0, scheme.size(), scheme) != 0) {
        return std::nullopt;
    }
    const std::string_view token = std::string_view(header->second).substr(scheme.size());
    std::optional<std::string> found;
    for (const operator_key& key : keys) {
        const bool may_change =
            key.environments.empty() || std::find(key.environments.begin(), key.environments.end(),
                                                  environment) != key.environments.end();
        if (equal_in_constant_time(token, key.token) && may_change) {
            found = key.name;
        }
    }
    return found;
}

} // namespace sesamesill
