// When a request that has just been read may have arrived: while a process stands still, requests
// wait unread in its sockets, and their clients may have given up.

#pragma once

#include "sesamesill/clock.h"

namespace sesamesill::pool {

/// Notices pauses of the event loop, such as that of a suspended VM, by a timer of the loop.
class arrival_meter {
public:
    explicit arrival_meter(time_point now) : last_turn_(now) {}

    /// Handles the timer, which must run at least each `max_turn / 2` while the process runs.
    void on_turn(time_point now)
    {
        if (now - last_turn_ > max_turn) {
            paused_since_ = last_turn_;
            read_until_ = now + backlog_time;
        }
        last_turn_ = now;
    }

    /// Returns the earliest time at which a request that is read at `now` may have arrived.
    time_point earliest_arrival(time_point now) const
    {
        if (now - last_turn_ > max_turn) {
            return last_turn_; // the requests are read before the timer
        }
        return now < read_until_ ? paused_since_ : now;
    }

    /// A longer time between two turns counts as a pause.
    static constexpr millis max_turn{250};
    /// The requests that arrived during a pause are read within this time after it.
    static constexpr millis backlog_time{500};

private:
    time_point last_turn_;
    time_point paused_since_;
    time_point read_until_; ///< requests that are read until then may have waited since the pause
};

} // namespace sesamesill::pool
