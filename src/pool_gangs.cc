// The part of the scheduler that places gangs. All members of a gang start together or none does;
// room is reserved for a gang that can start soon.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

/// Removes the workers whose processes are in `failed_on`, unless the other workers can't hold the
/// whole step even when idle.
void exclude_failed_workers(std::vector<candidate>& candidates,
                            const std::set<process_id>& failed_on, const step_spec& step)
{
    if (failed_on.empty()) {
        return;
    }
    const int limit = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
    std::vector<candidate> others;
    int held = 0;
    for (const candidate& c : candidates) {
        if (failed_on.count(c.target->id()) == 0) {
            others.push_back(c);
            held += count_fitting(capacity_used_by(step), c.target->entry.capacity, limit);
        }
    }
    if (held >= step.tasks) {
        candidates.swap(others);
    }
}

} // namespace

void scheduler::place_gang(waiting_step& ws, time_point now)
{
    job_progress& job = *ws.job;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(ws.first.step)];
    step_record& step = job.step_at(ws.first.occurrence, ws.first.step);
    if (step.waiting < spec.tasks) {
        return; // some members of an earlier run haven't ended yet
    }
    if (!may_fit(capacity_used_by(spec))) {
        reserve_room_for(ws, now);
        return;
    }
    std::vector<candidate> candidates = candidates_for(ws, now);
    std::set<process_id> failed_on;
    for (const task_record& t : step.tasks) {
        failed_on.insert(t.failed_on.begin(), t.failed_on.end());
    }
    exclude_failed_workers(candidates, failed_on, spec);
    const std::vector<int> counts = spread_gang(candidates, spec.tasks, spec.same_rack);
    if (counts.empty()) {
        reserve_room_for(ws, now);
        return;
    }
    std::vector<worker_number> expired;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0 && !candidates[i].ticket_valid) {
            expired.push_back(candidates[i].target->number);
        }
    }
    if (!expired.empty()) {
        if (!ws.advice_pending) {
            ws.next_call_workers = expired;
        }
        reserve_room_for(ws, now);
        return;
    }
    const std::int64_t run = next_run(step, -1);
    std::string checkpoint; // all members resume from the checkpoint of any member
    for (const task_record& t : step.tasks) {
        checkpoint = t.checkpoint.empty() ? checkpoint : t.checkpoint;
    }
    int index = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        for (int n = 0; n < counts[i]; ++n) {
            job.set_checkpoint(step.tasks[static_cast<std::size_t>(index)], checkpoint);
            start_task(ws, index++, *candidates[i].target, run, now);
        }
    }
    update_charge(jobs_.at(ws.first.job));
}

/// Returns the expected end of the run, based on its progress if that is known.
time_point scheduler::expected_end(const run_record& run, time_point now) const
{
    constexpr int min_percent = 10;     ///< a lower progress is too inaccurate for an estimate
    constexpr millis overdue_run{300};  ///< remaining time of a run that exceeds its estimate
    constexpr millis unknown_run{1000}; ///< remaining time of a stopping or unknown run
    const auto known = jobs_.find(run.task.job);
    if (known == jobs_.end() || run.phase == run_phase::stopping ||
        run.phase == run_phase::stop_acknowledged) {
        return now + unknown_run;
    }
    const job_progress& job = known->second.progress;
    const step_spec& step = job.spec().steps[static_cast<std::size_t>(run.task.step)];
    constexpr millis long_running_run{3600000}; ///< beyond the horizon of any plan
    if (step.long_running) {
        return now + long_running_run;
    }
    const task_record* task = job.find(run.task);
    double length_ms = estimate_ms(job.spec().queue, step);
    if (task != nullptr && task->percent >= min_percent) {
        length_ms =
            static_cast<double>(to_millis(task->advanced - run.ordered_at)) * 100 / task->percent;
    }
    return std::max(now + overdue_run,
                    run.ordered_at + millis(static_cast<std::int64_t>(length_ms)));
}

/// Returns the expected end of each run of the worker and the room that it releases, in order of
/// time.
const std::vector<std::pair<time_point, resources>>& scheduler::releases_of(const worker& w,
                                                                            time_point now)
{
    std::optional<std::vector<std::pair<time_point, resources>>>& releases = releases_[w.number];
    if (!releases) {
        releases.emplace();
        for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
            releases->emplace_back(expected_end(r.second, now), r.second.allocated);
        }
        std::sort(releases->begin(), releases->end(),
                  [](const std::pair<time_point, resources>& a,
                     const std::pair<time_point, resources>& b) { return a.first < b.first; });
    }
    return *releases;
}

std::vector<gang_option> scheduler::gang_options(const waiting_step& ws, time_point now)
{
    const step_spec& step = ws.job->spec().steps[static_cast<std::size_t>(ws.first.step)];
    std::vector<gang_option> options;
    if (ws.queue == nullptr) {
        return options;
    }
    for (worker* w : workers_for(ws, step, std::nullopt, now)) {
        gang_option o;
        o.target = w;
        o.room = w->room() - room_reservations_[w->number].amount;
        o.limit = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
        o.releases = releases_of(*w, now);
        options.push_back(std::move(o));
    }
    return options;
}

/// Reserves room for a gang that can start soon. Without this, smaller tasks would use each free
/// room first and the gang would never start.
void scheduler::reserve_room_for(waiting_step& ws, time_point now)
{
    constexpr int max_plans = 8; ///< limit for one placing; a plan reads all runs of its workers
    if (++gang_plans_ > max_plans) {
        return;
    }
    constexpr millis horizon{3000};             ///< expected ends further ahead are too inaccurate
    constexpr double max_reserved_share = 0.35; ///< of the pool; the rest runs steps that fit now
    const step_spec& step = ws.job->spec().steps[static_cast<std::size_t>(ws.first.step)];
    const std::vector<gang_option> options = gang_options(ws, now);
    const std::optional<gang_plan> plan =
        plan_gang(options, capacity_used_by(step), step.tasks, now);
    if (!plan || plan->ready > now + horizon || ws.queue == nullptr) {
        return;
    }
    const resources needed = scaled(capacity_used_by(step), step.tasks);
    if (dominant_share(reserved_total_ + needed, schedulable_capacity_) > max_reserved_share) {
        return;
    }
    reserved_total_ += needed;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (plan->counts[i] > 0) {
            room_reservation& held = room_reservations_[options[i].target->number];
            held.amount += scaled(capacity_used_by(step), plan->counts[i]);
            held.until = std::max(held.until, plan->ready);
        }
    }
    if (ws.queue->advice) {
        renew_tickets(ws, *plan, options, *ws.queue->advice, now);
    }
}

} // namespace sesamesill::pool
