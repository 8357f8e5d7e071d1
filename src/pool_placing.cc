// The part of the scheduler that ranks waiting steps and starts their tasks.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::int64_t runs_per_fence = 1000; ///< number of run numbers per task and leader

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
    const auto observed = estimates_.find(queue);
    const double client_estimate = static_cast<double>(step.estimate.count());
    return observed != estimates_.end() ? expected_run_ms(observed->second, client_estimate)
                                        : client_estimate;
}

std::vector<double> scheduler::estimates_of(const job_spec& spec) const
{
    std::vector<double> all;
    for (const step_spec& s : spec.steps) {
        all.push_back(estimate_ms(spec.queue, s));
    }
    return all;
}

bool scheduler::may_start(const waiting_step& ws, time_point now) const
{
    return (unverified_workers_.empty() || !ws.inherited) && now >= ws.next_start_after &&
           ws.job->step_at(ws.first.occurrence, ws.first.step).waiting > 0;
}

/// Updates the step's rank inputs and expected run time. They change slowly, so this is done at
/// most once in `refresh_period`.
void scheduler::update_rank(waiting_step& ws, time_point now)
{
    constexpr millis refresh_period{500};
    if (ws.ranked != time_point() && now - ws.ranked < refresh_period) {
        return;
    }
    ws.ranked = now;
    const job_progress& job = *ws.job;
    const std::vector<double> estimates = estimates_of(job.spec());
    const job_size size = size_of(job.spec(), estimates);
    const job_size left = remaining_size(job, ws.first.occurrence, estimates);
    ws.run_ms = estimates[static_cast<std::size_t>(ws.first.step)];
    ws.rank.interrupted = job.spec().steps[static_cast<std::size_t>(ws.first.step)].long_running &&
                          (job.is_ordered() || ws.inherited);
    ws.rank.job_work = size.core_seconds;
    ws.rank.mean_work = estimates_[job.spec().queue].mean_work;
    ws.rank.remaining_work = left.core_seconds;
    ws.rank.remaining_chain_ms = left.chain_ms;
    if (ws.queue != nullptr) {
        ws.rank.priority = ws.queue->priority;
        ws.rank.objective_ms = sesamesill::pool::objective_ms(*ws.queue, size);
    }
}

std::vector<waiting_step*> scheduler::ranked_steps(time_point now)
{
    std::vector<waiting_step*> ranked;
    waiting_tasks_ = 0;
    urgent_waiting_tasks_ = 0;
    for (std::pair<const std::string, waiting_step>& named : waiting_steps_) {
        waiting_step& ws = named.second;
        if (!may_start(ws, now)) {
            continue;
        }
        update_rank(ws, now);
        const double waiting = ws.job->step_at(ws.first.occurrence, ws.first.step).waiting;
        waiting_tasks_ += waiting;
        urgent_waiting_tasks_ += ws.rank.priority == 0 ? waiting : 0;
        ws.rank.waited_ms = static_cast<double>(to_millis(now - ws.job->due(ws.first.occurrence)));
        ws.score = rank_of(ws.rank);
        ranked.push_back(&ws);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const waiting_step* a, const waiting_step* b) { return a->score > b->score; });
    return ranked;
}

bool scheduler::is_eligible(const worker& w, const step_spec& step, const queue_policy& queue,
                            time_point now) const
{
    return w.is_schedulable(now) && may_run(w.entry, step, queue);
}

/// Returns the eligible workers for the step: those with an approval, or all if the queue has no
/// advisor. If `min_room` is set, only those with at least that much room.
std::vector<worker*> scheduler::workers_for(const waiting_step& ws, const step_spec& step,
                                            const std::optional<resources>& min_room,
                                            time_point now) const
{
    std::vector<worker*> result;
    const auto add = [&](worker* w) {
        if (w != nullptr && (!min_room || fits(*min_room, w->room())) &&
            is_eligible(*w, step, *ws.queue, now)) {
            result.push_back(w);
        }
    };
    if (ws.queue->advice) {
        for (const std::pair<const worker_number, ticket>& t : ws.approved) {
            add(workers_by_number_[t.first]);
        }
        return result;
    }
    for (worker* w : workers_by_number_) {
        add(w);
    }
    return result;
}

