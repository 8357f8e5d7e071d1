// Keys of the pool's records in the platform's store.

#pragma once

#include <charconv>
#include <optional>
#include <string>

namespace sesamesill::pool {

constexpr const char* leader_key = "leader";
/// Precedes `leader_key` and follows all other smaller keys.
constexpr const char* before_leader_key = "leadeq~";
constexpr const char* idle_record_key = "pulse"; ///< shows that its writer leads
constexpr const char* job_prefix = "job/";
constexpr const char* progress_prefix = "progress/";
constexpr const char* worker_prefix = "worker/";
constexpr const char* cancellation_prefix = "cancelled/"; ///< of jobs that weren't known

inline std::string job_key(const std::string& id)
{
    return job_prefix + id;
}

inline std::string cancellation_key(const std::string& job)
{
    return cancellation_prefix + job;
}

inline std::string worker_key(const std::string& id)
{
    return worker_prefix + id;
}

/// Returns the key of one part of a job's progress, "progress/ID" or "progress/ID/PART".
inline std::string progress_key(const std::string& id, int part = 0)
{
    return progress_prefix + id + (part > 0 ? "/" + std::to_string(part) : "");
}

/// Returns the part of `key` after `prefix`, or nothing if `key` doesn't start with `prefix`.
inline std::optional<std::string> strip_prefix(const std::string& key, const std::string& prefix)
{
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

struct progress_name {
    std::string job;
    int part = 0;
};

/// Returns what the key of a progress record names, or nothing if it is another key.
inline std::optional<progress_name> progress_name_from(const std::string& key)
{
    const std::optional<std::string> rest = strip_prefix(key, progress_prefix);
    if (!rest) {
        return std::nullopt;
    }
    const std::size_t slash = rest->find('/');
    if (slash == std::string::npos) {
        return progress_name{*rest, 0};
    }
    int part = 0;
    const char* end = rest->data() + rest->size();
    const std::from_chars_result read = std::from_chars(rest->data() + slash + 1, end, part);
    if (read.ec != std::errc() || read.ptr != end || part < 1) {
        return std::nullopt;
    }
    return progress_name{rest->substr(0, slash), part};
}

} // namespace sesamesill::pool
