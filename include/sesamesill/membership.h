// Tracks which members are alive from heartbeats, reports of peers and the VM list; a silent member
// is suspect before it is dead. Chooses which member to probe within a budget of bytes per second.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"

namespace sesamesill {

/// A process of the cell. A restarted process is another member with a higher incarnation.
struct member {
    std::string name;
    std::uint64_t incarnation = 0; ///< 0 if it is not known yet
    endpoint address;
    endpoint peer_address;
};

inline bool operator==(const member& a, const member& b)
{
    return a.name == b.name && a.incarnation == b.incarnation;
}

inline bool operator!=(const member& a, const member& b)
{
    return !(a == b);
}

/// Returns whether `members`, sorted by name, contain the process.
bool contains(const std::vector<member>& members, const member& m);

enum class liveness : std::uint8_t { unknown, alive, suspect, dead };

std::string_view name_of(liveness state);

struct membership_settings {
    millis suspect_after{1000};    ///< without evidence of life
    millis dead_after{2000};       ///< without evidence of life
    millis join_delay{300};        ///< a new member joins when it was alive for this long
    millis join_delay_limit{1000}; ///< longest wait for newer members, so that they join together
    millis return_delay{5000};     ///< join delay of a member that was dead before
    millis pause_limit{500}; ///< a longer gap between calls of `advance` is a pause of this process
    millis list_lag{60000};  ///< longest delay until the VM list shows a new entry
    millis forget_after{120000};
    millis probe_period{0};               ///< time between two probes; 0 derives it from the budget
    std::int64_t bytes_per_second = 4500; ///< budget of heartbeats sent and received
};

/// Returns the time between two probes of a member that keeps it within the budget in a cell of
/// `members`.
millis probe_interval(std::size_t members, std::int64_t bytes_per_second);

class membership {
public:
    membership(member self, const membership_settings& settings, std::uint64_t seed);

    const member& self() const { return self_; }

    /// Records that a message from `m` itself arrived.
    void heard(const member& m, time_point now);
    /// Records indirect evidence that the process was alive at `at`.
    void record_alive(const member& m, time_point at);
    /// Updates the live entries of the VM list, whose incarnations are not known.
    void listed(const std::vector<member>& entries, time_point now);
    /// Detects pauses of this process and forgets old peers. Must run at least every `pause_limit`.
    void advance(time_point now);

    /// Returns the member to probe now, or nothing while the budget is used up.
    std::optional<member> next_probe(time_point now);
    /// Makes `next_probe` return `name` before others.
    void prioritize_probe(const std::string& name);

    liveness state_of(const std::string& name, std::uint64_t incarnation, time_point now) const;
    /// Returns whether `name` has been missing from the VM list and without evidence of life, both
    /// for `silence`. A name that the list never showed must be missing for `list_lag`, because the
    /// list may show a new VM late.
    bool delisted(const std::string& name, micros silence, time_point now) const;
    /// Returns the members of the view that should follow `current`, sorted by name.
    std::vector<member> next_members(const std::vector<member>& current, time_point now) const;
    /// Returns whether the VM list is unknown or has an entry without evidence of life so far.
    bool has_unheard_entries() const;
    /// Scales the suspect and dead timeouts for a cell of `members`, where evidence takes about
    /// log2(n) probes to spread.
    void scale_timeouts(std::size_t members);
    /// Sets whether this member may propose views. A proposer probes every suspect itself.
    void set_proposer(bool is_proposer) { is_proposer_ = is_proposer; }
    std::size_t size() const { return peers_.size() + 1; }
    /// Returns the time between two probes at the current size of the cell.
    millis probe_period() const;

private:
    struct peer {
        member info;
        bool listed = false;
        bool ever_listed = false;
        bool was_dead = false; ///< was dead before with the same incarnation
        bool probed = false;
        bool ever_heard = false; ///< with this incarnation
        time_point heard;
        time_point alive_since;
        time_point unlisted_since;
        time_point last_probe;
    };

    void record_evidence(peer& p, time_point at);
    bool is_dead(const peer& p, time_point now) const;
    const peer* find(const std::string& name) const;
    const peer* first_unprobed() const;
    const peer* suspect_to_probe(time_point now);
    const peer* next_in_ring(time_point now);
    void refill_ring();

    member self_;
    membership_settings settings_;
    std::mt19937_64 random_;
    double timeout_scale_ = 1.0;
    bool is_proposer_ = true;
    std::map<std::string, peer> peers_;   ///< by name, excluding this member
    std::vector<std::string> probe_ring_; ///< names left to probe in this pass
    std::vector<std::string> priority_probes_;
    std::size_t unbudgeted_probes_ = 0; ///< probes sent outside the budget
    bool list_received_ = false;
    time_point started_;
    time_point last_advance_;
    time_point no_deaths_until_; ///< no member is considered dead before this time
    time_point next_probe_at_;
    time_point last_suspect_probe_;
};

} // namespace sesamesill
