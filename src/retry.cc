// Budget, backoff and time-outs of retries.

#include "sesamesill/retry.h"

#include <algorithm>

namespace sesamesill {

bool is_repeatable(bool idempotent, attempt_outcome ended)
{
    switch (ended) {
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

retry_budget::retry_budget(double ratio, double reserve)
    : ratio_(ratio), reserve_(reserve), saved_(reserve)
{
}

void retry_budget::on_first_attempt()
{
    saved_ = std::min(reserve_, saved_ + ratio_);
}

bool retry_budget::try_acquire()
{
    if (saved_ < 1.0) {
        return false;
    }
    saved_ -= 1.0;
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

micros attempt_timeout(micros left, std::int32_t attempt, std::int32_t max_attempts, micros usual)
{
    constexpr std::int64_t caution = 2;
    const micros part = left / std::max(1, max_attempts - attempt + 1);
    return std::min(left, std::max(part, caution * usual));
}

} // namespace sesamesill
