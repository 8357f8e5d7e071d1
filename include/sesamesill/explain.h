// Explains placements: why a task runs on its worker, what excludes the other workers, and what a
// waiting task waits for.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/cell.h"
#include "sesamesill/fairness.h"
#include "sesamesill/gang.h"
#include "sesamesill/placement.h"
#include "sesamesill/queue.h"

namespace sesamesill {

/// Reasons that exclude a worker for a task.
enum class obstacle : std::uint8_t {
    unaccounted, ///< sent no report since its shard moved here, or stopped reporting
    leaving,
    out, ///< failed too many tasks
    attributes,
    too_small, ///< the task is larger than the whole worker
    processors,
    memory,
    accelerators,
    rack_full, ///< the rack runs as many tasks of the job as the class allows
    not_colocated,
    not_separated
};

std::string_view name_of(obstacle o);

struct obstacle_count {
    obstacle what = obstacle::unaccounted;
    std::int64_t workers = 0;
};

/// Explains the state of one task.
/// Invariant: `worker` is empty for a waiting task, and `waits_for` is empty for a placed one.
struct explanation {
    std::string task;
    std::string worker;
    std::string why_there;
    std::string waits_for;
    std::int64_t with_room = 0; ///< number of workers that could run the task now
    std::vector<obstacle_count> elsewhere;
};

/// Counts the workers of the cell by the first obstacle that excludes them. Examines all workers.
explanation explain_need(const cell& where, const std::string& task, const task_need& need);

/// Explains why a running task is on its worker.
explanation explain_placed(const cell& where, const std::string& task, worker_id w,
                           const task_need& need, strategy how);

/// Explains what a queue entry waits for: quota, its turn, or room.
explanation explain_waiting(const cell& where, const work_queue& queue,
                            const fairness& organisations, ticket t, const std::string& task,
                            const task_need& need);

/// Adds the job's position in the queue of gangs, if it is queued there.
void explain_gang(explanation& e, const gang_reservations& gangs, const std::string& job);

std::string to_string(const explanation& e);
Json::Value to_json(const explanation& e);

} // namespace sesamesill
