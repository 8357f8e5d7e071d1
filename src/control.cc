// A blocking client that runs the event loop until one request ends.

#include "sesamesill/control.h"

#include <algorithm>

#include "sesamesill/rpc.h"

namespace sesamesill {

control::control(control_settings settings)
    : settings_(std::move(settings)), client_(loop_, "sesamesillctl")
{
}

std::optional<http_reply> control::request_from(const endpoint& entry, const std::string& method,
                                                const std::string& path, const std::string& body,
                                                error& why)
{
    http_call call;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = settings_.timeout;
    if (!settings_.token.empty()) {
        call.headers["Authorization"] = "Bearer " + settings_.token;
    }
    std::optional<http_reply> result;
    client_.send(entry, std::move(call),
                 [&](std::optional<http_reply> reply, const error& failure) {
                     result = std::move(reply);
                     why = failure;
                     loop_.stop();
                 });
    loop_.run();
    return result;
}

std::optional<http_reply> control::request_any(const std::string& method, const std::string& path,
                                               const std::string& body, error& why)
{
    constexpr int service_unavailable = 503;
    std::optional<http_reply> last_reply;
    why = {error_code::invalid, step::settings, "", "no entries were given"};
    for (const endpoint& entry : settings_.entries) {
        std::optional<http_reply> reply = request_from(entry, method, path, body, why);
        if (reply && reply->status != service_unavailable) {
            return reply;
        }
        last_reply = reply ? std::move(reply) : std::move(last_reply);
    }
    return last_reply;
}

std::optional<Json::Value> control::status(error& why)
{
    const std::optional<http_reply> reply = request_any("GET", "/v1/status", "", why);
    if (!reply) {
        return std::nullopt;
    }
    std::optional<Json::Value> status = json_from(reply->body);
    if (!status || !(*status)["members"].isArray()) {
        why = {error_code::corrupt, step::answer, "", "the answer has no list of members"};
        return std::nullopt;
    }
    return status;
}

void control::pause(millis duration)
{
    loop_.after(duration, [this] { loop_.stop(); });
    loop_.run();
}

in_force_count count_in_force(const Json::Value& status, std::uint64_t version)
{
    in_force_count count;
    for (const Json::Value& m : status["members"]) {
        ++count.members;
        if (m["document"].isObject() && m["document"]["version"].asUInt64() >= version) {
            ++count.in_force;
        }
        else {
            count.lagging.push_back(m["name"].asString());
        }
    }
    return count;
}

std::string table_text(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const std::vector<std::string>& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::size_t padding = i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0;
            text += row[i] + std::string(padding, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace sesamesill
