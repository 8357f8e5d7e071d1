// Retries: which attempts may be repeated, after which delay, and how many in total.

#pragma once

#include <cstdint>
#include <random>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"

namespace sesamesill {

/// Outcome of an attempt as its sender knows it.
enum class attempt_outcome : std::uint8_t {
    answered,
    never_sent,  ///< no connection was established
    not_started, ///< the peer reports that it did not start the work
    lost         ///< sent, but no complete answer arrived
};

/// Returns whether the attempt may be repeated: work that isn't idempotent must not run twice.
bool is_repeatable(bool idempotent, attempt_outcome result);

/// Token bucket of retries that is refilled by first attempts, so that retries can't multiply the
/// load of an overloaded service.
class retry_budget {
public:
    /// Starts with `max_tokens` retries, which is also the maximum. Each first attempt adds
    /// `ratio`.
    explicit retry_budget(double ratio = 0.1, double max_tokens = 10.0);

    void on_first_attempt();
    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool try_acquire();
    void set_ratio(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    double max_tokens_;
    double tokens_; ///< from 0 to max_tokens_
};

/// Returns the delay before attempt `attempt` + 1: exponential backoff with full jitter.
micros backoff_after(std::int32_t attempt, const retry_policy& policy, std::mt19937_64& random);

/// Returns the timeout of one attempt: an equal part of `time_left` for each remaining attempt, but
/// at least twice `typical_latency`, which few calls exceed, and at most `time_left`. A call that
/// times out early still occupies its slot.
micros attempt_timeout(micros time_left, std::int32_t attempt, std::int32_t max_attempts,
                       micros typical_latency);

} // namespace sesamesill
