// The lag of an event loop: how late its timers run. A lagging process must not take its own
// timeouts for failures of others.

#pragma once

#include <algorithm>

#include "sesamesill/clock.h"

namespace sesamesill::pool {

class lag_meter {
public:
    void add(millis lag, time_point now)
    {
        if (now - since_ > window) {
            previous_ = now - since_ > 2 * window ? millis(0) : current_;
            current_ = millis(0);
            since_ = now;
        }
        current_ = std::max(current_, lag);
    }

    /// Returns the longest lag of the last one to two seconds.
    millis worst(time_point now) const
    {
        return now - since_ > 2 * window ? millis(0) : std::max(previous_, current_);
    }

private:
    static constexpr millis window{1000};

    time_point since_;
    millis current_{0};
    millis previous_{0};
};

} // namespace sesamesill::pool
