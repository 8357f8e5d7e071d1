// The part of the scheduler that restores, admits, adds and cancels jobs.

#include "sesamesill/pool_scheduler.h"

#include <algorithm>

#include "pool_keys.h"
#include "sesamesill/names.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<decision_kind, 28> decision_names{
    {{decision_kind::accepted, "job_accepted"},
     {decision_kind::refused, "job_refused"},
     {decision_kind::advised, "step_advised"},
     {decision_kind::advice_failed, "advice_failed"},
     {decision_kind::begun, "job_begun"},
     {decision_kind::started, "task_started"},
     {decision_kind::starts_held, "starts_held"},
     {decision_kind::starts_resumed, "starts_resumed"},
     {decision_kind::start_failed, "start_failed"},
     {decision_kind::start_repeated, "start_repeated"},
     {decision_kind::start_confirmed, "start_confirmed"},
     {decision_kind::ended, "task_ended"},
     {decision_kind::stopped, "task_stopped"},
     {decision_kind::cancelled, "job_cancelled"},
     {decision_kind::finished, "job_finished"},
     {decision_kind::worker_joined, "worker_joined"},
     {decision_kind::worker_drains, "worker_drains"},
     {decision_kind::worker_cleared, "worker_cleared"},
     {decision_kind::entry_ignored, "worker_entry_outdated"},
     {decision_kind::worker_left, "worker_left"},
     {decision_kind::worker_lost, "worker_lost"},
     {decision_kind::worker_verified, "worker_verified"},
     {decision_kind::worker_restarted, "worker_reborn"},
     {decision_kind::worker_avoided, "worker_avoided"},
     {decision_kind::worker_polled, "worker_polled"},
     {decision_kind::run_released, "run_released"},
     {decision_kind::run_adopted, "run_adopted"},
     {decision_kind::end_ignored, "end_not_taken"}}};

} // namespace

std::string_view name_of(decision_kind kind)
{
    return name_in(decision_names, kind);
}

scheduler::scheduler(std::uint64_t fence, platform_bounds bounds, time_point now)
    : fence_(fence), highest_fence_(fence), bounds_(bounds),
      inherited_leases_(predecessor_lease(now, bounds))
{
}

void scheduler::add_decision(decision_kind kind, const std::string& job, const std::string& worker,
                             std::string detail, std::int64_t age_ms)
{
    const auto known = jobs_.find(job);
    const std::string queue =
        known != jobs_.end() ? known->second.progress.spec().queue : std::string();
    decisions_.push_back({kind, job, queue, worker, std::move(detail), age_ms, {}, {}, {}});
}

/// Adds a decision about the start order of a run, with the age of the directory read.
void scheduler::add_start_decision(decision_kind kind, const run_record& run,
                                   const std::string& worker, std::string detail,
                                   std::int64_t age_ms, time_point now)
{
    add_decision(kind, run.task.job, worker,
                 to_string(run.task) + " run " + std::to_string(run.run) + std::move(detail),
                 age_ms);
    decisions_.back().directory_age_ms = directory_age(now).count();
}

void scheduler::configure(const configuration& config, time_point now)
{
    config_ = config;
    queues_.clear();
    for (const queue_policy& q : config_.queues) {
        queues_.emplace(q.name, &q);
    }
    for (std::pair<const std::string, waiting_step>& ws : waiting_steps_) {
        ws.second.queue = policy_of(jobs_.at(ws.second.first.job));
    }
    placing_needed_ = true;
    for (std::pair<const std::string, job_entry>& job : jobs_) {
        if (!job.second.terms) { // its limit may not have been known before
            fail_if_exhausted(job.second, now);
        }
    }
}

/// Returns the policy by which the job's tasks are placed, or null if it isn't known. A job of a
/// queue that the configuration no longer has goes on as it was accepted.
const queue_policy* scheduler::policy_of(const job_entry& entry) const
{
    const queue_policy* queue = queue_of(entry.progress.spec().queue);
    return queue == nullptr && entry.terms ? &*entry.terms : queue;
}

/// Returns how many failed runs of a task, or of a gang, make the job fail. Nothing if that isn't
/// known yet: then failures are counted only, and `fail_if_exhausted` applies the limit later.
std::optional<int> scheduler::max_attempts_of(const job_entry& entry) const
{
    const queue_policy* terms = entry.terms ? &*entry.terms : queue_of(entry.progress.spec().queue);
    return terms != nullptr ? std::optional<int>(terms->max_attempts) : std::nullopt;
}

