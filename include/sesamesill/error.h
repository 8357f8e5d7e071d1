// Error codes, the steps at which errors occur, and the error type.
// A function that can fail returns std::optional and fills in an `error` passed by reference.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sesamesill {

enum class error_code : std::uint8_t {
    none,
    invalid, ///< the input violates a documented rule
    not_found,
    conflict,  ///< another caller made a conflicting change first
    not_owner, ///< this member may not act on the shard or key
    overload,  ///< a bounded queue is full or a limit is reached
    timeout,
    unavailable, ///< the peer refused the connection, or the log is unreachable
    unreachable, ///< no connection to the peer was established in time
    unfit,       ///< the task exceeds the capacity of every worker
    cancelled,
    corrupt, ///< stored or received bytes cannot be decoded
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
    std::string peer; ///< name or address of the peer; empty where no peer is involved
    std::string reason;
};

/// Returns whether a request that failed with this code was never sent.
constexpr bool never_sent(error_code code)
{
    return code == error_code::unavailable || code == error_code::unreachable;
}

/// Returns "step: code: reason (peer)" for logs and command-line tools.
std::string to_string(const error& e);

} // namespace sesamesill
