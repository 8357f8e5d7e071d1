// Frees unconfirmed slots only by the number of busy slots that the executor reports.

#include "sesamesill/slots.h"

#include <algorithm>

namespace sesamesill {

slot_account::slot_account(std::int32_t slots, time_point now, millis handover_delay)
    : slots_(slots), unconfirmed_(slots), unconfirmed_until_(now + handover_delay),
      next_probe_(now + handover_delay)
{
}

std::int32_t slot_account::free(time_point now) const
{
    const bool awaiting_idle = unconfirmed_ > 0 && now >= unconfirmed_until_;
    return awaiting_idle ? 0 : std::max(0, slots_ - busy_ - unconfirmed_);
}

void slot_account::on_lost(time_point until)
{
    --busy_;
    unconfirmed_ = std::min(slots_, unconfirmed_ + 1);
    unconfirmed_until_ = std::max(unconfirmed_until_, until);
}

bool slot_account::wants_probe(time_point now) const
{
    return unconfirmed_ > 0 && !probing_ && now >= next_probe_;
}

void slot_account::on_probe_sent(time_point now)
{
    probing_ = true;
    idle_since_probe_ = busy_ == 0;
    next_probe_ = now + probe_interval;
}

void slot_account::on_probe(std::int32_t busy, time_point now)
{
    probing_ = false;
    const std::int32_t reported = std::clamp(busy, 0, slots_);
    unconfirmed_ = idle_since_probe_ && busy_ == 0 ? reported : std::min(unconfirmed_, reported);
    if (idle_since_probe_ && busy_ == 0) {
        unconfirmed_until_ = now + millis(1000);
    }
}

} // namespace sesamesill
