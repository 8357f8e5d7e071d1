// The progress of one accepted job: the phase and failures of each task, and the part of this state
// that is stored for a later leader. Only occurrences that are open have tasks: one that isn't due
// is known by its number, and one whose tasks are all done by a mark.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"
#include "sesamesill/json.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class task_phase : std::uint8_t {
    waiting,
    starting, ///< the start order has no answer yet
    running,
    stopping, ///< the stop order is sent; the worker hasn't reported the end yet
    done
};

struct task_record {
    task_phase phase = task_phase::waiting;
    std::int64_t run = 0; ///< highest run number used so far
    std::string worker;   ///< set unless the task is waiting or done
    /// A set, so that a repeated report counts once; of a long-running task, the newest ones.
    std::set<std::int64_t> failed_runs;
    std::set<process_id> failed_on; ///< processes at which the task failed; they are tried last
    std::string checkpoint;
    time_point started;
    int percent = 0;
    time_point advanced; ///< when `percent` last rose
    int moves = 0;       ///< number of moves away from slow workers
};

/// One step of one occurrence. Invariant: `waiting`, `active` and `done` count the phases of
/// `tasks`.
struct step_record {
    std::vector<task_record> tasks;
    int waiting = 0;
    int active = 0;
    int done = 0;
    std::set<std::int64_t> failed_runs; ///< failed runs of a gang
    time_point ready_since;             ///< when the last step in `after` was done
};

/// A stored part of a job's progress covers this many tasks, in the order of their occurrences and
/// steps. The store limits the size of a record.
constexpr int tasks_per_part = 256;

/// The parsed values of the stored parts of a job's progress, by number.
using progress_parts = std::map<int, Json::Value>;

struct occurrence_record {
    std::vector<step_record> steps;
};

/// The progress of a job. Invariants: a step's tasks leave `waiting` only when all steps in its
/// `after` list are done; no occurrence is both open and complete.
class job_progress {
public:
    job_progress(job_spec spec, std::int64_t accepted_ms, time_point accepted);

    const job_spec& spec() const { return spec_; }
    job_state state() const { return state_; }
    time_point accepted() const { return accepted_; }
    std::int64_t accepted_ms() const { return accepted_ms_; }
    /// Returns the earliest start of the occurrence; the time of acceptance if the job has no
    /// times.
    time_point due(int occurrence) const;
    int occurrences() const { return std::max(1, spec_.occurrences); }
    /// The occurrences that have tasks, by number.
    const std::map<int, occurrence_record>& open_occurrences() const { return open_; }
    bool is_open(int occurrence) const { return open_.count(occurrence) > 0; }
    /// Returns whether all tasks of the occurrence are done.
    bool is_complete(int occurrence) const;
    /// Adds the tasks of an occurrence, unless it's open or complete.
    void open(int occurrence);
    /// Returns a step of an open occurrence.
    step_record& step_at(int occurrence, int number)
    {
        return open_.at(occurrence).steps[static_cast<std::size_t>(number)];
    }
    const step_record& step_at(int occurrence, int number) const
    {
        return open_.at(occurrence).steps[static_cast<std::size_t>(number)];
    }
    /// Returns whether all tasks of the step are done.
    bool is_step_done(int occurrence, int number) const;
    /// Returns whether the job has such a task, in an open occurrence or not.
    bool has_task(const task_id& id) const;
    /// Returns the task, or null if the job has no such task or its occurrence isn't open.
    task_record* find(const task_id& id);
    const task_record* find(const task_id& id) const;
    /// Returns whether all steps in the step's `after` list are done, in an open occurrence.
    bool is_ready(int occurrence, int number) const;
    /// Returns whether a start of any task was ever sent, or has begun.
    bool is_ordered() const { return ordered_ || begun_; }
    /// Returns whether any task has ever begun, as far as workers have said.
    bool has_begun() const { return begun_; }

    void started(const task_id& id, const std::string& worker, std::int64_t run, time_point now);
    void confirm(const task_id& id);
    /// Records a run that a worker reports and that an earlier leader started.
    void adopt(const task_id& id, const std::string& worker, std::int64_t run, time_point now);
    void stopping(const task_id& id);
    /// Returns a task to the `waiting` phase.
    void release(const task_id& id);
    /// Marks a task, or its whole gang, as done.
    void finish(const task_id& id);
    /// Records a failed run. Returns whether this makes the job fail.
    bool fail(const task_id& id, std::int64_t run, int max_attempts);
    /// Makes the job fail if a task of `step` has `max_attempts` failed runs. Returns whether it
    /// does.
    bool fail_if_exhausted(int step, int max_attempts);
    void cancel() { state_ = job_state::cancelled; }
    /// Sets the checkpoint from which the task resumes.
    void set_checkpoint(task_record& task, std::string checkpoint);
    /// Drops the tasks of a job in a final state, and what only its starts needed.
    void drop_tasks();
    /// Returns the estimated bytes of checkpoints and failures.
    std::size_t accumulated_bytes() const { return task_growth_; }

    /// Returns the numbers of the parts that may be stored.
    const std::set<int>& stored_parts() const { return stored_parts_; }
    /// Marks the part that covers the task, or its whole gang, as changed.
    void mark_unsaved(const task_id& id);
    void mark_unsaved(int part);
    /// Returns the parts that have changed since the last call.
    std::set<int> take_unsaved();
    /// Returns the state of a part that a later leader can't get from workers, in stored form.
    /// Leaves checkpoints out if it would have more than `max_bytes` otherwise.
    std::string saved(int part, std::size_t max_bytes) const;
    /// Restores the state from the parsed values of `saved()`. A part may also cover the whole job.
    void restore(const progress_parts& saved);

private:
    int part_of(const task_id& id) const;
    std::string saved(int part, bool with_checkpoints) const;
    void restore_part(int part, const Json::Value& saved);
    void write_complete(json_writer& out, int begin, int end) const;
    void restore_complete(int part, const Json::Value& ranges);
    void mark_complete(int occurrence);
    void close_if_complete(int occurrence);
    void set_phase(step_record& step, task_record& task, task_phase phase);
    void update_state();

    job_spec spec_;
    std::int64_t accepted_ms_; ///< Unix time
    time_point accepted_;
    std::map<int, occurrence_record> open_; ///< by number
    std::vector<bool> complete_;            ///< by occurrence; may end before the last one
    std::size_t task_growth_ = 0;           ///< estimated bytes of checkpoints and failures
    std::vector<int> first_tasks_; ///< by step: its first task's position within its occurrence
    int tasks_per_occurrence_ = 0;
    std::int64_t unfinished_tasks_; ///< of all occurrences
    std::set<int> unsaved_parts_;
    std::set<int> stored_parts_;
    job_state state_ = job_state::queued;
    bool ordered_ = false;
    bool begun_ = false;
};

/// The run time of the longest chain of steps and the work of all tasks.
struct job_size {
    double chain_ms = 0;
    double core_seconds = 0;
};

/// Returns the size of one occurrence; `estimates_ms` has the run time of a task for each step.
job_size size_of(const job_spec& spec, const std::vector<double>& estimates_ms);

/// Returns the size of the unfinished part of an occurrence.
job_size remaining_size(const job_progress& job, int occurrence,
                        const std::vector<double>& estimates_ms);

} // namespace sesamesill::pool
