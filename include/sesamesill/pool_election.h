// Who leads, and when a member should claim the lead itself. Pure: events and a time in.
//
// A claim is a record, appended on the condition that the claimer has read the whole log, so of two
// claimers one wins and the other reads the winner's record. The claim's offset is the fence that
// workers check, so a claim made on a wrong suspicion costs a change of leader and breaks nothing.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"

namespace sesamesill::pool {

struct leader_record {
    std::string name;
    std::string incarnation; ///< of the process
    endpoint address;        ///< for other members
    std::uint64_t fence = 0; ///< offset of the claim, plus one: workers take 0 for none
};

std::string encode(const leader_record& leader);
/// Returns the leader that the record at `offset` names, or nothing.
std::optional<leader_record> leader_from(const std::string& value, std::uint64_t offset);

/// Another member, as its heartbeats show it.
struct peer {
    endpoint address;
    time_point heard;
    time_point store_read; ///< when its last successful read of the store was begun
    millis store_read_took{0};
    std::uint64_t fence = 0; ///< of the newest claim that it knows
    bool leaving = false;    ///< a planned stop has begun
    double processor_share = 1;
};

/// A member is used for so long after its heartbeat, longer where heartbeats are rarer.
constexpr millis heartbeat_validity{1200};
/// A store this slow is slow for all members: moving the lead would only lose what is under way.
constexpr millis slow_read_threshold{40};

/// Returns the member that should lead next, or null. Where appends have been failing for
/// `failing`, a successor must have read the store since, and quickly.
const std::pair<const std::string, peer>* successor_among(const std::map<std::string, peer>& peers,
                                                          millis failing, time_point now);

class election {
public:
    /// `delay` spreads the claims of several members; it differs between them.
    election(std::string incarnation, millis delay, time_point now);

    /// Puts the member's claims off by `delay` from now on.
    void set_delay(millis delay) { delay_ = delay; }
    /// Suspects a leader after this long a silence; at least `min_silence_timeout`.
    void set_silence_timeout(millis timeout)
    {
        silence_timeout_ = std::max(min_silence_timeout, timeout);
    }
    void on_leader(const leader_record& leader, time_point now);
    /// The leader answered this member.
    void on_contact(time_point now);
    /// The process that claimed is gone: its port is closed, or another process answers there.
    void on_leader_gone(time_point now);
    /// The log had a new record, which only a leader writes.
    void on_log_record(time_point now);
    /// The leader asked this member to succeed it.
    void on_nominated(time_point now);
    /// A claim didn't succeed.
    void on_claim_failed(time_point now);

    bool should_claim(time_point now) const;
    const std::optional<leader_record>& leader() const { return leader_; }
    /// Returns whether the leader is this process.
    bool is_own() const { return leader_ && leader_->incarnation == incarnation_; }
    /// Returns whether the leader has given a sign of life lately.
    bool has_live_leader(time_point now) const;

    /// Above the leader's longest pause between records plus the reader's pause. A slow store makes
    /// it longer, but then the leader still answers heartbeats.
    static constexpr millis min_silence_timeout{650};

private:
    std::string incarnation_;
    millis delay_;
    millis silence_timeout_ = min_silence_timeout;
    std::optional<leader_record> leader_;
    time_point last_activity_;
    std::optional<time_point> gone_since_;
    bool nominated_ = false;
    time_point claim_after_;
};

} // namespace sesamesill::pool
