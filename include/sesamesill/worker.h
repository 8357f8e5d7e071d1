// One worker as its shard's owner counts it: what runs there, what it reported, what is left.

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

/// Only a live worker has room; an unaccounted one has not been heard yet.
enum class worker_state : std::uint8_t { unaccounted, live, leaving, out };

std::string_view name_of(worker_state state);

/// Returns the larger amount of each dimension.
resources larger(const resources& a, const resources& b);

/// A task that a worker holds, as declared when it was started and as reported since.
struct allocated_task {
    std::string name;
    resources reserved;
    resources used; ///< by the last report, zero before it
    resources peak; ///< most of what was reported
    time_point started;
    priority_band band = priority_band::normal;
    std::int32_t attempt = 1;
    std::uint8_t overuse_actions = 0; ///< steps taken because it uses more than it reserved
    bool preemptible = false;
    bool listed = false;           ///< the worker has listed it at least once
    bool counted_in_limit = false; ///< counts towards the worker's start limit
    bool stopping = false; ///< told to stop; still counted until the worker says that it ended

    /// Returns what it counts for: never less than declared, never less than reported.
    resources claim() const { return larger(reserved, used); }
};

/// What a worker says of one task.
struct task_usage {
    std::string name;
    resources reserved;
    resources used;
    bool running = true; ///< false once it has ended
    std::int32_t attempt = 1;
};

/// What a report changed.
struct report_result {
    std::vector<std::string> ended;            ///< listed as ended
    std::vector<allocated_task> ended_tasks;   ///< those of ended that were held, as they were last
    std::vector<allocated_task> missing;       ///< should be listed and are not; held no more
    std::vector<std::string> adopted;          ///< listed and unknown here
    std::vector<std::string> over_reservation; ///< report more use than was reserved
};

/// Invariant: claimed() is the sum of the claims of tasks() and of the holds.
/// Invariant: start and hold never raise claimed() above size().
class worker {
public:
    worker(std::string name, const resources& size) : name_(std::move(name)), size_(size) {}

    const std::string& name() const { return name_; }
    const resources& size() const { return size_; }
    const resources& claimed() const { return claimed_; }
    const std::vector<allocated_task>& tasks() const { return tasks_; }
    worker_state state() const { return state_; }
    /// Starts sent since the last report was asked for.
    std::uint32_t recent_starts() const { return recent_starts_; }

    /// Returns what may be given out now; zero in every state but live.
    resources room() const;
    /// Returns the room there would be if all preemptible work below `band` had left.
    resources reclaimable_room(priority_band band) const;
    const allocated_task* find(std::string_view task) const;

    void set_state(worker_state state) { state_ = state; }
    void set_size(const resources& size) { size_ = size; }
    /// Gives no room while as many tasks as `max_tasks` that were started from now on are held.
    void set_start_limit(std::int32_t max_tasks);
    /// Returns whether the task was taken; refuses what does not fit and what it holds already.
    bool start(allocated_task task);
    /// Returns whether the task was held.
    bool end(std::string_view task);
    /// Marks a task that was told to leave; its claim stays until the worker says that it ended.
    bool mark_stopping(std::string_view task);
    void count_overuse_action(std::string_view task);
    /// Keeps room for a task that is to start here later; returns whether there was room.
    bool reserve(const resources& size);
    /// Keeps room that vacating tasks will free: the room may fall below zero until they end.
    void reserve_ahead(const resources& size);
    void release(const resources& size);
    /// Takes a list that was asked for at `requested_at`. What was started within `grace` before
    /// that may be under way and is never counted as missing.
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
    std::int32_t limited_tasks_ = 0; ///< tasks held that count towards the limit
};

} // namespace sesamesill
