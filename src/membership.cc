// Evidence of life has one time for each peer, whatever its source; the rest follows from its age.

#include "sesamesill/membership.h"

#include <algorithm>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

// An exchange is a request and its answer with their HTTP and JSON-RPC frames.
constexpr std::int64_t exchange_bytes = 700;
constexpr std::int64_t exchange_bytes_per_member = 2;
constexpr std::int64_t exchanges_per_probe = 2; ///< its own, and one that a peer begins
constexpr millis suspect_probe_interval{300};
constexpr std::size_t unscaled_members = 6; ///< up to this size the times hold as they are
constexpr std::size_t suspect_probers = 8;  ///< expected members that probe one suspect at a time
constexpr std::size_t max_first_contacts = 16; ///< probed at once after a start

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

void membership::note(peer& p, time_point at)
{
    if (p.heard_ever && at <= p.heard) {
        return;
    }
    if (!p.heard_ever || is_dead(p, at)) {
        p.alive_since = at;
        p.returned = p.heard_ever;
    }
    p.heard_ever = true;
    p.heard = at;
}

void membership::record_alive(const member& m, time_point at)
{
    if (m.name == self_.name) {
        return;
    }
    const bool fresh = peers_.count(m.name) == 0;
    peer& p = peers_[m.name];
    if (fresh) {
        p.unlisted_since = at;
    }
    if (p.info.incarnation > m.incarnation) {
        return;
    }
    if (p.info.incarnation < m.incarnation) {
        p.heard_ever = false;
        p.info = m;
    }
    note(p, at);
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
    std::map<std::string, bool> named;
    for (const member& m : entries) {
        named[m.name] = true;
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
        if (named.count(entry.first) == 0 && (p.listed || !list_seen_)) {
            p.listed = false;
            p.unlisted_since = now;
        }
    }
    list_seen_ = true;
}

void membership::advance(time_point now)
{
    if (last_advance_ == time_point()) {
        started_ = now;
    }
    else if (now - last_advance_ > settings_.pause_limit) {
        grace_until_ = now + scaled(settings_.dead_after, scale_);
    }
    last_advance_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        const peer& p = it->second;
        const bool old = now - std::max(p.heard, p.unlisted_since) > settings_.forget_after;
        it = !p.listed && list_seen_ && old ? peers_.erase(it) : std::next(it);
    }
}

const membership::peer* membership::find(const std::string& name) const
{
    const auto found = peers_.find(name);
    return found != peers_.end() ? &found->second : nullptr;
}

bool membership::is_dead(const peer& p, time_point now) const
{
    return now >= grace_until_ && now - p.heard > scaled(settings_.dead_after, scale_);
}

liveness membership::state_of(const std::string& name, std::uint64_t incarnation,
                              time_point now) const
{
    if (name == self_.name) {
        return incarnation == self_.incarnation ? liveness::alive : liveness::dead;
    }
    const peer* p = find(name);
    if (p == nullptr || !p->heard_ever || p->info.incarnation < incarnation) {
        return liveness::unknown;
    }
    if (p->info.incarnation > incarnation || is_dead(*p, now)) {
        return liveness::dead;
    }
    return now - p->heard > scaled(settings_.suspect_after, scale_) ? liveness::suspect
                                                                    : liveness::alive;
}

bool membership::delisted(const std::string& name, micros quiet, time_point now) const
{
    if (!list_seen_ || name == self_.name) {
        return false;
    }
    const peer* p = find(name);
    if (p == nullptr) {
        return now - started_ >= settings_.list_lag;
    }
    const micros unlisted = now - std::max(p->unlisted_since, started_);
    return !p->listed && unlisted >= (p->ever_listed ? quiet : micros(settings_.list_lag)) &&
           (!p->heard_ever || now - p->heard >= quiet);
}

bool membership::has_unheard_entries() const
{
    return !list_seen_ || std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
        return entry.second.listed && !entry.second.heard_ever;
    });
}

std::vector<member> membership::next_members(const std::vector<member>& current,
                                             time_point now) const
{
    std::vector<member> stay;
    std::vector<member> join;
    bool settling = false;
    time_point oldest = now;
    for (const std::pair<const std::string, peer>& entry : peers_) {
        const peer& p = entry.second;
        if (!p.heard_ever || is_dead(p, now)) {
            continue;
        }
        if (contains(current, p.info)) {
            stay.push_back(p.info);
            continue;
        }
        const bool drained_epoch = now - p.alive_since >= settings_.join_delay;
        if (p.returned && now - p.alive_since < settings_.return_delay) {
            continue;
        }
        settling = settling || !drained_epoch;
        oldest = std::min(oldest, p.alive_since);
        if (drained_epoch) {
            join.push_back(p.info);
        }
    }
    if (!settling || now - oldest >= settings_.join_delay_limit) {
        stay.insert(stay.end(), join.begin(), join.end());
    }
    stay.push_back(self_);
    std::sort(stay.begin(), stay.end(),
              [](const member& a, const member& b) { return a.name < b.name; });
    return stay;
}

void membership::scale_timeouts(std::size_t members)
{
    const double rounds = std::log2(static_cast<double>(std::max<std::size_t>(members, 2)));
    scale_ = std::max(1.0, rounds / std::log2(static_cast<double>(unscaled_members)));
}

void membership::prioritize_probe(const std::string& name)
{
    if (peers_.count(name) > 0 && std::find(soon_.begin(), soon_.end(), name) == soon_.end()) {
        soon_.push_back(name);
    }
}

const membership::peer* membership::first_contact() const
{
    if (first_contacts_ >= max_first_contacts) {
        return nullptr;
    }
    for (const std::pair<const std::string, peer>& entry : peers_) {
        if (!entry.second.probed && entry.second.info.peer_address.port != 0) {
            return &entry.second;
        }
    }
    return nullptr;
}

const membership::peer* membership::urgent_suspect(time_point now)
{
    if (now - last_urgent_ < suspect_probe_interval) {
        return nullptr;
    }
    std::vector<const peer*> suspects;
    for (const std::pair<const std::string, peer>& entry : peers_) {
        const peer& p = entry.second;
        if (p.heard_ever && now - p.last_probe >= suspect_probe_interval &&
            state_of(entry.first, p.info.incarnation, now) == liveness::suspect) {
            suspects.push_back(&p);
        }
    }
    last_urgent_ = now;
    const bool chosen = judges_ || random_() % std::max(size(), suspect_probers) < suspect_probers;
    if (suspects.empty() || !chosen) {
        return nullptr;
    }
    return suspects[random_() % suspects.size()];
}

void membership::refill_ring()
{
    for (const std::pair<const std::string, peer>& entry : peers_) {
        if (entry.second.info.peer_address.port != 0) {
            ring_.push_back(entry.first);
        }
    }
    std::shuffle(ring_.begin(), ring_.end(), random_);
}

const membership::peer* membership::next_in_ring(time_point now)
{
    if (ring_.empty()) {
        refill_ring();
    }
    while (!ring_.empty()) {
        const peer* p = find(ring_.back());
        ring_.pop_back();
        // The dead are probed only while the VM list names them.
        if (p != nullptr && (p->listed || !is_dead(*p, now))) {
            return p;
        }
    }
    return nullptr;
}

std::optional<member> membership::next_probe(time_point now)
{
    const peer* chosen = first_contact();
    if (chosen != nullptr) {
        ++first_contacts_;
    }
    else {
        chosen = urgent_suspect(now);
    }
    if (chosen == nullptr && now >= next_probe_at_) {
        while (chosen == nullptr && !soon_.empty()) {
            chosen = find(soon_.back());
            soon_.pop_back();
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
