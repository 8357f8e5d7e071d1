// Why a task is where it is, why not elsewhere, and what a waiting one waits for.

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

enum class obstacle : std::uint8_t {
    unaccounted, ///< not heard since its shard came here, or silent
    leaving,
    out, ///< failed what it started
    attributes,
    too_small, ///< even when empty
    processors,
    memory,
    accelerators,
    rack_full, ///< as many of the job as the class allows
    not_colocated,
    not_separated
};

std::string_view name_of(obstacle o);

struct obstacle_count {
    obstacle what = obstacle::unaccounted;
    std::int64_t workers = 0;
};

/// Invariant: worker is empty for a task that waits, and waits_for is empty for one that is placed.
struct explanation {
    std::string task;
    std::string worker;
    std::string why_there;
    std::string waits_for;
    std::int64_t with_room = 0; ///< workers that could take it now
    std::vector<obstacle_count> elsewhere;
};

/// Counts for each worker of the cell what keeps the task off it. Examines all of them.
explanation explain_need(const cell& where, const std::string& task, const task_need& need);

/// Says why a running task is where it is.
explanation explain_placed(const cell& where, const std::string& task, worker_id w,
                           const task_need& need, strategy how);

/// Says what an entry of the queue waits for: quota, its organisation's turn, or room.
explanation explain_waiting(const cell& where, const work_queue& queue,
                            const fairness& organisations, ticket t, const std::string& task,
                            const task_need& need);

/// Adds the job's place in the line of all-at-once jobs, where it stands in one.
void explain_gang(explanation& e, const gang_book& gangs, const std::string& job);

std::string to_string(const explanation& e);
Json::Value to_json(const explanation& e);

} // namespace sesamesill
