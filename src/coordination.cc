// The ages of lease grants are also evidence of life, so one message serves both membership and
// ownership.

#include "sesamesill/coordination.h"

#include <algorithm>

namespace sesamesill {
namespace {

constexpr std::size_t max_announcements = 8; ///< members probed at once about a new view

constexpr std::size_t proposer_count = 3; ///< the members of the lowest ranks

} // namespace

coordinator::coordinator(const member& self, const membership_settings& peers,
                         const ownership_settings& owners, std::uint64_t seed)
    : peers_(self, peers, seed), owners_(self, owners)
{
}

void coordinator::record_grants(const heartbeat& h, time_point asked)
{
    const membership_view& current = owners_.current();
    if (h.epoch != current.epoch || h.grant_ages.size() != current.members.size()) {
        return;
    }
    for (std::size_t i = 0; i < h.grant_ages.size(); ++i) {
        const std::optional<micros> age = grant_age_from(h.grant_ages[i], current.lease);
        if (age) {
            const member& m = current.members[i];
            peers_.record_alive(m, asked - *age);
        }
    }
}

heartbeat coordinator::on_request(const heartbeat& h, time_point now)
{
    peers_.heard(h.from, now);
    owners_.on_request(h, now);
    record_grants(h, now);
    if (h.epoch > owners_.epoch()) {
        peers_.prioritize_probe(h.from.name);
    }
    return owners_.make_heartbeat(h.epoch, now);
}

void coordinator::on_answer(const heartbeat& h, time_point asked, time_point now)
{
    peers_.heard(h.from, now);
    owners_.on_answer(h, asked, now);
    record_grants(h, asked);
}

heartbeat coordinator::request(time_point now) const
{
    return owners_.make_heartbeat(owners_.epoch(), now);
}

void coordinator::announce_view(std::vector<member>& probes)
{
    const std::vector<member>& members = owners_.current().members;
    announced_epoch_ = owners_.epoch();
    const std::optional<std::size_t> self = index_in(owners_.current(), peers_.self());
    for (std::size_t i = 1; i <= members.size() && probes.size() < max_announcements; ++i) {
        const member& m = members[(self.value_or(0) + i) % members.size()];
        if (m != peers_.self()) {
            probes.push_back(m);
        }
    }
}

coordination_actions coordinator::advance(std::uint64_t read_position, time_point now)
{
    coordination_actions actions;
    peers_.advance(now);
    owners_.advance(peers_, now);
    if (owners_.epoch() != announced_epoch_) {
        peers_.scale_timeouts(owners_.current().members.size());
        announce_view(actions.probes);
    }
    const std::optional<member> next = peers_.next_probe(now);
    if (next) {
        actions.probes.push_back(*next);
    }
    actions.propose = owners_.propose(peers_, now);
    peers_.set_proposer(owners_.rank() < proposer_count);
    actions.mark = owners_.mark(read_position, now);
    return actions;
}

} // namespace sesamesill
