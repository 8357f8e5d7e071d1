// Keeps the time of the latest evidence of life for each peer, whatever its source, and derives its
// liveness from the age.

#include "sesamesill/membership.h"

#include <algorithm>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

// An exchange is a request and its answer with HTTP and JSON-RPC framing.
constexpr std::int64_t exchange_bytes = 700;
constexpr std::int64_t exchange_bytes_per_member = 2;
constexpr std::int64_t exchanges_per_probe = 2; ///< its own and one started by a peer
constexpr millis suspect_probe_interval{300};
constexpr std::size_t unscaled_members = 6; ///< largest cell whose timeouts are not scaled
constexpr std::size_t suspect_probers = 8;  ///< expected number of members that probe a suspect
constexpr std::size_t max_unbudgeted_probes = 16; ///< first probes after a start

constexpr name_table<liveness, 4> liveness_names{{{liveness::unknown, "unknown"},
                                                  {liveness::alive, "alive"},
                                                  {liveness::suspect, "suspect"},
                                                  {liveness::dead, "dead"}}};

micros scaled(millis time, double factor)
{
    return micros(static_cast<std::int64_t>(static_cast<double>(micros(time).count()) * factor));
}

} // namespace

bool contains(const std::vector<member>& members, const member& m)
{
    const auto found =
        std::lower_bound(members.begin(), members.end(), m,
                         [](const member& a, const member& b) { return a.name < b.name; });
    return found != members.end() && *found == m;
}

std::string_view name_of(liveness state)
{
    return name_in(liveness_names, state);
}

millis probe_interval(std::size_t members, std::int64_t bytes_per_second)
{
    const std::int64_t bytes =
        exchange_bytes + exchange_bytes_per_member * static_cast<std::int64_t>(members);
    return millis(exchanges_per_probe * bytes * 1000 / bytes_per_second);
}

millis membership::probe_period() const
{
    return settings_.probe_period > millis(0) ? settings_.probe_period
                                              : probe_interval(size(), settings_.bytes_per_second);
}

membership::membership(member self, const membership_settings& settings, std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed)
{
}

void membership::record_evidence(peer& p, time_point at)
{
    if (p.ever_heard && at <= p.heard) {
        return;
    }
    if (!p.ever_heard || is_dead(p, at)) {
        p.alive_since = at;
        p.was_dead = p.ever_heard;
    }
    p.ever_heard = true;
    p.heard = at;
}

void membership::record_alive(const member& m, time_point at)
{
    if (m.name == self_.name) {
        return;
    }
    const bool is_new = peers_.count(m.name) == 0;
    peer& p = peers_[m.name];
    if (is_new) {
        p.unlisted_since = at;
    }
    if (p.info.incarnation > m.incarnation) {
        return;
    }
    if (p.info.incarnation < m.incarnation) {
        p.ever_heard = false;
        p.info = m;
    }
    record_evidence(p, at);
}

void membership::heard(const member& m, time_point now)
{
    record_alive(m, now);
    const auto found = peers_.find(m.name);
    if (found != peers_.end() && found->second.info == m) {
        found->second.info = m;
    }
}

void membership::listed(const std::vector<member>& entries, time_point now)
{
    std::map<std::string, bool> listed_names;
    for (const member& m : entries) {
        listed_names[m.name] = true;
        if (m.name == self_.name) {
            continue;
        }
        peer& p = peers_[m.name];
        p.listed = true;
        p.ever_listed = true;
        if (p.info.incarnation == 0) {
            p.info = m;
        }
    }
    for (std::pair<const std::string, peer>& entry : peers_) {
        peer& p = entry.second;
        if (listed_names.count(entry.first) == 0 && (p.listed || !list_received_)) {
            p.listed = false;
            p.unlisted_since = now;
        }
    }
    list_received_ = true;
}

void membership::advance(time_point now)
{
    if (last_advance_ == time_point()) {
        started_ = now;
    }
    else if (now - last_advance_ > settings_.pause_limit) {
        no_deaths_until_ = now + scaled(settings_.dead_after, timeout_scale_);
    }
    last_advance_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        const peer& p = it->second;
        const bool expired = now - std::max(p.heard, p.unlisted_since) > settings_.forget_after;
        it = !p.listed && list_received_ && expired ? peers_.erase(it) : std::next(it);
    }
}

const membership::peer* membership::find(const std::string& name) const
{
    const auto found = peers_.find(name);
    return found != peers_.end() ? &found->second : nullptr;
}

bool membership::is_dead(const peer& p, time_point now) const
{
    return now >= no_deaths_until_ && now - p.heard > scaled(settings_.dead_after, timeout_scale_);
}

liveness membership::state_of(const std::string& name, std::uint64_t incarnation,
                              time_point now) const
{
    if (name == self_.name) {
        return incarnation == self_.incarnation ? liveness::alive : liveness::dead;
    }
    const peer* p = find(name);
    if (p == nullptr || !p->ever_heard || p->info.incarnation < incarnation) {
        return liveness::unknown;
    }
    if (p->info.incarnation > incarnation || is_dead(*p, now)) {
        return liveness::dead;
    }
    return now - p->heard > scaled(settings_.suspect_after, timeout_scale_) ? liveness::suspect
                                                                            : liveness::alive;
}

