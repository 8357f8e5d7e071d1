// The part of the scheduler that restores, admits, adds and cancels jobs.

#include "sesamesill/pool_scheduler.h"

#include <algorithm>

#include "pool_keys.h"
#include "sesamesill/names.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<decision_kind, 30> decision_names{
    {{decision_kind::accepted, "job_accepted"},
     {decision_kind::refused, "job_refused"},
     {decision_kind::advised, "step_advised"},
     {decision_kind::advice_failed, "advice_failed"},
     {decision_kind::begun, "job_begun"},
     {decision_kind::started, "task_started"},
     {decision_kind::starts_held, "starts_held"},
     {decision_kind::starts_resumed, "starts_resumed"},
     {decision_kind::occurrences_held, "occurrences_held"},
     {decision_kind::occurrences_resumed, "occurrences_resumed"},
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
    : fence_(fence), cancellations_(*memory_, bounds.status_kept), highest_fence_(fence),
      bounds_(bounds), ended_jobs_(*memory_), inherited_leases_(predecessor_lease(now, bounds))
{
}

void scheduler::add_decision(decision_kind kind, const std::string& job, const std::string& worker,
                             std::string detail, std::int64_t age_ms)
{
    const auto known = jobs_.find(job);
    const ended_job* ended = known == jobs_.end() ? ended_jobs_.find(job) : nullptr;
    const std::string queue = known != jobs_.end() ? known->second.progress.spec().queue
                              : ended != nullptr   ? ended->queue
                                                   : std::string();
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

/// Returns the capacity that the task uses, or nothing if its step isn't known.
std::optional<resources> scheduler::capacity_of(const task_id& id) const
{
    const step_spec* step = step_of(id);
    if (step != nullptr) {
        return capacity_used_by(*step);
    }
    const ended_job* ended = ended_jobs_.find(id.job);
    const bool exists = ended != nullptr && id.step < static_cast<int>(ended->needs.size());
    return exists ? std::optional<resources>(ended->needs[static_cast<std::size_t>(id.step)])
                  : std::nullopt;
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
        std::optional<ended_job> ended = ended_job_from(saved);
        if (!ended) {
            add_decision(decision_kind::end_ignored, id, "",
                         "progress record without a job record");
            return;
        }
        ended_jobs_.add(id, std::move(*ended));
        return;
    }
    error why;
    std::optional<job_record> record = decode_job_record(*job, why);
    if (!record) {
        add_decision(decision_kind::end_ignored, id, "", "unreadable: " + why.reason);
        return;
    }
    const millis age(std::max<std::int64_t>(0, wall_ms - record->accepted_ms));
    job_entry entry =
        entry_of(job_progress(std::move(record->spec), record->accepted_ms, now - age),
                 std::move(record->terms));
    entry.progress.restore(progress);
    entry.inherited = true;
    // The predecessor may have stored the final state, but not yet the short record of a finished
    // job, or may have stored the progress in another form.
    dirty_.insert(id);
    const auto added = jobs_.emplace(id, std::move(entry)).first;
    update_waiting_count(added->second);
    add_restored_steps(added->second, now);
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
    open_due_occurrences(now);
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

admission_answer scheduler::admit(const job_spec& spec, std::int64_t wall_ms, time_point now) const
{
    if (jobs_.count(spec.id) > 0 || ended_jobs_.find(spec.id) != nullptr) {
        return {admission::known, "", millis(0)};
    }
    const std::optional<millis> cancelled = cancellations_.refused_for(spec.id, wall_ms);
    if (cancelled) {
        return {admission::refuse, "the job was cancelled before its submit arrived", *cancelled};
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
    const std::size_t needed = bytes_when_accepted(spec);
    if (!memory_->accepts(needed) || memory_of(spec).occurrence > memory_->reserve()) {
        return {admission::refuse,
                "accepted work takes " + std::to_string(memory_->used()) + " of " +
                    std::to_string(memory_->limit()) + " bytes, and the job would take " +
                    std::to_string(needed),
                retry_after_shortage(spread_of(spec.id))};
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
    if (jobs_.count(spec.id) > 0 || ended_jobs_.find(spec.id) != nullptr) {
        return;
    }
    const auto added =
        jobs_.emplace(spec.id, entry_of(job_progress(spec, job.accepted_ms, now), job.terms)).first;
    queue_estimate& observed = estimates_[spec.queue];
    update_mean(observed.mean_work, observed.jobs, size_of(spec, estimates_of(spec)).core_seconds);
    update_waiting_count(added->second);
    if (spec.occurrences > 0) {
        schedule_next_occurrence(added->second);
        open_due_occurrences(now);
    }
    else {
        open_next_occurrence(added->second, now);
    }
    add_decision(decision_kind::accepted, spec.id, "", spec.queue);
}

scheduler::job_entry scheduler::entry_of(job_progress progress, std::optional<queue_policy> terms)
{
    job_entry entry{std::move(progress), std::move(terms)};
    entry.memory = memory_of(entry.progress.spec());
    entry.charge = memory_charge(*memory_);
    update_charge(entry);
    return entry;
}

/// Charges the job for what it takes now.
void scheduler::update_charge(job_entry& entry)
{
    entry.charge.resize(entry.memory.job + entry.progress.accumulated_bytes() +
                        entry.progress.open_occurrences().size() * entry.memory.occurrence);
}

/// Returns whether the job's next occurrence may be opened, or needn't be. Those of a job without
/// times were paid for when it was accepted.
bool scheduler::may_open_next(const job_entry& entry) const
{
    const job_progress& job = entry.progress;
    return job.spec().occurrences == 0 || is_final(job.state()) ||
           job.is_open(entry.next_occurrence) || memory_->fits(entry.memory.occurrence);
}

/// Opens the next occurrence and adds its ready steps.
void scheduler::open_next_occurrence(job_entry& entry, time_point now)
{
    const int occurrence = entry.next_occurrence++;
    entry.progress.open(occurrence);
    update_charge(entry);
    add_ready_steps(entry, occurrence, now);
}

/// Adds the ready steps of the occurrences that an earlier leader had opened.
void scheduler::add_restored_steps(job_entry& entry, time_point now)
{
    if (is_final(entry.progress.state())) {
        entry.progress.drop_tasks();
        update_charge(entry);
        return;
    }
    if (entry.progress.spec().occurrences == 0) {
        open_next_occurrence(entry, now);
        return;
    }
    for (const std::pair<const int, occurrence_record>& o : entry.progress.open_occurrences()) {
        add_ready_steps(entry, o.first, now);
    }
    update_charge(entry);
    schedule_next_occurrence(entry);
}

/// Adds the job's next occurrence that isn't complete to those that are opened when they are due.
void scheduler::schedule_next_occurrence(job_entry& entry)
{
    const job_progress& job = entry.progress;
    int& k = entry.next_occurrence;
    while (k < job.occurrences() && job.is_complete(k)) {
        ++k;
    }
    if (k < job.occurrences() && !is_final(job.state())) {
        due_occurrences_.emplace(job.due(k), job.spec().id);
    }
}

/// Opens the occurrences that are due, in the order of their times, while there is memory for them.
void scheduler::open_due_occurrences(time_point now)
{
    bool held = false;
    while (!held && !due_occurrences_.empty() && due_occurrences_.begin()->first <= now) {
        const auto known = jobs_.find(due_occurrences_.begin()->second);
        held = known != jobs_.end() && !may_open_next(known->second);
        if (held) {
            break;
        }
        due_occurrences_.erase(due_occurrences_.begin());
        if (known != jobs_.end() && !is_final(known->second.progress.state())) {
            open_next_occurrence(known->second, now);
            schedule_next_occurrence(known->second);
        }
    }
    if (held != occurrences_held_) {
        add_decision(held ? decision_kind::occurrences_held : decision_kind::occurrences_resumed,
                     "", "",
                     "accepted work takes " + std::to_string(memory_->used()) + " of " +
                         std::to_string(memory_->limit()) + " bytes");
    }
    occurrences_held_ = held;
}

void scheduler::add_ready_steps(job_entry& entry, int occurrence, time_point now)
{
    job_progress& job = entry.progress;
    if (!job.is_open(occurrence) || is_final(job.state())) {
        return;
    }
    for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
        step_record& step = job.step_at(occurrence, n);
        if (job.is_step_done(occurrence, n) || !job.is_ready(occurrence, n)) {
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
        return ended_jobs_.find(id) != nullptr ? cancel_answer::already_final
                                               : cancel_answer::not_known;
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

cancellation_state scheduler::remember_cancellation(const std::string& id, std::int64_t wall_ms)
{
    constexpr std::size_t share_divisor = 16; ///< of the memory for accepted work
    const cancellation_state state =
        cancellations_.add(id, wall_ms, memory_->limit() / share_divisor);
    if (state == cancellation_state::added) {
        add_decision(decision_kind::cancelled, id, "", "by the client, before it is known");
    }
    return state;
}

std::optional<job_state> scheduler::visible_state(const std::string& id) const
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) {
        const ended_job* ended = ended_jobs_.find(id);
        return ended != nullptr ? std::optional<job_state>(ended->state) : std::nullopt;
    }
    const job_state state = known->second.progress.state();
    return is_final(state) ? job_state::running : state;
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
    for (const std::pair<const int, occurrence_record>& o : job.open_occurrences()) {
        for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
            for (int i = 0; i < job.spec().steps[static_cast<std::size_t>(n)].tasks; ++i) {
                stop_task({job.spec().id, o.first, n, i}, now);
            }
        }
    }
    job.drop_tasks();
    update_charge(entry);
    due_occurrences_.erase({job.due(entry.next_occurrence), job.spec().id});
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
           known->second.process.acknowledged_end < known->second.process.highest_end_seen;
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
