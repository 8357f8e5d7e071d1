// Decides who owns a shard or key and whether this member may act on it now. Members agree on views
// in the log; a member may act after a recent log read or with lease grants of a quorum, and a new
// owner waits for the previous one. The rules and their proof: docs/design/ownership.md.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/membership.h"

namespace sesamesill {

/// An agreed set of members. Invariants: names are unique and sorted; `lease` is positive.
struct membership_view {
    std::uint64_t epoch = 0; ///< offset of its record in the log + 1
    std::uint64_t base = 0;  ///< epoch of the view that it replaces
    millis lease{0};         ///< T: how long a log read or a lease grant is valid
    millis fence{0};         ///< F: age of a log read above which lease grants are ignored
    std::vector<member> members;
};

/// Returns whether `v` satisfies the invariants; sets `reason` where it does not.
bool is_valid(const membership_view& v, std::string& reason);
/// Returns the owner by rendezvous hashing over the names, or nullptr if there are no members.
const member* owner_in(const membership_view& v, std::string_view shard_or_key);
/// Returns the age that a character of `heartbeat::grant_ages` encodes, or nothing if there is no
/// grant or its age exceeds the encodable range.
std::optional<micros> grant_age_from(char letter, millis lease);
/// Returns the index of the process in `v.members`, or nothing.
std::optional<std::size_t> index_in(const membership_view& v, const member& m);
/// Returns how many of `members` must grant a lease for a member to act.
constexpr std::size_t quorum_of(std::size_t members)
{
    return members / 2 + 1;
}
/// Returns how many of `members` must have revoked a view so that no quorum can grant leases.
constexpr std::size_t revocation_quorum_of(std::size_t members)
{
    return members - quorum_of(members) + 1;
}

/// The message of a probe's request and of its answer.
struct heartbeat {
    member from;
    std::uint64_t epoch = 0;         ///< epoch of the newest view that the sender knows
    std::uint64_t drained_epoch = 0; ///< its requests from views before this are answered
    std::uint64_t closed_epoch = 0;  ///< no member can act under views before this one
    std::string grant_ages; ///< of lease grants for `epoch`, one character per member in order
    std::optional<millis> log_age; ///< age of the most recent log read that showed `epoch`
    /// For a receiver with an older view: the open views, then that of `epoch`.
    std::vector<membership_view> views;
};

/// The views in force at an offset of the log, for readers whose position was trimmed.
struct view_checkpoint {
    std::uint64_t as_of = 0; ///< all records below this offset are included
    std::uint64_t closed_epoch = 0;
    std::vector<membership_view> views; ///< the open views, then the current one
};

struct ownership_settings {
    millis lease{1500};
    millis fence{1200000};
    double clock_margin = 0.1; ///< largest relative difference between the rates of two clocks
    millis read_staleness_margin{100}; ///< how far a log read may lag behind the log
    millis proposal_rank_delay{200};   ///< delay per rank, so that members do not propose at once
    millis propose_timeout{2000};      ///< wait before proposing again on the same base
    millis orphaned_view_after{10000}; ///< age of a view without quorum and activity to replace it
    millis checkpoint_interval{5000};
    // Mechanisms that tests disable to show that each of them is needed.
    bool handover_wait = true;
    bool revocation = true;
    bool self_report = true;
    std::size_t revocation_shortfall = 0;
};

class ownership {
public:
    ownership(member self, const ownership_settings& settings);

    /// Handles a `view` record in log order. Returns whether it became the log's current view.
    bool on_view(const membership_view& v, time_point now);
    /// Handles a `release` record, after which that process never acts again.
    void on_release(const std::string& name, std::uint64_t incarnation, time_point now);
    /// Handles a `view_mark` record.
    void on_checkpoint(const view_checkpoint& mark, time_point now);
    /// Records that a read that began at `began` reached the end of the log.
    void on_log_read(time_point began, time_point now);
    /// Records that records below offset `first` were trimmed before this member read them.
    void on_history_missing(std::uint64_t first, time_point now);
    /// Records that a log record written by that process was read at `now`.
    void on_log_activity(const std::string& name, std::uint64_t incarnation, time_point now);
    /// Records that no request from before the current view is unanswered.
    void mark_drained() { drained_epoch_ = current_.epoch; }
    /// Handles the request of a peer's probe.
    void on_request(const heartbeat& h, time_point now);
    /// Handles the answer to a probe that was sent at `asked`.
    void on_answer(const heartbeat& h, time_point asked, time_point now);
    /// Closes the views under which no member can act any more.
    void advance(const membership& peers, time_point now);

    /// Returns the message for a member whose newest view is that of `known_epoch`.
    heartbeat make_heartbeat(std::uint64_t known_epoch, time_point now) const;
    /// Returns the view to append to the log now, or nothing.
    std::optional<membership_view> propose(const membership& peers, time_point now);
    /// Stops acting permanently and returns the current view without this member.
    membership_view release();
    /// Returns the checkpoint to append to the log now, or nothing.
    std::optional<view_checkpoint> mark(std::uint64_t as_of, time_point now);

