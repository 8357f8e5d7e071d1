// The scheduler of a pool. Jobs, worker reports and answers enter as timed events; orders, advice
// calls and records come out. It uses no sockets, clock or threads.
//
// A scheduler lives as long as its leader's claim; its fence is the claim's offset. A successor
// restores jobs from the records, then polls each worker for its runs. Inherited tasks that no
// worker reports don't start until every worker that the predecessor may have used has answered or
// its lease has certainly expired, because a worker that doesn't answer may still run them.

#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/pool_admission.h"
#include "sesamesill/pool_cancellations.h"
#include "sesamesill/pool_ended.h"
#include "sesamesill/pool_evidence.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_memory.h"
#include "sesamesill/pool_order.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/pool_progress.h"
#include "sesamesill/pool_roster.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

enum class decision_kind : std::uint8_t {
    accepted,
    refused,
    advised,
    advice_failed,
    begun, ///< the first task of a job was started
    started,
    starts_held, ///< no task starts until the worker directory has been read again
    starts_resumed,
    occurrences_held, ///< due occurrences wait until accepted work takes less memory
    occurrences_resumed,
    start_failed,
    start_repeated,
    start_confirmed, ///< logged only for a start that was sent more than once
    ended,
    stopped,
    cancelled,
    finished,
    worker_joined,
    worker_drains,
    worker_cleared, ///< its runs are stopped, as it may leave soon
    entry_ignored,  ///< a directory entry older than the known one
    worker_left,
    worker_lost,
    worker_verified, ///< its predecessors' runs are known to have ended, without a report
    worker_restarted,
    worker_avoided,
    /// The outcome of a poll whose report lists ends that are all known, or of any poll of a worker
    /// that is leaving.
    worker_polled,
    run_released, ///< without a report of its end
    run_adopted,
    end_ignored
};

std::string_view name_of(decision_kind kind);

/// A log line about a decision and the inputs it is based on.
struct decision {
    decision_kind kind = decision_kind::accepted;
    std::string job;    ///< empty if the decision concerns only a worker
    std::string queue;  ///< of the job
    std::string worker; ///< empty if the decision concerns only a job
    std::string detail;
    std::int64_t age_ms = 0; ///< age of the deciding input
    /// Age of the directory read that a start order is based on.
    std::optional<std::int64_t> directory_age_ms;
    std::optional<evidence_source> evidence; ///< why a run was released
    /// Until when the runs of `worker` may go on at the latest, if one was given up.
    std::optional<lease_bound> lease;
};

enum class admission : std::uint8_t { accept, known, refuse };

struct admission_answer {
    admission verdict = admission::refuse;
    std::string reason;
    millis retry_after{0};
};

enum class cancel_answer : std::uint8_t { cancelled, already_final, not_known };

struct advice_call {
    std::string step; ///< "JOB.OCCURRENCE.STEP"
    std::vector<std::string> workers;
    millis expected{0}; ///< expected duration of the call
};

/// The last end of a worker that a batch of records covers. A restarted worker numbers its ends
/// anew, so the number holds for one process only.
struct covered_end {
    std::uint64_t number = 0;
    std::int64_t start_time_ms = 0; ///< Unix time of the start of the worker's process
};

/// Records of progress and final states. They must be stored before workers may drop the ends and
/// clients may see the states.
struct record_batch {
    std::vector<keyed_record> records;
    std::map<std::string, covered_end> ends; ///< by worker
    std::vector<std::string> final_jobs;     ///< jobs with a final state in the records
    bool empty() const { return records.empty() && ends.empty(); }
};

/// Room on a worker that is reserved for a gang of a higher rank. Tasks that are expected to end by
/// `until` may use it.
struct room_reservation {
    resources amount;
    time_point until;
};

class scheduler {
public:
    scheduler(std::uint64_t fence, platform_bounds bounds, time_point now);
    ~scheduler() = default;
    // Waiting steps point to jobs and queues of the same scheduler.
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    scheduler(scheduler&&) = default;
    scheduler& operator=(scheduler&&) = default;

    std::uint64_t fence() const { return fence_; }
    /// Sets how many bytes accepted work may take. What is accepted already stays.
    void limit_memory(std::size_t bytes) { memory_->set_limit(bytes); }
    const memory_account& memory() const { return *memory_; }
    void configure(const configuration& config, time_point now);

