// The schedule of faults of one soak, drawn from a seed: single faults, series of one kind, and
// overlapping faults.

#pragma once

#include <cstdint>
#include <optional>
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
    link_held_up,   ///< bytes towards the server wait
    link_held_down, ///< bytes towards the client wait
    link_cut,       ///< bytes in both directions wait
    link_reset,
    link_silenced, ///< open connections carry no more bytes until they are closed
    store_refuses,
    store_silent,
    store_slow,
    store_loses_answers,
    store_late,
    store_trimmed,
    worker_crashes,
    worker_restarts, ///< the new incarnation keeps the name
    worker_leaves,
    worker_late, ///< some orders are executed seconds later, without a reply
    worker_fails_all,
    worker_stands_still,
    worker_slow,
    worker_refuses,
    configuration_changes,
    // Only in pairs and series:
    leader_cut,     ///< from the store and all other members, not from the workers
    leader_stopped, ///< SIGTERM
    worker_cut,     ///< from the store and all members: runs on, and its entry expires
    entries_expire, ///< the store is down and the workers' entries are gone until they return
    odd_entries,    ///< another writer's entries among those of the workers
    // Only in series:
    worker_bounces,       ///< restarts under its id again and again, within tens of milliseconds
    connections_silenced, ///< all open connections carry no more bytes until they are closed
    store_cut,            ///< each second member is cut from the store, not from the others
    workers_recut,        ///< a rack's workers restart under their ids and are cut off soon after
    queue_dropped         ///< a version lacks a queue that has jobs, a later one has it again
};

constexpr std::size_t fault_kinds = 38;
constexpr std::size_t single_fault_kinds = 28; ///< drawn by `draw_faults`

std::string_view name_of(fault_kind kind);
std::optional<fault_kind> fault_kind_from(std::string_view name);

struct planned_fault {
    millis at{0};
    fault_kind kind = fault_kind::member_killed;
    std::uint32_t target = 0; ///< reduced modulo the number of possible targets
    millis length{0};
};

/// Draws faults for `duration`, with `gap` between them on average, sorted by time.
std::vector<planned_fault> draw_faults(std::uint64_t seed, millis duration, millis gap);

/// Draws pairs of faults for `duration`, one each `period`: a fault of the leader within a fault of
/// the store or of workers, or right after one.
std::vector<planned_fault> draw_pairs(std::uint64_t seed, millis duration, millis period);

/// Draws faults of all kinds in turn, in an order drawn from `seed`, one each `period`, with
/// changes of the configuration before, in, at the end of and after each. Some overlap with a
/// silence of all connections.
std::vector<planned_fault> draw_changes(std::uint64_t seed, millis duration, millis period);

/// Repeats the series of `kinds` for `duration`, one series each `period`, with `gap` between two
/// faults of a series. Draws targets and lengths from `seed`.
std::vector<planned_fault> repeat_series(const std::vector<fault_kind>& kinds, std::uint64_t seed,
                                         millis duration, millis period, millis gap);

} // namespace soak