/// Ends the job if its tasks failed too often, by ends that were counted earlier.
void scheduler::fail_if_exhausted(job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    const std::optional<int> limit = max_attempts_of(entry);
    bool failed = !limit || is_final(job.state());
    for (int n = 0; !failed && n < static_cast<int>(job.spec().steps.size()); ++n) {
        failed = job.fail_if_exhausted(n, *limit);
        if (failed) {
            finish_job(entry, now);
            update_waiting_count(entry);
        }
    }
}

const queue_policy* scheduler::queue_of(const std::string& name) const
{
    const auto known = queues_.find(name);
    return known != queues_.end() ? known->second : nullptr;
}

std::optional<worker_number> scheduler::number_of(const std::string& id) const
{
    const auto known = worker_numbers_.find(id);
    return known != worker_numbers_.end() ? std::optional<worker_number>(known->second)
                                          : std::nullopt;
}

std::vector<std::string> scheduler::ids_of(const std::vector<worker_number>& numbers) const
{
    std::vector<std::string> ids;
    for (const worker_number n : numbers) {
        if (workers_by_number_[n] != nullptr) {
            ids.push_back(workers_by_number_[n]->entry.id);
        }
    }
    return ids;
}

/// Counts the job as waiting until a worker has begun its first task or its state is final.
void scheduler::update_waiting_count(job_entry& entry)
{
    const bool waits = !is_final(entry.progress.state()) && !entry.progress.has_begun();
    if (waits != entry.counted_as_waiting) {
        entry.counted_as_waiting = waits;
        waiting_jobs_[entry.progress.spec().queue] += waits ? 1 : -1;
    }
}

/// Keeps a job with a stored final state until clients no longer ask for it.
void scheduler::retain(const std::string& id, job_entry& entry)
{
    entry.final_stored = true;
    retained_jobs_.emplace(entry.final_ms, id);
}

const step_spec* scheduler::step_of(const task_id& id) const
{
    const auto known = jobs_.find(id.job);
    const bool exists = known != jobs_.end() &&
                        id.step < static_cast<int>(known->second.progress.spec().steps.size());
    return exists ? &known->second.progress.spec().steps[static_cast<std::size_t>(id.step)]
                  : nullptr;
}

worker* scheduler::find_worker(const std::string& id)
{
    const auto known = workers_.find(id);
    return known != workers_.end() ? &known->second : nullptr;
}

void scheduler::restore(const std::string& id, const std::string* job,
                        const progress_parts& progress, std::int64_t wall_ms, time_point now)
{
    if (job == nullptr) {
        const auto first = progress.find(0);
        const Json::Value saved = first != progress.end() ? first->second : Json::Value();
        for (const std::pair<const int, Json::Value>& part : progress) {
            if (part.first > 0) { // the predecessor ended before it had removed all parts
                obsolete_keys_.push_back(progress_key(id, part.first));
            }
        }
        const std::optional<job_state> state = job_state_from(saved["state"].asString());
        if (!state || !is_final(*state)) {
            add_decision(decision_kind::end_ignored, id, "",
                         "progress record without a job record");
            return;
        }
        job_spec spec;
        spec.id = id;
        spec.queue = saved["queue"].asString();
        for (const Json::Value& need : saved["needs"]) {
            step_spec step;
            step.need = {need[0].asInt64(), need[1].asInt64(), need[2].asInt64()};
            spec.steps.push_back(step);
        }
        job_entry entry{job_progress(spec, 0, now), std::nullopt};
        entry.progress.restore(progress);
        entry.final_ms = saved["ended_ms"].asInt64();
        retain(id, jobs_.emplace(id, std::move(entry)).first->second);
        return;
    }
    error why;
    std::optional<job_record> record = decode_job_record(*job, why);
    if (!record) {
        add_decision(decision_kind::end_ignored, id, "", "unreadable: " + why.reason);
        return;
    }
    const millis age(std::max<std::int64_t>(0, wall_ms - record->accepted_ms));
    job_entry entry{job_progress(std::move(record->spec), record->accepted_ms, now - age),
                    std::move(record->terms)};
    entry.progress.restore(progress);
    entry.inherited = true;
    // The predecessor may have stored the final state, but not yet the short record of a finished
    // job, or may have stored the progress in another form.
    dirty_.insert(id);
    const auto added = jobs_.emplace(id, std::move(entry)).first;
    update_waiting_count(added->second);
    add_due_occurrences(added->second, now);
}

void scheduler::finish_restore(time_point now, time_point verify_until)
{
    inherited_leases_ = predecessor_lease(now, bounds_);
    inherited_leases_.end = verify_until;
    restored_at_ = now;
    for (std::pair<const std::string, worker>& w : workers_) {
        unverified_workers_.insert(w.first);
    }
    unverified_workers_.insert(undiscovered_workers);
    placing_needed_ = true;
    for (std::pair<const std::string, job_entry>& job : jobs_) {
        fail_if_exhausted(job.second, now); // the predecessor may not have known the limit
    }
}

