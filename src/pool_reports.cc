// What the scheduler learns from workers: answers to polls, ended runs and expired leases.

#include "sesamesill/pool_scheduler.h"

#include <algorithm>
#include <limits>

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<end_reason, 6> end_names{{{end_reason::done, "done"},
                                               {end_reason::failed, "failed"},
                                               {end_reason::stopped, "stopped"},
                                               {end_reason::lease_expired, "lapsed"},
                                               {end_reason::gang_broken, "broken"},
                                               {end_reason::gang_timed_out, "alone"}}};

constexpr millis stop_resend{500}; ///< interval at which a stop without an answer is sent again
constexpr std::size_t max_reported_ends = 500; ///< in one report; the next one has later ends

} // namespace

void scheduler::mark_verified(const std::string& id, const run_evidence& evidence)
{
    if (!shows_all_runs(evidence) || unverified_workers_.erase(id) == 0) {
        return;
    }
    placing_needed_ = true;
    if (evidence.source != evidence_source::report) {
        add_decision(decision_kind::worker_verified, "", id, std::string(name_of(evidence.source)));
        decisions_.back().lease = inherited_leases_;
    }
}

/// Handles the first answer of a worker to this leader. Its process has seen this leader's fence
/// and accepts no more orders of earlier leaders, which may have taken it for another process.
void scheduler::note_first_answer(worker& w, time_point now)
{
    const lease_bound inherited = bound_of(lease_origin::first_answer, now, bounds_.max_lease);
    if (inherited.end < w.leases.known.end) {
        w.leases.known = inherited;
    }
    w.heard = true;
    placing_needed_ = true;
}

/// Gives the orders to the worker a fence that no earlier one had, if a record was stored since the
/// last time.
void scheduler::raise_fence(worker& w)
{
    w.fence_outdated = w.fence_used && highest_fence_ <= w.fence;
    if (w.fence_used && !w.fence_outdated) {
        w.fence = highest_fence_;
        w.fence_used = false;
    }
}

/// Handles a sign that the worker's process may have been replaced: an order without an answer, an
/// answer by another clock, a newer entry. Orders without an answer may be executed later by the
/// next process, until it has seen a higher fence.
void scheduler::doubt_process(worker& w)
{
    w.process_known = false;
    w.fence_confirmed = false;
    raise_fence(w);
}

/// Handles a poll without a report. The worker may have taken the lease that it carried.
void scheduler::note_failed_poll(worker& w, const poll_order& order, time_point sent,
                                 order_verdict verdict, time_point now)
{
    if (verdict == order_verdict::not_sent || verdict == order_verdict::no_listener) {
        note_unsent_poll(w, order, sent, verdict);
    }
    else if (order.until_ms) {
        // It may have been executed until now, by a process that isn't known yet.
        extend(w.leases.restarted, bound_of(lease_origin::poll, now, bounds_.max_lease));
    }
    doubt_process(w);
}

/// Handles a poll that the worker has not seen, nor the lease that it carried.
void scheduler::note_unsent_poll(worker& w, const poll_order& order, time_point sent,
                                 order_verdict verdict)
{
    if (order.until_ms && order.until_ms == w.poll_until_ms) {
        w.leases = w.leases_before_poll;
        w.poll_until_ms.reset();
    }
    if (verdict == order_verdict::no_listener && w.is_draining() && !w.listed && !w.heard) {
        mark_verified(order.worker, {evidence_source::left_as_announced, sent});
    }
}

/// Forgets what is known of the worker's process, as the next one has answered.
void scheduler::replace_process(worker& w, std::int64_t start_time_ms,
                                std::uint64_t acknowledged_end, time_point now)
{
    add_decision(decision_kind::worker_restarted, "", w.entry.id,
                 "its process was restarted; ends up to " + std::to_string(acknowledged_end) +
                     " were acknowledged to the new one before it was known; orders carry fence " +
                     std::to_string(w.fence));
    decisions_.back().lease = w.last_lease();
    w.process = known_process();
    w.process.start_time_ms = start_time_ms;
    w.process.known_since = now;
    workers_with_ends_.erase(w.entry.id);
    for (std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        r.second.reported = false;
        r.second.percent = -1;
    }
    for (std::pair<const std::string, waiting_step>& ws : waiting_steps_) {
        const auto ticket = ws.second.approved.find(w.number);
        if (ticket != ws.second.approved.end()) { // issued for the previous process
            ticket->second.until = std::min(ticket->second.until, now);
        }
    }
    // A late start still carries an expiry by the previous process's clock, and the lease that it
    // grants is limited by the platform only.
    extend(w.leases.known, bound_of(lease_origin::restart, now, bounds_.max_lease));
    directory_wanted_ = true;
}

