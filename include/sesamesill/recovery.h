// The table of jobs that every member builds from the log, and the recovery of jobs by a new owner:
// it learns the state of all tasks of a job before it places any of them again.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/platform.h"
#include "sesamesill/submission.h"
#include "sesamesill/work.h"

namespace sesamesill {

enum class task_phase : std::uint8_t {
    waiting,    ///< no attempt can be running
    placing,    ///< a member was asked to start the task
    unresolved, ///< an attempt may be running on an unknown worker
    running,
    done,
    failed,
    not_run,
    unknown ///< the task may have run; a later report of its end replaces this
};

std::string_view name_of(task_phase phase);
/// Returns whether the task has ended; `unknown` counts as an end.
bool is_over(task_phase phase);

/// State of the write-ahead intent of a task: a record that is written before the first dispatch.
enum class intent_state : std::uint8_t { none, queued, durable };

struct job_task {
    task_phase phase = task_phase::waiting;
    intent_state intent = intent_state::none; ///< used for non-idempotent tasks only
    std::uint8_t failures = 0;                ///< number of attempts that ran and failed
    bool durable = false;                     ///< the end of the task is in the log
    std::int32_t attempt = 0;                 ///< number of the newest attempt that was sent
    std::string worker; ///< the worker while running; while placing, the member that was asked
    std::string result;
};

/// Invariant: a task is sent only while `owner` and `resolved` are true. A non-idempotent task is
/// sent only with a durable intent. Once a start of it may have been sent, it is sent again only if
/// it is known not to have run.
struct job {
    submission what;
    std::string id;
    std::uint64_t offset = 0; ///< log offset of the record that accepted the job
    time_point arrived;       ///< when this member read that record
    time_point ended;
    std::int32_t max_attempts = 1;
    outcome final_outcome = outcome::pending;
    error reason;
    bool owner = false;              ///< this member owns the job and decides about it
    bool resolved = false;           ///< the owner knows the state of all tasks
    bool owned_since_accept = false; ///< this member accepted the job and has owned it since
    bool cancelled = false;
    std::vector<job_task> tasks;
    std::size_t open = 0; ///< number of tasks that are not over
};

/// The state of one task as the owner of its worker's shard reports it.
struct listed_task {
    std::string task;
    std::int32_t attempt = 0;
    task_state state = task_state::running;
    std::string worker;
    std::string result;
};

/// Answer of a member to the owner of jobs that recovers them.
struct recovery_answer {
    std::string member;
    std::vector<std::string> shards; ///< owned shards whose workers are all accounted for
    std::vector<listed_task> tasks;
    micros uptime{0}; ///< how long the member's process has been running
};

/// A record to append to the log, or a task to stop, as the result of an event.
struct job_action {
    enum class kind : std::uint8_t { append_intent, append_end, append_job_outcome, stop_task };

    kind what = kind::append_end;
    std::string id;
    std::size_t index = 0;
    std::int32_t attempt = 0;
    task_phase phase = task_phase::waiting; ///< append_end: the phase in which the task ended
    std::string result;
};

using job_actions = std::vector<job_action>;

struct end_result {
    bool acknowledge = false; ///< the worker may forget the task: its end is durable or is ignored
    job_actions actions;
};

struct job_limits {
    micros retention = std::chrono::minutes(10); ///< how long ended jobs are remembered
    bool intent_first = true;  ///< false in tests only: start without a durable intent
    bool resolve_first = true; ///< false in tests only: place tasks before recovery
};

/// Returns the name of a task: "<job>/<index>".
std::string task_name(const std::string& id, std::size_t index);
std::string job_of(const std::string& task);
std::optional<std::size_t> index_of(const std::string& task);

class job_table {
public:
    explicit job_table(std::string self, job_limits limits = {});

