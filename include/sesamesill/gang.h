// All-at-once jobs: room is collected for one at a time, for a bounded time, and given back whole.

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

struct gang_request {
    std::string job;
    std::size_t tasks = 0;
    resources size;
    attribute_map attributes;
    bool may_wait = true; ///< takes a turn to hold room where there is none now
};

/// Invariant: only one job holds room here, so two of them never wait for each other.
/// Invariant: a job holds room for at most the reservation time, then the others go first.
/// Invariant: after a turn nothing is held for as long as the turn lasted, so other work goes on.
class gang_reservations {
public:
    gang_reservations(cell& where, placement& how) : cell_(where), placement_(how) {}

    void set_max_reservation(micros duration) { max_reservation_ = duration; }

    /// Returns a worker for each task once there is room for all of them; that room is held no
    /// more, and the caller starts the tasks at once. Until then the job waits its turn to hold
    /// room.
    std::optional<std::vector<worker_id>> request(const gang_request& gang, time_point now);
    /// Gives up what the job holds and its turn.
    void forget(const std::string& job);
    /// Drops what was held on a worker that is gone.
    void remove_worker(worker_id w);
    /// Ends holds that are over, passes the turn on, and collects room for the job whose turn it
    /// is.
    void advance(time_point now);

    const std::string& reserving_job() const { return reserving_job_; }
    std::size_t reserved() const { return reserved_.size(); }
    std::size_t waiting() const { return queue_.size(); }
    /// Returns how many are before the job in line, or nothing where it does not wait here.
    std::optional<std::size_t> position(const std::string& job) const;

private:
    struct waiting_gang {
        gang_request gang;
        time_point last_requested; ///< when its home last asked
    };

    void release_unavailable(const resources& size);
    void reserve_free(const gang_request& gang);
    void reserve_ahead(const gang_request& gang);
    bool all_free() const;
    void release();
    void end_reservation(time_point now);

    cell& cell_;
    placement& placement_;
    micros max_reservation_ = std::chrono::seconds(30);
    std::deque<waiting_gang> queue_;  ///< in order of turns
    std::string reserving_job_;       ///< the first in line while it holds room, else empty
    std::vector<worker_id> reserved_; ///< one for each task; some still have to empty
    time_point reserving_since_;      ///< begin of the holder's turn
    time_point next_reservation_at_;  ///< no new turn before; work of other kinds has the room
};

} // namespace sesamesill