/// Notes which process of the worker answered a poll that was sent at `sent` and acknowledged ends
/// up to `acknowledged_end`.
void scheduler::note_process(worker& w, std::int64_t start_time_ms, std::uint64_t acknowledged_end,
                             time_point sent, time_point now)
{
    const std::int64_t previous_ms = w.process.start_time_ms;
    if (previous_ms == 0) {
        w.process.start_time_ms = start_time_ms;
        w.process.known_since = now;
    }
    else if (start_time_ms != previous_ms) {
        replace_process(w, start_time_ms, acknowledged_end, now);
    }
    else {
        w.process.dropped_end = std::max(w.process.dropped_end, acknowledged_end);
    }
    const bool names_process = w.entry.start_time_ms == start_time_ms;
    // Start times don't order the processes by themselves, as the time of day may be set back. But
    // no process answers a poll that was sent after a later one had written an entry.
    w.entry_outlived =
        !names_process && (start_time_ms > w.entry.start_time_ms ||
                           w.entry.start_time_ms == previous_ms || sent > w.entry_read_at);
    w.process_known = names_process || w.entry_outlived; // else a later one is listed
}

/// Logs a poll from which the fate of a run may have to be told later: what was acknowledged, and
/// what the answer listed.
void scheduler::log_poll(const worker& w, const poll_order& order, time_point sent,
                         order_verdict verdict, const worker_report& report, time_point now)
{
    const bool leaves = w.entry.draining || !w.listed;
    const bool only_known_ends =
        !report.ended.empty() && report.ended.back().number <= w.process.highest_end_seen;
    if (!leaves && !only_known_ends) {
        return;
    }
    std::string detail(name_of(verdict));
    detail += ", acknowledged " + std::to_string(order.acknowledged_end) + " with fence " +
              std::to_string(order.fence) + "; " + std::to_string(report.running.size()) +
              " running, " + std::to_string(report.ended.size()) + " ended";
    if (!report.ended.empty()) {
        detail += " from " + std::to_string(report.ended.front().number) + " to " +
                  std::to_string(report.ended.back().number);
    }
    detail += "; known to " + std::to_string(w.process.highest_end_seen);
    add_decision(decision_kind::worker_polled, "", w.entry.id, std::move(detail),
                 to_millis(now - sent));
}

/// Handles the ends of a report that aren't known yet, then the runs at work.
void scheduler::handle_rows(worker& w, const worker_report& report, time_point now)
{
    for (const ended_task& end : report.ended) {
        if (end.number > w.process.highest_end_seen) {
            w.process.highest_end_seen = end.number;
            workers_with_ends_.insert(w.entry.id);
            handle_end(w, end, now);
        }
    }
    for (const running_task& row : report.running) {
        handle_running(w, row, now);
    }
}

void scheduler::on_poll(const poll_order& order, time_point sent, order_verdict verdict,
                        const worker_report& report, time_point now)
{
    worker* w = find_worker(order.worker);
    if (w == nullptr) {
        return;
    }
    log_poll(*w, order, sent, verdict, report, now);
    if (verdict == order_verdict::fenced && order.fence == w->fence) {
        fenced_ = true;
        return;
    }
    if (verdict != order_verdict::accepted) {
        note_failed_poll(*w, order, sent, verdict, now);
    }
    if (verdict == order_verdict::replaced) {
        run_evidence evidence{evidence_source::other_incarnation, sent};
        evidence.complete = order.address == w->entry.address; // else it may have moved
        mark_worker_lost(*w, evidence, now);
        return;
    }
    if (verdict != order_verdict::accepted) {
        return;
    }
    // Start times don't order the processes, as the time of day may be set back in between.
    if (report.start_time_ms != w->process.start_time_ms && sent < w->process.clock_read_at) {
        return; // a delayed answer of the worker's previous process
    }
    w->last_answer = now;
    if (w->lost) {
        w->lost = false;
        placing_needed_ = true;
    }
    if (!w->heard) {
        note_first_answer(*w, now);
    }
    const bool refuses_earlier = order.first_of_fence && order.fence == w->fence;
    if (refuses_earlier) {
        w->fence_confirmed = true;
        placing_needed_ = true;
    }
    else if (report.start_time_ms != w->process.start_time_ms) {
        doubt_process(*w);
    }
    note_process(*w, report.start_time_ms, order.acknowledged_end, sent, now);
    w->process.clock_ms = report.clock_ms;
    w->process.clock_read_at = now;
    handle_rows(*w, report, now);
    run_evidence evidence{evidence_source::report, sent, report.start_time_ms, report.clock_ms};
    evidence.fence = refuses_earlier ? order.fence : 0;
    evidence.complete = report.ended.size() < max_reported_ends; // else the next report has more
    release_missing_runs(*w, report, evidence, now);
    mark_verified(order.worker, evidence);
    update_progress_rate(*w, report, now);
}

