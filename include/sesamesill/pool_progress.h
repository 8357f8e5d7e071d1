// One accepted job: which of its tasks wait, run or are done, how often they failed, and what of
// that must outlive the leader.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class task_phase : std::uint8_t {
    waiting,
    starting, ///< ordered, no answer yet
    running,
    stopping, ///< ordered to stop, its end isn't listed yet
    done
};

struct task_record {
    task_phase phase = task_phase::waiting;
    std::int64_t run = 0;               ///< highest run number used so far
    std::string worker;                 ///< while it is neither waiting nor done
    std::set<std::int64_t> failed_runs; ///< each counts once, in whatever order they are heard of
    std::set<std::string> failed_on;    ///< workers on which it failed; tried last
    std::string checkpoint;
    time_point started;
    int percent = 0;
    time_point advanced; ///< when `percent` last rose
    int moves = 0;       ///< away from workers that were slow
};

/// One step of one occurrence. Invariant: `waiting`, `active` and `done` count the phases of
/// `tasks`.
struct step_record {
    std::vector<task_record> tasks;
    int waiting = 0;
    int active = 0;
    int done = 0;
    std::set<std::int64_t> failed_runs; ///< of the whole gang
    time_point ready_since;             ///< when the last step that it waits for was done
};

struct occurrence_record {
    std::vector<step_record> steps;
};

/// The aggregate that owns a job's progress. Invariant: a step's tasks leave `waiting` only when
/// all steps that it waits for are done.
class job_progress {
public:
    job_progress(job_spec spec, std::int64_t accepted_ms, time_point accepted);

    const job_spec& spec() const { return spec_; }
    job_state state() const { return state_; }
    time_point accepted() const { return accepted_; }
    std::int64_t accepted_ms() const { return accepted_ms_; }
    /// Returns when the occurrence may begin: at once where the job has no times.
    time_point due(int occurrence) const;
    int occurrences() const { return static_cast<int>(occurrences_.size()); }
    step_record& step_at(int occurrence, int number)
    {
        return occurrences_[static_cast<std::size_t>(occurrence)]
            .steps[static_cast<std::size_t>(number)];
    }
    const step_record& step_at(int occurrence, int number) const
    {
        return occurrences_[static_cast<std::size_t>(occurrence)]
            .steps[static_cast<std::size_t>(number)];
    }
    /// Returns the task, or null where the job has no such task.
    task_record* find(const task_id& id);
    /// Returns whether all steps that this one waits for are done.
    bool is_ready(int occurrence, int number) const;
    /// Returns whether some task has ever been started.
    bool has_begun() const { return begun_; }

    void started(const task_id& id, const std::string& worker, std::int64_t run, time_point now);
    void confirm(const task_id& id);
    /// Takes over a run that a worker lists.
    void adopt(const task_id& id, const std::string& worker, std::int64_t run, time_point now);
    void stopping(const task_id& id);
    /// Puts a task back to wait.
    void release(const task_id& id);
    /// Counts a task, or its whole gang, as done.
    void finish(const task_id& id);
    /// Counts a failed run; returns whether the job has failed for good.
    bool fail(const task_id& id, std::int64_t run, int max_attempts);
    void cancel() { state_ = job_state::cancelled; }

    /// Returns what a successor can't learn from workers.
    Json::Value saved() const;
    void restore(const Json::Value& saved);

private:
    void set_phase(step_record& step, task_record& task, task_phase phase);
    void update_state();

    job_spec spec_;
    std::int64_t accepted_ms_; ///< Unix time
    time_point accepted_;
    std::vector<occurrence_record> occurrences_;
    job_state state_ = job_state::queued;
    bool begun_ = false;
};

/// Returns the run times of the longest chain of steps, and the work of all tasks in core-seconds,
/// each as estimated by `estimate(step)` in milliseconds.
struct job_size {
    double chain_ms = 0;
    double core_seconds = 0;
};

job_size size_of(const job_spec& spec, const std::vector<double>& estimates_ms);

/// Returns the same of what isn't done yet of one occurrence.
job_size remaining_size(const job_progress& job, int occurrence,
                        const std::vector<double>& estimates_ms);

} // namespace sesamesill::pool
