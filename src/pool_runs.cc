// Answers to orders: starts that are refused or get no answer, and stops. Releases the capacity of
// runs that have ended.

#include <algorithm>

#include "sesamesill/names.h"
#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<order_verdict, 12> verdict_names{{{order_verdict::accepted, "obeyed"},
                                                       {order_verdict::fenced, "fenced"},
                                                       {order_verdict::superseded, "superseded"},
                                                       {order_verdict::expired, "late"},
                                                       {order_verdict::no_room, "no_room"},
                                                       {order_verdict::no_ticket, "no_ticket"},
                                                       {order_verdict::unhealthy, "unhealthy"},
                                                       {order_verdict::replaced, "replaced"},
                                                       {order_verdict::invalid, "invalid"},
                                                       {order_verdict::not_sent, "not_sent"},
                                                       {order_verdict::no_listener, "no_listener"},
                                                       {order_verdict::unknown, "unknown"}}};

constexpr int start_attempts = 3;        ///< sends of a start without an answer before its stop
constexpr millis unhealthy_pause{1500};  ///< a worker that refused as unhealthy gets no new runs
constexpr millis unreachable_pause{700}; ///< a worker without connection or room gets no new runs
constexpr millis refusal_pause{200};     ///< delays a step whose start was invalid and may be again

} // namespace

std::string_view name_of(order_verdict verdict)
{
    return name_in(verdict_names, verdict);
}

void scheduler::send_stop(worker& w, run_record& run, time_point now)
{
    run.phase = run_phase::stopping;
    run.ordered_at = now;
    run.process_start_ms = w.process.start_time_ms;
    stops_.push_back(
        {w.entry.id, w.entry.address, to_string(run.task), run.run, w.fence, run.process_start_ms});
}

void scheduler::stop_task(const task_id& id, time_point now)
{
    const auto known = jobs_.find(id.job);
    task_record* task = known != jobs_.end() ? known->second.progress.find(id) : nullptr;
    if (task == nullptr || task->worker.empty() ||
        (task->phase != task_phase::starting && task->phase != task_phase::running)) {
        return;
    }
    worker* w = find_worker(task->worker);
    if (w == nullptr) {
        return;
    }
    const auto run = w->runs.find({to_string(id), task->run});
    if (run == w->runs.end() || run->second.phase == run_phase::stopping ||
        run->second.phase == run_phase::stop_acknowledged) {
        return;
    }
    stop_run(*w, run->second, now);
}

/// Stops a run and its task. May be called again, for the next process of the worker.
void scheduler::stop_run(worker& w, run_record& run, time_point now)
{
    const auto known = jobs_.find(run.task.job);
    const task_record* task =
        known != jobs_.end() ? known->second.progress.find(run.task) : nullptr;
    const bool current = task != nullptr && task->worker == w.entry.id && task->run == run.run;
    if (current && (task->phase == task_phase::starting || task->phase == task_phase::running)) {
        known->second.progress.stopping(run.task);
    }
    send_stop(w, run, now);
    add_decision(decision_kind::stopped, run.task.job, w.entry.id, to_string(run.task));
}

/// Stops the runs of a worker that may leave soon. The answer with the last ends of a worker is
/// lost if it leaves right after it, and its silence doesn't tell which runs were done. So none may
/// be at work by then, and each end is reported while the worker still answers.
void scheduler::clear_leaving_worker(worker& w, time_point now)
{
    // Covers the stop order, the pause between two ticks, and the poll that reports the end.
    constexpr millis report_time{250};
    if (!w.is_draining() || !w.heard || w.lost ||
        now < w.leaves_after - bounds_.stop_timeout - report_time) {
        return;
    }
    int stopped = 0;
    for (std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        if (r.second.phase == run_phase::starting || r.second.phase == run_phase::running) {
            stop_run(w, r.second, now);
            ++stopped;
        }
    }
    if (stopped > 0) {
        add_decision(decision_kind::worker_cleared, "", w.entry.id,
                     std::to_string(stopped) + " runs are stopped before it may leave",
                     w.leaves_after > time_point() ? to_millis(now - w.leaves_after) : 0);
    }
}

/// Releases or stops a run that the evidence doesn't name as running or ended.
void scheduler::settle_run(worker& w, run_record& run, const run_evidence& evidence, time_point now)
{
    switch (fate_of(run, evidence)) {
    case run_fate::may_run:
        break;
    case run_fate::may_begin:
        run.confirmed_at.reset(); // what the worker's previous process confirmed is over
        run.reported = false;
        stop_run(w, run, now);
        break;
    case run_fate::over:
        release_run(w, run, evidence.source, now);
        break;
    }
}

