// Admission: rates in force over all entries together, and expected wait against the deadline.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Exponentially weighted arrivals a second.
class rate_meter {
public:
    void add(time_point now);
    double per_second(time_point now) const;

private:
    static constexpr micros window{2000000};

    double rate_ = 0.0;
    time_point last_;
};

/// Returns this member's part of a limit that `members` share: by recent demand, never below
/// a floor that lets a member with new demand begin. The parts of all members add up to `limit`
/// where they know the same demands.
double share_of(double limit, double own_demand, double total_demand, std::size_t members);

/// A bucket that holds one second's worth of tokens, at least one.
class token_bucket {
public:
    void set_rate(double per_second);
    /// Takes a token; where there is none, returns the wait for the next.
    std::optional<micros> try_acquire(time_point now);

private:
    double rate_ = 0.0;
    double tokens_ = 0.0;
    bool unused_ = true; ///< until first used
    time_point last_;
};

/// Rate limits by name (an organisation's or a class's), of which this member holds a share.
class rate_limiter {
public:
    /// Sets the limit over all entries; 0 takes it away.
    void set_limit(const std::string& name, double per_second);
    /// Takes what the other members report: how many they are and their demand for each name.
    void set_peer_demand(std::size_t members, const std::map<std::string, double>& demand,
                         time_point now);
    /// Counts an arrival; returns nothing where it is admitted, else the time until a retry may
    /// pass.
    std::optional<micros> admit(const std::string& name, time_point now);
    /// Returns this member's own demand for each limited name.
    std::map<std::string, double> demand(time_point now) const;

private:
    struct entry {
        double limit = 0.0;
        double peer_demand = 0.0; ///< demand at the other members, as last reported
        rate_meter arrivals;
        token_bucket bucket;
    };

    void update(entry& e, time_point now) const;

    std::size_t members_ = 1; ///< this one included, never 0
    std::map<std::string, entry> entries_;
};

/// Smoothed time of a call and its deviation.
class latency_estimate {
public:
    void add(micros sample);
    bool known() const { return known_; }
    micros mean() const { return micros(static_cast<std::int64_t>(mean_)); }
    /// Returns a time that few calls exceed.
    micros bound() const { return micros(static_cast<std::int64_t>(mean_ + 3.0 * deviation_)); }

private:
    bool known_ = false;
    double mean_ = 0.0;
    double deviation_ = 0.0;
};

/// Returns how long a call waits with `ahead` calls before it, `slots` serving and each taking
/// `mean`.
micros expected_wait(double ahead, std::int64_t slots, micros mean);

/// Returns nothing where the call can end before its deadline, else the time after which it could.
std::optional<micros> refuse_for_wait(micros wait, micros service, micros time_left);

/// Returns the value of Retry-After for `wait`: whole seconds, at least one.
std::string retry_after(micros wait);

} // namespace sesamesill
