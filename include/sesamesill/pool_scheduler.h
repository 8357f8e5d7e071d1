// The one scheduler of a pool: takes jobs, workers' reports and answers as events with a time, and
// hands out orders, calls for advice and records. No sockets, no clock, no threads.
//
// A scheduler lives as long as its leader's claim; its fence is the claim's offset. A successor
// restores jobs from the records, then learns from each worker what runs there. Until every worker
// that the predecessor may have used has answered or has surely lost its lease, inherited tasks
// that nobody lists don't start: they might run on a silent worker.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_order.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/pool_progress.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

enum class decision_kind : std::uint8_t {
    accepted,
    refused,
    advised,
    advice_failed,
    begun, ///< the first start of a job
    started,
    start_failed,
    ended,
    stopped,
    cancelled,
    finished,
    worker_joined,
    worker_drains,
    worker_left,
    worker_lost,
    worker_reborn,
    worker_avoided,
    run_vanished,
    run_adopted,
    end_not_taken
};

std::string_view name_of(decision_kind kind);

/// One line for the log: what was decided on which inputs.
struct decision {
    decision_kind kind = decision_kind::accepted;
    std::string job;    ///< empty where it concerns a worker only
    std::string queue;  ///< of the job
    std::string worker; ///< empty where it concerns a job only
    std::string detail;
    std::int64_t age_ms = 0; ///< of the input that decided it
};

enum class admission : std::uint8_t { accept, known, refuse };

struct admission_answer {
    admission verdict = admission::refuse;
    std::string reason;
    millis retry_after{0};
};

enum class cancel_answer : std::uint8_t { cancelled, already_final, not_known };

struct advice_call {
    std::string step; ///< name of the step: JOB.OCCURRENCE.STEP
    std::vector<std::string> workers;
    millis expected{0}; ///< how long the advisor takes
};

/// Records that must be stored before what they allow may happen.
struct record_batch {
    std::vector<keyed_record> records;
    std::map<std::string, std::uint64_t> ends; ///< by worker: ends up to here are covered
    std::vector<std::string> finals;           ///< jobs whose final state is in the records
    bool empty() const { return records.empty() && ends.empty(); }
};

/// Room that waits for a gang of a higher rank; tasks that end before may use it.
struct held_room {
    resources amount;
    time_point until;
};

class scheduler {
public:
    scheduler(std::uint64_t fence, platform_bounds bounds, time_point now);

    std::uint64_t fence() const { return fence_; }
    void configure(const configuration& config);

    /// Takes over a job from the records of a predecessor.
    void restore(const std::string& id, const Json::Value& job, const Json::Value& progress,
                 std::int64_t wall_ms, time_point now);
    /// Ends the restoring; workers listed so far are in doubt until `doubt_until` or their answer.
    void restored(time_point now, time_point doubt_until);

    void list_worker(const worker_entry& entry, time_point now);
    void unlist_worker(const std::string& id);

    /// Takes note that the workers' directory has been read to its end, from `begun` on. Until this
    /// is after the claim, a worker that isn't known may run inherited tasks.
    void directory_known(time_point begun);
    /// Takes note that a record was stored which was sent at `sent`: whoever claims the lead after
    /// that reads of all workers that were listed before, and looks at them. Others aren't used.
    void wrote(time_point sent);

    /// Says whether the job can be served; the job isn't taken yet.
    admission_answer admit(const job_spec& spec) const;
    /// Returns the record that makes an admitted job durable.
    static keyed_record record_of(const job_spec& spec, std::int64_t wall_ms);
    /// Takes a job whose record is stored.
    void add(const job_spec& spec, std::int64_t wall_ms, time_point now);
    cancel_answer cancel(const std::string& id, time_point now);
    /// Returns the state that may be shown, final ones only once they are stored.
    std::optional<job_state> shown(const std::string& id) const;
    int waiting_in(const std::string& queue) const;

    void on_start(const start_order& order, order_verdict verdict, std::int64_t clock_ms,
                  time_point now);
    void on_stop(const stop_order& order, order_verdict verdict, time_point now);
    void on_hold(const hold_order& order, time_point sent, order_verdict verdict,
                 const worker_report& report, time_point now);
    void on_advice(const advice_call& call, const advice_answer& answer, time_point now);

    /// Lets time pass: leases that have run out, orders to be sent again.
    void tick(time_point now);
    /// Starts what can be started.
    void place(time_point now);

    std::vector<start_order> take_starts();
    std::vector<stop_order> take_stops();
    /// Returns the next call for advice, at most `longest` long, or nothing.
    std::optional<advice_call> next_advice(millis longest, time_point now);
    /// Returns the order that looks at the worker and renews its lease.
    std::optional<hold_order> hold_for(const std::string& worker, millis wait, time_point now);
    std::vector<std::string> worker_ids() const;
    /// Returns whether ends of this worker wait to be recorded.
    bool has_unrecorded_ends(const std::string& worker) const;

    /// Returns what is to be recorded next; nothing while an earlier batch is under way, as its
    /// ends aren't recorded yet.
    record_batch take_records(std::int64_t wall_ms);
    void recorded(const record_batch& batch);
    /// Returns a batch that couldn't be stored, so that it goes into the next one.
    void not_recorded(const record_batch& batch);
    std::vector<decision> take_decisions();

