// Shares of rate limits by demand, token buckets, latency estimates and deadline checks.

#include "sesamesill/limiter.h"

#include <algorithm>
#include <cmath>

namespace sesamesill {
namespace {

constexpr double guaranteed_ratio = 0.1; ///< of a limit, divided evenly regardless of demand
constexpr double min_demand = 1e-3;      ///< per second; a lower demand counts as none

double seconds(micros d)
{
    return static_cast<double>(d.count()) / 1e6;
}

micros from_seconds(double s)
{
    return micros(static_cast<std::int64_t>(std::ceil(s * 1e6)));
}

} // namespace

void rate_meter::add(time_point now)
{
    rate_ = per_second(now) + 1.0 / seconds(window);
    last_ = now;
}

double rate_meter::per_second(time_point now) const
{
    const double age = std::max(0.0, seconds(now - last_));
    return rate_ * std::exp(-age / seconds(window));
}

double share_of(double limit, double own_demand, double total_demand, std::size_t members)
{
    const double even = limit / static_cast<double>(std::max<std::size_t>(1, members));
    if (total_demand < min_demand) {
        return even;
    }
    const double part = std::clamp(own_demand / total_demand, 0.0, 1.0);
    return guaranteed_ratio * even + (1.0 - guaranteed_ratio) * limit * part;
}

void token_bucket::set_rate(double per_second)
{
    rate_ = per_second;
    tokens_ = std::min(tokens_, std::max(1.0, rate_));
}

std::optional<micros> token_bucket::try_acquire(time_point now)
{
    const double max_tokens = std::max(1.0, rate_);
    tokens_ = unused_ ? max_tokens
                      : std::min(max_tokens, tokens_ + rate_ * std::max(0.0, seconds(now - last_)));
    unused_ = false;
    last_ = now;
    if (tokens_ >= 1.0) {
        tokens_ -= 1.0;
        return std::nullopt;
    }
    return from_seconds((1.0 - tokens_) / std::max(rate_, min_demand));
}

void rate_limiter::set_limit(const std::string& name, double per_second)
{
    if (per_second <= 0.0) {
        entries_.erase(name);
        return;
    }
    entry& e = entries_[name];
    e.limit = per_second;
    e.bucket.set_rate(per_second / static_cast<double>(members_));
}

void rate_limiter::set_peer_demand(std::size_t members, const std::map<std::string, double>& demand,
                                   time_point now)
{
    members_ = std::max<std::size_t>(1, members);
    for (std::pair<const std::string, entry>& item : entries_) {
        const auto found = demand.find(item.first);
        item.second.peer_demand = found == demand.end() ? 0.0 : found->second;
        update(item.second, now);
    }
}

void rate_limiter::update(entry& e, time_point now) const
{
    const double own = e.arrivals.per_second(now);
    e.bucket.set_rate(share_of(e.limit, own, own + e.peer_demand, members_));
}

std::optional<micros> rate_limiter::admit(const std::string& name, time_point now)
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    found->second.arrivals.add(now);
    return found->second.bucket.try_acquire(now);
}

std::map<std::string, double> rate_limiter::demand(time_point now) const
{
    std::map<std::string, double> result;
    for (const std::pair<const std::string, entry>& item : entries_) {
        const double rate = item.second.arrivals.per_second(now);
        if (rate > min_demand) {
            result[item.first] = rate;
        }
    }
    return result;
}

void latency_estimate::add(micros sample)
{
    constexpr double mean_gain = 1.0 / 16.0;
    constexpr double deviation_gain = 1.0 / 8.0;
    const double value = static_cast<double>(sample.count());
    if (!known_) {
        known_ = true;
        mean_ = value;
        deviation_ = value / 2.0;
        return;
    }
    const double difference = value - mean_;
    mean_ += mean_gain * difference;
    deviation_ += deviation_gain * (std::fabs(difference) - deviation_);
}

micros expected_wait(double ahead, std::int64_t slots, micros mean)
{
    if (slots <= 0) {
        return micros(std::int64_t{3600} * 1000000);
    }
    return micros(static_cast<std::int64_t>(ahead * static_cast<double>(mean.count()) /
                                            static_cast<double>(slots)));
}

std::optional<micros> refuse_for_wait(micros wait, micros service, micros time_left)
{
    constexpr std::int64_t safety_factor = 2; // a longer queue adds waiting time but no throughput
    const micros needed = safety_factor * wait + service;
    return needed > time_left ? std::optional<micros>(needed - time_left) : std::nullopt;
}

std::string retry_after(micros wait)
{
    const std::int64_t whole = (wait.count() + 999999) / 1000000;
    return std::to_string(std::clamp<std::int64_t>(whole, 1, 3600));
}

} // namespace sesamesill
