// Which step goes next, and on which workers. Pure functions over plain values.
//
// The load it is made for: a pool that is nearly full on an ordinary day and offered twice its size
// in bursts, by jobs whose sizes differ a hundredfold, under advisors that let a step run on a
// third of the workers only.

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
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

struct ticket {
    std::string text;
    time_point until; ///< not used later than this
};

/// Inputs of a step's rank.
struct rank_inputs {
    int priority = 0;
    double job_work = 0;       ///< core-seconds of the whole job
    double mean_work = 0;      ///< of the queue's jobs
    double remaining_work = 0; ///< core-seconds that are still to be done
    double remaining_chain_ms = 0;
    double waited_ms = 0; ///< since the job was accepted
    double objective_ms = 0;
};

/// A step that waits for room. What an advisor once said of a worker stays true; only its ticket
/// expires.
struct waiting_step {
    task_id first; ///< index 0
    std::map<std::string, ticket> approved;
    std::map<std::string, bool> denied;
    bool advice_pending = false; ///< a call for advice is under way
    time_point next_call_after;  ///< no call before
    time_point next_start_after; ///< no start before, after one that was refused
    time_point last_call;        ///< when the last call was begun
    std::vector<std::string>
        next_call_workers; ///< workers to be named in the next call; empty for none
    double score = 0;
    rank_inputs rank;  ///< all but the time waited, as of `ranked`
    double run_ms = 0; ///< expected, of one task
    time_point ranked; ///< when the two were last worked out
};

/// What has been learnt of a queue's tasks.
struct queue_estimate {
    double mean_run_ms = 0; ///< of runs that were done
    double mean_work = 0;   ///< core-seconds of a job
    std::uint64_t runs = 0;
    std::uint64_t jobs = 0;
};

/// Moves `mean` towards `value`, quickly at first.
void update_mean(double& mean, std::uint64_t& count, double value);

/// Returns the expected run time of a task: clients' estimates are off by factors, so the queue's
/// own mean weighs more.
double expected_run_ms(const queue_estimate& observed, double estimate_ms);

/// Returns the step's rank; higher goes first.
double rank_of(const rank_inputs& in);

/// A worker on which some tasks of a step may run now.
struct candidate {
    worker* target = nullptr;
    resources room; ///< without what is held back for gangs
    int fits = 0;   ///< tasks that there is room for
    bool ticket_valid = true;
    bool preferred = false; ///< its rack holds the data
};

/// Returns whether the worker is of the queue's service and has the size and label that a task of
/// the step needs.
bool may_run(const worker_entry& entry, const step_spec& step, const queue_policy& queue);

/// Returns how many tasks of `need` fit into `room`, at most `limit`.
int count_fitting(const resources& need, const resources& room, int limit);

/// Returns for each candidate how many tasks it gets, or nothing where they don't all fit.
std::vector<int> spread_gang(const std::vector<candidate>& candidates, int tasks, bool same_rack);

/// A worker that could take members of a gang, now or as its runs end.
struct gang_option {
    worker* target = nullptr;
    resources room;                                         ///< free now
    int limit = 0;                                          ///< most members there
    std::vector<std::pair<time_point, resources>> releases; ///< expected ends and what they free
};

/// When and where a gang could start. Invariant: `counts` follows the options.
struct gang_plan {
    time_point ready;
    std::vector<int> counts;
};

/// Returns the earliest time at which all members fit, or nothing where they never do.
std::optional<gang_plan> plan_gang(const std::vector<gang_option>& options, const resources& need,
                                   int tasks, time_point now);

/// Returns the index of the candidate for one task, or -1: the data's rack first, then the fullest;
/// workers in `avoid` last.
int pick_candidate(const std::vector<candidate>& candidates, const resources& need,
                   const std::set<std::string>& avoid);

} // namespace sesamesill::pool
