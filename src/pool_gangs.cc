// Gangs: all members start together or none, and room is kept for one that could start soon.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

/// Drops the workers in `failed_on`, unless the others could never hold the whole step.
void leave_out(std::vector<candidate>& candidates, const std::set<std::string>& failed_on,
               const step_spec& step)
{
    if (failed_on.empty()) {
        return;
    }
    std::vector<candidate> others;
    int held = 0;
    for (const candidate& c : candidates) {
        if (failed_on.count(c.where->entry.id) == 0) {
            others.push_back(c);
            held += fitting(capacity_used_by(step), c.where->entry.capacity, step.tasks);
        }
    }
    if (held >= step.tasks) {
        candidates.swap(others);
    }
}

} // namespace

void scheduler::place_gang(unit& u, job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    step_record& step = job.step_at(u.first.occurrence, u.first.step);
    if (step.waiting < spec.tasks) {
        return; // members of an earlier run haven't all ended
    }
    if (!may_fit(capacity_used_by(spec))) {
        hold_back_for(u, entry, now);
        return;
    }
    std::vector<candidate> candidates = candidates_for(u, entry, now);
    std::set<std::string> failed_on;
    for (const task_record& t : step.tasks) {
        failed_on.insert(t.failed_on.begin(), t.failed_on.end());
    }
    leave_out(candidates, failed_on, spec);
    const std::vector<int> counts = spread_gang(candidates, spec.tasks, spec.same_rack);
    if (counts.empty()) {
        hold_back_for(u, entry, now);
        return;
    }
    std::vector<std::string> expired;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0 && !candidates[i].ticket_good) {
            expired.push_back(candidates[i].where->entry.id);
        }
    }
    if (!expired.empty()) {
        if (!u.asking) {
            u.ask = expired;
        }
        hold_back_for(u, entry, now);
        return;
    }
    const std::int64_t run = next_run(step, -1);
    std::string checkpoint; // one for all: the value of any member is good for the gang
    for (const task_record& t : step.tasks) {
        checkpoint = t.checkpoint.empty() ? checkpoint : t.checkpoint;
    }
    int index = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        for (int n = 0; n < counts[i]; ++n) {
            step.tasks[static_cast<std::size_t>(index)].checkpoint = checkpoint;
            start_task(u, entry, index++, *candidates[i].where, run, now);
        }
    }
}

/// Returns when the run is likely to end: by its progress where that is known.
time_point scheduler::expected_end(const run_record& run, time_point now) const
{
    constexpr int telling_percent = 10; ///< less says little of a task's length
    constexpr millis overdue{300};      ///< a run beyond its estimate is expected to end soon
    constexpr millis unknown_run{1000};
    const auto known = jobs_.find(run.task.job);
    if (known == jobs_.end() || run.phase == run_phase::stopping ||
        run.phase == run_phase::stop_acknowledged) {
        return now + unknown_run;
    }
    const job_progress& job = known->second.progress;
    const step_spec& step = job.spec().steps[static_cast<std::size_t>(run.task.step)];
    constexpr millis never{3600000};
    if (step.long_running) {
        return now + never;
    }
    const task_record& task = job.step_at(run.task.occurrence, run.task.step)
                                  .tasks[static_cast<std::size_t>(run.task.index)];
    double length_ms = estimate_ms(job.spec().queue, step);
    if (task.percent >= telling_percent) {
        length_ms =
            static_cast<double>(to_millis(task.advanced - run.ordered_at)) * 100 / task.percent;
    }
    return std::max(now + overdue, run.ordered_at + millis(static_cast<std::int64_t>(length_ms)));
}

std::vector<gang_option> scheduler::gang_options(unit& u, const job_entry& entry, time_point now)
{
    const step_spec& step = entry.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(entry.progress.spec().queue);
    std::vector<gang_option> options;
    if (queue == nullptr) {
        return options;
    }
    for (worker* w : workers_for(u, step, *queue, now)) {
        gang_option o;
        o.where = w;
        o.room = w->room();
        const auto held = held_back_.find(w->entry.id);
        if (held != held_back_.end()) {
            o.room -= held->second.amount;
        }
        o.limit = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
        for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w->runs) {
            o.frees.emplace_back(expected_end(r.second, now), r.second.allocated);
        }
        std::sort(o.frees.begin(), o.frees.end(),
                  [](const std::pair<time_point, resources>& a,
                     const std::pair<time_point, resources>& b) { return a.first < b.first; });
        options.push_back(std::move(o));
    }
    return options;
}

/// Keeps room for a gang that could start soon, or smaller tasks would take each gap for ever.
void scheduler::hold_back_for(unit& u, const job_entry& entry, time_point now)
{
    constexpr int most_plans = 8; ///< in one placing; each looks at all runs of its workers
    if (++gang_plans_ > most_plans) {
        return;
    }
    constexpr millis horizon{3000};    ///< further ahead, estimates of ends say little
    constexpr double most_held = 0.35; ///< share of the pool; the rest serves what fits
    const step_spec& step = entry.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(entry.progress.spec().queue);
    const std::vector<gang_option> options = gang_options(u, entry, now);
    const std::optional<gang_plan> plan =
        plan_gang(options, capacity_used_by(step), step.tasks, now);
    if (!plan || plan->ready > now + horizon || queue == nullptr) {
        return;
    }
    const resources needed = scaled(capacity_used_by(step), step.tasks);
    if (dominant_share(held_back_total_ + needed, whole_) > most_held) {
        return;
    }
    held_back_total_ += needed;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (plan->counts[i] > 0) {
            held_room& held = held_back_[options[i].where->entry.id];
            held.amount += scaled(capacity_used_by(step), plan->counts[i]);
            held.until = std::max(held.until, plan->ready);
        }
    }
    if (queue->advice) {
        renew_tickets(u, *plan, options, *queue->advice, now);
    }
}

} // namespace sesamesill::pool
