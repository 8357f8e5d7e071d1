// Workers as the scheduler hears of them: entries, looks, ends, leases that run out.

#include "sesamesill/pool_scheduler.h"

#include <algorithm>

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<end_reason, 6> end_names{{{end_reason::done, "done"},
                                               {end_reason::failed, "failed"},
                                               {end_reason::stopped, "stopped"},
                                               {end_reason::lease_expired, "lapsed"},
                                               {end_reason::gang_broken, "broken"},
                                               {end_reason::gang_timed_out, "alone"}}};

constexpr millis lease_length{5000}; ///< within the platform's longest lease
constexpr millis stop_resend{500};   ///< a stop without an answer is repeated

} // namespace

void scheduler::mark_verified(const std::string& id)
{
    if (unverified_workers_.erase(id) > 0) {
        placing_needed_ = true;
    }
}

void scheduler::list_worker(const worker_entry& entry, time_point now)
{
    for (std::pair<const std::string, worker>& other : workers_) {
        const bool same_machine = !entry.machine.empty() &&
                                  other.second.entry.machine == entry.machine &&
                                  other.first != entry.id;
        if (same_machine && other.second.entry.start_time_ms < entry.start_time_ms &&
            !other.second.lost) {
            lose_worker(other.second, "its machine runs a new incarnation", now);
        }
    }
    const auto known = workers_.find(entry.id);
    if (known == workers_.end()) {
        worker w;
        w.entry = entry;
        w.listed_at = now;
        w.last_answer = now;
        w.gone_at = lease_end(now, bounds_.max_lease);
        workers_.emplace(entry.id, std::move(w));
        if (unverified_workers_.count(undiscovered_workers) > 0) {
            unverified_workers_.insert(entry.id); // the predecessor may have used it
        }
        std::string labels;
        for (const std::string& l : entry.labels) {
            labels.append(" ").append(l);
        }
        add_decision(decision_kind::worker_joined, "", entry.id, entry.data_center + labels);
    }
    else {
        worker& w = known->second;
        if (entry.draining && !w.entry.draining) {
            add_decision(decision_kind::worker_drains, "", entry.id, "by its own report");
        }
        const std::int64_t born_before = w.entry.start_time_ms;
        w.entry = entry;
        w.listed = true;
        if (born_before != 0 && entry.start_time_ms < born_before) {
            w.entry.start_time_ms = born_before;
        }
    }
    placing_needed_ = true;
}

void scheduler::unlist_worker(const std::string& id)
{
    worker* w = find_worker(id);
    if (w != nullptr && w->listed) {
        w->listed = false;
        add_decision(decision_kind::worker_left, "", id, "its entry is gone");
    }
}

void scheduler::on_poll(const poll_order& order, time_point sent, order_verdict verdict,
                        const worker_report& report, time_point now)
{
    worker* w = find_worker(order.worker);
    if (w == nullptr) {
        return;
    }
    if (verdict == order_verdict::fenced) {
        fenced_ = true;
        return;
    }
    if (verdict == order_verdict::not_sent && !w->listed && !w->heard) {
        mark_verified(order.worker);
    }
    if (verdict == order_verdict::replaced) {
        lose_worker(*w, "another incarnation answers at its address", now);
        return;
    }
    if (verdict != order_verdict::accepted) {
        return;
    }
    if (report.start_time_ms < w->heard_born_ms) {
        return; // a late answer of the process before
    }
    w->last_answer = now;
    w->clock_ms = report.clock_ms;
    w->clock_read = now;
    if (w->heard_born_ms != 0 && report.start_time_ms > w->heard_born_ms) {
        add_decision(decision_kind::worker_restarted, "", order.worker, "same name, a new process");
        w->listed_end = 0;
        w->noted_end = 0;
    }
    w->heard_born_ms = report.start_time_ms;
    w->entry.start_time_ms = std::max(w->entry.start_time_ms, report.start_time_ms);
    if (w->lost) {
        w->lost = false;
        placing_needed_ = true;
    }
    if (!w->heard) {
        w->heard = true;
        placing_needed_ = true;
    }
    for (const ended_task& end : report.ended) {
        if (end.number > w->listed_end) {
            w->listed_end = end.number;
            handle_end(*w, end, now);
        }
    }
    for (const running_task& row : report.running) {
        handle_running(*w, row, now);
    }
    release_missing_runs(*w, report, sent, now);
    update_progress_rate(*w, report, now);
    mark_verified(order.worker);
}

