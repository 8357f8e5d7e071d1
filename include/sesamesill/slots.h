// The slots of one executor as its owner counts them, those of lost calls and of an earlier owner
// included.

#pragma once

#include <cstdint>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Only an answer of the executor itself frees a slot whose call ended without an answer.
class slot_account {
public:
    /// Starts with every slot in doubt: an earlier owner's calls may still run.
    /// `handover_delay` is the time after which what that owner sent has arrived.
    slot_account(std::int32_t slots, time_point now, millis handover_delay);

    std::int32_t slots() const { return slots_; }
    std::int32_t busy() const { return busy_; }
    std::int32_t unconfirmed() const { return unconfirmed_; }
    /// Returns how many calls may be sent now; 0 while the account waits for its own to end.
    std::int32_t free(time_point now) const;

    void on_sent()
    {
        ++busy_;
        idle_since_probe_ = false;
    }
    /// The call was answered, or was never sent or started.
    void on_ended() { --busy_; }
    /// The call was sent and its answer is lost: it may run until `until`.
    void on_lost(time_point until);

    /// Returns whether the executor should be asked for its busy slots now.
    bool wants_probe(time_point now) const;
    void on_probe_sent(time_point now);
    /// Takes the executor's own count. Exact where none of the owner's calls was open meanwhile.
    void on_probe(std::int32_t busy, time_point now);
    void on_probe_failed() { probing_ = false; }
    void resize(std::int32_t slots) { slots_ = slots; }

private:
    static constexpr millis probe_interval{100};

    std::int32_t slots_;
    std::int32_t busy_ = 0;    ///< own calls in flight
    std::int32_t unconfirmed_; ///< slots that may be taken by calls nobody waits for
    bool probing_ = false;
    bool idle_since_probe_ = false; ///< no own call was open since the probe was sent
    time_point unconfirmed_until_;  ///< after it the owner lets its own calls end and asks again
    time_point next_probe_;
};

} // namespace sesamesill
