// Tracks which member leads and decides when this member should claim the lead. Does no I/O and
// reads no clock: callers pass events and the time.
//
// A claim is a record that is appended only if the claimer has read the whole log, so of two
// concurrent claims one succeeds and the other claimer reads its record. Workers check the claim's
// offset as a fence, so a claim on a false suspicion costs a change of leader but is safe.

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
    std::string incarnation; ///< names one run of the member's process
    endpoint address;        ///< where other members reach the leader
    std::uint64_t fence = 0; ///< offset of the claim plus one, as workers read 0 as no fence
    int members = 1;         ///< that it knew of when it claimed the lead
    double memory_mb = 0;    ///< least of any of them, its own included; 0 if it isn't known
};

std::string encode(const leader_record& leader);
/// Returns the leader named by the record at `offset`, or nothing if the record is unreadable.
std::optional<leader_record> leader_from(const std::string& value, std::uint64_t offset);

/// The state of another member according to its last heartbeat.
struct peer {
    endpoint address;
    time_point heard;      ///< when the last heartbeat arrived
    time_point store_read; ///< when its last successful read of the store began
    millis store_read_took{0};
    std::uint64_t fence = 0; ///< fence of the newest claim that it knows
    bool leaving = false;    ///< it has begun a planned stop
    double processor_share = 1;
    double memory_mb = 0; ///< that its process may use; 0 if it isn't known
};

/// How long after its last heartbeat a member counts as alive. It must exceed the heartbeat period,
/// which grows with the number of members.
constexpr millis heartbeat_validity{1200};
/// A successor's reads of the store must be faster than this while appends fail. If the store is
/// slow for all members, a change of leader would only abort the requests in flight.
constexpr millis slow_read_threshold{40};

/// Returns the member that should lead next, or null. `failing` is how long the leader's appends
/// have been failing, 0 if they succeed; if they fail, the successor must have read the store since
/// then and in less than `slow_read_threshold`.
const std::pair<const std::string, peer>* successor_among(const std::map<std::string, peer>& peers,
                                                          millis failing, time_point now);

class election {
public:
    /// `delay` differs between members, so that they don't all claim at the same time.
    election(std::string incarnation, millis delay, time_point now);

    /// Sets how long this member waits before it claims.
    void set_delay(millis delay) { delay_ = delay; }
    /// Sets after how long without activity a leader is suspected; at least `min_silence_timeout`.
    void set_silence_timeout(millis timeout)
    {
        silence_timeout_ = std::max(min_silence_timeout, timeout);
    }
    /// Handles a claim; one that isn't newer than the known leader's changes nothing.
    void on_leader(const leader_record& leader, time_point now);
    /// Handles an answer of the leader to this member.
    void on_contact(time_point now);
    /// Handles the end of the leader's process: its port is closed, or another process answers.
    void on_leader_gone(time_point now);
    /// Handles a connection to the leader that wasn't established in time. The leader's link or
    /// processor may be busy: it is suspected only if it writes no records either.
    void on_leader_unreachable(time_point now);
    /// Handles a new record in the log; only a leader writes records.
    void on_log_record(time_point now);
    /// Handles the leader's request that this member takes over.
    void on_nominated(time_point now);
    /// Handles a claim of this process whose append was answered as stored: it leads now.
    void on_lead_taken() { leads_ = true; }
    /// Handles the loss of the lead: delays the next claim.
    void on_lead_lost(time_point now);
    /// Handles a claim that failed or got no answer: delays the next one.
    void on_claim_failed(time_point now);

    bool should_claim(time_point now) const;
    const std::optional<leader_record>& leader() const { return leader_; }
    /// Returns whether the newest claim is this process's. It leads only after `on_lead_taken`: the
    /// answer to a claim that was stored may have been lost.
    bool is_own() const { return leader_ && leader_->incarnation == incarnation_; }
    /// Returns whether the leader was active within the silence timeout and its process isn't known
    /// to be gone.
    bool has_live_leader(time_point now) const;

    /// Exceeds the leader's longest pause between records plus the pause between a follower's
    /// reads. A slow store can exceed it, but then the leader still answers heartbeats.
    static constexpr millis min_silence_timeout{650};
    /// The same for a leader that can't be connected to; exceeds its pause between records.
    static constexpr millis unreachable_timeout{450};

private:
    std::string incarnation_;
    millis delay_;
    millis silence_timeout_ = min_silence_timeout;
    std::optional<leader_record> leader_;
    time_point last_activity_;
    std::optional<time_point> gone_since_;
    std::optional<time_point> unreachable_since_;
    bool nominated_ = false;
    bool leads_ = false;
    time_point claim_after_;
};

} // namespace sesamesill::pool
