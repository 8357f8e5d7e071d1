// Room and health of a worker.

#include "sesamesill/pool_worker.h"

#include <algorithm>

namespace sesamesill::pool {
namespace {

constexpr int failures_to_avoid = 3;      ///< jobs' own faults rarely come so many in a row
constexpr millis first_avoidance{2000};   ///< about the length of a task
constexpr millis longest_avoidance{8000}; ///< impairments of workers last some seconds

} // namespace

void add_run(worker& w, run_record run)
{
    w.taken += run.taken;
    const std::pair<std::string, std::int64_t> key{to_string(run.task), run.run};
    w.runs.emplace(key, std::move(run));
}

bool remove_run(worker& w, const std::string& task, std::int64_t run)
{
    const auto known = w.runs.find({task, run});
    if (known == w.runs.end()) {
        return false;
    }
    w.taken -= known->second.taken;
    w.runs.erase(known);
    return true;
}

void judge_end(worker_health& health, const std::string& job, bool failed, time_point now)
{
    if (!failed) {
        health.failures_in_row = 0;
        health.avoided = 0;
        health.last_failed_job.clear();
        return;
    }
    if (job == health.last_failed_job) {
        return;
    }
    health.last_failed_job = job;
    if (++health.failures_in_row < failures_to_avoid) {
        return;
    }
    const millis length =
        std::min(longest_avoidance, first_avoidance * (1 << std::min(health.avoided, 4)));
    health.avoid_until = now + length;
    ++health.avoided;
    health.failures_in_row = failures_to_avoid - 1; // one more failure avoids it again
}

} // namespace sesamesill::pool