/// Computes the largest free room and the schedulable capacity. Steps that fit nowhere are then
/// skipped without a check of each worker.
void scheduler::measure_room(time_point now)
{
    largest_room_ = {};
    schedulable_capacity_ = {};
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (!w.second.is_schedulable(now)) {
            continue;
        }
        const resources room = w.second.room();
        largest_room_.cpu_millis = std::max(largest_room_.cpu_millis, room.cpu_millis);
        largest_room_.memory_mb = std::max(largest_room_.memory_mb, room.memory_mb);
        largest_room_.accelerators = std::max(largest_room_.accelerators, room.accelerators);
        schedulable_capacity_ += w.second.entry.capacity;
    }
}

bool scheduler::may_fit(const resources& need) const
{
    return fits(need, largest_room_);
}

std::vector<candidate> scheduler::candidates_for(const waiting_step& ws, time_point now) const
{
    std::vector<candidate> result;
    const step_spec& step = ws.job->spec().steps[static_cast<std::size_t>(ws.first.step)];
    if (ws.queue == nullptr) {
        return result;
    }
    const resources need = capacity_used_by(step);
    const bool needs_ticket = ws.queue->advice.has_value();
    const time_point task_end = now + millis(static_cast<std::int64_t>(ws.run_ms));
    for (worker* w : workers_for(ws, step, need, now)) {
        int limit = step.tasks;
        if (step.max_per_worker > 0) {
            limit = std::min(limit, step.max_per_worker - active_on(*w, ws.first));
        }
        candidate c;
        c.target = w;
        c.room = w->room();
        const room_reservation& reservation = room_reservations_[w->number];
        if (task_end > reservation.until) {
            c.room -= reservation.amount;
        }
        c.fits = limit > 0 ? count_fitting(need, c.room, limit) : 0;
        c.ticket_valid = !needs_ticket || now < ws.approved.find(w->number)->second.until;
        c.preferred = !step.preferred_rack.empty() && w->entry.rack == step.preferred_rack;
        if (c.fits > 0) {
            result.push_back(c);
        }
    }
    return result;
}

std::int64_t scheduler::next_run(const step_record& step, int index) const
{
    // A predecessor may have used run numbers that no worker reports any more. The numbers of a
    // higher fence are greater than all of them.
    const std::int64_t floor = (static_cast<std::int64_t>(fence_) - 1) * runs_per_fence;
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

/// Returns how long a start order sent now stays valid. A worker that began to drain right after
/// the last read of the directory must not execute the order after its drain limit.
millis scheduler::order_validity(time_point now) const
{
    constexpr int margin_divisor = 20; ///< for the worker's clock and the time between its reports
    const millis unnoticed(to_millis(directory_lost_at_.value_or(now) - directory_read_at_));
    return std::min(start_validity,
                    bounds_.drain_limit - bounds_.drain_limit / margin_divisor - unnoticed);
}

/// Returns whether orders sent now would be valid long enough to reach their workers.
bool scheduler::may_send_starts(time_point now) const
{
    constexpr int min_validity_divisor = 8;
    return order_validity(now) >= bounds_.drain_limit / min_validity_divisor;
}

void scheduler::update_hold(time_point now)
{
    const bool held = !may_send_starts(now);
    if (held != starts_held_) {
        add_decision(held ? decision_kind::starts_held : decision_kind::starts_resumed, "", "",
                     "by the age of the last read of the worker directory");
        decisions_.back().directory_age_ms = directory_age(now).count();
    }
    starts_held_ = held;
}

/// Sets the expiry of a start order that is sent now, and the end of the lease that it grants.
/// Counts the send.
void scheduler::prepare_send(worker& w, run_record& run, start_order& order, time_point now)
{
    const millis validity = order_validity(now);
    const std::int64_t until_ms = w.clock_at(now) + validity.count();
    const bool restarted = run.sends > 0 && run.process_start_ms != w.process.start_time_ms;
    order.until_ms = restarted ? until_ms : std::max(order.until_ms, until_ms);
    if (run.sends == 0) {
        run.until_ms = order.until_ms;
    }
    else if (restarted) {
        run.until_ms.reset();
    }
    else if (run.until_ms) {
        run.until_ms = std::max(*run.until_ms, order.until_ms);
    }
    run.process_start_ms = w.process.start_time_ms;
    order.fence = w.fence;
    w.fence_used = true;
    run.fence = w.fence;
    ++run.sends;
    ++run.sends_in_flight;
    const lease_bound sent = sent_lease(w, lease_origin::start, validity, order.until_ms, now);
    const lease_bound longest = bound_of(lease_origin::start, now, bounds_.max_lease);
    for (worker_leases* leases : {&w.leases, &w.leases_before_poll}) {
        extend(leases->known, sent);
        extend(leases->restarted, longest);
    }
}

void scheduler::start_task(waiting_step& ws, int index, worker& w, std::int64_t run, time_point now)
{
    job_progress& job = *ws.job;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(ws.first.step)];
    task_id id = ws.first;
    id.index = index;
    const bool first_start = !job.is_ordered();
    job.started(id, w.entry.id, run, now);
    start_order order;
    order.worker = w.entry.id;
    order.address = w.entry.address;
    order.task = to_string(id);
    order.run = run;
    order.payload = job.spec().payload;
    if (spec.saves_progress || spec.gang) {
        order.checkpoint = job.find(id)->checkpoint;
    }
    const auto ticket = ws.approved.find(w.number);
    if (ticket != ws.approved.end()) {
        order.ticket = ticket->second.text;
    }
    run_record record;
    record.task = id;
    record.run = run;
    record.allocated = capacity_used_by(spec);
    record.ordered_at = now;
    prepare_send(w, record, order, now);
    add_start_decision(first_start ? decision_kind::begun : decision_kind::started, record,
                       w.entry.id, "", to_millis(now - job.accepted()), now);
    add_run(w, std::move(record));
    releases_[w.number].reset();
    start_rate_.add(1, now);
    starts_.push_back(std::move(order));
}

