// Implements the rate of starts and the decision to refuse a job that can't be served in time.

#include "sesamesill/pool_admission.h"

#include <algorithm>
#include <functional>

namespace sesamesill::pool {
namespace {

constexpr millis slice{1000};
constexpr double ms_per_second = 1000;
constexpr millis min_retry_after{1000};
constexpr millis max_retry_after{30000};

} // namespace

void start_rate::advance(time_point now)
{
    for (std::size_t n = 0; now - slice_began_ >= slice && n < slices; ++n) {
        slice_began_ += slice;
        current_ = (current_ + 1) % slices;
        counts_[current_] = 0;
    }
    if (now - slice_began_ >= slice) {
        slice_began_ = now; // all slices are older than the counted time
    }
}

void start_rate::add(std::uint64_t starts, time_point now)
{
    if (since_ == time_point() && starts > 0) {
        since_ = now;
        slice_began_ = now;
    }
    advance(now);
    counts_[current_] += starts;
}

double start_rate::highest(time_point now) const
{
    if (since_ == time_point() || now - since_ < min_observed) {
        return 0;
    }
    return static_cast<double>(*std::max_element(counts_.begin(), counts_.end()));
}

millis expected_wait(const backlog& b)
{
    if (b.starts_per_second <= 0) {
        return millis(0);
    }
    return millis(static_cast<std::int64_t>(b.waiting_tasks / b.starts_per_second * ms_per_second));
}

bool starts_too_late(const backlog& b)
{
    return static_cast<double>(expected_wait(b).count()) > b.objective_ms;
}

millis retry_after_outage(double objective_ms, double spread)
{
    constexpr double attempts = 5; ///< of a client that retries four times
    constexpr millis longest{4000};
    const millis after(static_cast<std::int64_t>(objective_ms / attempts * (1 + spread / 2)));
    return std::clamp(after, min_retry_after, longest);
}

millis retry_after_shortage(double spread)
{
    constexpr double shortest_ms = 5000;
    return millis(static_cast<std::int64_t>(shortest_ms * (1 + spread)));
}

double spread_of(const std::string& job_id)
{
    constexpr std::size_t steps = 1000;
    return static_cast<double>(std::hash<std::string>{}(job_id) % steps) / steps;
}

millis retry_after(const backlog& b, double spread)
{
    const double wait = static_cast<double>(expected_wait(b).count());
    const millis after(static_cast<std::int64_t>(wait * (1 + spread / 2)));
    return std::clamp(after, min_retry_after, max_retry_after);
}

} // namespace sesamesill::pool