/// Removes a run that has ended from its worker; returns whether it was known.
bool scheduler::drop_run(worker& w, const std::string& task, std::int64_t run)
{
    const auto surplus = surplus_runs_.equal_range(task);
    for (auto s = surplus.first; s != surplus.second; ++s) {
        if (s->second == std::make_pair(w.entry.id, run)) {
            surplus_runs_.erase(s);
            break;
        }
    }
    return remove_run(w, task, run);
}

/// Returns a task whose current run has ended to the waiting phase. While another run of it is
/// being stopped, that one becomes the current run, so that no third run starts beside it.
void scheduler::release_task(job_entry& entry, const task_id& id, time_point now)
{
    const auto surplus = surplus_runs_.find(to_string(id));
    if (surplus == surplus_runs_.end()) {
        entry.progress.release(id);
        return;
    }
    entry.progress.adopt(id, surplus->second.first, surplus->second.second, now);
    entry.progress.stopping(id);
    surplus_runs_.erase(surplus);
}

/// Names the other runs of the run's task that may be at work: the current one and surplus runs.
std::string scheduler::other_runs_of(const run_record& run)
{
    std::string others;
    const auto add = [&](const std::string& on, std::int64_t number) {
        if (number != run.run && !on.empty()) {
            others.append(" ").append(std::to_string(number)).append(" on ").append(on);
        }
    };
    const auto known = jobs_.find(run.task.job);
    const task_record* task =
        known != jobs_.end() ? known->second.progress.find(run.task) : nullptr;
    if (task != nullptr && task->phase != task_phase::done) {
        add(task->worker, task->run);
    }
    const auto surplus = surplus_runs_.equal_range(to_string(run.task));
    for (auto s = surplus.first; s != surplus.second; ++s) {
        add(s->second.first, s->second.second);
    }
    return others.empty() ? "no other run is known" : "other runs:" + others;
}

/// Frees the capacity of a run. Its task becomes waiting unless it has another run.
void scheduler::release_run(worker& w, const run_record& run, evidence_source evidence,
                            time_point now)
{
    const run_record copy = run;
    add_decision(
        decision_kind::run_released, copy.task.job, w.entry.id,
        to_string(copy.task) + " run " + std::to_string(copy.run) + ", sent " +
            std::to_string(copy.sends) + " times, " + std::to_string(copy.sends_in_flight) +
            " without an answer so far, last with fence " + std::to_string(copy.fence) +
            " to process " + std::to_string(copy.process_start_ms) + "; " + other_runs_of(copy),
        to_millis(now - copy.ordered_at));
    decisions_.back().evidence = evidence;
    decisions_.back().lease = w.last_lease();
    drop_run(w, to_string(copy.task), copy.run);
    placing_needed_ = true;
    const auto known = jobs_.find(copy.task.job);
    if (known == jobs_.end()) {
        return;
    }
    task_record* task = known->second.progress.find(copy.task);
    const bool current = task != nullptr && task->worker == w.entry.id && task->run == copy.run &&
                         task->phase != task_phase::waiting && task->phase != task_phase::done;
    if (current) {
        release_task(known->second, copy.task, now);
        restart_gang_if_broken(known->second, copy.task, now);
    }
}

/// Stops the other members of a gang that has lost one, so that all members start again together.
void scheduler::restart_gang_if_broken(job_entry& entry, const task_id& id, time_point now)
{
    const step_spec& spec = entry.progress.spec().steps[static_cast<std::size_t>(id.step)];
    if (!spec.gang || is_final(entry.progress.state())) {
        return;
    }
    task_id other = id;
    for (other.index = 0; other.index < spec.tasks; ++other.index) {
        stop_task(other, now);
    }
}