bool membership::delisted(const std::string& name, micros silence, time_point now) const
{
    if (!list_received_ || name == self_.name) {
        return false;
    }
    const peer* p = find(name);
    if (p == nullptr) {
        return now - started_ >= settings_.list_lag;
    }
    const micros unlisted = now - std::max(p->unlisted_since, started_);
    return !p->listed && unlisted >= (p->ever_listed ? silence : micros(settings_.list_lag)) &&
           (!p->ever_heard || now - p->heard >= silence);
}

bool membership::has_unheard_entries() const
{
    return !list_received_ || std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
        return entry.second.listed && !entry.second.ever_heard;
    });
}

std::vector<member> membership::next_members(const std::vector<member>& current,
                                             time_point now) const
{
    std::vector<member> members;
    std::vector<member> joining;
    bool has_unstable = false;
    time_point longest_alive = now;
    for (const std::pair<const std::string, peer>& entry : peers_) {
        const peer& p = entry.second;
        if (!p.ever_heard || is_dead(p, now)) {
            continue;
        }
        if (contains(current, p.info)) {
            members.push_back(p.info);
            continue;
        }
        const bool is_stable = now - p.alive_since >= settings_.join_delay;
        if (p.was_dead && now - p.alive_since < settings_.return_delay) {
            continue;
        }
        has_unstable = has_unstable || !is_stable;
        longest_alive = std::min(longest_alive, p.alive_since);
        if (is_stable) {
            joining.push_back(p.info);
        }
    }
    if (!has_unstable || now - longest_alive >= settings_.join_delay_limit) {
        members.insert(members.end(), joining.begin(), joining.end());
    }
    members.push_back(self_);
    std::sort(members.begin(), members.end(),
              [](const member& a, const member& b) { return a.name < b.name; });
    return members;
}

void membership::scale_timeouts(std::size_t members)
{
    const double rounds = std::log2(static_cast<double>(std::max<std::size_t>(members, 2)));
    timeout_scale_ = std::max(1.0, rounds / std::log2(static_cast<double>(unscaled_members)));
}

void membership::prioritize_probe(const std::string& name)
{
    if (peers_.count(name) > 0 && std::find(priority_probes_.begin(), priority_probes_.end(),
                                            name) == priority_probes_.end()) {
        priority_probes_.push_back(name);
    }
}

const membership::peer* membership::first_unprobed() const
{
    if (unbudgeted_probes_ >= max_unbudgeted_probes) {
        return nullptr;
    }
    for (const std::pair<const std::string, peer>& entry : peers_) {
        if (!entry.second.probed && entry.second.info.peer_address.port != 0) {
            return &entry.second;
        }
    }
    return nullptr;
}

const membership::peer* membership::suspect_to_probe(time_point now)
{
    if (now - last_suspect_probe_ < suspect_probe_interval) {
        return nullptr;
    }
    std::vector<const peer*> suspects;
    for (const std::pair<const std::string, peer>& entry : peers_) {
        const peer& p = entry.second;
        if (p.ever_heard && now - p.last_probe >= suspect_probe_interval &&
            state_of(entry.first, p.info.incarnation, now) == liveness::suspect) {
            suspects.push_back(&p);
        }
    }
    last_suspect_probe_ = now;
    const bool chosen =
        is_proposer_ || random_() % std::max(size(), suspect_probers) < suspect_probers;
    if (suspects.empty() || !chosen) {
        return nullptr;
    }
    return suspects[random_() % suspects.size()];
}

void membership::refill_ring()
{
    for (const std::pair<const std::string, peer>& entry : peers_) {
        if (entry.second.info.peer_address.port != 0) {
            probe_ring_.push_back(entry.first);
        }
    }
    std::shuffle(probe_ring_.begin(), probe_ring_.end(), random_);
}

const membership::peer* membership::next_in_ring(time_point now)
{
    if (probe_ring_.empty()) {
        refill_ring();
    }
    while (!probe_ring_.empty()) {
        const peer* p = find(probe_ring_.back());
        probe_ring_.pop_back();
        // A dead member is probed only while the VM list contains it.
        if (p != nullptr && (p->listed || !is_dead(*p, now))) {
            return p;
        }
    }
    return nullptr;
}

std::optional<member> membership::next_probe(time_point now)
{
    const peer* chosen = first_unprobed();
    if (chosen != nullptr) {
        ++unbudgeted_probes_;
    }
    else {
        chosen = suspect_to_probe(now);
    }
    if (chosen == nullptr && now >= next_probe_at_) {
        while (chosen == nullptr && !priority_probes_.empty()) {
            chosen = find(priority_probes_.back());
            priority_probes_.pop_back();
        }
        chosen = chosen == nullptr ? next_in_ring(now) : chosen;
        next_probe_at_ = now + probe_period();
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    peer& p = peers_[chosen->info.name];
    p.probed = true;
    p.last_probe = now;
    return p.info;
}

} // namespace sesamesill
