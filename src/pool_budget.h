// Shares of a member's network link for kinds of messages.
//
// Load: a link that carries less than what the pool sends in a burst. Without shares, starts and
// polls delay the leader's appends and heartbeats, and the lead moves although the leader works.

#pragma once

#include <algorithm>
#include <cstdint>

#include "sesamesill/clock.h"

namespace sesamesill::pool {

/// A token bucket of bytes. A message may overdraw it, so that messages larger than the bucket
/// pass, and the next one waits longer.
class byte_budget {
public:
    /// A rate of 0 doesn't limit.
    explicit byte_budget(double bytes_per_ms = 0) : bytes_per_ms_(bytes_per_ms) {}

    void set_rate(double bytes_per_ms) { bytes_per_ms_ = bytes_per_ms; }
    bool is_limited() const { return bytes_per_ms_ > 0; }

    /// Returns how many bytes may be sent now; negative after an overdraft.
    double available(time_point now)
    {
        const double passed_ms = static_cast<double>(to_millis(now - filled_));
        if (passed_ms > 0) {
            bytes_ = std::min(depth(), bytes_ + passed_ms * bytes_per_ms_);
            filled_ = now;
        }
        return bytes_;
    }
    bool allows(time_point now) { return !is_limited() || available(now) > 0; }
    void take(double bytes) { bytes_ -= is_limited() ? bytes : 0; }

private:
    /// Unused bytes are kept for this long.
    static constexpr double depth_ms = 300;

    double depth() const { return bytes_per_ms_ * depth_ms; }

    double bytes_per_ms_;
    double bytes_ = 0;
    time_point filled_; ///< when `bytes_` was last computed
};

/// Returns the bytes that a link carries in a millisecond; 0 if its speed isn't known.
inline double link_bytes_per_ms(double link_mbps)
{
    constexpr double bytes_per_ms_at_1_mbps = 125;
    return link_mbps * bytes_per_ms_at_1_mbps;
}

/// Returns how long the link takes for `bytes`; 0 if its speed isn't known.
inline millis transfer_time(double bytes, double bytes_per_ms)
{
    return millis(bytes_per_ms > 0 ? static_cast<std::int64_t>(bytes / bytes_per_ms) : 0);
}

// Shares of the leader's link. The rest is for records, heartbeats, the directory and answers.
constexpr double start_share = 0.4;  ///< sent: starts carry their job's payload
constexpr double submit_share = 0.3; ///< received: jobs that other members forward
constexpr double poll_share = 0.15;  ///< received: reports of workers
constexpr double heartbeat_share = 0.06;

} // namespace sesamesill::pool
