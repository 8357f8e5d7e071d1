// Names the kinds of faults and draws the schedule of faults from a seed.

#include "plan.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "sesamesill/names.h"

namespace soak {
namespace {

constexpr sesamesill::name_table<fault_kind, fault_kinds> fault_names{
    {{fault_kind::member_killed, "member_killed"},
     {fault_kind::member_stopped, "member_stopped"},
     {fault_kind::member_paused, "member_paused"},
     {fault_kind::leader_killed, "leader_killed"},
     {fault_kind::leader_paused, "leader_paused"},
     {fault_kind::all_killed, "all_killed"},
     {fault_kind::settings_reread, "settings_reread"},
     {fault_kind::link_delayed, "link_delayed"},
     {fault_kind::link_held_up, "link_held_up"},
     {fault_kind::link_held_down, "link_held_down"},
     {fault_kind::link_cut, "link_cut"},
     {fault_kind::link_reset, "link_reset"},
     {fault_kind::link_silenced, "link_silenced"},
     {fault_kind::store_refuses, "store_refuses"},
     {fault_kind::store_silent, "store_silent"},
     {fault_kind::store_slow, "store_slow"},
     {fault_kind::store_loses_answers, "store_loses_answers"},
     {fault_kind::store_late, "store_late"},
     {fault_kind::store_trimmed, "store_trimmed"},
     {fault_kind::worker_crashes, "worker_crashes"},
     {fault_kind::worker_restarts, "worker_restarts"},
     {fault_kind::worker_leaves, "worker_leaves"},
     {fault_kind::worker_late, "worker_late"},
     {fault_kind::worker_fails_all, "worker_fails_all"},
     {fault_kind::worker_stands_still, "worker_stands_still"},
     {fault_kind::worker_slow, "worker_slow"},
     {fault_kind::worker_refuses, "worker_refuses"},
     {fault_kind::configuration_changes, "configuration_changes"},
     {fault_kind::leader_cut, "leader_cut"},
     {fault_kind::leader_stopped, "leader_stopped"},
     {fault_kind::worker_cut, "worker_cut"},
     {fault_kind::entries_expire, "entries_expire"},
     {fault_kind::odd_entries, "odd_entries"},
     {fault_kind::worker_bounces, "worker_bounces"},
     {fault_kind::connections_silenced, "connections_silenced"},
     {fault_kind::store_cut, "store_cut"},
     {fault_kind::workers_recut, "workers_recut"},
     {fault_kind::queue_dropped, "queue_dropped"}}};

constexpr fault_kind leader_faults[] = {fault_kind::leader_killed, fault_kind::leader_paused,
                                        fault_kind::leader_cut, fault_kind::leader_stopped,
                                        fault_kind::all_killed};
constexpr fault_kind other_faults[] = {
    fault_kind::worker_cut,          fault_kind::entries_expire,
    fault_kind::store_silent,        fault_kind::store_slow,
    fault_kind::store_loses_answers, fault_kind::store_late,
    fault_kind::worker_fails_all,    fault_kind::worker_late,
    fault_kind::worker_restarts,     fault_kind::worker_refuses,
    fault_kind::odd_entries,         fault_kind::configuration_changes};

constexpr double series_share = 0.3;
constexpr int max_series_length = 4;
constexpr millis series_gap{400};
constexpr millis min_fault_length{200};
constexpr millis max_fault_length{4000};

} // namespace

std::string_view name_of(fault_kind kind)
{
    return sesamesill::name_in(fault_names, kind);
}

std::optional<fault_kind> fault_kind_from(std::string_view name)
{
    return sesamesill::value_in(fault_names, name);
}

std::vector<planned_fault> draw_faults(std::uint64_t seed, millis duration, millis gap)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<> pause(1.0 / static_cast<double>(gap.count()));
    std::uniform_real_distribution<> share(0, 1);
    std::uniform_int_distribution<std::int64_t> length(min_fault_length.count(),
                                                       max_fault_length.count());
    std::uniform_int_distribution<int> kinds(0, static_cast<int>(single_fault_kinds) - 1);
    std::uniform_int_distribution<int> repeats(2, max_series_length);
    std::vector<planned_fault> faults;
    millis at{0};
    while (at < duration) {
        at += millis(static_cast<std::int64_t>(pause(random)) + 1);
        planned_fault fault;
        fault.kind = static_cast<fault_kind>(kinds(random));
        const int times = share(random) < series_share ? repeats(random) : 1;
        for (int n = 0; n < times; ++n) {
            fault.at = at + n * series_gap;
            fault.target = static_cast<std::uint32_t>(random());
            fault.length = millis(length(random));
            if (fault.at < duration) {
                faults.push_back(fault);
            }
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return faults;
}

std::vector<planned_fault> draw_pairs(std::uint64_t seed, millis duration, millis period)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> leaders(0, std::size(leader_faults) - 1);
    std::uniform_int_distribution<std::size_t> others(0, std::size(other_faults) - 1);
    std::uniform_int_distribution<std::int64_t> length(max_fault_length.count() / 4,
                                                       max_fault_length.count());
    std::uniform_int_distribution<std::int64_t> delay(0, max_fault_length.count() + 1000);
    std::vector<planned_fault> faults;
    for (millis begin{0}; begin < duration; begin += period) {
        planned_fault other;
        other.at = begin;
        other.kind = other_faults[others(random)];
        other.target = static_cast<std::uint32_t>(random());
        other.length = millis(length(random));
        faults.push_back(other);
        planned_fault leader;
        leader.at = begin + millis(delay(random));
        leader.kind = leader_faults[leaders(random)];
        leader.target = static_cast<std::uint32_t>(random());
        leader.length = millis(length(random));
        faults.push_back(leader);
    }
    return faults;
}

std::vector<planned_fault> draw_changes(std::uint64_t seed, millis duration, millis period)
{
    constexpr double change_share = 0.6;
    constexpr double silence_share = 0.3;
    constexpr millis lead{300};
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> share(0, 1);
    std::uniform_int_distribution<std::int64_t> length(min_fault_length.count(),
                                                       max_fault_length.count());
    std::vector<fault_kind> kinds;
    for (std::size_t kind = 0; kind < fault_kinds; ++kind) {
        const fault_kind drawn = static_cast<fault_kind>(kind);
        const bool only_in_series = drawn == fault_kind::configuration_changes ||
                                    drawn == fault_kind::workers_recut ||
                                    drawn == fault_kind::queue_dropped;
        if (!only_in_series) {
            kinds.push_back(drawn);
        }
    }
    std::shuffle(kinds.begin(), kinds.end(), random);
    kinds.push_back(fault_kind::queue_dropped); // after those that earlier versions drew
    kinds.push_back(fault_kind::workers_recut); // last, as it outlasts the period
    std::vector<planned_fault> faults;
    std::size_t turn = 0;
    for (millis begin = lead; begin < duration; begin += period) {
        planned_fault fault{begin, kinds[turn++ % kinds.size()],
                            static_cast<std::uint32_t>(random()), millis(length(random))};
        faults.push_back(fault);
        const millis end = begin + fault.length;
        if (share(random) < silence_share) {
            faults.push_back({begin + millis(length(random)), fault_kind::connections_silenced});
        }
        for (const millis at : {begin - lead, begin + fault.length / 2, end - millis(50),
                                end + millis(150), end + millis(2000)}) {
            if (share(random) < change_share) {
                faults.push_back({at, fault_kind::configuration_changes});
            }
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return faults;
}

std::vector<planned_fault> repeat_series(const std::vector<fault_kind>& kinds, std::uint64_t seed,
                                         millis duration, millis period, millis gap)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::int64_t> length(min_fault_length.count(),
                                                       max_fault_length.count());
    std::vector<planned_fault> faults;
    for (millis begin{0}; begin < duration; begin += period) {
        millis at = begin;
        for (const fault_kind kind : kinds) {
            planned_fault fault;
            fault.at = at;
            fault.kind = kind;
            fault.target = static_cast<std::uint32_t>(random());
            fault.length = millis(length(random));
            faults.push_back(fault);
            at += gap;
        }
    }
    return faults;
}

} // namespace soak
