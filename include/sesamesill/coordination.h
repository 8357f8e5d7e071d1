// Combines membership and ownership of one member. Handles events with their time and returns the
// probes to send and the records to append, without performing I/O.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sesamesill/membership.h"
#include "sesamesill/ownership.h"

namespace sesamesill {

struct coordination_actions {
    std::vector<member> probes;             ///< members to send `request()` to
    std::optional<membership_view> propose; ///< to be appended as a `view` record
    std::optional<view_checkpoint> mark;    ///< to be appended as a `view_mark` record
};

class coordinator {
public:
    coordinator(const member& self, const membership_settings& peers,
                const ownership_settings& owners, std::uint64_t seed);

    /// Handles a peer's probe and returns the answer.
    heartbeat on_request(const heartbeat& h, time_point now);
    /// Handles a peer's answer to a probe that was sent at `asked`.
    void on_answer(const heartbeat& h, time_point asked, time_point now);
    /// Returns the message of a probe.
    heartbeat request(time_point now) const;
    /// Returns the actions to perform now. Must be called after each event and at least every 50
    /// ms. `read_position` is the offset up to which the log was read.
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