    /// Restores a job from the records of a predecessor; `job` is null for a finished job.
    void restore(const std::string& id, const std::string* job, const progress_parts& progress,
                 std::int64_t wall_ms, time_point now);
    /// Restores a worker that the log names. Without a readable record, `named` is empty: the
    /// worker can't be asked for its runs. Its directory entry is listed later, if there is one.
    void restore_worker(const std::string& id, const std::optional<named_worker>& named,
                        time_point now);
    /// Restores the cancellation of a job that wasn't known.
    void restore_cancellation(const std::string& job, const std::string& value,
                              std::int64_t wall_ms)
    {
        cancellations_.restore(job, value, wall_ms);
    }
    /// Ends the restore phase. Each worker known so far stays unverified until it answers or
    /// `verify_until` passes, the end of the leases of earlier leaders.
    void finish_restore(time_point now, time_point verify_until);

    void list_worker(const worker_entry& entry, time_point now);
    void unlist_worker(const std::string& id);

    /// Handles a complete read of the worker directory that was begun at `begun`, by this leader or
    /// before its claim. Until a read that began after the restore is complete, a worker that an
    /// earlier version of this program used, which named no workers, may run inherited tasks.
    void on_directory_loaded(time_point begun);
    /// Returns whether the directory should be read now, as a worker has another process than its
    /// entry names.
    bool take_directory_request() { return std::exchange(directory_wanted_, false); }
    /// Handles failing reads of the worker directory, until the next complete one. While the
    /// directory is down, no worker can announce that it drains.
    void on_directory_lost(time_point now) { directory_lost_at_ = now; }
    /// Notes that the directory may lack workers until `time`, as entries also expire while it is
    /// down. A new leader then doesn't know of their runs.
    void expect_entries_until(time_point time) { entries_back_at_ = time; }
    /// Handles the storing of a record. `log_end` is the next offset of the log: above the fences
    /// of all orders so far, and below that of each later claim.
    void on_record_stored(std::uint64_t log_end);

    /// Returns whether the pool can run the job, and in time. Does not add the job.
    admission_answer admit(const job_spec& spec, std::int64_t wall_ms, time_point now) const;
    /// Returns the time within which the job should end; 0 if its queue isn't known.
    double objective_ms(const job_spec& spec) const;
    /// Charges the memory of a job whose record is being stored. Release it after `add`.
    memory_charge reserve(const job_spec& spec)
    {
        return memory_charge(*memory_, bytes_when_accepted(spec));
    }
    /// Returns the job as it's accepted now, with the present policy of its queue.
    job_record accepted(const job_spec& spec, std::int64_t wall_ms) const;
    /// Returns the record that must be stored before the job is added.
    static keyed_record record_of(const job_record& job);
    /// Adds a job whose record is stored.
    void add(const job_record& job, time_point now);
    cancel_answer cancel(const std::string& id, time_point now);
    /// Remembers that a job that isn't known is cancelled: it is refused from now on.
    cancellation_state remember_cancellation(const std::string& id, std::int64_t wall_ms);
    /// Handles the outcome of a cancellation's record.
    void on_cancellation_written(const std::string& id, bool stored)
    {
        cancellations_.on_written(id, stored);
    }
    /// Returns the state that clients may see. A final state is visible once it is stored.
    std::optional<job_state> visible_state(const std::string& id) const;
    int waiting_in(const std::string& queue) const;

    void on_start(const start_order& order, order_verdict verdict, std::int64_t clock_ms,
                  time_point now);
    void on_stop(const stop_order& order, order_verdict verdict, time_point now);
    void on_poll(const poll_order& order, time_point sent, order_verdict verdict,
                 const worker_report& report, time_point now);
    void on_advice(const advice_call& call, const advice_answer& answer, time_point now);

    /// Handles expired leases, due occurrences and stop orders that must be sent again.
    void tick(time_point now);
    /// Starts the waiting tasks for which there is room, in order of rank, up to about
    /// `max_starts`: a gang is started whole.
    void place(time_point now, std::size_t max_starts = std::numeric_limits<std::size_t>::max());