void scheduler::handle_end(worker& w, const ended_task& end, time_point now)
{
    const auto run = w.runs.find({end.task, end.run});
    const bool adopted = run != w.runs.end() && run->second.adopted;
    const bool had_run = drop_run(w, end.task, end.run);
    placing_needed_ = true;
    const std::optional<task_id> id = task_id_from(end.task);
    const auto known = id ? jobs_.find(id->job) : jobs_.end();
    if (id && ended_jobs_.find(id->job) != nullptr) {
        return;
    }
    if (known == jobs_.end()) {
        add_decision(decision_kind::end_ignored, id ? id->job : "", w.entry.id,
                     end.task + ": no such job");
        return;
    }
    job_entry& entry = known->second;
    if (is_final(entry.progress.state())) {
        return;
    }
    note_outcome(w, id->job, end.how, now);
    task_record* task = entry.progress.find(*id);
    if (task == nullptr) {
        return; // the job has no such task, or all tasks of its occurrence are done
    }
    add_decision(decision_kind::ended, id->job, w.entry.id,
                 end.task + " run " + std::to_string(end.run) + ": " +
                     std::string(name_in(end_names, end.how)),
                 task->phase != task_phase::waiting ? to_millis(now - task->started) : 0);
    const bool current = had_run && task->run == end.run && task->worker == w.entry.id &&
                         task->phase != task_phase::done && task->phase != task_phase::waiting;
    if (current && end.how == end_reason::done && !adopted && !step_of(*id)->long_running) {
        queue_estimate& estimate = estimates_[entry.progress.spec().queue];
        update_mean(estimate.mean_run_ms, estimate.runs,
                    static_cast<double>(to_millis(now - task->started)));
    }
    handle_task_end(w, entry, *id, end, current, now);
    update_waiting_count(entry);
}

/// Updates the worker's health by the end of a run of the job.
void scheduler::note_outcome(worker& w, const std::string& job, end_reason how, time_point now)
{
    if (how != end_reason::done && how != end_reason::failed) {
        return;
    }
    update_health(w.process.health, job, how == end_reason::failed, now);
    if (w.process.health.avoid_until > now && how == end_reason::failed) {
        add_decision(decision_kind::worker_avoided, "", w.entry.id, "runs fail one after the other",
                     to_millis(w.process.health.avoid_until - now));
    }
}

void scheduler::handle_task_end(worker& w, job_entry& entry, const task_id& id,
                                const ended_task& end, bool current, time_point now)
{
    job_progress& job = entry.progress;
    task_record& task = *job.find(id);
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(id.step)];
    task.run = std::max(task.run, end.run);
    if (!end.checkpoint.empty()) {
        keep_checkpoint(entry, task, end.checkpoint);
        job.mark_unsaved(id);
        dirty_.insert(id.job);
    }
    if (end.how == end_reason::done && !spec.long_running) {
        if (!current) {
            stop_task(id, now); // another run of the task is still active
        }
        if (task.phase != task_phase::done) {
            job.finish(id);
        }
        dirty_.insert(id.job);
        waiting_steps_.erase(job.is_step_done(id.occurrence, id.step) ? step_name(id)
                                                                      : std::string());
        update_charge(entry);
        if (is_final(job.state())) {
            finish_job(entry, now);
        }
        else {
            add_ready_steps(entry, id.occurrence, now);
        }
        return;
    }
    if (current) {
        release_task(entry, id, now);
    }
    if (end.how == end_reason::failed) {
        dirty_.insert(id.job);
        task.failed_on.insert(w.id());
        const std::optional<int> limit = max_attempts_of(entry);
        if (job.fail(id, end.run, limit.value_or(std::numeric_limits<int>::max()))) {
            finish_job(entry, now);
            return;
        }
        update_charge(entry);
    }
    // Once a member of a gang has ended, the other members end as `gang_broken` without being
    // stopped.
}

