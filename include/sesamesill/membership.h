// Who is there: direct heartbeats, the word of peers and the log, and the VM list, joined with
// suspicion before death. Chooses whom to probe within a budget of bytes.

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
    std::uint64_t incarnation = 0; ///< 0 where it is not known yet
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

/// Returns whether `members`, which are in order of their names, contain the process.
bool contains(const std::vector<member>& members, const member& m);

enum class liveness : std::uint8_t { unknown, alive, suspect, dead };

std::string_view name_of(liveness state);

struct membership_settings {
    millis suspect_after{1000};
    millis dead_after{2000};       ///< without any evidence
    millis join_delay{300};        ///< members that come within this time join together
    millis join_delay_limit{1000}; ///< longest wait for others that are still settling
    millis return_delay{5000};     ///< heard for so long before a member once dead counts again
    millis pause_limit{500};       ///< a longer gap between advances is a pause of this process
    millis list_lag{60000}; ///< longest delay of the VM list, for an entry that it never showed
    millis forget_after{120000};
    millis probe_period{0};               ///< between two probes; 0 for what the budget allows
    std::int64_t bytes_per_second = 4500; ///< for heartbeats, both ways, sent and received
};

/// Returns the time between two probes of one member that keeps a cell of `members` in the budget.
millis probe_interval(std::size_t members, std::int64_t bytes_per_second);

class membership {
public:
    membership(member self, const membership_settings& settings, std::uint64_t seed);

    const member& self() const { return self_; }

    /// Takes a message that came from `m` itself.
    void heard(const member& m, time_point now);
    /// Takes the word of a peer that the process was alive at `at`.
    void record_alive(const member& m, time_point at);
    /// Takes the live entries of the VM list; their incarnations are not known.
    void listed(const std::vector<member>& entries, time_point now);
    /// Moves time on; must run at least every `pause_limit`.
    void advance(time_point now);

    /// Returns whom to probe now, or nothing while the budget is used up.
    std::optional<member> next_probe(time_point now);
    /// Puts `name` before the others in the next choices.
    void prioritize_probe(const std::string& name);

    liveness state_of(const std::string& name, std::uint64_t incarnation, time_point now) const;
    /// Returns whether the VM list dropped `name` and nobody heard it, both for `silence`. A name
    /// that it never showed may only be late: that must have lasted for the list's lag.
    bool delisted(const std::string& name, micros silence, time_point now) const;
    /// Returns the members that belong into a view that follows `current`, by name.
    std::vector<member> next_members(const std::vector<member>& current, time_point now) const;
    /// Returns whether the VM list names an entry that was never heard.
    bool has_unheard_entries() const;
    /// Stretches the times of suspicion for a cell in which evidence takes log n probes to spread.
    void scale_timeouts(std::size_t members);
    /// Tells whether this member may propose who is dead: then it probes each suspect itself.
    void set_proposer(bool is_proposer) { is_proposer_ = is_proposer; }
    std::size_t size() const { return peers_.size() + 1; }
    /// Returns the time between two probes at the size of the cell.
    millis probe_period() const;

private:
    struct peer {
        member info;
        bool listed = false;
        bool ever_listed = false;
        bool returned = false;   ///< was dead before under the same incarnation
        bool probed = false;     ///< at least once
        bool ever_heard = false; ///< under this incarnation
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
    std::map<std::string, peer> peers_;   ///< by name, without this member
    std::vector<std::string> probe_ring_; ///< names still to be probed in this pass
    std::vector<std::string> priority_probes_;
    std::size_t unbudgeted_probes_ = 0; ///< probes that were made outside the budget
    bool list_received_ = false;
    time_point started_;
    time_point last_advance_;
    time_point no_deaths_until_; ///< nobody is judged dead before
    time_point next_probe_at_;
    time_point last_suspect_probe_;
};

} // namespace sesamesill