    std::vector<start_order> take_starts();
    /// Drops the starts that weren't taken, as the lead isn't confirmed. Polls tell later whether
    /// an earlier send has begun their runs.
    void withdraw_starts();
    std::vector<stop_order> take_stops();
    /// Returns whether a step waits for an advice call.
    bool needs_advice(time_point now) { return next_step_to_advise(millis::max(), now) != nullptr; }
    /// Returns the next advice call whose base duration is at most `longest`, or nothing.
    std::optional<advice_call> next_advice(millis longest, time_point now);
    /// Returns the order that polls the worker and renews its lease.
    std::optional<poll_order> next_poll(const std::string& worker, millis wait, time_point now);
    std::vector<std::string> worker_ids() const;
    /// Returns whether the worker has reported ends that are not recorded yet.
    bool has_unrecorded_ends(const std::string& worker) const;
    /// Returns the time since the start of the last complete read of the worker directory. A change
    /// of an entry within that time may be unknown.
    millis directory_age(time_point now) const
    {
        return millis(to_millis(now - directory_read_at_));
    }

    /// Returns the next records to store. The batch is empty while an earlier one is in flight,
    /// because the ends of that one are not recorded yet.
    record_batch take_records(std::int64_t wall_ms);
    /// Handles a stored batch: its final states become visible and its ends are acknowledged.
    void on_batch_stored(const record_batch& batch);
    /// Handles a failed store: the jobs of the batch are recorded again with the next one.
    void on_batch_failed(const record_batch& batch);
    /// Returns the next records that name workers, or remove the names of those that have left.
    /// A worker gets no task before the record that names it is stored.
    std::vector<keyed_record> take_worker_records() { return roster_.take_records(); }
    /// Handles the outcome of the worker records that were taken last.
    void on_worker_records(bool stored);
    std::vector<decision> take_decisions();

    /// Returns whether a worker has reported a higher fence, which means that another leader
    /// exists.
    bool fenced() const { return fenced_; }
    std::size_t unverified_workers() const { return unverified_workers_.size(); }
    std::size_t jobs() const { return jobs_.size() + ended_jobs_.size(); }
    std::size_t queued_steps() const { return waiting_steps_.size(); }
    const std::map<std::string, worker>& workers() const { return workers_; }

private:
    /// A step that wanted advice when they were sorted.
    struct advice_request_rank {
        double score = 0;
        double base_ms = 0; ///< duration of a call that names no workers
        std::string step;
    };

    /// A worker's entry, and the Unix time at which its latest known process started.
    struct listed_process {
        const worker_entry& entry;
        std::int64_t start_time_ms = 0;
    };

    struct job_entry {
        job_progress progress;
        /// The queue's policy when the job was accepted; missing for jobs of earlier versions.
        std::optional<queue_policy> terms;
        bool inherited = false;
        std::int64_t final_ms = 0;       ///< Unix time of the final state's record
        bool counted_as_waiting = false; ///< in `waiting_jobs_`: no task has been started
        /// The first occurrence that wasn't due yet, or that waits for memory.
        int next_occurrence = 0;
        job_memory memory{};
        memory_charge charge{};
    };

