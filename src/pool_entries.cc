// What the scheduler learns of workers from others: their entries in the directory, and the log
// that names those in use.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

/// Returns whether the entry tells nothing newer than what is known of the worker. Once a process
/// has answered that the known entry doesn't name, only an entry of it or of a later one counts.
bool is_outdated_at(const worker& w, const worker_entry& entry)
{
    if (!w.entry_outlived) {
        return is_outdated(entry, w.entry);
    }
    return entry.start_time_ms != w.process.start_time_ms &&
           (entry.start_time_ms == w.entry.start_time_ms ||
            entry.start_time_ms < w.process.start_time_ms);
}

} // namespace

/// Returns whether the entry `newer` shows that `older` has ended, a worker with another id. An
/// entry of a service that isn't declared may be another writer's: it shows nothing, unless the
/// older worker belongs to the same service.
bool scheduler::replaces(const listed_process& newer, const listed_process& older) const
{
    const std::string& service = newer.entry.service;
    const bool is_declared =
        std::any_of(config_.services.begin(), config_.services.end(),
                    [&service](const service_policy& s) { return s.name == service; });
    return newer.entry.machine == older.entry.machine && newer.entry.id != older.entry.id &&
           newer.start_time_ms > older.start_time_ms &&
           (is_declared || (!service.empty() && service == older.entry.service));
}

/// Gives up the workers that ran on the entry's machine before it.
void scheduler::mark_older_incarnations_lost(const worker_entry& entry, time_point now)
{
    if (entry.machine.empty()) {
        return;
    }
    const listed_process newer{entry, entry.start_time_ms};
    for (std::pair<const std::string, worker>& other : workers_) {
        const listed_process older{other.second.entry, other.second.latest_start_ms()};
        if (replaces(newer, older) && !other.second.lost) {
            mark_worker_lost(other.second, {evidence_source::newer_incarnation, now}, now);
        }
    }
}

/// Returns whether a later incarnation runs on the entry's machine, whose entry was read first.
bool scheduler::has_newer_incarnation(const worker_entry& entry) const
{
    const listed_process older{entry, entry.start_time_ms};
    return !entry.machine.empty() &&
           std::any_of(
               workers_.begin(), workers_.end(),
               [&](const std::pair<const std::string, worker>& other) {
                   return replaces({other.second.entry, other.second.latest_start_ms()}, older);
               });
}

/// Adds a worker that isn't known yet.
worker& scheduler::add_worker(const worker_entry& entry, time_point now)
{
    worker w;
    w.entry = entry;
    w.entry_read_at = now;
    w.last_answer = now;
    w.leases.known = predecessor_lease(now, bounds_);
    w.fence = highest_fence_; // it may have been listed before, and seen higher ones than `fence_`
    const worker_number next = static_cast<worker_number>(workers_by_number_.size());
    w.number = worker_numbers_.emplace(entry.id, next).first->second;
    if (w.number == next) {
        workers_by_number_.push_back(nullptr);
    }
    else {
        w.fence_used = true; // perhaps, when it was listed before
    }
    worker& added = workers_.emplace(entry.id, std::move(w)).first->second;
    workers_by_number_[added.number] = &added;
    if (unverified_workers_.count(undiscovered_workers) > 0) {
        unverified_workers_.insert(entry.id); // the previous leader may have started runs on it
    }
    return added;
}

/// Replaces the entry of a known worker by a newer one; returns false if it isn't newer.
bool scheduler::update_entry(worker& w, const worker_entry& entry, time_point now)
{
    if (is_outdated_at(w, entry)) {
        add_decision(decision_kind::entry_ignored, "", entry.id,
                     "revision " + std::to_string(entry.revision) + " after " +
                         std::to_string(w.entry.revision));
        return false;
    }
    if (entry.draining && !w.is_draining()) {
        add_decision(decision_kind::worker_drains, "", entry.id,
                     "its directory entry says that it drains; it stops in " +
                         std::to_string(entry.remaining.count()) + " ms or later");
    }
    w.entry = entry;
    w.entry_read_at = now;
    w.entry_outlived = false;
    w.listed = true;
    w.unlisted_since.reset();
    if (w.process_known && entry.start_time_ms != w.process.start_time_ms) {
        doubt_process(w);
    }
    return true;
}

void scheduler::list_worker(const worker_entry& entry, time_point now)
{
    const auto known = workers_.find(entry.id);
    const bool is_new_process = known == workers_.end() || !known->second.listed ||
                                known->second.entry.start_time_ms < entry.start_time_ms ||
                                known->second.entry.machine != entry.machine;
    if (is_new_process) { // not at each report: there are hundreds a second
        mark_older_incarnations_lost(entry, now);
    }
    if (known == workers_.end()) {
        add_worker(entry, now);
        std::string labels;
        for (const std::string& l : entry.labels) {
            labels.append(" ").append(l);
        }
        add_decision(decision_kind::worker_joined, "", entry.id, entry.data_center + labels);
    }
    else if (!update_entry(known->second, entry, now)) {
        return;
    }
    worker& w = workers_.at(entry.id);
    if (is_new_process && has_newer_incarnation(entry)) {
        mark_worker_lost(w, {evidence_source::newer_incarnation, now}, now);
    }
    if (!entry.draining) {
        w.leaves_after = {};
    }
    else if (entry.written_after) {
        w.leaves_after = std::max(w.leaves_after, *entry.written_after + entry.remaining);
    }
    roster_.add(entry.id, named_worker_of(entry));
    w.named = roster_.names(entry.id, named_worker_of(entry));
    placing_needed_ = true;
}

void scheduler::unlist_worker(const std::string& id)
{
    worker* w = find_worker(id);
    if (w != nullptr && w->listed) {
        w->listed = false;
        add_decision(decision_kind::worker_left, "", id, "its directory entry was removed");
    }
}

void scheduler::restore_worker(const std::string& id, const std::optional<named_worker>& named,
                               time_point now)
{
    if (!named) {
        unverified_workers_.insert(id);
        return;
    }
    roster_.restore(id, *named);
    worker_entry entry;
    entry.id = id;
    entry.machine = named->machine;
    entry.address = named->address;
    entry.start_time_ms = named->start_time_ms;
    add_worker(entry, now).listed = false;
    add_decision(decision_kind::worker_joined, "", id, "named by the log");
}

void scheduler::on_worker_records(bool stored)
{
    roster_.on_written(stored);
    for (std::pair<const std::string, worker>& w : workers_) {
        const bool named = roster_.names(w.first, named_worker_of(w.second.entry));
        placing_needed_ = placing_needed_ || named != w.second.named;
        w.second.named = named;
    }
}

} // namespace sesamesill::pool
