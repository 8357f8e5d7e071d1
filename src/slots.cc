// Slots in doubt only shrink by the executor's own count.

#include "sesamesill/slots.h"

#include <algorithm>

namespace sesamesill {

slot_account::slot_account(std::int32_t slots, time_point now, millis settle)
    : slots_(slots), in_doubt_(slots), doubt_until_(now + settle), next_probe_(now + settle)
{
}

std::int32_t slot_account::free(time_point now) const
{
    const bool settling = in_doubt_ > 0 && now >= doubt_until_;
    return settling ? 0 : std::max(0, slots_ - busy_ - in_doubt_);
}

void slot_account::on_lost(time_point until)
{
    --busy_;
    in_doubt_ = std::min(slots_, in_doubt_ + 1);
    doubt_until_ = std::max(doubt_until_, until);
}

bool slot_account::wants_probe(time_point now) const
{
    return in_doubt_ > 0 && !probing_ && now >= next_probe_;
}

void slot_account::on_probe_sent(time_point now)
{
    probing_ = true;
    quiet_ = busy_ == 0;
    next_probe_ = now + probe_interval;
}

void slot_account::on_probe(std::int32_t busy, time_point now)
{
    probing_ = false;
    const std::int32_t reported = std::clamp(busy, 0, slots_);
    in_doubt_ = quiet_ && busy_ == 0 ? reported : std::min(in_doubt_, reported);
    if (quiet_ && busy_ == 0) {
        doubt_until_ = now + millis(1000);
    }
}

} // namespace sesamesill
