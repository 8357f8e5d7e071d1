// Errors: what went wrong, at which step and with which peer.
// A function that can fail returns std::optional and writes the reason into an `error`.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sesamesill {

enum class error_code : std::uint8_t {
    none,
    invalid, ///< the input breaks a stated rule
    not_found,
    conflict,  ///< somebody else was first
    not_owner, ///< this member may not act on the shard or key
    overload,  ///< a bounded queue or a limit is full
    timeout,
    unavailable, ///< the peer or the log cannot be reached
    unfit,       ///< no worker could ever hold the task
    cancelled,
    corrupt, ///< bytes that cannot be read
    internal
};

enum class step : std::uint8_t {
    none,
    settings,
    document,
    admission,
    routing,
    queueing,
    intent,
    placement,
    dispatch,
    answer,
    log_append,
    log_read,
    membership,
    ownership,
    recovery,
    rpc,
    http
};

std::string_view name_of(error_code code);
std::string_view name_of(step where);

struct error {
    error_code code = error_code::none;
    step where = step::none;
    std::string peer; ///< name or address of the other side, empty where there is none
    std::string reason;
};

/// Returns "step: code: reason (peer)" for logs and command lines.
std::string to_string(const error& e);

} // namespace sesamesill
