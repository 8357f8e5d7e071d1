// Who owns a shard or key, and whether this member may act on it now: views agreed in the log,
// authority by reading the log or by the vouches of a quorum, and the wait of a new owner.
// The rules and why they are safe: docs/design/ownership.md.

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

/// One agreed set of members. Invariants: names are unique and in order; `lease` is above 0.
struct membership_view {
    std::uint64_t epoch = 0; ///< offset in the log + 1
    std::uint64_t base = 0;  ///< epoch of the view it was derived from
    millis lease{0};         ///< T: validity of a log read or of a vouch
    millis fence{0};         ///< F: after it no vouch counts without a newer log read
    std::vector<member> members;
};

/// Returns whether `v` keeps the invariants, or false and the reason.
bool is_valid(const membership_view& v, std::string& reason);
/// Returns the owner by rendezvous hashing over the names, nullptr where there are no members.
const member* owner_in(const membership_view& v, std::string_view shard_or_key);
/// Returns the age that a letter of `heartbeat::ages` stands for, nothing for none or too old.
std::optional<micros> grant_age_from(char letter, millis lease);
/// Returns the index of the process in `v.members`, or nothing.
std::optional<std::size_t> index_in(const membership_view& v, const member& m);
/// Returns how many members must vouch for a view of `members`.
constexpr std::size_t quorum_of(std::size_t members)
{
    return members / 2 + 1;
}
/// Returns how many members must have sealed a view so that no quorum is left.
constexpr std::size_t revocation_quorum_of(std::size_t members)
{
    return members - quorum_of(members) + 1;
}

/// Request and answer of one probe.
struct heartbeat {
    member from;
    std::uint64_t epoch = 0;         ///< newest view that the sender knows
    std::uint64_t drained_epoch = 0; ///< the sender has nothing unsent from views before this
    std::uint64_t closed_epoch = 0;  ///< nobody can act under views before this
    std::string grant_ages;          ///< vouches for `epoch`, one character a member, in view order
    std::optional<millis> log_age;   ///< of the freshest log read that showed `epoch`
    std::vector<membership_view>
        views; ///< for a receiver that is behind: those still open, and `epoch`
};

/// The views in force as the log shows them at an offset, for readers behind the trim point.
struct view_checkpoint {
    std::uint64_t as_of = 0; ///< all records below were read
    std::uint64_t closed_epoch = 0;
    std::vector<membership_view> views; ///< those still open, and the current one last
};

struct ownership_settings {
    millis lease{1500};
    millis fence{1200000};
    double clock_margin = 0.1;         ///< largest difference of two clocks' rates
    millis read_staleness_margin{100}; ///< largest staleness of a log read
    millis proposal_rank_delay{200};   ///< between the members that may propose
    millis propose_timeout{2000};      ///< before a member proposes on the same base again
    millis orphaned_view_after{10000}; ///< without a sign of the view's members
    millis checkpoint_interval{5000};
    // Mechanisms that a test switches off to show that they are needed.
    bool handover_wait = true;
    bool revocation = true;
    bool self_report = true;
    std::size_t revocation_shortfall = 0;
};

class ownership {
public:
    ownership(member self, const ownership_settings& settings);

    /// Takes a `membership_view` record in log order; returns whether it became the log's current
    /// view.
    bool on_view(const membership_view& v, time_point now);
    /// Takes a `release` record: that process never acts again.
    void on_release(const std::string& name, std::uint64_t incarnation, time_point now);
    void on_checkpoint(const view_checkpoint& mark, time_point now);
    /// Tells that the log was read to its end by a read that began at `began`.
    void on_log_read(time_point began, time_point now);
    /// Tells that records below offset `first` were trimmed before this member could read them.
    void on_history_missing(std::uint64_t first, time_point now);
    /// Tells that a record written by that process was read just now.
    void on_log_activity(const std::string& name, std::uint64_t incarnation, time_point now);
    /// Tells that nothing is unsent from before the current view.
    void mark_drained() { drained_epoch_ = current_.epoch; }
    void on_request(const heartbeat& h, time_point now);
    /// Takes the answer to a probe that was sent at `asked`.
    void on_answer(const heartbeat& h, time_point asked, time_point now);
    /// Moves time on: closes views that no member can act under any more.
    void advance(const membership& peers, time_point now);

