// Limits messages without an answer: start orders to workers, and requests forwarded to the leader.
// Load: a leader whose link or processor carries fewer of them than arrive, so that answers come
// late and repeated messages add to the queue.

#pragma once

#include <algorithm>
#include <cstddef>

#include "sesamesill/clock.h"

namespace sesamesill::pool {

/// A window that shrinks while most answers are late and grows again while few are. Some late
/// answers are expected: workers may be cut off without any congestion.
class send_window {
public:
    /// `late_answer` is well above the time of an answer without congestion.
    explicit send_window(millis late_answer) : late_answer_(late_answer) {}

    static constexpr double initial_size = 16;
    static constexpr double min_size = 4;
    static constexpr double max_size = 1024;

    void on_sent() { ++in_flight_; }

    /// Handles an answer after `elapsed`, or the timeout of a message if `answered` is false.
    void on_done(millis elapsed, bool answered, time_point now)
    {
        --in_flight_;
        const bool late = !answered || elapsed > late_answer_;
        late_share_ += ((late ? 1.0 : 0.0) - late_share_) / late_samples;
        if (late_share_ > shrink_share && now - resized_at_ > shrink_period) {
            size_ = std::max(min_size, size_ * shrink_factor);
            resized_at_ = now;
        }
        else if (late_share_ < grow_share) {
            size_ = std::min(max_size, size_ + 1 / size_ * growth);
        }
    }

    std::size_t free() const
    {
        const std::size_t limit = static_cast<std::size_t>(size_);
        return limit > in_flight_ ? limit - in_flight_ : 0;
    }
    double size() const { return size_; }
    std::size_t in_flight() const { return in_flight_; }

private:
    static constexpr double late_samples = 16;
    static constexpr double shrink_share = 0.5;
    static constexpr double grow_share = 0.3;
    static constexpr double shrink_factor = 0.6;
    static constexpr millis shrink_period{
        100};                           ///< answers to messages of the smaller window come then
    static constexpr double growth = 4; ///< added in the time of one window of answers

    millis late_answer_;
    double size_ = initial_size;
    double late_share_ = 0;
    std::size_t in_flight_ = 0;
    time_point resized_at_;
};

} // namespace sesamesill::pool
