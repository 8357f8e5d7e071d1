// Helpers that the stand-ins share: a journal of JSON lines, HTTP replies and request fields.

#pragma once

#include <fstream>
#include <string>

#include "sesamesill/http.h"
#include "sesamesill/rpc.h"

namespace standin {

using namespace sesamesill;

/// Appends events to a file, one JSON object per line, stamped with CLOCK_BOOTTIME in microseconds.
class journal {
public:
    explicit journal(const std::string& path) : out_(path, std::ios::app) {}

    void write(const std::string& event, Json::Value fields)
    {
        fields["event"] = event;
        fields["time_us"] = static_cast<Json::Int64>(boot_clock::now().time_since_epoch().count());
        out_ << to_text(fields) << '\n' << std::flush;
    }

private:
    std::ofstream out_;
};

inline http_reply json_reply(int status, const Json::Value& body)
{
    return {status, to_text(body), {}, "application/json"};
}

inline http_reply error_reply(int status, const std::string& reason)
{
    Json::Value body;
    body["error"] = reason;
    return json_reply(status, body);
}

inline std::string client_of(const http_request& request)
{
    const auto found = request.headers.find("x-client");
    return found == request.headers.end() ? std::string() : found->second;
}

inline std::int64_t query_number(const http_request& request, const std::string& key,
                                 std::int64_t fallback)
{
    const auto found = request.query.find(key);
    return found == request.query.end() ? fallback : std::atoll(found->second.c_str());
}

/// Stops the loop on SIGTERM (15) and SIGINT (2).
inline void stop_on_signals(event_loop& loop)
{
    loop.on_signal(15, [&loop] { loop.stop(); });
    loop.on_signal(2, [&loop] { loop.stop(); });
}

} // namespace standin
