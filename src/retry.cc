// Budget, backoff and timeouts of retries.

#include "sesamesill/retry.h"

#include <algorithm>

namespace sesamesill {

bool is_repeatable(bool idempotent, attempt_outcome result)
{
    switch (result) {
    case attempt_outcome::never_sent:
    case attempt_outcome::not_started:
        return true;
    case attempt_outcome::lost:
        return idempotent;
    case attempt_outcome::answered:
        break;
    }
    return false;
}

retry_budget::retry_budget(double ratio, double max_tokens)
    : ratio_(ratio), max_tokens_(max_tokens), tokens_(max_tokens)
{
}

void retry_budget::on_first_attempt()
{
    tokens_ = std::min(max_tokens_, tokens_ + ratio_);
}

bool retry_budget::try_acquire()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

micros backoff_after(std::int32_t attempt, const retry_policy& policy, std::mt19937_64& random)
{
    const std::int32_t doublings = std::clamp(attempt - 1, 0, 20);
    const micros base = policy.base_backoff;
    const micros limit = std::min<micros>(policy.max_backoff, base * (1LL << doublings));
    std::uniform_int_distribution<std::int64_t> spread(0, std::max<std::int64_t>(0, limit.count()));
    return micros(spread(random));
}

micros attempt_timeout(micros time_left, std::int32_t attempt, std::int32_t max_attempts,
                       micros typical_latency)
{
    constexpr std::int64_t safety_factor = 2;
    const micros part = time_left / std::max(1, max_attempts - attempt + 1);
    return std::min(time_left, std::max(part, safety_factor * typical_latency));
}

} // namespace sesamesill
