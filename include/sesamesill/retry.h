// Retries: which attempts may be repeated, when, and how many in all.

#pragma once

#include <cstdint>
#include <random>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"

namespace sesamesill {

/// How an attempt ended, as far as its sender can tell.
enum class attempt_outcome : std::uint8_t {
    answered,
    never_sent,  ///< no connection came about
    not_started, ///< the peer says that it did not begin
    lost         ///< sent, and no whole answer came back
};

/// Returns whether a repetition cannot make the work run twice.
bool is_repeatable(bool idempotent, attempt_outcome result);

/// Retries allowed per first attempt, so that retries cannot multiply an overload.
class retry_budget {
public:
    /// `max_tokens` retries are there from the start and are the most that can be saved up.
    explicit retry_budget(double ratio = 0.1, double max_tokens = 10.0);

    void on_first_attempt();
    /// Takes one retry; returns false where the budget is spent.
    bool try_acquire();
    void set_ratio(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    double max_tokens_;
    double tokens_; ///< from 0 to reserve_
};

/// Returns the wait before attempt `attempt` + 1: exponential with full jitter.
micros backoff_after(std::int32_t attempt, const retry_policy& policy, std::mt19937_64& random);

/// Returns the time that one attempt may take: so that those left still fit before the deadline,
/// but not less than `typical_latency`, the time that few calls exceed. A call cut off early would
/// keep its slot.
micros attempt_timeout(micros time_left, std::int32_t attempt, std::int32_t max_attempts,
                       micros typical_latency);

} // namespace sesamesill
