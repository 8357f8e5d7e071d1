// Checks each promise on the events that could break it.

#include "promises.h"

#include <algorithm>

namespace soak {

bool promises::observed_task::is_done() const
{
    return std::any_of(ends.begin(), ends.end(), [](const observed_end& e) { return e.done; });
}

promises::observed_job* promises::find(const std::string& job)
{
    const auto known = jobs_.find(job);
    return known == jobs_.end() ? nullptr : &known->second;
}

void promises::violate(const std::string& promise, const std::string& what)
{
    violations_.push_back(promise + ": " + what);
}

void promises::declare(const pool::job_spec& spec, std::vector<millis> work,
                       std::vector<int> runs_fail, bool advised)
{
    observed_job job;
    job.advised = advised;
    job.spec = spec;
    job.work = std::move(work);
    job.runs_fail = std::move(runs_fail);
    jobs_.emplace(spec.id, std::move(job));
}

void promises::on_submitted(const std::string& id, submission outcome)
{
    observed_job& job = jobs_.at(id);
    job.open = false;
    if (outcome == submission::accepted) {
        job.accepted = job.accepted.value_or(boot_clock::now());
    }
    job.refused_only = outcome == submission::refused;
    if (job.refused_only && !job.tasks.empty()) {
        violate("refused", id + " was refused in every attempt but has started");
    }
}

void promises::on_cancel_sent(const std::string& id)
{
    jobs_.at(id).cancel_sent = boot_clock::now();
}

void promises::on_cancelled(const std::string& id)
{
    jobs_.at(id).cancelled = boot_clock::now();
}

bool promises::all_done(const observed_job& job, int number) const
{
    const pool::step_spec& step = job.spec.steps[static_cast<std::size_t>(number)];
    pool::task_id id{job.spec.id, 0, number, 0};
    for (id.index = 0; id.index < step.tasks; ++id.index) {
        const auto task = job.tasks.find(to_string(id));
        const bool done = task != job.tasks.end() && task->second.is_done();
        if (!done && !step.gang) {
            return false;
        }
        if (done && step.gang) {
            return true; // one run that is done proves that the whole gang is done
        }
    }
    return !step.gang;
}

void promises::on_shown(const std::string& id, pool::job_state state)
{
    observed_job& job = jobs_.at(id);
    if (!is_final(state)) {
        return;
    }
    job.ended = true;
    const int steps = static_cast<int>(job.spec.steps.size());
    if (state == pool::job_state::complete) {
        job.complete = job.complete.value_or(boot_clock::now());
        for (int n = 0; n < steps; ++n) {
            if (!all_done(job, n)) {
                violate("mixed", id + " is shown as complete, but not all tasks of step " +
                                     std::to_string(n) + " are done");
            }
        }
    }
    if (state == pool::job_state::cancelled && !job.cancel_sent) {
        violate("lost", id + " is shown as cancelled, but no client cancelled it");
    }
    if (state == pool::job_state::failed) {
        std::size_t max_failures = 0;
        for (int n = 0; n < steps; ++n) {
            std::set<std::int64_t> gang_runs;
            for (const std::pair<const std::string, observed_task>& t : job.tasks) {
                const std::optional<pool::task_id> task = pool::task_id_from(t.first);
                std::size_t failed = 0;
                for (const observed_end& e : t.second.ends) {
                    failed += e.done ? 0 : 1;
                    if (!e.done && task->step == n) {
                        gang_runs.insert(e.run);
                    }
                }
                max_failures = std::max(max_failures, failed);
            }
            max_failures = std::max(max_failures, job.spec.steps[static_cast<std::size_t>(n)].gang
                                                      ? gang_runs.size()
                                                      : std::size_t{0});
        }
        if (max_failures < static_cast<std::size_t>(bounds_.max_attempts)) {
            violate("lost",
                    id + " is shown as failed after " + std::to_string(max_failures) + " failures");
        }
    }
}

void promises::on_gone(const std::string& id)
{
    const observed_job& job = jobs_.at(id);
    const time_point now = boot_clock::now();
    if (job.accepted && !job.cancel_sent && now - *job.accepted > bounds_.visibility_lag &&
        no_recent_fault()) {
        violate("lost", id + " was accepted, but a member answers that it is unknown");
    }
}

void promises::on_worker(const std::string& worker, const resources& capacity)
{
    on_lease_expired(worker); // unacknowledged ends of the previous incarnation no longer count
    unacknowledged_.erase(worker);
    capacity_[worker] = capacity;
    allocated_[worker] = {};
    draining_.erase(worker);
}

std::optional<run_facts> promises::facts_of(const pool::task_id& task, std::int64_t /*run*/)
{
    observed_job* job = find(task.job);
    if (job == nullptr || task.step >= static_cast<int>(job->spec.steps.size())) {
        return std::nullopt;
    }
    const std::size_t n = static_cast<std::size_t>(task.step);
    std::set<std::int64_t> failed;
    for (const observed_end& e : job->tasks[to_string(task)].ends) {
        if (!e.done) {
            failed.insert(e.run);
        }
    }
    const bool fails =
        task.index == 0 && failed.size() < static_cast<std::size_t>(job->runs_fail[n]);
    return run_facts{job->spec.steps[n], job->work[n], fails, job->advised};
}

void promises::check_single_run(const observed_task& task, const run_start& start)
{
    for (const observed_run& other : task.active) {
        violate("twice", to_string(start.task) + " run " + std::to_string(start.run) + " at " +
                             start.worker + " while still running as run " +
                             std::to_string(other.run) + " at " + other.worker);
    }
}

/// Reports a run that started after an acknowledged end `done`, or after `max_attempts`
/// acknowledged ends `failed`.
void promises::check_ends(const std::string& name, const observed_task& task)
{
    for (const observed_run& start : task.started) {
        int failures = 0;
        for (const observed_end& e : task.ends) {
            if (!e.acknowledged || e.lease_expired || e.at >= start.started) {
                continue;
            }
            failures += e.done ? 0 : 1;
            if (e.done) {
                violate("twice", name + " run " + std::to_string(start.run) + " at " +
                                     start.worker + " began after run " + std::to_string(e.run) +
                                     " at " + e.worker + " was done");
            }
        }
        if (failures >= bounds_.max_attempts) {
            violate("budget", name + " run " + std::to_string(start.run) + " began after " +
                                  std::to_string(failures) + " failures");
        }
    }
}

void promises::check_order(const observed_job& job, const run_start& start)
{
    for (const int earlier : job.spec.steps[static_cast<std::size_t>(start.task.step)].after) {
        if (!all_done(job, earlier)) {
            violate("order", to_string(start.task) + " began before step " +
                                 std::to_string(earlier) + " was done");
        }
    }
}

void promises::check_capacity(const run_start& start, const pool::step_spec& step)
{
    resources& allocated = allocated_[start.worker];
    allocated = allocated + step.need;
    if (!fits(allocated, capacity_[start.worker])) {
        violate("limit", to_string(start.task) + " makes the runs of " + start.worker +
                             " exceed its capacity");
    }
}

/// Reports a run that differs from what a client submitted, or whose job was refused, cancelled or
/// completed, or whose worker is draining.
void promises::check_requested(const observed_job& job, const run_start& start)
{
    const time_point now = boot_clock::now();
    const std::string name = to_string(start.task);
    if (start.payload != job.spec.payload) {
        violate("unasked", name + " began with a payload other than its job's");
    }
    const std::set<std::string>& known = job.tasks.at(name).checkpoints;
    const bool gang = job.spec.steps[static_cast<std::size_t>(start.task.step)].gang;
    if (!start.checkpoint.empty() && !gang && known.count(start.checkpoint) == 0) {
        violate("unasked", name + " began with a checkpoint of another task");
    }
    if (job.refused_only) {
        violate("refused", name + " began although its job was refused");
    }
    if (start.executed_late) {
        return;
    }
    if (job.cancelled && now - *job.cancelled > bounds_.cancel_lag && no_recent_fault()) {
        violate("unasked", name + " began too long after its job was cancelled");
    }
    if (job.complete && now - *job.complete > bounds_.acknowledgement_lag) {
        violate("twice", name + " began after its job was shown as complete");
    }
    const auto draining = draining_.find(start.worker);
    if (draining != draining_.end() && now - draining->second > bounds_.drain_limit &&
        leader_is_sound_()) {
        violate("drain", name + " began at " + start.worker + ", which is draining");
    }
}

void promises::on_start(const run_start& start)
{
    ++starts_;
    const std::string name = to_string(start.task);
    observed_job* job = find(start.task.job);
    if (job == nullptr || start.task.step >= static_cast<int>(job->spec.steps.size())) {
        violate("unasked", name + " began, but no client submitted it");
        return;
    }
    observed_task& task = job->tasks[name];
    check_single_run(task, start);
    check_order(*job, start);
    check_capacity(start, job->spec.steps[static_cast<std::size_t>(start.task.step)]);
    check_requested(*job, start);
    const observed_run seen{start.worker, start.run, boot_clock::now()};
    task.active.push_back(seen);
    task.started.push_back(seen);
    check_ends(name, task);
}

void promises::on_checkpoint(const pool::task_id& task, const std::string& checkpoint)
{
    observed_job* job = find(task.job);
    if (job != nullptr) {
        job->tasks[to_string(task)].checkpoints.insert(checkpoint);
    }
}

void promises::on_end(const run_end& end)
{
    observed_job* job = find(end.task.job);
    if (job == nullptr) {
        return;
    }
    const std::string name = to_string(end.task);
    observed_task& task = job->tasks[name];
    const auto run =
        std::find_if(task.active.begin(), task.active.end(), [&](const observed_run& r) {
            return r.worker == end.worker && r.run == end.run;
        });
    if (run != task.active.end()) {
        task.active.erase(run);
        resources& allocated = allocated_[end.worker];
        allocated = allocated - job->spec.steps[static_cast<std::size_t>(end.task.step)].need;
    }
    const bool done = end.how == pool::end_reason::done;
    if (end.number > 0 && (done || end.how == pool::end_reason::failed)) {
        task.ends.push_back({end.worker, end.number, end.run, boot_clock::now(), done});
        unacknowledged_[end.worker].insert(name);
    }
}

void promises::on_ends_acknowledged(const std::string& worker, std::uint64_t number)
{
    std::set<std::string>& waiting = unacknowledged_[worker];
    for (auto name = waiting.begin(); name != waiting.end();) {
        observed_job& job = jobs_.at(pool::task_id_from(*name)->job);
        observed_task& task = job.tasks[*name];
        bool all = true;
        for (observed_end& e : task.ends) {
            if (e.worker == worker && !e.acknowledged && e.number <= number) {
                e.acknowledged = true;
                check_ends(*name, task);
            }
            all = all && (e.worker != worker || e.acknowledged);
        }
        name = all ? waiting.erase(name) : std::next(name);
    }
}

void promises::on_lease_expired(const std::string& worker)
{
    for (const std::string& name : unacknowledged_[worker]) {
        for (observed_end& e : jobs_.at(pool::task_id_from(name)->job).tasks[name].ends) {
            e.lease_expired = e.lease_expired || (e.worker == worker && !e.acknowledged);
        }
    }
}

void promises::on_draining(const std::string& worker)
{
    draining_[worker] = boot_clock::now();
}

std::vector<std::string> promises::unfinished() const
{
    std::vector<std::string> ids;
    for (const std::pair<const std::string, observed_job>& j : jobs_) {
        if (j.second.accepted && !j.second.ended && !j.second.cancel_sent) {
            ids.push_back(j.first);
        }
    }
    return ids;
}

std::size_t promises::accepted() const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second.accepted; }));
}

} // namespace soak