/// Makes a run that this leader didn't start the current one of its task, or stops it.
void scheduler::take_over_run(job_entry& entry, worker& w, run_record& run, time_point now)
{
    job_progress& job = entry.progress;
    const task_record& task = *job.find(run.task);
    const std::string name = to_string(run.task);
    const bool failed = task.failed_runs.count(run.run) > 0;
    if (task.phase == task_phase::waiting) {
        add_decision(failed ? decision_kind::stopped : decision_kind::run_adopted, run.task.job,
                     w.entry.id, name);
        job.adopt(run.task, w.entry.id, run.run, now);
        if (failed) {
            job.stopping(run.task);
            send_stop(w, run, now);
        }
        return;
    }
    // A predecessor starts a higher run only once it knows that the lower one has ended. Its end
    // may not have been reported to this leader yet.
    const bool follows = !failed && run.run > task.run && task.phase != task_phase::done &&
                         task.phase != task_phase::stopping;
    if (!follows) {
        add_decision(decision_kind::stopped, run.task.job, w.entry.id,
                     name + ": no task needs this run");
        surplus_runs_.emplace(name, std::make_pair(w.entry.id, run.run));
        send_stop(w, run, now);
        return;
    }
    const std::int64_t earlier_run = task.run;
    worker* earlier_worker = find_worker(task.worker);
    job.adopt(run.task, w.entry.id, run.run, now);
    add_decision(decision_kind::run_adopted, run.task.job, w.entry.id,
                 name + ": follows run " + std::to_string(earlier_run));
    if (earlier_worker == nullptr) {
        return;
    }
    const auto earlier = earlier_worker->runs.find({name, earlier_run});
    if (earlier != earlier_worker->runs.end()) {
        surplus_runs_.emplace(name, std::make_pair(earlier_worker->entry.id, earlier_run));
        send_stop(*earlier_worker, earlier->second, now);
    }
}

/// Handles a reported run that this leader didn't start.
void scheduler::handle_unknown_run(worker& w, const running_task& row, time_point now)
{
    const std::optional<task_id> id = task_id_from(row.task);
    const auto known = id ? jobs_.find(id->job) : jobs_.end();
    run_record reported;
    reported.task = id.value_or(task_id{row.task, 0, 0, 0});
    reported.run = row.run;
    reported.phase = run_phase::running;
    reported.ordered_at = now;
    reported.confirmed_at = now;
    reported.process_start_ms = w.process.start_time_ms;
    reported.adopted = true;
    reported.reported = true;
    // A run whose step isn't known may use all the capacity that is left on the worker.
    reported.allocated = capacity_of(reported.task).value_or(w.room());
    add_run(w, reported);
    run_record& run = w.runs.find({row.task, row.run})->second;
    const bool has_task = known != jobs_.end() && known->second.progress.has_task(*id) &&
                          !known->second.progress.is_complete(id->occurrence);
    if (!has_task || is_final(known->second.progress.state())) {
        add_decision(decision_kind::stopped, id ? id->job : "", w.entry.id,
                     row.task + ": no task needs this run");
        send_stop(w, run, now);
        return;
    }
    known->second.progress.open(id->occurrence); // a predecessor opened it
    update_charge(known->second);
    take_over_run(known->second, w, run, now);
    update_waiting_count(known->second);
}

/// Keeps a newer checkpoint of the task. If there is no memory for it, the earlier one stays: it's
/// valid as well.
void scheduler::keep_checkpoint(job_entry& entry, task_record& task, const std::string& checkpoint)
{
    const std::size_t known = checkpoint_bytes(task.checkpoint.size());
    const std::size_t needed = checkpoint_bytes(checkpoint.size());
    if (needed > known && !memory_->fits(needed - known)) {
        return;
    }
    entry.progress.set_checkpoint(task, checkpoint);
    if (needed != known) {
        update_charge(entry);
    }
}

void scheduler::handle_running(worker& w, const running_task& row, time_point now)
{
    const auto run = w.runs.find({row.task, row.run});
    if (run == w.runs.end()) {
        handle_unknown_run(w, row, now);
        return;
    }
    if (!run->second.confirmed_at) {
        run->second.confirmed_at = now;
    }
    const bool restarted = run->second.process_start_ms != w.process.start_time_ms;
    run->second.reported = true;
    run->second.process_start_ms = w.process.start_time_ms;
    if (restarted && run->second.phase == run_phase::stop_acknowledged) {
        send_stop(w, run->second, now); // a late send began it at the next process
    }
    const auto known = jobs_.find(run->second.task.job);
    if (known == jobs_.end()) {
        return;
    }
    task_record* task = known->second.progress.find(run->second.task);
    if (task == nullptr || task->run != row.run || task->worker != w.entry.id) {
        return;
    }
    if (run->second.phase == run_phase::starting) {
        run->second.phase = run_phase::running;
        known->second.progress.confirm(run->second.task);
        update_waiting_count(known->second);
    }
    if (row.percent > task->percent) {
        task->percent = row.percent;
        task->advanced = now;
    }
    if (!row.checkpoint.empty()) {
        keep_checkpoint(known->second, *task, row.checkpoint);
    }
}

