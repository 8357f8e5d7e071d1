// Client of operators' tools: sends a request to the entries of a cell in turn until one answers.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/http.h"

namespace sesamesill {

/// Exit statuses of sesamesillctl. The values must not change because scripts depend on them.
enum class control_exit : int {
    ok = 0,
    failed = 1,   ///< the request was refused, or no entry answered
    invalid = 2,  ///< wrong arguments or an invalid document
    conflict = 3, ///< another change was accepted first
    unknown = 4,  ///< the change may have been made; retry with the same id
    lagging = 5   ///< the change was accepted but was not in force on all members in time
};

struct control_settings {
    std::vector<endpoint> entries;
    std::string token;
    millis timeout{30000}; ///< limit of one request, and of the wait until a version is in force
};

/// A blocking client of one cell.
class control {
public:
    explicit control(control_settings settings);

    /// Returns the first reply other than 503. If there is none, returns the last 503 reply, or
    /// nothing and the error of the last entry.
    std::optional<http_reply> request_any(const std::string& method, const std::string& path,
                                          const std::string& body, error& why);
    /// Sends the request to one entry. Returns its reply, or nothing and the reason.
    std::optional<http_reply> request_from(const endpoint& entry, const std::string& method,
                                           const std::string& path, const std::string& body,
                                           error& why);
    /// Returns the status of all members, or nothing and the reason.
    std::optional<Json::Value> status(error& why);
    /// Blocks for `duration`, while the event loop keeps running.
    void pause(millis duration);
    const control_settings& settings() const { return settings_; }

private:
    control_settings settings_;
    event_loop loop_;
    http_client client_;
};

/// How many members have a version in force.
struct in_force_count {
    std::size_t in_force = 0;
    std::size_t members = 0;
    std::vector<std::string> lagging; ///< names of the members without it
};

/// Counts the members of `status` whose version is `version` or newer.
in_force_count count_in_force(const Json::Value& status, std::uint64_t version);

/// Returns the rows as text with padded columns, two spaces apart.
std::string table_text(const std::vector<std::vector<std::string>>& rows);

} // namespace sesamesill
