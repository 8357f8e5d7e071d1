// Allocated capacity, progress and health of a worker.

#include "sesamesill/pool_worker.h"

#include <algorithm>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<lease_origin, 5> lease_names{
    {{lease_origin::predecessors, "orders of earlier leaders"},
     {lease_origin::first_answer, "orders of earlier leaders until its first answer"},
     {lease_origin::restart, "orders to its previous process"},
     {lease_origin::poll, "poll"},
     {lease_origin::start, "start"}}};

/// Failures in a row, of different jobs: faulty jobs rarely follow each other so closely.
constexpr int avoidance_threshold = 3;
constexpr millis first_avoidance{2000};   ///< about the length of a task
constexpr millis longest_avoidance{8000}; ///< a worker is impaired for some seconds

constexpr double rate_decay_ms = 1000; ///< time constant of a worker's rate; covers a few polls
/// Expected progress of all runs above which a stall is detected: one poll of a short run or
/// several polls of long ones.
constexpr double stall_min_percent = 30;
constexpr double stall_share = 0.03; ///< of the expected progress; less is a stall
/// Share of the expected progress below which runs are slow; run times vary by a factor of two.
constexpr double slow_share = 0.2;
constexpr double slow_min_percent = 150; ///< expected progress above which slowness is detected
constexpr int slow_min_runs = 3;         ///< fewer runs may just be longer than estimated
constexpr double min_speed = 0.02;       ///< above zero, as a stalled run resumes at some time

} // namespace

std::string_view name_of(lease_origin origin)
{
    return name_in(lease_names, origin);
}

bool is_outdated(const worker_entry& entry, const worker_entry& known)
{
    if (entry.start_time_ms != known.start_time_ms) {
        return entry.start_time_ms < known.start_time_ms;
    }
    return entry.revision < known.revision;
}

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

void add_sample(progress_rate& rate, const progress_sample& sample)
{
    if (sample.runs == 0) {
        return;
    }
    const double decay = std::exp(-static_cast<double>(sample.elapsed.count()) / rate_decay_ms);
    rate.expected = rate.expected * decay + sample.expected;
    rate.advanced = rate.advanced * decay + sample.advanced;
    rate.runs = sample.runs;
}

bool is_slow(const progress_rate& rate, double pool_speed)
{
    const double expected = rate.expected * std::min(1.0, pool_speed);
    const bool stalled = expected >= stall_min_percent && rate.advanced < stall_share * expected;
    const bool slow = rate.runs >= slow_min_runs && expected >= slow_min_percent &&
                      rate.advanced < slow_share * expected;
    return stalled || slow;
}

double relative_speed(const progress_rate& rate)
{
    return rate.expected > 0 ? std::max(min_speed, rate.advanced / rate.expected) : 1;
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
    if (++health.failures_in_row < avoidance_threshold) {
        return;
    }
    start_avoidance(health, now);
    health.failures_in_row = avoidance_threshold - 1; // one more failure starts an avoidance
}

} // namespace sesamesill::pool