    /// Returns whether a worker has obeyed a higher fence: another leader is at work.
    bool fenced() const { return fenced_; }
    std::size_t doubts() const { return doubts_.size(); }
    std::size_t jobs() const { return jobs_.size(); }
    std::size_t queued_steps() const { return units_.size(); }
    const std::map<std::string, worker>& workers() const { return workers_; }

private:
    struct job_entry {
        job_progress progress;
        bool inherited = false;
        bool final_stored = false;
        std::int64_t final_ms = 0; ///< Unix time at which the final state was recorded
    };

    const queue_policy* queue_of(const std::string& name) const;
    worker* find_worker(const std::string& id);
    void note(decision_kind kind, const std::string& job, const std::string& worker,
              std::string detail, std::int64_t age_ms = 0);
    void open_units(job_entry& entry, time_point now);
    void open_due(time_point now);
    void close_units(const std::string& job);
    void refresh(unit& u, const job_entry& entry, time_point now);
    int most_at_once(const step_spec& step, const queue_policy& queue) const;
    bool is_eligible(const worker& w, const step_spec& step, const queue_policy& queue,
                     time_point now) const;
    std::vector<worker*> workers_for(const unit& u, const step_spec& step,
                                     const queue_policy& queue, time_point now);
    std::vector<std::string> workers_to_ask(const unit& u, const step_spec& step,
                                            const queue_policy& queue, time_point now) const;
    void measure_room(time_point now);
    bool may_fit(const resources& need) const;
    double estimate_ms(const std::string& queue, const step_spec& step) const;
    std::vector<double> estimates_of(const job_spec& spec) const;
    std::vector<unit*> ranked_units(time_point now);
    bool may_start(const unit& u, const job_entry& entry, time_point now) const;
    void place_gang(unit& u, job_entry& entry, time_point now);
    void hold_back_for(unit& u, const job_entry& entry, time_point now);
    void renew_tickets(unit& u, const gang_plan& plan, const std::vector<gang_option>& options,
                       const advice_terms& terms, time_point now);
    std::vector<gang_option> gang_options(unit& u, const job_entry& entry, time_point now);
    time_point expected_end(const run_record& run, time_point now) const;
    void place_tasks(unit& u, job_entry& entry, time_point now);
    std::vector<candidate> candidates_for(unit& u, const job_entry& entry, time_point now);
    void start_task(unit& u, job_entry& entry, int index, worker& w, std::int64_t run,
                    time_point now);
    std::int64_t next_run(const step_record& step, int index) const;
    void send_stop(worker& w, run_record& run, time_point now);
    void stop_task(const task_id& id, time_point now);
    void finish_job(job_entry& entry, time_point now);
    void handle_start_refusal(worker& w, run_record& run, const start_order& order,
                              order_verdict verdict, time_point now);
    void handle_end(worker& w, const ended_task& end, time_point now);
    void handle_task_end(worker& w, job_entry& entry, const task_id& id, const ended_task& end,
                         bool current, time_point now);
    void handle_running(worker& w, const running_task& row, time_point now);
    const step_spec* step_of(const task_id& id) const;
    void update_progress_rate(worker& w, const worker_report& report, time_point now);
    void move_slow_runs(const worker& w, const worker_report& report, time_point now);
    void release_missing_runs(worker& w, const worker_report& report, time_point sent,
                              time_point now);
    void release_run(worker& w, const run_record& run, time_point now);
    void mark_worker_lost(worker& w, const std::string& why, time_point now);
    void resolve_doubt(const std::string& id);
    void restart_gang_if_broken(job_entry& entry, const task_id& id, time_point now);

    std::uint64_t fence_;
    platform_bounds bounds_;
    configuration config_;
    std::map<std::string, worker> workers_;
    std::map<std::string, job_entry> jobs_;
    std::map<std::string, unit> units_;                ///< ready steps that aren't done, by name
    std::set<std::pair<time_point, std::string>> due_; ///< the next occurrences of jobs with times
    std::set<std::string> dirty_;                      ///< jobs whose progress has to be recorded
    std::set<std::string> doubts_;                     ///< workers that may run what nobody lists
    static constexpr const char* directory_doubt =
        ""; ///< among them: workers that aren't known yet
    time_point doubt_until_;
    time_point restored_at_;
    std::map<std::string, class_estimate> estimates_; ///< by queue
    std::vector<start_order> starts_;
    std::vector<stop_order> stops_;
    std::vector<decision> decisions_;
    bool batch_under_way_ = false;
    bool fenced_ = false;
    bool changed_ = true;                        ///< since the last placing
    std::map<std::string, held_room> held_back_; ///< by worker, during one placing
    resources held_back_total_;
    resources largest_room_;           ///< upper bound in each dimension, during one placing
    progress_rate pool_progress_rate_; ///< of all workers
    resources whole_;                  ///< capacity of all workers that are open
    int gang_plans_ = 0;               ///< made during one placing
};

} // namespace sesamesill::pool
