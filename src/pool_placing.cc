// The scheduler's decisions: which step goes next, and where its tasks start.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::int64_t runs_a_fence = 1000; ///< run numbers of one task that a leader may use

int active_on(const worker& w, const task_id& step)
{
    int count = 0;
    for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        const task_id& t = r.second.task;
        count +=
            t.job == step.job && t.occurrence == step.occurrence && t.step == step.step ? 1 : 0;
    }
    return count;
}

} // namespace

double scheduler::estimate_ms(const std::string& queue, const step_spec& step) const
{
    const auto learnt = estimates_.find(queue);
    const double own = static_cast<double>(step.estimate.count());
    return learnt != estimates_.end() ? expected_run_ms(learnt->second, own) : own;
}

std::vector<double> scheduler::estimates_of(const job_spec& spec) const
{
    std::vector<double> all;
    for (const step_spec& s : spec.steps) {
        all.push_back(estimate_ms(spec.queue, s));
    }
    return all;
}

bool scheduler::may_start(const unit& u, const job_entry& entry, time_point now) const
{
    return (doubts_.empty() || !entry.inherited) && now >= u.start_after &&
           entry.progress.step_at(u.first.occurrence, u.first.step).waiting > 0;
}

/// Works out what the step's rank rests on; it changes slowly.
void scheduler::refresh(unit& u, const job_entry& entry, time_point now)
{
    constexpr millis refresh_period{500};
    if (u.ranked != time_point() && now - u.ranked < refresh_period) {
        return;
    }
    u.ranked = now;
    const job_progress& job = entry.progress;
    const queue_policy* queue = queue_of(job.spec().queue);
    const std::vector<double> estimates = estimates_of(job.spec());
    const job_size size = size_of(job.spec(), estimates);
    const job_size left = left_of(job, u.first.occurrence, estimates);
    u.run_ms = estimates[static_cast<std::size_t>(u.first.step)];
    u.rank.job_work = size.core_seconds;
    u.rank.mean_work = estimates_[job.spec().queue].mean_work;
    u.rank.left_work = left.core_seconds;
    u.rank.left_chain_ms = left.chain_ms;
    if (queue != nullptr) {
        u.rank.priority = queue->priority;
        u.rank.objective_ms =
            queue->stretch * size.chain_ms + static_cast<double>(queue->latency_target.count());
    }
}

std::vector<unit*> scheduler::ranked_units(time_point now)
{
    std::vector<unit*> ranked;
    for (std::pair<const std::string, unit>& named : units_) {
        unit& u = named.second;
        const auto known = jobs_.find(u.first.job);
        if (known == jobs_.end() || !may_start(u, known->second, now)) {
            continue;
        }
        refresh(u, known->second, now);
        u.rank.waited_ms =
            static_cast<double>(to_millis(now - known->second.progress.due(u.first.occurrence)));
        u.score = rank_of(u.rank);
        ranked.push_back(&u);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const unit* a, const unit* b) { return a->score > b->score; });
    return ranked;
}

bool scheduler::is_eligible(const worker& w, const step_spec& step, const queue_policy& queue,
                            time_point now) const
{
    return w.is_schedulable(now) && may_run(w.entry, step, queue);
}

/// Returns the workers that may run the step: those approved, or all where nobody has to approve.
std::vector<worker*> scheduler::workers_for(const unit& u, const step_spec& step,
                                            const queue_policy& queue, time_point now)
{
    std::vector<worker*> result;
    if (queue.advice) {
        for (const std::pair<const std::string, ticket>& t : u.approved) {
            worker* w = find_worker(t.first);
            if (w != nullptr && is_eligible(*w, step, queue, now)) {
                result.push_back(w);
            }
        }
        return result;
    }
    for (std::pair<const std::string, worker>& w : workers_) {
        if (is_eligible(w.second, step, queue, now)) {
            result.push_back(&w.second);
        }
    }
    return result;
}

/// Takes the measure of the free room, so that steps that fit nowhere cost nothing.
void scheduler::measure_room(time_point now)
{
    largest_room_ = {};
    whole_ = {};
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (!w.second.is_schedulable(now)) {
            continue;
        }
        const resources room = w.second.room();
        largest_room_.cpu_millis = std::max(largest_room_.cpu_millis, room.cpu_millis);
        largest_room_.memory_mb = std::max(largest_room_.memory_mb, room.memory_mb);
        largest_room_.accelerators = std::max(largest_room_.accelerators, room.accelerators);
        whole_ += w.second.entry.capacity;
    }
}

bool scheduler::may_fit(const resources& need) const
{
    return fits(need, largest_room_);
}

