// Accounting of the slots of one executor by its owner, including slots that are occupied by lost
// calls or by calls of an earlier owner.

#pragma once

#include <cstdint>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Counts busy and unconfirmed slots. The slot of a call that ended without an answer becomes free
/// only when the executor reports it as free.
class slot_account {
public:
    /// Starts with all slots unconfirmed because calls of an earlier owner may still run. All calls
    /// that the earlier owner sent have arrived after `handover_delay`.
    slot_account(std::int32_t slots, time_point now, millis handover_delay);

    std::int32_t slots() const { return slots_; }
    std::int32_t busy() const { return busy_; }
    std::int32_t unconfirmed() const { return unconfirmed_; }
    /// Returns how many calls may be sent now. It is 0 while the owner waits for its own calls to
    /// end, because the executor's count of busy slots includes them.
    std::int32_t free(time_point now) const;

    void on_sent()
    {
        ++busy_;
        idle_since_probe_ = false;
    }
    /// Frees the slot of a call that was answered, never sent or never started.
    void on_ended() { --busy_; }
    /// Marks the slot of a call as unconfirmed: its answer is lost, and it may run until `until`.
    void on_lost(time_point until);

    /// Returns whether a probe for the number of busy slots is due.
    bool wants_probe(time_point now) const;
    void on_probe_sent(time_point now);
    /// Applies the number of busy slots that the executor reports. The count is exact if the owner
    /// had no open call since the probe was sent, else it is an upper bound of unconfirmed slots.
    void on_probe(std::int32_t busy, time_point now);
    void on_probe_failed() { probing_ = false; }
    void resize(std::int32_t slots) { slots_ = slots; }

private:
    static constexpr millis probe_interval{100};

    std::int32_t slots_;
    std::int32_t busy_ = 0;    ///< calls of this owner in flight
    std::int32_t unconfirmed_; ///< slots that may be occupied by calls without a waiting sender
    bool probing_ = false;
    bool idle_since_probe_ = false; ///< no call of this owner was open since the probe was sent
    time_point unconfirmed_until_;  ///< from then on no calls are sent while `unconfirmed_` > 0
    time_point next_probe_;
};

} // namespace sesamesill