    const queue_policy* queue_of(const std::string& name) const;
    const queue_policy* policy_of(const job_entry& entry) const;
    std::optional<int> max_attempts_of(const job_entry& entry) const;
    void fail_if_exhausted(job_entry& entry, time_point now);
    worker* find_worker(const std::string& id);
    worker& add_worker(const worker_entry& entry, time_point now);
    bool update_entry(worker& w, const worker_entry& entry, time_point now);
    void add_decision(decision_kind kind, const std::string& job, const std::string& worker,
                      std::string detail, std::int64_t age_ms = 0);
    void add_start_decision(decision_kind kind, const run_record& run, const std::string& worker,
                            std::string detail, std::int64_t age_ms, time_point now);
    millis order_validity(time_point now) const;
    lease_bound sent_lease(const worker& w, lease_origin origin, millis length,
                           std::int64_t until_ms, time_point now) const;
    bool may_send_starts(time_point now) const;
    void update_hold(time_point now);
    void prepare_send(worker& w, run_record& run, start_order& order, time_point now);
    job_entry entry_of(job_progress progress, std::optional<queue_policy> terms);
    void update_charge(job_entry& entry);
    bool may_open_next(const job_entry& entry) const;
    void open_next_occurrence(job_entry& entry, time_point now);
    void add_restored_steps(job_entry& entry, time_point now);
    void schedule_next_occurrence(job_entry& entry);
    void keep_checkpoint(job_entry& entry, task_record& task, const std::string& checkpoint);
    void add_ready_steps(job_entry& entry, int occurrence, time_point now);
    void open_due_occurrences(time_point now);
    std::size_t max_progress_bytes() const;
    void remove_waiting_steps(const std::string& job);
    void update_waiting_count(job_entry& entry);
    backlog backlog_of(const job_spec& spec, const queue_policy& queue, time_point now) const;
    void update_rank(waiting_step& ws, time_point now);
    int max_concurrent_tasks(const step_spec& step, const queue_policy& queue) const;
    bool is_eligible(const worker& w, const step_spec& step, const queue_policy& queue,
                     time_point now) const;
    std::vector<worker*> workers_for(const waiting_step& ws, const step_spec& step,
                                     const std::optional<resources>& min_room,
                                     time_point now) const;
    waiting_step* next_step_to_advise(millis longest, time_point now);
    bool wants_advice(const waiting_step& ws, time_point now) const;
    void sort_advice_requests(time_point now);
    const std::vector<worker_number>& workers_by_room(time_point now);
    static std::vector<worker_number> take_named_workers(waiting_step& ws);
    std::vector<worker_number> workers_to_ask(const waiting_step& ws, const step_spec& step,
                                              time_point now);
    std::vector<std::string> ids_of(const std::vector<worker_number>& numbers) const;
    std::optional<worker_number> number_of(const std::string& id) const;
    void measure_room(time_point now);
    bool may_fit(const resources& need) const;
    double estimate_ms(const std::string& queue, const step_spec& step) const;
    std::vector<double> estimates_of(const job_spec& spec) const;
    std::vector<waiting_step*> ranked_steps(time_point now);
    bool may_start(const waiting_step& ws, time_point now) const;
    void place_gang(waiting_step& ws, time_point now);
    void reserve_room_for(waiting_step& ws, time_point now);
    void renew_tickets(waiting_step& ws, const gang_plan& plan,
                       const std::vector<gang_option>& options, const advice_terms& terms,
                       time_point now);
    std::vector<gang_option> gang_options(const waiting_step& ws, time_point now);
    const std::vector<std::pair<time_point, resources>>& releases_of(const worker& w,
                                                                     time_point now);
    time_point expected_end(const run_record& run, time_point now) const;
    void place_tasks(waiting_step& ws, std::size_t max_starts, time_point now);
    std::vector<candidate> candidates_for(const waiting_step& ws, time_point now) const;
    void start_task(waiting_step& ws, int index, worker& w, std::int64_t run, time_point now);
    std::int64_t next_run(const step_record& step, int index) const;
    void send_stop(worker& w, run_record& run, time_point now);
    void stop_run(worker& w, run_record& run, time_point now);
    void stop_task(const task_id& id, time_point now);
    void clear_leaving_worker(worker& w, time_point now);
    void finish_job(job_entry& entry, time_point now);
    void handle_start_refusal(worker& w, run_record& run, const start_order& order,
                              order_verdict verdict, time_point now);
    void handle_rows(worker& w, const worker_report& report, time_point now);
    void handle_end(worker& w, const ended_task& end, time_point now);
    void note_outcome(worker& w, const std::string& job, end_reason how, time_point now);
    void handle_task_end(worker& w, job_entry& entry, const task_id& id, const ended_task& end,
                         bool current, time_point now);
    void handle_running(worker& w, const running_task& row, time_point now);
    void handle_unknown_run(worker& w, const running_task& row, time_point now);
    void take_over_run(job_entry& entry, worker& w, run_record& run, time_point now);
    void release_task(job_entry& entry, const task_id& id, time_point now);
    bool drop_run(worker& w, const std::string& task, std::int64_t run);
    const step_spec* step_of(const task_id& id) const;
    std::optional<resources> capacity_of(const task_id& id) const;
    void update_progress_rate(worker& w, const worker_report& report, time_point now);
    void move_slow_runs(const worker& w, const worker_report& report, time_point now);
    void release_missing_runs(worker& w, const worker_report& report, const run_evidence& evidence,
                              time_point now);
    void settle_run(worker& w, run_record& run, const run_evidence& evidence, time_point now);
    std::string other_runs_of(const run_record& run);
    void release_run(worker& w, const run_record& run, evidence_source evidence, time_point now);
    void note_failed_poll(worker& w, const poll_order& order, time_point sent,
                          order_verdict verdict, time_point now);
    void log_poll(const worker& w, const poll_order& order, time_point sent, order_verdict verdict,
                  const worker_report& report, time_point now);
    void note_unsent_poll(worker& w, const poll_order& order, time_point sent,
                          order_verdict verdict);
    void replace_process(worker& w, std::int64_t start_time_ms, std::uint64_t acknowledged_end,
                         time_point now);
    void note_process(worker& w, std::int64_t start_time_ms, std::uint64_t acknowledged_end,
                      time_point sent, time_point now);
    void note_first_answer(worker& w, time_point now);
    void raise_fence(worker& w);
    void doubt_process(worker& w);
    bool replaces(const listed_process& newer, const listed_process& older) const;
    void mark_older_incarnations_lost(const worker_entry& entry, time_point now);
    bool has_newer_incarnation(const worker_entry& entry) const;
    void mark_worker_lost(worker& w, const run_evidence& evidence, time_point now);
    void mark_verified(const std::string& id, const run_evidence& evidence);
    void restart_gang_if_broken(job_entry& entry, const task_id& id, time_point now);