void scheduler::handle_end(worker& w, const ended_task& end, time_point now)
{
    const auto run = w.runs.find({end.task, end.run});
    const bool adopted = run != w.runs.end() && run->second.adopted;
    const bool had_run = remove_run(w, end.task, end.run);
    placing_needed_ = true;
    const std::optional<task_id> id = task_id_from(end.task);
    const auto known = id ? jobs_.find(id->job) : jobs_.end();
    if (known == jobs_.end()) {
        add_decision(decision_kind::end_ignored, id ? id->job : "", w.entry.id,
                     end.task + ": no such job");
        return;
    }
    job_entry& entry = known->second;
    task_record* task = entry.progress.find(*id);
    if (task == nullptr || is_final(entry.progress.state())) {
        return;
    }
    add_decision(decision_kind::ended, id->job, w.entry.id,
                 end.task + " run " + std::to_string(end.run) + ": " +
                     std::string(name_in(end_names, end.how)),
                 task->phase != task_phase::waiting ? to_millis(now - task->started) : 0);
    const bool current = had_run && task->run == end.run && task->worker == w.entry.id &&
                         task->phase != task_phase::done && task->phase != task_phase::waiting;
    if (current && end.how == end_reason::done && !adopted && !step_of(*id)->long_running) {
        queue_estimate& observed = estimates_[entry.progress.spec().queue];
        update_mean(observed.mean_run_ms, observed.runs,
                    static_cast<double>(to_millis(now - task->started)));
    }
    handle_end_of_job(w, entry, *id, end, current, now);
}

void scheduler::handle_end_of_job(worker& w, job_entry& entry, const task_id& id,
                                  const ended_task& end, bool current, time_point now)
{
    job_progress& job = entry.progress;
    task_record& task = *job.find(id);
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(id.step)];
    task.run = std::max(task.run, end.run);
    if (!end.checkpoint.empty()) {
        task.checkpoint = end.checkpoint;
        dirty_.insert(id.job);
    }
    if (end.how == end_reason::done || end.how == end_reason::failed) {
        judge_end(w.health, id.job, end.how == end_reason::failed, now);
        if (w.health.avoid_until > now && end.how == end_reason::failed) {
            add_decision(decision_kind::worker_avoided, "", w.entry.id,
                         "runs fail one after the other", to_millis(w.health.avoid_until - now));
        }
    }
    if (end.how == end_reason::done && !spec.long_running) {
        if (!current) {
            stop_task(id, now); // a second run of the task
        }
        if (task.phase != task_phase::done) {
            job.finish(id);
        }
        dirty_.insert(id.job);
        waiting_steps_.erase(
            job.step_at(id.occurrence, id.step).done == spec.tasks ? step_name(id) : std::string());
        if (is_final(job.state())) {
            finish_job(entry, now);
        }
        else {
            add_waiting_steps(entry, now);
        }
        return;
    }
    if (current) {
        job.release(id);
    }
    if (end.how == end_reason::failed) {
        dirty_.insert(id.job);
        task.failed_on.insert(w.entry.id);
        const queue_policy* queue = queue_of(job.spec().queue);
        const int attempts = queue != nullptr ? queue->max_attempts : spec.tasks + 1;
        if (job.fail(id, end.run, attempts)) {
            finish_job(entry, now);
            return;
        }
    }
    // Members of a gang end as `gang_broken` by themselves once one has ended; no stops are needed.
}