    /// Returns a message for a member whose newest view is `known_epoch`.
    heartbeat make_heartbeat(std::uint64_t known_epoch, time_point now) const;
    /// Returns the view to append now, or nothing.
    std::optional<membership_view> propose(const membership& peers, time_point now);
    /// Stops acting for good and returns the view without this member.
    membership_view release();
    /// Returns the mark to append now, or nothing.
    std::optional<view_checkpoint> mark(std::uint64_t as_of, time_point now);

    /// Returns this member's place among those that may propose, as of the last `propose`.
    std::size_t rank() const { return rank_; }
    /// Returns the mark for a snapshot of all records below `as_of`.
    view_checkpoint snapshot(std::uint64_t as_of) const;

    const membership_view& current() const { return current_; }
    std::uint64_t epoch() const { return current_.epoch; }
    bool in_view() const { return self_index_.has_value(); }
    bool released() const { return released_self_; }
    const member* owner_of(std::string_view shard_or_key) const;
    /// Returns whether this member may act on what it owns, if so for `authority_left`.
    bool may_act(std::string_view shard_or_key, time_point now) const;
    /// Returns how long this member may go on acting without further news, 0 where it may not.
    micros authority_left(time_point now) const;
    /// What decides `may_act`; while it is the same, so are the answers.
    struct authority_state {
        std::uint64_t epoch = 0;
        std::size_t open_views = 0;
        std::size_t inactive_owners = 0; ///< over all open views
        bool acting = false;

        bool operator==(const authority_state& other) const
        {
            return epoch == other.epoch && open_views == other.open_views &&
                   inactive_owners == other.inactive_owners && acting == other.acting;
        }
    };

    authority_state authority_state_at(time_point now) const;
    /// Returns the views under which some member may still act.
    std::size_t open_views() const { return earlier_views_.size(); }
    /// Returns how often the view changed.
    std::uint64_t changes() const { return changes_; }

private:
    /// What is known of the newest process under a name. All of it only grows.
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t known_epoch = 0;   ///< it knows a view of this epoch
        std::uint64_t drained_epoch = 0; ///< it never acts again under views before this
        bool released = false;
    };

    struct earlier_view {
        membership_view v;
        time_point superseded_at; ///< when this member learnt of a later view
        std::optional<time_point> revoked_at;
        std::vector<bool> delisted; ///< by member: the VM list lacks it and nobody hears it
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
    bool has_ended(const member& m) const;
    bool has_revoked(const member& m, std::uint64_t epoch) const;
    void count_revocations(time_point now);
    bool is_closed(const earlier_view& e, time_point now) const;
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
    membership_view current_; ///< newest view known, from the log or a peer
    std::optional<std::size_t> self_index_;
    std::vector<earlier_view>
        earlier_views_; ///< by epoch, those under which somebody may still act
    std::map<std::string, peer_state> peer_states_;
    std::vector<std::optional<time_point>> granted_at_; ///< by index in the current view
    std::optional<time_point> freshest_read_; ///< begin of the freshest read that showed it
    std::uint64_t log_epoch_ = 0;             ///< current view at the read position
    std::uint64_t read_epoch_ = 0;            ///< current view at the last complete read
    std::optional<time_point> read_began_;
    bool history_known_ = true;
    std::uint64_t first_readable_offset_ =
        0; ///< only a mark as of this offset or later tells the rest
    time_point history_missing_since_;
    std::vector<membership_view> deferred_views_; ///< read while the history was not known
    std::uint64_t drained_epoch_ = 0;
    bool released_self_ = false;
    std::optional<time_point> wanted_changed_at_;
    std::optional<time_point> quorum_lost_since_; ///< no quorum to propose, or no member was heard
    std::map<std::string, time_point>
        last_activity_; ///< when records of the view's members were read
    std::optional<time_point> proposed_at_;
    std::uint64_t proposed_base_ = 0;
    time_point checkpointed_at_;
    std::uint64_t changes_ = 0;
    std::size_t rank_ = 0;
};

} // namespace sesamesill
