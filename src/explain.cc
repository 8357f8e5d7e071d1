// Builds explanations as text and JSON, from the same state that placement decisions use.

#include "sesamesill/explain.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<obstacle, 11> obstacle_names{
    {{obstacle::unaccounted, "not accounted for"},
     {obstacle::leaving, "leaving"},
     {obstacle::out, "taken out as unhealthy"},
     {obstacle::attributes, "without the required attributes"},
     {obstacle::too_small, "too small even when empty"},
     {obstacle::processors, "too few free processors"},
     {obstacle::memory, "too little free memory"},
     {obstacle::accelerators, "too few free accelerators"},
     {obstacle::rack_full, "in racks with as many tasks of the job as allowed"},
     {obstacle::not_colocated, "away from the job it must be near"},
     {obstacle::not_separated, "with tasks of the job it must be apart from"}}};

std::optional<obstacle> obstacle_of_state(worker_state state)
{
    switch (state) {
    case worker_state::unaccounted:
        return obstacle::unaccounted;
    case worker_state::leaving:
        return obstacle::leaving;
    case worker_state::out:
        return obstacle::out;
    case worker_state::live:
        break;
    }
    return std::nullopt;
}

std::optional<obstacle> obstacle_of_room(const worker& w, const resources& size)
{
    if (!fits(size, w.size())) {
        return obstacle::too_small;
    }
    const resources room = w.room();
    if (size.cpu_millis > room.cpu_millis) {
        return obstacle::processors;
    }
    if (size.memory_mb > room.memory_mb) {
        return obstacle::memory;
    }
    return size.accelerators > room.accelerators ? std::optional<obstacle>(obstacle::accelerators)
                                                 : std::nullopt;
}

std::optional<obstacle> find_obstacle(const cell& where, worker_id w, const task_need& need)
{
    const worker& candidate = where.at(w);
    const std::optional<obstacle> by_state = obstacle_of_state(candidate.state());
    if (by_state) {
        return by_state;
    }
    if (need.attributes != nullptr && !has_attributes(where.attributes_of(w), *need.attributes)) {
        return obstacle::attributes;
    }
    const std::optional<obstacle> by_room = obstacle_of_room(candidate, need.size);
    if (by_room) {
        return by_room;
    }
    const std::uint32_t rack = where.rack_of(w);
    if (need.max_per_rack > 0 && need.same_job != nullptr &&
        job_spread::count(need.same_job->racks, rack) >= need.max_per_rack) {
        return obstacle::rack_full;
    }
    if (need.colocate_with != nullptr && job_spread::count(need.colocate_with->racks, rack) == 0) {
        return obstacle::not_colocated;
    }
    if (need.separate_from != nullptr && job_spread::count(need.separate_from->workers, w) > 0) {
        return obstacle::not_separated;
    }
    return std::nullopt;
}

std::string waits_for(const work_queue& queue, const fairness& organisations,
                      const waiting_work& work, const explanation& e)
{
    std::ostringstream out;
    if (!organisations.within_quota(work.organisation, work.size)) {
        out << "the quota of organisation " << organisations.name(work.organisation) << ": "
            << to_string(organisations.running(work.organisation)) << " in use of "
            << to_string(organisations.quota(work.organisation));
        return out.str();
    }
    std::int64_t ahead = 0;
    for (const priority_band band : {priority_band::background, priority_band::normal,
                                     priority_band::high, priority_band::urgent}) {
        ahead += band > work.band ? queue.waiting(band) : 0;
    }
    if (e.with_room == 0) {
        out << "room: no worker has " << to_string(work.size) << " free";
    }
    else {
        out << "its turn";
    }
    out << "; " << ahead << " entries are queued in higher bands, " << queue.waiting(work.band)
        << " in its own band; organisation " << organisations.name(work.organisation)
        << " has a share of " << organisations.share(work.organisation);
    return out.str();
}

} // namespace

std::string_view name_of(obstacle o)
{
    return name_in(obstacle_names, o);
}

