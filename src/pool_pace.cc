// Detects workers that answer but whose runs stall or are slow. They get no new runs, and a run
// that would end much earlier elsewhere is moved.
//
// Expected load: some workers of a nearly full pool stall or become six times slower for five to
// seven seconds, several times the length of the shorter tasks.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr double max_avoided_share = 0.25;  ///< of all workers; if more are slow, the whole pool is
constexpr std::int64_t min_sample_ms = 100; ///< shortest time between two compared reports
constexpr std::uint64_t min_estimate_runs = 50; ///< finished runs before a queue's mean run
                                                ///< time is used: short runs end first
constexpr std::int64_t pool_decay_factor = 5;   ///< pool's decay time divided by a worker's
constexpr int max_moves = 2; ///< of one task; a task that is slow everywhere is itself the cause
constexpr double min_move_gain = 2; ///< least ratio of the time here to the time elsewhere

} // namespace

/// Compares the progress that the worker reports with that of the previous poll. Members of gangs
/// are skipped, as they wait for each other.
void scheduler::update_progress_rate(worker& w, const worker_report& report, time_point now)
{
    progress_sample sample;
    for (const running_task& row : report.running) {
        const auto run = w.runs.find({row.task, row.run});
        if (run == w.runs.end() || run->second.phase != run_phase::running) {
            continue;
        }
        run_record& r = run->second;
        const step_spec* step = step_of(r.task);
        if (step == nullptr || step->gang || step->long_running) {
            continue;
        }
        const std::string& queue = jobs_.at(r.task.job).progress.spec().queue;
        const auto estimate = estimates_.find(queue);
        const std::int64_t elapsed = report.clock_ms - r.percent_clock_ms;
        const bool comparable = r.percent >= 0 && elapsed >= min_sample_ms;
        if (comparable && estimate != estimates_.end() &&
            estimate->second.runs >= min_estimate_runs) {
            sample.expected +=
                static_cast<double>(elapsed) * 100 / std::max(1.0, estimate_ms(queue, *step));
            sample.advanced += row.percent - r.percent;
            sample.elapsed = millis(std::max(elapsed, to_millis(sample.elapsed)));
            ++sample.runs;
        }
        if (r.percent < 0 || comparable) {
            r.percent = row.percent;
            r.percent_clock_ms = report.clock_ms;
        }
    }
    add_sample(w.process.rate, sample);
    // The pool's rate covers all workers over some seconds.
    progress_sample pool_sample = sample;
    pool_sample.elapsed /= pool_decay_factor * static_cast<std::int64_t>(workers_.size());
    add_sample(pool_progress_rate_, pool_sample);
    if (sample.runs == 0 || !is_slow(w.process.rate, relative_speed(pool_progress_rate_))) {
        return;
    }
    const double avoided_workers = static_cast<double>(
        std::count_if(workers_.begin(), workers_.end(), [now](const auto& other) {
            return other.second.process.health.avoid_until > now;
        }));
    const bool available = w.process.health.avoid_until <= now;
    if (available && avoided_workers >= max_avoided_share * static_cast<double>(workers_.size())) {
        return;
    }
    if (available) {
        start_avoidance(w.process.health, now);
        add_decision(decision_kind::worker_avoided, "", w.entry.id,
                     "its runs advanced by " +
                         std::to_string(static_cast<int>(w.process.rate.advanced)) + " percent, " +
                         std::to_string(static_cast<int>(w.process.rate.expected)) + " expected",
                     to_millis(w.process.health.avoid_until - now));
    }
    move_slow_runs(w, report, now);
}

/// Stops runs that would need more than `min_move_gain` times as long here as on another worker,
/// where they resume at their checkpoint or else start from the beginning.
void scheduler::move_slow_runs(const worker& w, const worker_report& report, time_point now)
{
    constexpr int max_discarded_percent = 20; ///< of a gang member's work, which a move discards
    constexpr millis restart_delay{200}; ///< from the run's end until another worker gets the start
    const double speed =
        relative_speed(w.process.rate) / std::min(1.0, relative_speed(pool_progress_rate_));
    for (const running_task& row : report.running) {
        const auto run = w.runs.find({row.task, row.run});
        const step_spec* step = run != w.runs.end() && run->second.phase == run_phase::running
                                    ? step_of(run->second.task)
                                    : nullptr;
        if (step == nullptr || step->long_running) {
            continue;
        }
        job_entry& entry = jobs_.at(run->second.task.job);
        task_record* task = entry.progress.find(run->second.task);
        if (task == nullptr || task->run != row.run || task->moves >= max_moves ||
            (step->gang && !step->saves_progress && row.percent > max_discarded_percent)) {
            continue;
        }
        const double full_run_ms = estimate_ms(entry.progress.spec().queue, *step);
        const double remaining_ms = full_run_ms * (100 - row.percent) / 100;
        const double elsewhere_ms =
            (step->saves_progress ? remaining_ms : full_run_ms) +
            static_cast<double>((bounds_.stop_timeout + restart_delay).count());
        if (remaining_ms / speed > min_move_gain * elsewhere_ms) {
            ++task->moves;
            stop_task(run->second.task, now);
        }
    }
}

} // namespace sesamesill::pool