void scheduler::handle_running(worker& w, const running_task& row, time_point now)
{
    const auto run = w.runs.find({row.task, row.run});
    if (run == w.runs.end()) {
        const std::optional<task_id> id = task_id_from(row.task);
        const auto known = id ? jobs_.find(id->job) : jobs_.end();
        task_record* task = known != jobs_.end() ? known->second.progress.find(*id) : nullptr;
        run_record found;
        found.task = id.value_or(task_id{row.task, 0, 0, 0});
        found.run = row.run;
        found.phase = run_phase::running;
        found.ordered = now;
        found.confirmed = now;
        found.adopted = true;
        const bool sized = known != jobs_.end() &&
                           id->step < static_cast<int>(known->second.progress.spec().steps.size());
        // Of what no record tells, the rest of the worker is assumed to be taken.
        found.taken =
            sized
                ? taken_by(known->second.progress.spec().steps[static_cast<std::size_t>(id->step)])
                : w.room();
        const bool wanted = task != nullptr && task->phase == task_phase::waiting &&
                            !is_final(known->second.progress.state()) &&
                            task->failed_runs.count(row.run) == 0;
        add_run(w, found);
        if (!wanted) {
            add_decision(decision_kind::stopped, id ? id->job : "", w.entry.id,
                         row.task + ": not wanted here");
            send_stop(w, w.runs.find({row.task, row.run})->second, now);
            return;
        }
        add_decision(decision_kind::run_adopted, id->job, w.entry.id, row.task);
        known->second.progress.adopt(*id, w.entry.id, row.run, now);
        return;
    }
    if (!run->second.confirmed) {
        run->second.confirmed = now;
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
    }
    if (row.percent > task->percent) {
        task->percent = row.percent;
        task->advanced = now;
    }
    if (!row.checkpoint.empty()) {
        task->checkpoint = row.checkpoint;
    }
}

/// Releases runs that the worker would list if it had them.
void scheduler::release_missing_runs(worker& w, const worker_report& report, time_point sent,
                                     time_point now)
{
    std::set<std::pair<std::string, std::int64_t>> listed;
    for (const running_task& row : report.running) {
        listed.insert({row.task, row.run});
    }
    std::vector<std::pair<std::string, std::int64_t>> gone;
    for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        const run_record& run = r.second;
        if (listed.count(r.first) > 0) {
            continue;
        }
        const bool ended = run.confirmed && *run.confirmed < sent;
        const bool pinned = run.phase == run_phase::pinned && run.pinned_at < sent;
        const bool expired = !run.confirmed && run.ordered < sent &&
                             report.clock_ms > run.until_ms && run.until_ms > 0;
        if (ended || pinned || expired) {
            gone.push_back(r.first);
        }
    }
    for (const std::pair<std::string, std::int64_t>& key : gone) {
        const run_record run = w.runs.find(key)->second;
        add_decision(decision_kind::run_missing, run.task.job, w.entry.id, key.first,
                     to_millis(now - run.ordered));
        release_run(w, run, now);
    }
}

void scheduler::lose_worker(worker& w, const std::string& why, time_point now)
{
    if (!w.lost) {
        add_decision(decision_kind::worker_lost, "", w.entry.id, why,
                     to_millis(now - w.last_answer));
    }
    w.lost = true;
    w.heard = false;
    while (!w.runs.empty()) {
        const run_record run = w.runs.begin()->second;
        release_run(w, run, now);
    }
    mark_verified(w.entry.id);
    placing_needed_ = true;
}

void scheduler::tick(time_point now)
{
    add_due_steps(now);
    for (std::pair<const std::string, worker>& entry : workers_) {
        worker& w = entry.second;
        for (std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
            if (r.second.phase == run_phase::stopping && now - r.second.ordered > stop_resend) {
                send_stop(w, r.second, now);
            }
        }
        if (!w.lost && now > w.gone_at && !w.is_responsive(now)) {
            lose_worker(w, "silent until its lease ran out", now);
        }
    }
    if (!unverified_workers_.empty() && now > verify_until_) {
        unverified_workers_.clear();
        placing_needed_ = true;
    }
    for (auto w = workers_.begin(); w != workers_.end();) {
        const bool forgotten = !w->second.listed && w->second.runs.empty() &&
                               (w->second.lost || now > w->second.gone_at);
        if (forgotten) {
            mark_verified(w->first);
        }
        w = forgotten ? workers_.erase(w) : std::next(w);
    }
    placing_needed_ = placing_needed_ || !waiting_steps_.empty();
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
    order.fence = fence_;
    order.acknowledged_end = w->noted_end;
    order.wait = wait;
    if (w->clock_ms && w->is_responsive(now)) {
        const millis length = std::min(lease_length, bounds_.max_lease);
        order.until_ms = w->clock_at(now) + length.count();
        w->gone_at = std::max(w->gone_at, lease_end(now, length));
    }
    return order;
}

} // namespace sesamesill::pool
