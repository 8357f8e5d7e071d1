// Converts ended jobs to and from their records, and drops them after a time.

#include "sesamesill/pool_ended.h"

#include "sesamesill/rpc.h"

namespace sesamesill::pool {

ended_job ended_job_of(const job_spec& spec, job_state state, std::int64_t ended_ms)
{
    ended_job job{state, spec.queue, {}, ended_ms};
    job.needs.reserve(spec.steps.size());
    for (const step_spec& step : spec.steps) {
        job.needs.push_back(capacity_used_by(step));
    }
    return job;
}

std::string encode(const ended_job& job)
{
    Json::Value value;
    value["state"] = std::string(name_of(job.state));
    value["queue"] = job.queue;
    for (const resources& used : job.needs) {
        Json::Value need;
        need.append(static_cast<Json::Int64>(used.cpu_millis));
        need.append(static_cast<Json::Int64>(used.memory_mb));
        need.append(static_cast<Json::Int64>(used.accelerators));
        value["needs"].append(need);
    }
    value["ended_ms"] = static_cast<Json::Int64>(job.ended_ms);
    return to_text(value);
}

std::optional<ended_job> ended_job_from(const Json::Value& value)
{
    const std::optional<job_state> state = job_state_from(value["state"].asString());
    if (!state || !is_final(*state)) {
        return std::nullopt;
    }
    ended_job job{*state, value["queue"].asString(), {}, value["ended_ms"].asInt64()};
    for (const Json::Value& need : value["needs"]) {
        job.needs.push_back({need[0].asInt64(), need[1].asInt64(), need[2].asInt64()});
    }
    return job;
}

void ended_jobs::add(const std::string& id, ended_job job)
{
    const std::int64_t ended_ms = job.ended_ms;
    const std::size_t bytes = ended_bytes(job.needs.size());
    if (jobs_.emplace(id, std::move(job)).second) {
        by_time_.emplace(ended_ms, id);
        charge_.resize(charge_.bytes() + bytes);
    }
}

const ended_job* ended_jobs::find(const std::string& id) const
{
    const auto known = jobs_.find(id);
    return known != jobs_.end() ? &known->second : nullptr;
}

std::vector<std::string> ended_jobs::take_before(std::int64_t wall_ms)
{
    std::vector<std::string> dropped;
    while (!by_time_.empty() && by_time_.begin()->first < wall_ms) {
        dropped.push_back(by_time_.begin()->second);
        by_time_.erase(by_time_.begin());
        const auto job = jobs_.find(dropped.back());
        charge_.resize(charge_.bytes() - ended_bytes(job->second.needs.size()));
        jobs_.erase(job);
    }
    return dropped;
}

} // namespace sesamesill::pool