void scheduler::on_directory_loaded(time_point begun)
{
    directory_read_at_ = std::max(directory_read_at_, begun);
    directory_lost_at_.reset();
    placing_needed_ = true;
    if (begun > restored_at_ && begun >= entries_back_at_) {
        mark_verified(undiscovered_workers, {evidence_source::complete_directory, begun});
    }
}

void scheduler::on_record_stored(std::uint64_t log_end)
{
    highest_fence_ = std::max(highest_fence_, log_end);
    for (std::pair<const std::string, worker>& w : workers_) {
        if (w.second.fence_outdated) {
            raise_fence(w.second);
            placing_needed_ = placing_needed_ || !w.second.fence_outdated;
        }
    }
}

/// Returns how many tasks of the step idle workers could run at the same time, at most all of them.
/// A worker whose entry has expired counts until it is lost, because an outage of the store also
/// lets entries expire.
int scheduler::max_concurrent_tasks(const step_spec& step, const queue_policy& queue) const
{
    const int a_worker = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
    int fitting_tasks = 0;
    for (const std::pair<const std::string, worker>& w : workers_) {
        const bool may_be_alive = w.second.listed || !w.second.lost;
        if (fitting_tasks < step.tasks && may_be_alive && may_run(w.second.entry, step, queue)) {
            fitting_tasks +=
                count_fitting(capacity_used_by(step), w.second.entry.capacity, a_worker);
        }
    }
    return std::min(fitting_tasks, step.tasks);
}

/// Returns what is ahead of a new job. Jobs of priority 0 are placed before almost all others.
backlog scheduler::backlog_of(const job_spec& spec, const queue_policy& queue, time_point now) const
{
    backlog b;
    b.waiting_tasks = queue.priority == 0 ? urgent_waiting_tasks_ : waiting_tasks_;
    b.starts_per_second = start_rate_.highest(now);
    b.objective_ms = objective_ms(spec);
    return b;
}

double scheduler::objective_ms(const job_spec& spec) const
{
    const queue_policy* queue = queue_of(spec.queue);
    return queue != nullptr
               ? sesamesill::pool::objective_ms(*queue, size_of(spec, estimates_of(spec)))
               : 0;
}

admission_answer scheduler::admit(const job_spec& spec, time_point now) const
{
    const auto known = jobs_.find(spec.id);
    if (known != jobs_.end()) {
        return {admission::known, "", millis(0)};
    }
    constexpr millis admission_retry{2000}; ///< the pool's workers change within seconds
    const queue_policy* queue = queue_of(spec.queue);
    if (queue == nullptr) {
        return {admission::refuse, "the queue isn't in this member's configuration",
                admission_retry};
    }
    for (const step_spec& step : spec.steps) {
        const int min_concurrent = step.gang ? step.tasks : 1; // other tasks can run in sequence
        if (max_concurrent_tasks(step, *queue) < min_concurrent) {
            return {admission::refuse,
                    step.gang
                        ? "the pool can't run all tasks of a gang at the same time, even when idle"
                        : "no worker has the capacity and the label that a task needs",
                    admission_retry};
        }
    }
    const backlog ahead = backlog_of(spec, *queue, now);
    if (starts_too_late(ahead)) {
        return {admission::refuse,
                "the queue is too long: a start is expected in " +
                    std::to_string(expected_wait(ahead).count()) + " ms",
                retry_after(ahead, spread_of(spec.id))};
    }
    return {admission::accept, "", millis(0)};
}

job_record scheduler::accepted(const job_spec& spec, std::int64_t wall_ms) const
{
    job_record job{spec, wall_ms, std::nullopt};
    const queue_policy* queue = queue_of(spec.queue);
    if (queue != nullptr) {
        job.terms = *queue;
    }
    return job;
}

keyed_record scheduler::record_of(const job_record& job)
{
    return {job_key(job.spec.id), encode(job), 0};
}

void scheduler::add(const job_record& job, time_point now)
{
    const job_spec& spec = job.spec;
    if (jobs_.count(spec.id) > 0) {
        return;
    }
    const auto added =
        jobs_.emplace(spec.id, job_entry{job_progress(spec, job.accepted_ms, now), job.terms})
            .first;
    queue_estimate& observed = estimates_[spec.queue];
    update_mean(observed.mean_work, observed.jobs, size_of(spec, estimates_of(spec)).core_seconds);
    update_waiting_count(added->second);
    add_due_occurrences(added->second, now);
    add_decision(decision_kind::accepted, spec.id, "", spec.queue);
}

