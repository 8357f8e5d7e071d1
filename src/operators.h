// Who may change what: operators' keys from the settings.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

/// Returns whether both texts are the same, in a time that depends on their lengths alone.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// Returns the operator whose token the request carries and who may change `environment`.
std::optional<std::string> operator_of(const http_request& request,
                                       const std::vector<operator_key>& keys,
                                       const std::string& environment);

} // namespace sesamesill
