// The faults of one soak, drawn from a seed: singly, in series, and overlapping.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"

namespace soak {

using sesamesill::millis;

enum class fault_kind : std::uint8_t {
    member_killed,
    member_stopped, ///< SIGTERM
    member_paused,
    leader_killed,
    leader_paused,
    all_killed,
    settings_reread, ///< SIGHUP
    link_delayed,
    link_held_up,   ///< one way
    link_held_down, ///< the other way
    link_cut,       ///< both ways
    link_reset,
    link_silenced, ///< open connections, for good
    store_refuses,
    store_silent,
    store_slow,
    store_loses_answers,
    store_late,
    store_trimmed,
    worker_crashes,
    worker_restarts, ///< under its name
    worker_leaves,
    worker_late, ///< orders are carried out seconds later
    worker_fails_all,
    worker_stands_still,
    worker_slow,
    worker_refuses,
    configuration_changes
};

constexpr std::size_t fault_kinds = 28;

std::string_view name_of(fault_kind kind);

struct planned_fault {
    millis at{0};
    fault_kind kind = fault_kind::member_killed;
    std::uint32_t target = 0; ///< taken modulo the number of things that fit
    millis length{0};
};

/// Draws the faults of `duration`, one every `gap` on average, in the order of their time.
std::vector<planned_fault> draw_faults(std::uint64_t seed, millis duration, millis gap);

} // namespace soak
