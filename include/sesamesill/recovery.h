// Jobs as every member keeps them from the log, and how a new home learns what became of their
// tasks before it places any again.

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
    placing,    ///< a member was asked to start it
    unresolved, ///< an attempt may be running, somewhere
    running,
    done,
    failed,
    not_run,
    unknown ///< may have run; a later report of its end replaces this
};

std::string_view name_of(task_phase phase);
/// Returns whether nothing more is to come; `unknown` counts as an end.
bool is_over(task_phase phase);

enum class intent_state : std::uint8_t { none, queued, durable };

struct job_task {
    task_phase phase = task_phase::waiting;
    intent_state intent = intent_state::none; ///< non-idempotent tasks: before the first start
    std::uint8_t failures = 0;                ///< attempts that ran and failed
    bool durable = false;                     ///< its end is in the log
    std::int32_t attempt = 0;                 ///< the newest that was sent
    std::string worker;                       ///< while running; the member asked while placing
    std::string result;
};

/// Invariant: a task is sent only while `owner` and `resolved`; a non-idempotent one only with a
/// durable intent, and never again once a start may have left, unless it is known not to have run.
struct job {
    submission what;
    std::string id;
    std::uint64_t offset = 0; ///< of the record that accepted it
    time_point arrived;       ///< when this member read that record
    time_point ended;
    std::int32_t max_attempts = 1;
    outcome final_outcome = outcome::pending;
    error reason;
    bool owner = false;              ///< this member decides
    bool resolved = false;           ///< the home knows where all tasks are
    bool owned_since_accept = false; ///< it has been the home since the job was accepted
    bool cancelled = false;
    std::vector<job_task> tasks;
    std::size_t open = 0; ///< tasks that are not over
};

/// One task on the list of a shard's owner.
struct listed_task {
    std::string task;
    std::int32_t attempt = 0;
    task_state state = task_state::running;
    std::string worker;
    std::string result;
};

/// What a member answers to a home that recovers jobs.
struct recovery_answer {
    std::string member;
    std::vector<std::string> shards; ///< whose workers are all accounted for
    std::vector<listed_task> tasks;
    micros uptime{0}; ///< how long the member's process has been running
};

/// What is to be written or done because of an event.
struct job_action {
    enum class kind : std::uint8_t { append_intent, append_end, append_job_outcome, stop_task };

    kind what = kind::append_end;
    std::string id;
    std::size_t index = 0;
    std::int32_t attempt = 0;
    task_phase phase = task_phase::waiting; ///< ends
    std::string result;
};

using job_actions = std::vector<job_action>;

struct end_result {
    bool acknowledge = false; ///< the worker may forget the task: its end is durable or of no use
    job_actions actions;
};

struct job_limits {
    micros retention = std::chrono::minutes(10); ///< how long ended jobs are remembered
    bool intent_first = true;                    ///< test only
    bool resolve_first = true;                   ///< test only: off places before it has asked
};

/// "<job>/<index>"
std::string task_name(const std::string& id, std::size_t index);
std::string job_of(const std::string& task);
std::optional<std::size_t> index_of(const std::string& task);

class job_table {
public:
    explicit job_table(std::string self, job_limits limits = {});

    /// Takes an accepted job in log order; the first record of an id counts.
    job* accept_read(const std::string& id, const submission& what, std::int32_t max_attempts,
                     const std::string& writer, std::uint64_t offset, bool is_owner,
                     time_point now);
    void intent_read(const std::string& id, const std::vector<std::size_t>& indices);
    void end_read(const std::string& id, std::size_t index, task_phase phase,
                  const std::string& result);
    void outcome_read(const std::string& id, outcome final_outcome, time_point now);
    job_actions cancel_read(const std::string& id, time_point now);

    /// Takes over and gives up jobs after a change of members.
    void update_ownership(const std::function<bool(const std::string& id)>& is_owner);
    /// Asks again after all running tasks: a worker may have lost them while its owner changed.
    void recheck_running();
    job_actions update_deadlines(time_point now);

    /// Begins to recover all unsettled jobs of this home that need the word of `shards`; returns
    /// their ids, none where there is nothing to recover.
    std::vector<std::string> begin_recovery(std::set<std::string> shards, time_point now);
    /// Takes a member's answer; settles the jobs once every shard has answered.
    job_actions handle_answer(const recovery_answer& answer, time_point now);
    bool recovering() const { return recovery_.has_value(); }
    time_point recovery_begun() const { return recovery_ ? recovery_->begun : time_point{}; }
    /// A lost member or answer: the jobs stay unsettled until the next recovery.
    void abandon_recovery() { recovery_.reset(); }

    /// Returns whether a task may be sent now; asks for its intent where that is missing.
    bool may_send(job& j, std::size_t index, job_actions& out) const;
    /// Counts a new attempt and returns it.
    std::int32_t sent(job& j, std::size_t index, const std::string& to);
    void placed(const std::string& id, std::size_t index, std::int32_t attempt,
                const std::string& worker);
    /// The attempt certainly did not start.
    void refused(const std::string& id, std::size_t index, std::int32_t attempt);
    /// The attempt may have started.
    void unanswered(const std::string& id, std::size_t index, std::int32_t attempt, time_point now);
    /// Takes the end of an attempt; it is told again until it is acknowledged.
    end_result ended(const listed_task& report, time_point now);

    void forget(time_point now);
    job* find(const std::string& id);
    std::map<std::string, job>& jobs() { return jobs_; }
    const std::map<std::string, job>& jobs() const { return jobs_; }
    /// Jobs of this home with tasks to place, in order of their ids.
    const std::set<std::string>& placeable() const { return placeable_; }

private:
    struct recovery {
        std::set<std::string>
            asked_tasks; ///< tasks that were unsettled when the question was asked
        std::set<std::string> shards_left;
        std::map<std::string, listed_task> tasks;
        std::map<std::string, micros> uptime; ///< of the members that answered
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
    std::map<std::string, time_point> sent_at_; ///< of tasks whose start was not answered
};

} // namespace sesamesill
