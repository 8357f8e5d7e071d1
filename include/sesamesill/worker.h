// Tracks one worker for the owner of its shard: its tasks, the use that it reported, its free room.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"
#include "sesamesill/resources.h"

namespace sesamesill {

using worker_id = std::uint32_t;

/// Only a live worker has room. An unaccounted worker has not sent a report yet.
enum class worker_state : std::uint8_t { unaccounted, live, leaving, out };

std::string_view name_of(worker_state state);

/// Returns the larger amount of each dimension.
resources larger(const resources& a, const resources& b);

/// A task that occupies room on a worker, with its declared and its reported resources.
struct allocated_task {
    std::string name;
    resources reserved;
    resources used; ///< use in the last report; zero before the first
    resources peak; ///< largest reported use of each dimension
    time_point started;
    priority_band band = priority_band::normal;
    std::int32_t attempt = 1;
    std::uint8_t overuse_actions = 0; ///< actions taken because the task uses more than it reserved
    bool preemptible = false;
    bool listed = false;           ///< the worker has included the task in a report
    bool counted_in_limit = false; ///< the task counts towards the worker's start limit
    bool stopping = false; ///< asked to stop; claims its room until the worker reports the end

    /// Returns the room that the task occupies: in each dimension the larger of the reserved and
    /// the reported amount.
    resources claim() const { return larger(reserved, used); }
};

/// State and use of one task in a worker's report.
struct task_usage {
    std::string name;
    resources reserved;
    resources used;
    bool running = true; ///< false once the task has ended
    std::int32_t attempt = 1;
};

/// Changes that a report caused.
struct report_result {
    std::vector<std::string> ended;          ///< names of tasks reported as ended
    std::vector<allocated_task> ended_tasks; ///< last state of the tasks in `ended` that were known
    std::vector<allocated_task> missing; ///< tasks absent from the report; removed from the worker
    std::vector<std::string> adopted;    ///< reported tasks that were unknown, now added
    std::vector<std::string> over_reservation; ///< tasks that use more than they reserved
};

/// Invariant: claimed() is the sum of the claims of tasks() and of the reservations.
/// Invariant: start() and reserve() never raise claimed() above size().
class worker {
public:
    worker(std::string name, const resources& size) : name_(std::move(name)), size_(size) {}

    const std::string& name() const { return name_; }
    const resources& size() const { return size_; }
    const resources& claimed() const { return claimed_; }
    const std::vector<allocated_task>& tasks() const { return tasks_; }
    worker_state state() const { return state_; }
    /// Returns the number of starts since the last report, plus the tasks that it did not list yet.
    std::uint32_t recent_starts() const { return recent_starts_; }

    /// Returns the room for new tasks. It is zero unless the worker is live and below its start
    /// limit.
    resources room() const;
    /// Returns the room there would be without the preemptible tasks below `band`. Tasks that are
    /// already stopping still count.
    resources reclaimable_room(priority_band band) const;
    const allocated_task* find(std::string_view task) const;

    void set_state(worker_state state) { state_ = state; }
    void set_size(const resources& size) { size_ = size; }
    /// Sets a start limit: room() is zero while the worker has `max_tasks` tasks that were started
    /// under a limit. INT32_MAX means no limit.
    void set_start_limit(std::int32_t max_tasks);
    /// Adds a task. Returns false if it does not fit or if a task of this name is already there.
    bool start(allocated_task task);
    /// Removes a task. Returns whether it was known.
    bool end(std::string_view task);
    /// Marks a task as asked to stop. Its claim stays until the worker reports the end. Returns
    /// whether the task was known.
    bool mark_stopping(std::string_view task);
    void count_overuse_action(std::string_view task);
    /// Reserves room for a task that starts here later. Returns false if there is not enough room.
    bool reserve(const resources& size);
    /// Reserves room that stopping tasks will free. The room may be negative until they end.
    void reserve_ahead(const resources& size);
    /// Returns the room of a reservation to the worker.
    void release(const resources& size);
    /// Applies the worker's list of tasks, requested at `requested_at`. A task started within
    /// `grace` before that time may still be on its way to the worker and is never counted as
    /// missing.
    report_result report(const std::vector<task_usage>& listed, time_point requested_at,
                         micros grace);

private:
    void apply_listed(const task_usage& usage, time_point requested_at, report_result& result);
    void find_missing(const std::vector<task_usage>& listed, time_point requested_at, micros grace,
                      report_result& result);
    std::vector<allocated_task>::iterator position(std::string_view task);

    std::string name_;
    resources size_;
    resources claimed_;
    std::vector<allocated_task> tasks_;
    worker_state state_ = worker_state::unaccounted;
    std::uint32_t recent_starts_ = 0;
    std::int32_t start_limit_ = INT32_MAX;
    std::int32_t limited_tasks_ = 0; ///< number of tasks that count towards the start limit
};

} // namespace sesamesill