/// Settles the runs that the worker's report doesn't list.
void scheduler::release_missing_runs(worker& w, const worker_report& report,
                                     const run_evidence& evidence, time_point now)
{
    std::set<std::pair<std::string, std::int64_t>> listed;
    for (const running_task& row : report.running) {
        listed.insert({row.task, row.run});
    }
    std::vector<std::pair<std::string, std::int64_t>> missing;
    for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        if (listed.count(r.first) == 0) {
            missing.push_back(r.first);
        }
    }
    for (const std::pair<std::string, std::int64_t>& key : missing) {
        settle_run(w, w.runs.find(key)->second, evidence, now);
    }
}

void scheduler::mark_worker_lost(worker& w, const run_evidence& evidence, time_point now)
{
    if (!shows_worker_gone(w, evidence)) {
        return;
    }
    if (!w.lost) {
        add_decision(decision_kind::worker_lost, "", w.entry.id,
                     std::string(name_of(evidence.source)), to_millis(now - w.last_answer));
        decisions_.back().lease = w.last_lease();
    }
    w.lost = true;
    w.heard = false;
    while (!w.runs.empty()) {
        const run_record run = w.runs.begin()->second;
        release_run(w, run, evidence.source, now);
    }
    mark_verified(w.entry.id, evidence);
    placing_needed_ = true;
}

void scheduler::tick(time_point now)
{
    open_due_occurrences(now);
    for (std::pair<const std::string, worker>& entry : workers_) {
        worker& w = entry.second;
        for (std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
            if (r.second.phase == run_phase::stopping && now - r.second.ordered_at > stop_resend) {
                send_stop(w, r.second, now);
            }
        }
        clear_leaving_worker(w, now);
        if (!w.lost && !w.is_responsive(now) && now > w.last_lease().end) {
            mark_worker_lost(w, {evidence_source::lease_expired, now}, now);
        }
    }
    if (!unverified_workers_.empty() && now > inherited_leases_.end) {
        while (!unverified_workers_.empty()) {
            const std::string id = *unverified_workers_.begin();
            mark_verified(id, {evidence_source::lease_expired, now});
        }
    }
    for (auto w = workers_.begin(); w != workers_.end();) {
        const bool removable = !w->second.listed && w->second.runs.empty() &&
                               (w->second.lost || now > w->second.last_lease().end);
        if (removable) {
            mark_verified(w->first, {evidence_source::lease_expired, now});
            workers_with_ends_.erase(w->first);
            roster_.remove(w->first);
            workers_by_number_[w->second.number] = nullptr;
        }
        w = removable ? workers_.erase(w) : std::next(w);
    }
    placing_needed_ = placing_needed_ || !waiting_steps_.empty();
}

/// Returns the bound of a lease that is sent now. A new process may take it for the longest one, as
/// its clock has started anew.
lease_bound scheduler::sent_lease(const worker& w, lease_origin origin, millis length,
                                  std::int64_t until_ms, time_point now) const
{
    lease_bound bound =
        bound_of(origin, now, w.process_known ? length : std::max(length, bounds_.max_lease));
    bound.process_start_ms = w.process_known ? w.process.start_time_ms : 0;
    bound.until_ms = until_ms;
    return bound;
}

std::optional<poll_order> scheduler::next_poll(const std::string& id, millis wait, time_point now)
{
    worker* w = find_worker(id);
    if (w == nullptr) {
        return std::nullopt;
    }
    poll_order order;
    order.worker = id;
    order.address = w->entry.address;
    if (!w->fence_confirmed) {
        raise_fence(*w);
    }
    order.fence = w->fence;
    order.first_of_fence = !w->fence_used;
    w->fence_used = true;
    order.acknowledged_end = w->end_to_acknowledge();
    order.wait = wait;
    if (!w->listed && !w->unlisted_since) {
        w->unlisted_since = now;
    }
    if (w->process.clock_ms && w->is_responsive(now) && w->is_lease_renewable(now)) {
        const millis length = granted_lease(bounds_);
        order.until_ms = w->clock_at(now) + length.count();
        w->leases_before_poll = w->leases;
        w->poll_until_ms = order.until_ms;
        const lease_bound sent = sent_lease(*w, lease_origin::poll, length, *order.until_ms, now);
        extend(w->leases.known, sent);
        extend(w->leases.restarted, bound_of(lease_origin::poll, now, bounds_.max_lease));
    }
    return order;
}

} // namespace sesamesill::pool
