// Remembers cancellations of jobs that weren't known.

#include "sesamesill/pool_cancellations.h"

#include <algorithm>

#include "pool_keys.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {

keyed_record cancellation_record(const std::string& job, std::int64_t wall_ms)
{
    Json::Value value;
    value["cancelled_ms"] = static_cast<Json::Int64>(wall_ms);
    return {cancellation_key(job), to_text(value), 0};
}

void cancellations::insert(const std::string& job, const cancellation& c)
{
    erase(job);
    known_.emplace(job, c);
    by_time_.emplace(c.wall_ms, job);
    charge_.resize(known_.size() * cancellation_bytes);
}

void cancellations::erase(const std::string& job)
{
    const auto known = known_.find(job);
    if (known == known_.end()) {
        return;
    }
    by_time_.erase({known->second.wall_ms, job});
    known_.erase(known);
    charge_.resize(known_.size() * cancellation_bytes);
}

cancellation_state cancellations::add(const std::string& job, std::int64_t wall_ms,
                                      std::size_t max_bytes)
{
    const auto known = known_.find(job);
    if (known != known_.end()) {
        return known->second.stored ? cancellation_state::stored : cancellation_state::storing;
    }
    if (charge_.bytes() + cancellation_bytes > max_bytes) {
        return cancellation_state::no_room;
    }
    insert(job, {wall_ms, false});
    return cancellation_state::added;
}

void cancellations::restore(const std::string& job, const std::string& value, std::int64_t wall_ms)
{
    const std::optional<Json::Value> parsed = json_from(value);
    const bool readable = parsed && parsed->isObject() && (*parsed)["cancelled_ms"].isInt64();
    const std::int64_t cancelled_ms = readable ? (*parsed)["cancelled_ms"].asInt64() : wall_ms;
    // The clock of the leader that stored it may be ahead of this one's.
    insert(job, {std::min(cancelled_ms, wall_ms), true});
}

void cancellations::on_written(const std::string& job, bool stored)
{
    const auto known = known_.find(job);
    if (known == known_.end() || known->second.stored) {
        return;
    }
    if (stored) {
        known->second.stored = true;
    }
    else {
        erase(job);
    }
}

std::optional<millis> cancellations::refused_for(const std::string& job, std::int64_t wall_ms) const
{
    const auto known = known_.find(job);
    if (known == known_.end()) {
        return std::nullopt;
    }
    return std::max(millis(0), millis(known->second.wall_ms - wall_ms) + kept_);
}

std::vector<std::string> cancellations::take_expired(std::int64_t wall_ms)
{
    std::vector<std::string> expired;
    while (!by_time_.empty() && by_time_.begin()->first + kept_.count() < wall_ms) {
        expired.push_back(by_time_.begin()->second);
        erase(expired.back());
    }
    return expired;
}

} // namespace sesamesill::pool
