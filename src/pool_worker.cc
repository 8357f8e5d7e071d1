// Room and health of a worker.

#include "sesamesill/pool_worker.h"

#include <algorithm>
#include <cmath>

namespace sesamesill::pool {
namespace {

constexpr int failures_to_avoid = 3;      ///< jobs' own faults rarely come so many in a row
constexpr millis first_avoidance{2000};   ///< about the length of a task
constexpr millis longest_avoidance{8000}; ///< impairments of workers last some seconds

constexpr double memory_ms = 1000;      ///< of a worker's pace: a few looks
constexpr double telling_percent = 30;  ///< of work, expected of all runs together: one look at a
                                        ///< short run, or some looks at long ones
constexpr double standing_still = 0.03; ///< share of what was expected
constexpr double crawling = 0.2;        ///< likewise; run times scatter by a factor of two
constexpr double crawl_percent = 150;   ///< of work, expected, before a crawl is believed
constexpr int telling_runs = 3;
constexpr double slowest = 0.02; ///< even what stands still goes on some day

} // namespace

void add_run(worker& w, run_record run)
{
    w.allocated += run.allocated;
    const std::pair<std::string, std::int64_t> key{to_string(run.task), run.run};
    w.runs.emplace(key, std::move(run));
}

bool remove_run(worker& w, const std::string& task, std::int64_t run)
{
    const auto known = w.runs.find({task, run});
    if (known == w.runs.end()) {
        return false;
    }
    w.allocated -= known->second.allocated;
    w.runs.erase(known);
    return true;
}

void add_sample(progress_rate& rate, const progress_sample& view)
{
    if (view.runs == 0) {
        return;
    }
    const double kept = std::exp(-static_cast<double>(view.elapsed.count()) / memory_ms);
    rate.expected = rate.expected * kept + view.expected;
    rate.advanced = rate.advanced * kept + view.advanced;
    rate.runs = view.runs;
}

bool is_slow(const progress_rate& rate, double usual)
{
    const double expected = rate.expected * std::min(1.0, usual);
    const bool still = expected >= telling_percent && rate.advanced < standing_still * expected;
    const bool crawl = rate.runs >= telling_runs && expected >= crawl_percent &&
                       rate.advanced < crawling * expected;
    return still || crawl;
}

double relative_speed(const progress_rate& rate)
{
    return rate.expected > 0 ? std::max(slowest, rate.advanced / rate.expected) : 1;
}

void start_avoidance(worker_health& health, time_point now)
{
    const millis length =
        std::min(longest_avoidance, first_avoidance * (1 << std::min(health.avoidance_count, 4)));
    health.avoid_until = now + length;
    ++health.avoidance_count;
}

void update_health(worker_health& health, const std::string& job, bool failed, time_point now)
{
    if (!failed) {
        health.failures_in_row = 0;
        health.avoidance_count = 0;
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
    start_avoidance(health, now);
    health.failures_in_row = failures_to_avoid - 1; // one more failure avoids it again
}

} // namespace sesamesill::pool