/// Adds the ready steps of all occurrences that are due; later ones are added when they are.
void scheduler::add_due_occurrences(job_entry& entry, time_point now)
{
    const job_progress& job = entry.progress;
    if (is_final(job.state())) {
        return;
    }
    for (int& k = entry.next_occurrence; k < job.occurrences(); ++k) {
        if (job.spec().occurrences > 0 && job.due(k) > now) {
            due_occurrences_.emplace(job.due(k), job.spec().id);
            return;
        }
        add_ready_steps(entry, k, now);
    }
}

void scheduler::add_ready_steps(job_entry& entry, int occurrence, time_point now)
{
    job_progress& job = entry.progress;
    for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
        step_record& step = job.step_at(occurrence, n);
        if (step.done == static_cast<int>(step.tasks.size()) || !job.is_ready(occurrence, n)) {
            continue;
        }
        const task_id first{job.spec().id, occurrence, n, 0};
        std::string name = step_name(first);
        if (waiting_steps_.count(name) > 0) {
            continue;
        }
        step.ready_since = now;
        waiting_step ws;
        ws.first = first;
        ws.job = &job;
        ws.queue = policy_of(entry);
        ws.inherited = entry.inherited;
        waiting_steps_.emplace(std::move(name), std::move(ws));
        placing_needed_ = true;
    }
}

void scheduler::add_due_steps(time_point now)
{
    while (!due_occurrences_.empty() && due_occurrences_.begin()->first <= now) {
        const auto known = jobs_.find(due_occurrences_.begin()->second);
        due_occurrences_.erase(due_occurrences_.begin());
        if (known != jobs_.end()) {
            add_due_occurrences(known->second, now);
        }
    }
}

void scheduler::remove_waiting_steps(const std::string& job)
{
    auto ws = waiting_steps_.lower_bound(job + ".");
    while (ws != waiting_steps_.end() && ws->second.first.job == job) {
        ws = waiting_steps_.erase(ws);
    }
}

cancel_answer scheduler::cancel(const std::string& id, time_point now)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) {
        return cancel_answer::not_known;
    }
    if (is_final(known->second.progress.state())) {
        return cancel_answer::already_final;
    }
    known->second.progress.cancel();
    update_waiting_count(known->second);
    add_decision(decision_kind::cancelled, id, "", "by the client");
    finish_job(known->second, now);
    return cancel_answer::cancelled;
}

std::optional<job_state> scheduler::visible_state(const std::string& id) const
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) {
        return std::nullopt;
    }
    const job_state state = known->second.progress.state();
    return is_final(state) && !known->second.final_stored ? job_state::running : state;
}

int scheduler::waiting_in(const std::string& queue) const
{
    const auto known = waiting_jobs_.find(queue);
    return known != waiting_jobs_.end() ? known->second : 0;
}

/// Stops the remaining runs of a job in a final state and marks the job for recording.
void scheduler::finish_job(job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    remove_waiting_steps(job.spec().id);
    for (int k = 0; k < job.occurrences(); ++k) {
        for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
            for (int i = 0; i < job.spec().steps[static_cast<std::size_t>(n)].tasks; ++i) {
                stop_task({job.spec().id, k, n, i}, now);
            }
        }
    }
    dirty_.insert(job.spec().id);
    add_decision(decision_kind::finished, job.spec().id, "", std::string(name_of(job.state())),
                 to_millis(now - job.accepted()));
    placing_needed_ = true;
}

std::vector<std::string> scheduler::worker_ids() const
{
    std::vector<std::string> ids;
    for (const std::pair<const std::string, worker>& w : workers_) {
        ids.push_back(w.first);
    }
    return ids;
}

bool scheduler::has_unrecorded_ends(const std::string& id) const
{
    const auto known = workers_.find(id);
    return known != workers_.end() &&
           known->second.acknowledged_end < known->second.highest_end_seen;
}

std::vector<start_order> scheduler::take_starts()
{
    std::vector<start_order> out;
    out.swap(starts_);
    for (start_order& order : out) {
        ++order.attempts;
    }
    return out;
}

void scheduler::withdraw_starts()
{
    for (const start_order& order : starts_) {
        worker* w = find_worker(order.worker);
        if (w == nullptr) {
            continue;
        }
        const auto run = w->runs.find({order.task, order.run});
        if (run != w->runs.end()) {
            --run->second.sends_in_flight;
        }
    }
    starts_.clear();
}

std::vector<stop_order> scheduler::take_stops()
{
    std::vector<stop_order> out;
    out.swap(stops_);
    return out;
}

std::vector<decision> scheduler::take_decisions()
{
    std::vector<decision> out;
    out.swap(decisions_);
    return out;
}

} // namespace sesamesill::pool