    /// Returns this member's rank among those that may propose, computed by the last `propose`.
    std::size_t rank() const { return rank_; }
    /// Returns the checkpoint of all records below offset `as_of`.
    view_checkpoint snapshot(std::uint64_t as_of) const;

    const membership_view& current() const { return current_; }
    std::uint64_t epoch() const { return current_.epoch; }
    bool in_view() const { return self_index_.has_value(); }
    bool released() const { return released_self_; }
    const member* owner_of(std::string_view shard_or_key) const;
    /// Returns whether this member owns the shard or key and may act on it. If so, it may act for
    /// `authority_left`.
    bool may_act(std::string_view shard_or_key, time_point now) const;
    /// Returns how long this member may act without another log read or lease grant, or 0 if it
    /// may not act.
    micros authority_left(time_point now) const;
    /// The state that determines `may_act`: while it is equal, so are the results.
    struct authority_state {
        std::uint64_t epoch = 0;
        std::size_t open_views = 0;
        std::size_t inactive_owners = 0; ///< members that cannot act, summed over the open views
        bool acting = false;

        bool operator==(const authority_state& other) const
        {
            return epoch == other.epoch && open_views == other.open_views &&
                   inactive_owners == other.inactive_owners && acting == other.acting;
        }
    };

    authority_state authority_state_at(time_point now) const;
    /// Returns the number of earlier views under which some member may still act.
    std::size_t open_views() const { return earlier_views_.size(); }
    /// Returns how many times the view changed.
    std::uint64_t changes() const { return changes_; }

private:
    /// The state of the newest process under a name. Invariant: the values never decrease.
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t known_epoch = 0;   ///< newest view that it is known to have
        std::uint64_t drained_epoch = 0; ///< it never acts again under views before this one
        bool released = false;
    };

    struct earlier_view {
        membership_view v;
        time_point superseded_at;             ///< when this member learned of a later view
        std::optional<time_point> revoked_at; ///< when enough members had revoked it
        std::vector<bool> delisted;           ///< by member: not in the VM list and silent
    };

    micros handover_wait_for(micros time) const;
    void adopt(const membership_view& v, time_point now);
    void close_before(std::uint64_t epoch);
    void adopt_views(const std::vector<membership_view>& views, std::uint64_t closed_epoch,
                     time_point now);
    void apply_report(const heartbeat& h, time_point now);
    void apply_grant_ages(const heartbeat& h, time_point asked);
    void apply_deferred_views(std::uint64_t as_of, std::uint64_t epoch, time_point now);
    peer_state* peer_state_of(const member& m);
    void prune_peer_states();
    bool is_superseded(const member& m) const;
    /// Returns whether the process was released or replaced by a newer incarnation.
    bool has_ended(const member& m) const;
    bool has_revoked(const member& m, std::uint64_t epoch) const;
    void count_revocations(time_point now);
    bool is_closed(const earlier_view& e, time_point now) const;
    /// Returns whether the member is this one or can no longer act under the view.
    bool is_inactive(const earlier_view& e, std::size_t index) const;
    bool blocks(const earlier_view& e, std::string_view shard_or_key) const;
    bool log_is_fresh(time_point now) const;
    bool grants_lease() const;
    time_point read_authority() const;
    time_point quorum_authority(time_point now) const;
    time_point granted_at(std::size_t index, time_point now) const;
    std::string encoded_ages(time_point now) const;
    std::vector<member> wanted_members(const membership& peers, time_point now) const;
    bool may_propose(const std::vector<member>& wanted, const membership& peers, time_point now);
    bool has_activity_of_others(const std::vector<member>& wanted, time_point now) const;
    std::size_t rank_in(const std::vector<member>& wanted) const;

    member self_;
    ownership_settings settings_;
    membership_view current_; ///< newest known view, from the log or a peer
    std::optional<std::size_t> self_index_;
    std::vector<earlier_view> earlier_views_; ///< by epoch, those that are still open
    std::map<std::string, peer_state> peer_states_;
    std::vector<std::optional<time_point>> granted_at_; ///< by index in the current view
    /// Start of the most recent log read that showed the current view.
    std::optional<time_point> freshest_read_;
    std::uint64_t log_epoch_ = 0;  ///< epoch of the current view at the read position
    std::uint64_t read_epoch_ = 0; ///< epoch of the current view at the last complete read
    std::optional<time_point> read_began_;
    bool history_known_ = true;
    /// A checkpoint as of this offset or later restores the history.
    std::uint64_t first_readable_offset_ = 0;
    time_point history_missing_since_;
    std::vector<membership_view> deferred_views_; ///< views read while the history was not known
    std::uint64_t drained_epoch_ = 0;
    bool released_self_ = false;
    std::optional<time_point> differs_from_wanted_since_;
    /// Since when too few members were alive to propose a view.
    std::optional<time_point> quorum_lost_since_;
    /// By name, when a record of that member of the current view was last read.
    std::map<std::string, time_point> last_activity_;
    std::optional<time_point> proposed_at_;
    std::uint64_t proposed_base_ = 0;
    time_point checkpointed_at_;
    std::uint64_t changes_ = 0;
    std::size_t rank_ = 0;
};

} // namespace sesamesill