explanation explain_need(const cell& where, const std::string& task, const task_need& need)
{
    std::array<std::int64_t, obstacle_names.size()> counts{};
    explanation e;
    e.task = task;
    for (worker_id w = 0; w < where.id_limit(); ++w) {
        if (!where.has(w)) {
            continue;
        }
        const std::optional<obstacle> found = find_obstacle(where, w, need);
        if (found) {
            ++counts[static_cast<std::size_t>(*found)];
        }
        else {
            ++e.with_room;
        }
    }
    for (const named_value<obstacle>& entry : obstacle_names) {
        const std::int64_t workers = counts[static_cast<std::size_t>(entry.value)];
        if (workers > 0) {
            e.elsewhere.push_back({entry.value, workers});
        }
    }
    std::sort(
        e.elsewhere.begin(), e.elsewhere.end(),
        [](const obstacle_count& a, const obstacle_count& b) { return a.workers > b.workers; });
    return e;
}

explanation explain_placed(const cell& where, const std::string& task, worker_id w,
                           const task_need& need, strategy how)
{
    explanation e = explain_need(where, task, need);
    const worker& chosen = where.at(w);
    const allocated_task* reserved = chosen.find(task);
    e.worker = chosen.name();
    std::ostringstream out;
    out << (how == strategy::spread
                ? "its data centre and rack run the fewest tasks of the job"
                : "the least capacity is left over there, in the most even proportions")
        << " (" << name_of(how) << "); rack " << where.rack_name(where.rack_of(w));
    if (reserved != nullptr) {
        out << "; the task is charged " << to_string(reserved->claim()) << " of "
            << to_string(chosen.size());
    }
    out << "; " << to_string(chosen.size() - chosen.claimed()) << " remain free";
    e.why_there = out.str();
    return e;
}

explanation explain_waiting(const cell& where, const work_queue& queue,
                            const fairness& organisations, ticket t, const std::string& task,
                            const task_need& need)
{
    explanation e = explain_need(where, task, need);
    const waiting_work* work = queue.find(t);
    e.waits_for = work != nullptr ? waits_for(queue, organisations, *work, e)
                                  : "nothing: the task is not queued";
    return e;
}

void explain_gang(explanation& e, const gang_reservations& gangs, const std::string& job)
{
    const std::optional<std::size_t> position = gangs.position(job);
    if (!position) {
        return;
    }
    std::ostringstream out;
    out << e.waits_for << (e.waits_for.empty() ? "" : "; ");
    if (gangs.reserving_job() == job) {
        out << "room for all tasks at once: " << gangs.reserved() << " places are reserved";
    }
    else {
        out << "its turn among the gangs: " << *position << " jobs are ahead of it";
    }
    e.waits_for = out.str();
}

std::string to_string(const explanation& e)
{
    std::ostringstream out;
    out << e.task << ": ";
    if (!e.worker.empty()) {
        out << "on " << e.worker << ": " << e.why_there;
    }
    else {
        out << "waits for " << e.waits_for;
    }
    out << ". " << e.with_room << " workers could run it now";
    for (const obstacle_count& o : e.elsewhere) {
        out << "; " << o.workers << " " << name_of(o.what);
    }
    out << ".";
    return out.str();
}

Json::Value to_json(const explanation& e)
{
    Json::Value body;
    body["task"] = e.task;
    if (!e.worker.empty()) {
        body["worker"] = e.worker;
        body["why_there"] = e.why_there;
    }
    else {
        body["waits_for"] = e.waits_for;
    }
    body["with_room"] = static_cast<Json::Int64>(e.with_room);
    body["elsewhere"] = Json::Value(Json::arrayValue);
    for (const obstacle_count& o : e.elsewhere) {
        Json::Value entry;
        entry["obstacle"] = std::string(name_of(o.what));
        entry["workers"] = static_cast<Json::Int64>(o.workers);
        body["elsewhere"].append(entry);
    }
    body["text"] = to_string(e);
    return body;
}

} // namespace sesamesill
