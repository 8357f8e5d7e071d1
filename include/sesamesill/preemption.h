// Which running tasks make way for urgent work: checkpointed first, then stopped.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sesamesill/cell.h"
#include "sesamesill/environment.h"

namespace sesamesill {

struct eviction {
    worker_id worker = 0;
    std::vector<std::string> tasks;
};

/// Returns the worker and the tasks to remove for `size`, with the least work lost among the
/// workers examined. Takes only preemptible tasks below `band`; nothing where these would not make
/// room.
std::optional<eviction> choose_victims(const cell& where, const resources& size, priority_band band,
                                       const attribute_map& required);

/// What to do next about a task that uses more than was reserved for it.
enum class overuse_action : std::uint8_t { throttle, checkpoint, stop };

std::string_view name_of(overuse_action r);

struct overuse_response {
    std::string task;
    overuse_action action = overuse_action::throttle;
};

/// Returns what brings a worker back below its size: its tasks over their size, the largest excess
/// first, each one step further than before. Empty while the worker is not over its size.
std::vector<overuse_response> choose_overuse_responses(const worker& w);

} // namespace sesamesill