void scheduler::place_tasks(waiting_step& ws, std::size_t max_starts, time_point now)
{
    job_progress& job = *ws.job;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(ws.first.step)];
    step_record& step = job.step_at(ws.first.occurrence, ws.first.step);
    std::vector<candidate> candidates = candidates_for(ws, now);
    std::vector<worker_number> expired;
    for (int i = 0; i < spec.tasks && !candidates.empty() && max_starts > 0; ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase != task_phase::waiting) {
            continue;
        }
        const int pick = pick_candidate(candidates, capacity_used_by(spec),
                                        step.tasks[static_cast<std::size_t>(i)].failed_on);
        if (pick < 0) {
            break;
        }
        candidate& c = candidates[static_cast<std::size_t>(pick)];
        --c.fits;
        c.room -= capacity_used_by(spec);
        if (!c.ticket_valid) {
            expired.push_back(c.target->number);
            continue;
        }
        start_task(ws, i, *c.target, next_run(step, i), now);
        --max_starts;
    }
    if (!expired.empty() && !ws.advice_pending) {
        std::sort(expired.begin(), expired.end());
        expired.erase(std::unique(expired.begin(), expired.end()), expired.end());
        ws.next_call_workers = expired;
    }
}

void scheduler::place(time_point now, std::size_t max_starts)
{
    update_hold(now);
    if (!placing_needed_ || starts_held_) {
        return;
    }
    placing_needed_ = false;
    room_reservations_.assign(workers_by_number_.size(), {});
    releases_.assign(workers_by_number_.size(), std::nullopt);
    reserved_total_ = {};
    gang_plans_ = 0;
    measure_room(now);
    const std::size_t queued = starts_.size();
    for (waiting_step* ws : ranked_steps(now)) {
        const std::size_t started = starts_.size() - queued;
        if (started >= max_starts) {
            placing_needed_ = true;
            return;
        }
        const step_spec& spec = ws->job->spec().steps[static_cast<std::size_t>(ws->first.step)];
        if (spec.gang) {
            place_gang(*ws, now);
        }
        else if (may_fit(capacity_used_by(spec))) {
            place_tasks(*ws, max_starts - started, now);
        }
    }
}

} // namespace sesamesill::pool