std::vector<candidate> scheduler::candidates_for(unit& u, const job_entry& entry, time_point now)
{
    std::vector<candidate> result;
    const job_progress& job = entry.progress;
    const step_spec& step = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(job.spec().queue);
    if (queue == nullptr) {
        return result;
    }
    const bool advised = queue->advice.has_value();
    const time_point ends = now + millis(static_cast<std::int64_t>(u.run_ms));
    for (worker* w : workers_for(u, step, *queue, now)) {
        const auto ticket = u.approved.find(w->entry.id);
        int limit = step.tasks;
        if (step.max_per_worker > 0) {
            limit = std::min(limit, step.max_per_worker - active_on(*w, u.first));
        }
        candidate c;
        c.where = w;
        c.room = w->room();
        const auto held = held_back_.find(w->entry.id);
        if (held != held_back_.end() && ends > held->second.until) {
            c.room -= held->second.amount;
        }
        c.fits = limit > 0 ? fitting(capacity_used_by(step), c.room, limit) : 0;
        c.ticket_good = !advised || now < ticket->second.until;
        c.preferred = !step.preferred_rack.empty() && w->entry.rack == step.preferred_rack;
        if (c.fits > 0) {
            result.push_back(c);
        }
    }
    return result;
}

std::int64_t scheduler::next_run(const step_record& step, int index) const
{
    // A predecessor may have used numbers that nobody lists any more; those of a higher fence are
    // above all of them.
    const std::int64_t floor = (static_cast<std::int64_t>(fence_) - 1) * runs_a_fence;
    std::int64_t highest = floor;
    if (index >= 0) {
        highest = std::max(highest, step.tasks[static_cast<std::size_t>(index)].run);
        return highest + 1;
    }
    for (const task_record& t : step.tasks) {
        highest = std::max(highest, t.run);
    }
    return highest + 1;
}

void scheduler::start_task(unit& u, job_entry& entry, int index, worker& w, std::int64_t run,
                           time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    task_id id = u.first;
    id.index = index;
    const bool first_start = !job.has_begun();
    job.started(id, w.entry.id, run, now);
    start_order order;
    order.worker = w.entry.id;
    order.address = w.entry.address;
    order.task = to_string(id);
    order.run = run;
    order.payload = job.spec().payload;
    order.fence = fence_;
    order.until_ms = w.clock_at(now) + start_validity.count();
    if (spec.saves_progress || spec.gang) {
        order.checkpoint = job.find(id)->checkpoint;
    }
    const auto ticket = u.approved.find(w.entry.id);
    if (ticket != u.approved.end()) {
        order.ticket = ticket->second.text;
    }
    run_record record;
    record.task = id;
    record.run = run;
    record.allocated = capacity_used_by(spec);
    record.ordered_at = now;
    record.until_ms = order.until_ms;
    add_run(w, std::move(record));
    w.lease_expires_at = std::max(w.lease_expires_at, lease_end(now, start_validity));
    note(first_start ? decision_kind::begun : decision_kind::started, id.job, w.entry.id,
         order.task + " run " + std::to_string(run), to_millis(now - job.accepted()));
    starts_.push_back(std::move(order));
}

void scheduler::place_tasks(unit& u, job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    step_record& step = job.step_at(u.first.occurrence, u.first.step);
    std::vector<candidate> candidates = candidates_for(u, entry, now);
    std::vector<std::string> expired;
    for (int i = 0; i < spec.tasks && !candidates.empty(); ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase != task_phase::waiting) {
            continue;
        }
        const int pick = pick_for_task(candidates, capacity_used_by(spec),
                                       step.tasks[static_cast<std::size_t>(i)].failed_on);
        if (pick < 0) {
            break;
        }
        candidate& c = candidates[static_cast<std::size_t>(pick)];
        --c.fits;
        c.room -= capacity_used_by(spec);
        if (!c.ticket_good) {
            expired.push_back(c.where->entry.id);
            continue;
        }
        start_task(u, entry, i, *c.where, next_run(step, i), now);
    }
    if (!expired.empty() && !u.asking) {
        std::sort(expired.begin(), expired.end());
        expired.erase(std::unique(expired.begin(), expired.end()), expired.end());
        u.ask = expired;
    }
}

void scheduler::place(time_point now)
{
    if (!changed_) {
        return;
    }
    changed_ = false;
    held_back_.clear();
    held_back_total_ = {};
    gang_plans_ = 0;
    measure_room(now);
    for (unit* u : ranked_units(now)) {
        job_entry& entry = jobs_.find(u->first.job)->second;
        const step_spec& spec =
            entry.progress.spec().steps[static_cast<std::size_t>(u->first.step)];
        if (spec.gang) {
            place_gang(*u, entry, now);
        }
        else if (may_fit(capacity_used_by(spec))) {
            place_tasks(*u, entry, now);
        }
    }
}

} // namespace sesamesill::pool
