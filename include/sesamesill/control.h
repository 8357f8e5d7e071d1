// The operators' side: asks the entries of a cell, one after another until one answers.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/http.h"

namespace sesamesill {

/// Exit statuses of sesamesillctl. Stable: scripts rest on them.
enum class control_exit : int {
    ok = 0,
    failed = 1,   ///< refused, or no entry answers
    invalid = 2,  ///< wrong arguments, a faulty document
    conflict = 3, ///< another change came first
    unknown = 4,  ///< the change may have been made; ask again with the same id
    lagging = 5   ///< accepted, not in force on all members in time
};

struct control_settings {
    std::vector<endpoint> entries;
    std::string token;
    millis timeout{30000}; ///< for one request, and for waiting until in force
};

class control {
public:
    explicit control(control_settings settings);

    /// Returns the first whole answer of an entry, or nothing and why the last one gave none.
    std::optional<http_reply> request_any(const std::string& method, const std::string& path,
                                          const std::string& body, error& why);
    /// Asks one entry alone.
    std::optional<http_reply> request_from(const endpoint& entry, const std::string& method,
                                           const std::string& path, const std::string& body,
                                           error& why);
    /// Returns the status of all members, or nothing and the reason.
    std::optional<Json::Value> status(error& why);
    /// Lets the time pass between two polls.
    void pause(millis duration);
    const control_settings& settings() const { return settings_; }

private:
    control_settings settings_;
    event_loop loop_;
    http_client client_;
};

/// Members that have a version in force, out of all.
struct in_force_count {
    std::size_t in_force = 0;
    std::size_t members = 0;
    std::vector<std::string> lagging; ///< names of the others
};

in_force_count count_in_force(const Json::Value& status, std::uint64_t version);

/// Returns `rows` with columns padded to the same width; the first row is the head.
std::string table_text(const std::vector<std::vector<std::string>>& rows);

} // namespace sesamesill
