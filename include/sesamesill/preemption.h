// Selects running tasks to evict for more urgent work, and tasks to restrict on a worker whose
// tasks use more than its size.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sesamesill/cell.h"
#include "sesamesill/environment.h"

namespace sesamesill {

/// Names the tasks to evict from one worker.
struct eviction {
    worker_id worker = 0;
    std::vector<std::string> tasks;
};

/// Returns the worker and the tasks to evict to make room for `size`: those that occupy the least
/// capacity, among a bounded number of workers examined. Selects only preemptible tasks below
/// `band`, and returns nothing if these would not make enough room.
std::optional<eviction> choose_victims(const cell& where, const resources& size, priority_band band,
                                       const attribute_map& required);

/// Measures against a task that uses more than was reserved for it, mildest first.
enum class overuse_action : std::uint8_t { throttle, checkpoint, stop };

std::string_view name_of(overuse_action r);

/// Names the next measure against one task.
struct overuse_response {
    std::string task;
    overuse_action action = overuse_action::throttle;
};

/// Returns measures that bring the use of a worker back below its size: for tasks that use more
/// than they reserved, largest excess first, each one step stricter than the measure before.
/// Returns an empty list while the worker is within its size.
std::vector<overuse_response> choose_overuse_responses(const worker& w);

} // namespace sesamesill