    std::uint64_t fence_;
    /// Declared before all that holds charges.
    std::unique_ptr<memory_account> memory_ =
        std::make_unique<memory_account>(accepted_work_limit(default_memory_mb));
    cancellations cancellations_;
    std::uint64_t highest_fence_; ///< that an order may have
    platform_bounds bounds_;
    configuration config_;
    std::unordered_map<std::string, const queue_policy*> queues_; ///< of `config_`, by name
    worker_roster roster_;
    std::map<std::string, worker> workers_;
    std::unordered_map<std::string, worker_number> worker_numbers_; ///< of all workers ever listed
    std::vector<worker*> workers_by_number_;  ///< null for workers that were removed
    std::set<std::string> workers_with_ends_; ///< their ends aren't all acknowledged
    std::map<std::string, job_entry> jobs_;   ///< those whose final state isn't stored yet
    /// Runs that are being stopped while their task has another, current run: worker and run number
    /// by task. Invariant: a waiting task has no run on any worker.
    std::multimap<std::string, std::pair<std::string, std::int64_t>> surplus_runs_;
    ended_jobs ended_jobs_; ///< none of them is in `jobs_`
    /// Number of jobs with `counted_as_waiting`, by queue.
    std::unordered_map<std::string, int> waiting_jobs_;
    std::map<std::string, waiting_step> waiting_steps_; ///< ready steps that aren't done, by name
    std::vector<advice_request_rank> advice_requests_;  ///< by rank; may lack the newest
    time_point advice_requests_since_;
    std::vector<worker_number> by_room_; ///< may contain workers that were removed since
    time_point by_room_since_;
    bool occurrences_held_ = false; ///< due occurrences wait for memory
    /// Next occurrence of each job that has times, by due time and job id.
    std::set<std::pair<time_point, std::string>> due_occurrences_;
    std::set<std::string> dirty_;              ///< jobs whose progress must be recorded
    std::vector<std::string> obsolete_keys_;   ///< of records that a predecessor meant to remove
    std::set<std::string> unverified_workers_; ///< workers that may run unreported tasks
    /// The element of `unverified_workers_` that stands for all undiscovered workers.
    static constexpr const char* undiscovered_workers = "";
    lease_bound inherited_leases_; ///< of all workers, by orders of earlier leaders
    time_point restored_at_;
    time_point directory_read_at_; ///< when the last complete read of the directory began
    std::optional<time_point> directory_lost_at_; ///< set while reads of the directory fail
    time_point entries_back_at_;    ///< until then the directory may lack workers that run tasks
    bool directory_wanted_ = false; ///< an entry is known to be of an earlier process
    bool starts_held_ = false;      ///< the last read of the directory is too old for new starts
    std::map<std::string, queue_estimate> estimates_; ///< by queue
    std::vector<start_order> starts_;
    std::vector<stop_order> stops_;
    std::vector<decision> decisions_;
    bool batch_in_flight_ = false;
    bool fenced_ = false;
    bool placing_needed_ = true; ///< whether an input changed since the last placing
    std::vector<room_reservation> room_reservations_; ///< by worker, during one placing
    /// Expected ends of each worker's runs, during one placing; empty where not computed yet.
    std::vector<std::optional<std::vector<std::pair<time_point, resources>>>> releases_;
    start_rate start_rate_;
    double waiting_tasks_ = 0;        ///< of all ready steps, at the last placing
    double urgent_waiting_tasks_ = 0; ///< those of queues with priority 0
    resources reserved_total_;
    resources largest_room_;           ///< maximum free amount of each resource, during one placing
    progress_rate pool_progress_rate_; ///< progress rate of all workers
    resources schedulable_capacity_;   ///< capacity of all schedulable workers
    int gang_plans_ = 0;               ///< gang plans made during one placing
};

} // namespace sesamesill::pool