    /// Adds an accepted job. Records are read in log order; later records of the same id are
    /// ignored.
    job* accept_read(const std::string& id, const submission& what, std::int32_t max_attempts,
                     const std::string& writer, std::uint64_t offset, bool is_owner,
                     time_point now);
    void intent_read(const std::string& id, const std::vector<std::size_t>& indices);
    void end_read(const std::string& id, std::size_t index, task_phase phase,
                  const std::string& result);
    void outcome_read(const std::string& id, outcome final_outcome, time_point now);
    job_actions cancel_read(const std::string& id, time_point now);

    /// Updates which jobs this member owns after a change of members.
    void update_ownership(const std::function<bool(const std::string& id)>& is_owner);
    /// Marks all running tasks as unresolved so that the next recovery checks them: a worker may
    /// have lost them while the owner of its shard changed.
    void recheck_running();
    /// Ends jobs whose deadline passed as not run, if no start of any of their tasks was sent.
    job_actions update_deadlines(time_point now);

    /// Begins to recover all unresolved jobs that this member owns. The recovery ends when answers
    /// for all `shards` have arrived. Returns the ids of the jobs; empty if there is nothing to
    /// recover or a recovery is in progress.
    std::vector<std::string> begin_recovery(std::set<std::string> shards, time_point now);
    /// Merges a member's answer; resolves the jobs once answers cover every shard.
    job_actions handle_answer(const recovery_answer& answer, time_point now);
    bool recovering() const { return recovery_.has_value(); }
    time_point recovery_begun() const { return recovery_ ? recovery_->begun : time_point{}; }
    /// Ends a recovery in which an answer is missing; the jobs stay unresolved until the next one.
    void abandon_recovery() { recovery_.reset(); }

    /// Returns whether a task may be sent now; adds an action that appends a missing intent.
    bool may_send(job& j, std::size_t index, job_actions& out) const;
    /// Records that a new attempt is sent to member `to` and returns its number.
    std::int32_t sent(job& j, std::size_t index, const std::string& to);
    /// Records that the attempt runs on `worker`.
    void placed(const std::string& id, std::size_t index, std::int32_t attempt,
                const std::string& worker);
    /// Records that the attempt did not start.
    void refused(const std::string& id, std::size_t index, std::int32_t attempt);
    /// Records that the request to start the attempt was not answered: it may have started.
    void unanswered(const std::string& id, std::size_t index, std::int32_t attempt, time_point now);
    /// Handles the reported end of an attempt. The report is repeated until it is acknowledged.
    end_result ended(const listed_task& report, time_point now);

    /// Removes jobs that ended longer ago than the retention time.
    void forget(time_point now);
    job* find(const std::string& id);
    std::map<std::string, job>& jobs() { return jobs_; }
    const std::map<std::string, job>& jobs() const { return jobs_; }
    /// Returns the ids of the owned jobs that have tasks to place.
    const std::set<std::string>& placeable() const { return placeable_; }

private:
    struct recovery {
        std::set<std::string> asked_tasks; ///< tasks that were unresolved at `begun`
        std::set<std::string> shards_left; ///< shards without an answer
        std::map<std::string, listed_task> tasks;
        std::map<std::string, micros> uptime; ///< by member that answered
        time_point begun;
    };

    void take_over(job& j);
    void resolve(job& j, time_point now, job_actions& out);
    void merge_listed(const listed_task& t);
    void resolve_task(job& j, std::size_t index, time_point now, job_actions& out);
    void finish_task(job& j, std::size_t index, task_phase phase, const std::string& result,
                     time_point now, job_actions& out);
    void finish_job(job& j, time_point now, job_actions& out);
    void update_placeable(const job& j);

    std::string self_;
    job_limits limits_;
    std::map<std::string, job> jobs_;
    std::set<std::string> placeable_;
    std::set<std::string> unresolved_;
    std::optional<recovery> recovery_;
    /// By task whose start was not answered: the time at which this was noted.
    std::map<std::string, time_point> unanswered_at_;
};

} // namespace sesamesill
