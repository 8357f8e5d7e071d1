// Schedules gangs (jobs whose tasks all start at once): reserves capacity for one job at a time,
// for a bounded time, and releases all of it if the job can't start.

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/cell.h"
#include "sesamesill/clock.h"
#include "sesamesill/placement.h"

namespace sesamesill {

/// Describes a job whose tasks must all start at once.
struct gang_request {
    std::string job;
    std::size_t tasks = 0;
    resources size; ///< of each task
    attribute_map attributes;
    bool may_wait = true; ///< whether to queue for a reservation if there is no room now
};

/// Queues gangs and reserves capacity for the first one.
/// Invariant: at most one job has a reservation, so two jobs never wait for each other's capacity.
/// Invariant: a reservation lasts at most as long as set_max_reservation() says; then the job
/// moves to the back of the queue.
/// Invariant: after a reservation, nothing is reserved for as long as it lasted, so that other work
/// runs too.
class gang_reservations {
public:
    gang_reservations(cell& where, placement& how) : cell_(where), placement_(how) {}

    /// Sets how long a job may keep its reservation without a start.
    void set_max_reservation(micros duration) { max_reservation_ = duration; }

    /// Returns a worker for each task once there is room for all of them. The room is no longer
    /// reserved then, so the caller must start the tasks at once. Until then the job is queued for
    /// a reservation if it may wait; its owner repeats the request.
    std::optional<std::vector<worker_id>> request(const gang_request& gang, time_point now);
    /// Releases the reservation of the job and removes the job from the queue.
    void forget(const std::string& job);
    /// Drops the reserved places on a worker that has left the cell.
    void remove_worker(worker_id w);
    /// Removes jobs whose owner no longer requests them, ends a reservation that is over, starts
    /// the next one, and reserves room for the job that has it.
    void advance(time_point now);

    /// Returns the job that has the reservation, or an empty string.
    const std::string& reserving_job() const { return reserving_job_; }
    /// Returns the number of reserved places, one for each task.
    std::size_t reserved() const { return reserved_.size(); }
    /// Returns the number of queued jobs, including the one that has the reservation.
    std::size_t waiting() const { return queue_.size(); }
    /// Returns the number of jobs ahead of this one, or nothing if it is not queued.
    std::optional<std::size_t> position(const std::string& job) const;

private:
    struct waiting_gang {
        gang_request gang;
        time_point last_requested; ///< time of the owner's last request
    };

    /// Releases the reserved places on workers that are not live.
    void release_unavailable(const resources& size);
    /// Reserves capacity that is free now.
    void reserve_free(const gang_request& gang);
    /// Reserves capacity that running tasks still use, on the least used workers first.
    void reserve_ahead(const gang_request& gang);
    /// Returns whether no running task uses reserved capacity any more.
    bool all_free() const;
    void release();
    void end_reservation(time_point now);

    cell& cell_;
    placement& placement_;
    micros max_reservation_ = std::chrono::seconds(30);
    std::deque<waiting_gang> queue_; ///< in order of reservations
    std::string reserving_job_; ///< first of the queue while it has the reservation, else empty
    std::vector<worker_id> reserved_; ///< one worker for each task; some may still run other tasks
    time_point reserving_since_;      ///< start of the current or last reservation
    time_point next_reservation_at_; ///< no reservation starts earlier, so other work gets the room
};

} // namespace sesamesill
