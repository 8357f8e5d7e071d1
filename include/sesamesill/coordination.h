// One member's part in the cell: joins membership and ownership, takes events with their time and
// says what to send and append.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sesamesill/membership.h"
#include "sesamesill/ownership.h"

namespace sesamesill {

struct coordination_actions {
    std::vector<member> probes;             ///< send each a message(0)
    std::optional<membership_view> propose; ///< append as `membership_view`
    std::optional<view_checkpoint> mark; ///< append as `view_checkpoint`; `as_of` is the caller's
};

class coordinator {
public:
    coordinator(const member& self, const membership_settings& peers,
                const ownership_settings& owners, std::uint64_t seed);

    /// Returns the answer to a peer's probe.
    heartbeat on_request(const heartbeat& h, time_point now);
    /// Takes a peer's answer to a probe that was sent at `asked`.
    void on_answer(const heartbeat& h, time_point asked, time_point now);
    /// Returns what a probe carries.
    heartbeat request(time_point now) const;
    /// Returns what there is to do now. To be asked after each event and at least every 50 ms.
    coordination_actions advance(std::uint64_t read_position, time_point now);

    membership& peers() { return peers_; }
    const membership& peers() const { return peers_; }
    ownership& owners() { return owners_; }
    const ownership& owners() const { return owners_; }

private:
    void record_grants(const heartbeat& h, time_point asked);
    void announce_view(std::vector<member>& probes);

    membership peers_;
    ownership owners_;
    std::uint64_t announced_epoch_ = 0;
};

} // namespace sesamesill
