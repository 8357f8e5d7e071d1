// Pure functions that rank waiting steps and choose workers for their tasks.
//
// The expected load: a pool that is nearly full most of the time and gets bursts of twice its
// capacity, jobs whose sizes differ by a factor of a hundred, and advisors that approve only a
// third of the workers for a step.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/pool_progress.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

struct ticket {
    std::string text;
    time_point until; ///< no start uses the ticket after this time
};

/// Inputs of a step's rank.
struct rank_inputs {
    int priority = 0;
    double job_work = 0;           ///< core-seconds of the whole job
    double mean_work = 0;          ///< core-seconds of a job of this queue, on average
    double remaining_work = 0;     ///< core-seconds of the occurrence's unfinished tasks
    double remaining_chain_ms = 0; ///< run time of the longest chain of unfinished steps
    double waited_ms = 0;          ///< since the occurrence was due or the job was accepted
    double objective_ms = 0;       ///< time within which the job should end
    bool interrupted = false;      ///< a long-running step that lost tasks; it has no end
};

/// A step that waits for room. An advisor's verdict on a worker stays valid; only the ticket
/// expires. Invariant: the scheduler removes the step before its job.
struct waiting_step {
    task_id first; ///< task with index 0 of the step
    job_progress* job = nullptr;
    const queue_policy* queue = nullptr; ///< null while the configuration lacks the job's queue
    bool inherited = false;              ///< accepted by an earlier leader
    std::map<worker_number, ticket> approved;
    std::set<worker_number> denied;
    bool advice_pending = false; ///< whether an advice call is in flight
    time_point next_call_after;  ///< earliest time of the next advice call
    time_point next_start_after; ///< earliest time of the next start, after a refused one
    time_point last_call;        ///< start time of the last advice call
    /// Workers to name in the next advice calls; if empty, the scheduler selects them.
    std::vector<worker_number> next_call_workers;
    double score = 0;
    rank_inputs rank;  ///< computed at `ranked`, except for `waited_ms`
    double run_ms = 0; ///< expected run time of one task, computed at `ranked`
    time_point ranked; ///< when `rank` and `run_ms` were last computed
};

/// Observed means of a queue's tasks and jobs.
struct queue_estimate {
    double mean_run_ms = 0; ///< run time of successful runs
    double mean_work = 0;   ///< core-seconds of a job
    std::uint64_t runs = 0;
    std::uint64_t jobs = 0;
};

/// Updates a running mean by `value`; early values have more weight.
void update_mean(double& mean, std::uint64_t& count, double value);

/// Returns the expected run time of a task. Clients' estimates are off by factors, so the queue's
/// observed mean has more weight.
double expected_run_ms(const queue_estimate& observed, double estimate_ms);

/// Returns the time within which a job of this size should end.
double objective_ms(const queue_policy& queue, const job_size& size);

/// Returns the step's rank; steps with a higher rank are placed first.
double rank_of(const rank_inputs& in);

/// Returns for each member whether it makes only short advice calls, given the members' processor
/// shares. An advisor serves one call of a member at a time. Load: bursts of short steps while long
/// calls, thirty times as long, occupy all other members. The quarter with the largest shares is
/// reserved, at least one of several.
std::vector<bool> reserve_for_short_calls(const std::vector<double>& shares);

/// A worker on which tasks of a step may start now.
struct candidate {
    worker* target = nullptr;
    resources room; ///< free room minus reservations for gangs
    int fits = 0;   ///< number of tasks that fit into `room`
    bool ticket_valid = true;
    bool preferred = false; ///< whether its rack holds the step's data
};

/// Returns whether the worker belongs to the queue's service and has the capacity and label that a
/// task of the step needs.
bool may_run(const worker_entry& entry, const step_spec& step, const queue_policy& queue);

/// Returns how many tasks of `need` fit into `room`, at most `limit`.
int count_fitting(const resources& need, const resources& room, int limit);

/// Returns the number of tasks for each candidate, or an empty list if the tasks don't all fit.
std::vector<int> spread_gang(const std::vector<candidate>& candidates, int tasks, bool same_rack);

/// A worker that can run members of a gang, now or after some of its runs end.
struct gang_option {
    worker* target = nullptr;
    resources room; ///< room that is free now
    int limit = 0;  ///< maximum number of members on this worker
    /// Expected end of each run and the room that it releases, in order of time.
    std::vector<std::pair<time_point, resources>> releases;
};

/// The time and workers at which a gang can start. Invariant: `counts` has one element per option,
/// in the same order.
struct gang_plan {
    time_point ready;
    std::vector<int> counts;
};

/// Returns a plan for the earliest time at which all members fit, or nothing if they never do.
std::optional<gang_plan> plan_gang(const std::vector<gang_option>& options, const resources& need,
                                   int tasks, time_point now);

/// Returns the index of the best candidate for one task, or -1. Prefers the rack that holds the
/// data, then a valid ticket, then the worker with the least room left. Processes in `avoid`
/// come last.
int pick_candidate(const std::vector<candidate>& candidates, const resources& need,
                   const std::set<process_id>& avoid);

} // namespace sesamesill::pool
