// Admission control: rate limits that hold over all members together, and the check of the expected
// wait against the deadline.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Exponentially weighted average of arrivals per second.
class rate_meter {
public:
    void add(time_point now);
    double per_second(time_point now) const;

private:
    static constexpr micros window{2000000};

    double rate_ = 0.0;
    time_point last_;
};

/// Returns this member's share of a limit that `members` divide by recent demand. A tenth of the
/// limit is divided evenly, so that a member with new demand can admit calls. The shares of all
/// members add up to `limit` if the members know the same demands.
double share_of(double limit, double own_demand, double total_demand, std::size_t members);

/// Token bucket that holds the tokens of one second, but at least one token.
class token_bucket {
public:
    void set_rate(double per_second);
    /// Takes a token; returns the time until the next one if there is none.
    std::optional<micros> try_acquire(time_point now);

private:
    double rate_ = 0.0;
    double tokens_ = 0.0;
    bool unused_ = true; ///< starts full at the first use
    time_point last_;
};

/// Rate limits by name (of an organisation or a class), of which this member holds a share.
class rate_limiter {
public:
    /// Sets the limit for all members together; 0 removes it.
    void set_limit(const std::string& name, double per_second);
    /// Updates the shares from the number of members, this one included, and the demand that the
    /// other members report for each name.
    void set_peer_demand(std::size_t members, const std::map<std::string, double>& demand,
                         time_point now);
    /// Counts an arrival; returns nothing if it is admitted, else the time until a retry may be
    /// admitted.
    std::optional<micros> admit(const std::string& name, time_point now);
    /// Returns this member's own demand for each limited name.
    std::map<std::string, double> demand(time_point now) const;

private:
    struct entry {
        double limit = 0.0;
        double peer_demand = 0.0; ///< arrivals per second at the other members, as last reported
        rate_meter arrivals;
        token_bucket bucket;
    };

    /// Sets the rate of the bucket from the current demands.
    void update(entry& e, time_point now) const;

    std::size_t members_ = 1; ///< this member included; at least 1
    std::map<std::string, entry> entries_;
};

/// Exponentially smoothed mean latency of a call and its mean deviation.
class latency_estimate {
public:
    void add(micros sample);
    bool known() const { return known_; }
    micros mean() const { return micros(static_cast<std::int64_t>(mean_)); }
    /// Returns a latency that few calls exceed: the mean plus three deviations.
    micros bound() const { return micros(static_cast<std::int64_t>(mean_ + 3.0 * deviation_)); }

private:
    bool known_ = false;
    double mean_ = 0.0;
    double deviation_ = 0.0;
};

/// Returns the expected wait of a call behind `ahead` calls that take `mean` each on `slots` slots,
/// or one hour without slots.
micros expected_wait(double ahead, std::int64_t slots, micros mean);

/// Returns nothing if a call with this expected wait and service time can end within `time_left`,
/// else the time after which a retry could.
std::optional<micros> refuse_for_wait(micros wait, micros service, micros time_left);

/// Returns the value of the Retry-After header for `wait`: whole seconds from 1 to 3600.
std::string retry_after(micros wait);

} // namespace sesamesill