void scheduler::on_start(const start_order& order, order_verdict verdict, std::int64_t clock_ms,
                         time_point now)
{
    worker* w = find_worker(order.worker);
    if (w == nullptr) {
        return;
    }
    const auto known = w->runs.find({order.task, order.run});
    if (known == w->runs.end()) {
        return;
    }
    run_record& run = known->second;
    --run.sends_in_flight;
    if (verdict != order_verdict::not_sent && verdict != order_verdict::no_listener) {
        // It may have been executed until now, by a process that isn't known yet. A worker takes
        // the lease of a start also if it refuses it for want of room, or as the run has ended.
        const lease_bound longest = bound_of(lease_origin::start, now, bounds_.max_lease);
        extend(w->leases.restarted, longest);
        extend(w->leases_before_poll.restarted, longest);
    }
    if (verdict == order_verdict::accepted) {
        if (order.attempts > 1) {
            add_start_decision(decision_kind::start_confirmed, run, order.worker,
                               ": attempt " + std::to_string(order.attempts),
                               to_millis(now - run.ordered_at), now);
        }
        w->last_answer = now;
        // The answer doesn't name its process, so it may be of the previous one: only reports set
        // the clock.
        if (clock_ms > 0 && clock_ms < w->process.clock_ms.value_or(0)) {
            doubt_process(*w);
        }
        if (!run.confirmed_at && run.phase == run_phase::starting) {
            run.confirmed_at = now;
            if (clock_ms > 0 && order.checkpoint.empty()) {
                run.percent = 0; // a run with a checkpoint is compared from the first poll on
                run.percent_clock_ms = clock_ms;
            }
        }
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::running;
            const auto job = jobs_.find(run.task.job);
            if (job != jobs_.end()) {
                job->second.progress.confirm(run.task);
                update_waiting_count(job->second);
            }
        }
        return;
    }
    add_decision(decision_kind::start_failed, run.task.job, order.worker,
                 order.task + ": " + std::string(name_of(verdict)) + ", attempt " +
                     std::to_string(order.attempts),
                 to_millis(now - run.ordered_at));
    if (run.phase != run_phase::starting) {
        return; // it is being stopped, or its worker has reported it in the meantime
    }
    handle_start_refusal(*w, run, order, verdict, now);
}

/// Sends the start again, stops the run or releases it, depending on why the start failed.
void scheduler::handle_start_refusal(worker& w, run_record& run, const start_order& order,
                                     order_verdict verdict, time_point now)
{
    switch (verdict) {
    case order_verdict::unknown:
        if (order.attempts < start_attempts) {
            // The choice of the worker rests on what was known of the process at that time.
            const bool same_process = run.process_start_ms == w.process.start_time_ms;
            if (!same_process || !w.is_schedulable(now) || !may_send_starts(now)) {
                return; // the next poll tells whether the worker has begun the run
            }
            start_order resend = order;
            prepare_send(w, run, resend, now);
            add_start_decision(decision_kind::start_repeated, run, order.worker,
                               ": attempt " + std::to_string(order.attempts + 1),
                               to_millis(now - run.ordered_at), now);
            starts_.push_back(std::move(resend));
            return;
        }
        stop_task(run.task, now);
        return;
    case order_verdict::not_sent:
    case order_verdict::no_listener:
        w.process.health.avoid_until =
            std::max(w.process.health.avoid_until, now + unreachable_pause);
        break;
    case order_verdict::superseded:
        // The run has begun by an earlier send and has ended since. The next poll reports that.
        run.phase = run_phase::running;
        run.confirmed_at = run.confirmed_at.value_or(now);
        return;
    case order_verdict::fenced:
        fenced_ = fenced_ || order.fence == w.fence; // else a later order of this leader was first
        break;
    case order_verdict::unhealthy:
        w.process.health.avoid_until =
            std::max(w.process.health.avoid_until, now + unhealthy_pause);
        break;
    case order_verdict::no_room:
        w.process.health.avoid_until =
            std::max(w.process.health.avoid_until, now + unreachable_pause);
        break;
    default: {
        const auto ws = waiting_steps_.find(step_name(run.task));
        if (ws != waiting_steps_.end()) {
            const bool had_ticket = ws->second.approved.erase(w.number) > 0;
            if (verdict != order_verdict::no_ticket || !had_ticket) {
                ws->second.next_start_after = now + refusal_pause;
            }
        }
        break;
    }
    }
    run_evidence refusal{evidence_source::start_refusal, now};
    refusal.complete = order.attempts <= 1; // else the worker may have executed an earlier send
    settle_run(w, run, refusal, now);
}

void scheduler::on_stop(const stop_order& order, order_verdict verdict, time_point now)
{
    worker* w = find_worker(order.worker);
    if (w == nullptr) {
        return;
    }
    fenced_ = fenced_ || (verdict == order_verdict::fenced && order.fence == w->fence);
    const auto known = w->runs.find({order.task, order.run});
    if (known == w->runs.end()) {
        return;
    }
    const bool accepted =
        verdict == order_verdict::accepted || verdict == order_verdict::superseded;
    // A delayed answer may be of the worker's previous process.
    const bool by_known_process = order.process_start_ms == known->second.process_start_ms;
    if (accepted && by_known_process && known->second.phase == run_phase::stopping) {
        known->second.phase = run_phase::stop_acknowledged;
        known->second.stop_acknowledged_at = now;
    }
}

} // namespace sesamesill::pool
