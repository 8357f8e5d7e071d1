// The first part keeps the state of views, peers and lease grants; the second derives authority and
// proposals from it.

#include "sesamesill/ownership.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace sesamesill {
namespace {

constexpr std::size_t max_peer_states = 4096; ///< above it, only names in open views are kept

// An age is encoded as one letter in steps of 1/40 of the lease, rounded up. The last letter stands
// for all greater ages.
constexpr std::int64_t age_steps = 40;
constexpr std::string_view age_letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
constexpr char age_unknown = '-';

char age_letter(micros age, millis lease)
{
    const std::int64_t step = micros(lease).count() / age_steps;
    const std::int64_t steps = (std::max<std::int64_t>(age.count(), 0) + step - 1) / step;
    const std::int64_t last = static_cast<std::int64_t>(age_letters.size()) - 1;
    return age_letters[static_cast<std::size_t>(std::min(steps, last))];
}

/// Returns the lease for a cell of `members`, where evidence takes about log2(n) probes to spread.
millis lease_for(std::size_t members, millis shortest, millis probe_period)
{
    const double rounds = std::log2(static_cast<double>(members)) + 1;
    const millis spread(
        static_cast<std::int64_t>(rounds * static_cast<double>(probe_period.count())));
    return std::max(shortest, spread);
}

} // namespace

bool is_valid(const membership_view& v, std::string& reason)
{
    if (v.members.empty()) {
        reason = "view has no members";
        return false;
    }
    if (v.lease < millis(age_steps) || v.fence < v.lease) {
        reason = "view has a lease that is too short or a fence shorter than its lease";
        return false;
    }
    const auto unordered =
        std::adjacent_find(v.members.begin(), v.members.end(),
                           [](const member& a, const member& b) { return a.name >= b.name; });
    if (unordered != v.members.end()) {
        reason = "members of the view are not sorted by unique names, at " + unordered->name;
        return false;
    }
    return true;
}

std::optional<micros> grant_age_from(char letter, millis lease)
{
    const std::size_t steps = age_letters.find(letter);
    if (steps == std::string_view::npos || steps + 1 >= age_letters.size()) {
        return std::nullopt;
    }
    return micros(lease) / age_steps * static_cast<std::int64_t>(steps);
}

const member* owner_in(const membership_view& v, std::string_view shard_or_key)
{
    const member* owner = nullptr;
    XXH64_hash_t best_score = 0;
    for (const member& m : v.members) {
        const XXH64_hash_t seed = XXH3_64bits(m.name.data(), m.name.size());
        const XXH64_hash_t score =
            XXH3_64bits_withSeed(shard_or_key.data(), shard_or_key.size(), seed);
        if (owner == nullptr || score > best_score) {
            owner = &m;
            best_score = score;
        }
    }
    return owner;
}

std::optional<std::size_t> index_in(const membership_view& v, const member& m)
{
    const auto found = std::find(v.members.begin(), v.members.end(), m);
    if (found == v.members.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - v.members.begin());
}

ownership::ownership(member self, const ownership_settings& settings)
    : self_(std::move(self)), settings_(settings)
{
    peer_states_[self_.name].incarnation = self_.incarnation;
}

micros ownership::handover_wait_for(micros time) const
{
    if (!settings_.handover_wait) {
        return micros(0);
    }
    const double factor = 1.0 + settings_.clock_margin;
    return micros(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)) +
           settings_.read_staleness_margin;
}

// State of views, peers and lease grants.

void ownership::adopt(const membership_view& v, time_point now)
{
    if (current_.epoch != 0) {
        earlier_views_.push_back(
            {current_, now, std::nullopt, std::vector<bool>(current_.members.size(), false)});
    }
    current_ = v;
    self_index_ = index_in(v, self_);
    granted_at_.assign(v.members.size(), std::nullopt);
    freshest_read_.reset();
    differs_from_wanted_since_.reset();
    quorum_lost_since_.reset();
    proposed_at_.reset();
    last_activity_.clear();
    ++changes_;
    for (const member& m : v.members) {
        peer_state_of(m);
    }
    prune_peer_states();
    count_revocations(now);
}

void ownership::adopt_views(const std::vector<membership_view>& views, std::uint64_t closed_epoch,
                            time_point now)
{
    std::string reason;
    for (const membership_view& v : views) {
        if (v.epoch > current_.epoch && is_valid(v, reason)) {
            adopt(v, now);
        }
    }
    close_before(std::min(closed_epoch, current_.epoch));
}

void ownership::close_before(std::uint64_t epoch)
{
    earlier_views_.erase(
        std::remove_if(earlier_views_.begin(), earlier_views_.end(),
                       [epoch](const earlier_view& e) { return e.v.epoch < epoch; }),
        earlier_views_.end());
}

bool ownership::on_view(const membership_view& v, time_point now)
{
    if (!history_known_) {
        deferred_views_.push_back(v);
        return false;
    }
    if (v.base != log_epoch_ || v.epoch <= log_epoch_) {
        return false;
    }
    log_epoch_ = v.epoch;
    if (v.epoch > current_.epoch) {
        adopt(v, now);
    }
    return true;
}

void ownership::on_release(const std::string& name, std::uint64_t incarnation, time_point now)
{
    member released;
    released.name = name;
    released.incarnation = incarnation;
    if (peer_state* state = peer_state_of(released)) {
        state->released = true;
    }
    count_revocations(now);
}

void ownership::apply_deferred_views(std::uint64_t as_of, std::uint64_t epoch, time_point now)
{
    history_known_ = true;
    log_epoch_ = epoch;
    std::vector<membership_view> views;
    views.swap(deferred_views_);
    for (const membership_view& v : views) {
        if (v.epoch > as_of) {
            on_view(v, now);
        }
    }
}

void ownership::on_checkpoint(const view_checkpoint& mark, time_point now)
{
    checkpointed_at_ = now;
    if (mark.views.empty()) {
        return;
    }
    // A known history takes precedence: the checkpoint may contain a view whose record lost to
    // another one on the same base.
    if (history_known_ ? mark.views.back().epoch <= log_epoch_
                       : mark.as_of >= first_readable_offset_) {
        adopt_views(mark.views, mark.closed_epoch, now);
        if (!history_known_) {
            apply_deferred_views(mark.as_of, mark.views.back().epoch, now);
        }
    }
}

void ownership::on_history_missing(std::uint64_t first, time_point now)
{
    history_known_ = false;
    first_readable_offset_ = first;
    deferred_views_.clear();
    history_missing_since_ = now;
}

void ownership::on_log_read(time_point began, time_point /*now*/)
{
    if (!history_known_ || (read_began_ && *read_began_ > began)) {
        return;
    }
    read_began_ = began;
    read_epoch_ = log_epoch_;
    if (read_epoch_ == current_.epoch) {
        freshest_read_ = std::max(freshest_read_.value_or(began), began);
    }
}

void ownership::on_log_activity(const std::string& name, std::uint64_t incarnation, time_point now)
{
    member writer;
    writer.name = name;
    writer.incarnation = incarnation;
    if (index_in(current_, writer)) {
        last_activity_[name] = now;
    }
}

ownership::peer_state* ownership::peer_state_of(const member& m)
{
    peer_state& state = peer_states_[m.name];
    if (state.incarnation < m.incarnation) {
        state = {};
        state.incarnation = m.incarnation;
    }
    return state.incarnation == m.incarnation ? &state : nullptr;
}

void ownership::prune_peer_states()
{
    if (peer_states_.size() <= max_peer_states) {
        return;
    }
    std::map<std::string, peer_state> kept;
    const auto keep = [this, &kept](const membership_view& v) {
        for (const member& m : v.members) {
            kept[m.name] = peer_states_[m.name];
        }
    };
    keep(current_);
    for (const earlier_view& e : earlier_views_) {
        keep(e.v);
    }
    kept[self_.name] = peer_states_[self_.name];
    peer_states_.swap(kept);
}

void ownership::apply_report(const heartbeat& h, time_point now)
{
    if (peer_state* state = peer_state_of(h.from)) {
        state->known_epoch = std::max(state->known_epoch, h.epoch);
        state->drained_epoch = std::max(state->drained_epoch, h.drained_epoch);
    }
    adopt_views(h.views, h.closed_epoch, now);
    if (h.epoch == current_.epoch) {
        close_before(std::min(h.closed_epoch, current_.epoch));
    }
    if (h.epoch == current_.epoch && h.grant_ages.size() == current_.members.size()) {
        for (std::size_t i = 0; i < h.grant_ages.size(); ++i) {
            peer_state* state =
                h.grant_ages[i] != age_unknown ? peer_state_of(current_.members[i]) : nullptr;
            if (state != nullptr) {
                state->known_epoch = std::max(state->known_epoch, h.epoch);
            }
        }
    }
    count_revocations(now);
}

void ownership::apply_grant_ages(const heartbeat& h, time_point asked)
{
    if (h.epoch != current_.epoch || h.grant_ages.size() != current_.members.size()) {
        return;
    }
    for (std::size_t i = 0; i < h.grant_ages.size(); ++i) {
        const std::optional<micros> age = grant_age_from(h.grant_ages[i], current_.lease);
        if (age) {
            granted_at_[i] = std::max(granted_at_[i].value_or(asked - *age), asked - *age);
        }
    }
    if (h.log_age) {
        const time_point read = asked - *h.log_age;
        freshest_read_ = std::max(freshest_read_.value_or(read), read);
    }
}

void ownership::on_request(const heartbeat& h, time_point now)
{
    // A request may have been delayed for any time, so the time of its ages is unknown.
    apply_report(h, now);
}

void ownership::on_answer(const heartbeat& h, time_point asked, time_point now)
{
    apply_report(h, now);
    apply_grant_ages(h, asked);
}

bool ownership::is_superseded(const member& m) const
{
    const auto found = peer_states_.find(m.name);
    return found != peer_states_.end() && found->second.incarnation > m.incarnation;
}

bool ownership::has_ended(const member& m) const
{
    const auto found = peer_states_.find(m.name);
    return found != peer_states_.end() &&
           (found->second.incarnation > m.incarnation ||
            (found->second.incarnation == m.incarnation && found->second.released));
}

bool ownership::has_revoked(const member& m, std::uint64_t epoch) const
{
    if (m == self_) {
        return current_.epoch > epoch;
    }
    const auto found = peer_states_.find(m.name);
    return has_ended(m) ||
           (found != peer_states_.end() && found->second.incarnation == m.incarnation &&
            found->second.known_epoch > epoch);
}

void ownership::count_revocations(time_point now)
{
    for (earlier_view& e : earlier_views_) {
        if (e.revoked_at) {
            continue;
        }
        const std::int64_t revoked =
            std::count_if(e.v.members.begin(), e.v.members.end(),
                          [this, &e](const member& m) { return has_revoked(m, e.v.epoch); });
        const std::size_t needed = settings_.revocation ? revocation_quorum_of(e.v.members.size()) -
                                                              settings_.revocation_shortfall
                                                        : 0;
        if (static_cast<std::size_t>(revoked) >= needed) {
            e.revoked_at = now;
        }
    }
}

bool ownership::is_inactive(const earlier_view& e, std::size_t index) const
{
    const member& m = e.v.members[index];
    if (m == self_ || has_ended(m) || e.delisted[index]) {
        return true;
    }
    const auto found = peer_states_.find(m.name);
    return settings_.self_report && found != peer_states_.end() &&
           found->second.incarnation == m.incarnation && found->second.drained_epoch > e.v.epoch;
}

bool ownership::is_closed(const earlier_view& e, time_point now) const
{
    const micros wait = handover_wait_for(e.v.lease);
    if (now - e.superseded_at >= handover_wait_for(e.v.fence) && settings_.handover_wait) {
        return true;
    }
    if (e.revoked_at && now - *e.revoked_at >= wait && now - e.superseded_at >= wait) {
        return true;
    }
    for (std::size_t i = 0; i < e.v.members.size(); ++i) {
        if (!is_inactive(e, i) || (e.v.members[i] == self_ && drained_epoch_ <= e.v.epoch)) {
            return false;
        }
    }
    return true;
}

void ownership::advance(const membership& peers, time_point now)
{
    if (!history_known_ && now - history_missing_since_ >= handover_wait_for(settings_.fence)) {
        apply_deferred_views(0, 0, now);
    }
    count_revocations(now);
    for (earlier_view& e : earlier_views_) {
        const micros wait = handover_wait_for(e.v.lease);
        for (std::size_t i = 0; i < e.v.members.size(); ++i) {
            e.delisted[i] =
                now - e.superseded_at >= wait && peers.delisted(e.v.members[i].name, wait, now);
        }
    }
    earlier_views_.erase(
        std::remove_if(earlier_views_.begin(), earlier_views_.end(),
                       [this, now](const earlier_view& e) { return is_closed(e, now); }),
        earlier_views_.end());
}

// Authority and proposals.

bool ownership::grants_lease() const
{
    return self_index_ && !released_self_ && !is_superseded(self_);
}

time_point ownership::granted_at(std::size_t index, time_point now) const
{
    if (index == self_index_) {
        return grants_lease() ? now : time_point();
    }
    return granted_at_[index].value_or(time_point());
}

std::string ownership::encoded_ages(time_point now) const
{
    std::string grant_ages(current_.members.size(), age_unknown);
    for (std::size_t i = 0; i < grant_ages.size(); ++i) {
        const time_point at = granted_at(i, now);
        if (at != time_point()) {
            grant_ages[i] = age_letter(now - at, current_.lease);
        }
    }
    return grant_ages;
}

heartbeat ownership::make_heartbeat(std::uint64_t known_epoch, time_point now) const
{
    heartbeat h;
    h.from = self_;
    h.epoch = current_.epoch;
    h.drained_epoch = drained_epoch_;
    h.closed_epoch = earlier_views_.empty() ? current_.epoch : earlier_views_.front().v.epoch;
    h.grant_ages = encoded_ages(now);
    if (freshest_read_) {
        // Rounded up so that a forwarded age is never too low.
        h.log_age = std::chrono::ceil<millis>(now - *freshest_read_);
    }
    if (known_epoch < current_.epoch) {
        for (const earlier_view& e : earlier_views_) {
            if (e.v.epoch > known_epoch) {
                h.views.push_back(e.v);
            }
        }
        h.views.push_back(current_);
    }
    return h;
}

time_point ownership::read_authority() const
{
    return read_began_ && read_epoch_ == current_.epoch ? *read_began_ + current_.lease
                                                        : time_point();
}

time_point ownership::quorum_authority(time_point now) const
{
    if (!freshest_read_) {
        return time_point();
    }
    std::vector<time_point> times(current_.members.size());
    for (std::size_t i = 0; i < times.size(); ++i) {
        times[i] = granted_at(i, now);
    }
    const auto nth = times.begin() + static_cast<std::ptrdiff_t>(quorum_of(times.size()) - 1);
    std::nth_element(times.begin(), nth, times.end(), std::greater<>());
    return *nth == time_point() ? time_point()
                                : std::min(*nth + current_.lease, *freshest_read_ + current_.fence);
}

micros ownership::authority_left(time_point now) const
{
    if (!grants_lease()) {
        return micros(0);
    }
    const time_point until = std::max(read_authority(), quorum_authority(now));
    return until > now ? until - now : micros(0);
}

const member* ownership::owner_of(std::string_view shard_or_key) const
{
    return owner_in(current_, shard_or_key);
}

bool ownership::blocks(const earlier_view& e, std::string_view shard_or_key) const
{
    const member* owner = owner_in(e.v, shard_or_key);
    return owner != nullptr &&
           !is_inactive(e, static_cast<std::size_t>(owner - e.v.members.data()));
}

bool ownership::may_act(std::string_view shard_or_key, time_point now) const
{
    const member* owner = owner_of(shard_or_key);
    if (owner == nullptr || *owner != self_ || authority_left(now) <= micros(0)) {
        return false;
    }
    return std::none_of(
        earlier_views_.begin(), earlier_views_.end(),
        [this, shard_or_key](const earlier_view& e) { return blocks(e, shard_or_key); });
}

ownership::authority_state ownership::authority_state_at(time_point now) const
{
    authority_state s;
    s.epoch = current_.epoch;
    s.open_views = earlier_views_.size();
    s.acting = authority_left(now) > micros(0);
    for (const earlier_view& e : earlier_views_) {
        for (std::size_t i = 0; i < e.v.members.size(); ++i) {
            s.inactive_owners += is_inactive(e, i) ? 1 : 0;
        }
    }
    return s;
}

bool ownership::log_is_fresh(time_point now) const
{
    return history_known_ && read_began_ && read_epoch_ == current_.epoch &&
           now - *read_began_ < settings_.lease;
}

std::vector<member> ownership::wanted_members(const membership& peers, time_point now) const
{
    std::vector<member> wanted = peers.next_members(current_.members, now);
    wanted.erase(std::remove_if(wanted.begin(), wanted.end(),
                                [this](const member& m) { return has_ended(m); }),
                 wanted.end());
    return wanted;
}

bool ownership::has_activity_of_others(const std::vector<member>& wanted, time_point now) const
{
    return std::any_of(
        last_activity_.begin(), last_activity_.end(), [this, &wanted, now](const auto& activity) {
            const bool heard =
                std::any_of(wanted.begin(), wanted.end(),
                            [&activity](const member& m) { return m.name == activity.first; });
            return !heard && now - activity.second < settings_.orphaned_view_after;
        });
}

bool ownership::may_propose(const std::vector<member>& wanted, const membership& peers,
                            time_point now)
{
    if (current_.epoch == 0) {
        return !peers.has_unheard_entries() ||
               now - *differs_from_wanted_since_ >= settings_.proposal_rank_delay * 5;
    }
    std::size_t heard = 0;
    std::size_t ended = 0;
    for (const member& m : current_.members) {
        if (contains(wanted, m)) {
            ++heard;
        }
        else if (has_ended(m) || peers.delisted(m.name, handover_wait_for(current_.lease), now)) {
            ++ended;
        }
    }
    const std::size_t size = current_.members.size();
    const bool has_quorum = in_view() ? heard + ended >= revocation_quorum_of(size) : ended == size;
    if (has_quorum) {
        quorum_lost_since_.reset();
        return true;
    }
    if (!quorum_lost_since_ || (!in_view() && heard > 0) || has_activity_of_others(wanted, now)) {
        quorum_lost_since_ = now;
    }
    return now - *quorum_lost_since_ >= settings_.orphaned_view_after;
}

std::size_t ownership::rank_in(const std::vector<member>& wanted) const
{
    std::vector<member> candidates;
    std::copy_if(wanted.begin(), wanted.end(), std::back_inserter(candidates),
                 [this](const member& m) { return contains(current_.members, m); });
    if (candidates.empty()) {
        candidates = wanted;
    }
    const auto found = std::find(candidates.begin(), candidates.end(), self_);
    return static_cast<std::size_t>(found - candidates.begin());
}

std::optional<membership_view> ownership::propose(const membership& peers, time_point now)
{
    if (!log_is_fresh(now) || released_self_ || is_superseded(self_)) {
        return std::nullopt;
    }
    std::vector<member> wanted = wanted_members(peers, now);
    rank_ = rank_in(wanted);
    if (wanted == current_.members) {
        differs_from_wanted_since_.reset();
        return std::nullopt;
    }
    differs_from_wanted_since_ = differs_from_wanted_since_.value_or(now);
    const bool proposal_pending = proposed_at_ && proposed_base_ == current_.epoch &&
                                  now - *proposed_at_ < settings_.propose_timeout;
    if (proposal_pending || !may_propose(wanted, peers, now) ||
        now - *differs_from_wanted_since_ < settings_.proposal_rank_delay * rank_) {
        return std::nullopt;
    }
    proposed_at_ = now;
    proposed_base_ = current_.epoch;
    membership_view v;
    v.base = current_.epoch;
    v.lease = lease_for(wanted.size(), settings_.lease, peers.probe_period());
    v.fence = settings_.fence;
    v.members = std::move(wanted);
    return v;
}

membership_view ownership::release()
{
    released_self_ = true;
    membership_view v = current_;
    v.base = current_.epoch;
    v.epoch = 0;
    v.members.erase(std::remove(v.members.begin(), v.members.end(), self_), v.members.end());
    return v;
}

std::optional<view_checkpoint> ownership::mark(std::uint64_t as_of, time_point now)
{
    if (!grants_lease() || !log_is_fresh(now) ||
        now - checkpointed_at_ < settings_.checkpoint_interval * (2 + *self_index_) / 2) {
        return std::nullopt;
    }
    checkpointed_at_ = now;
    return snapshot(as_of);
}

view_checkpoint ownership::snapshot(std::uint64_t as_of) const
{
    view_checkpoint m;
    m.as_of = as_of;
    m.closed_epoch = earlier_views_.empty() ? current_.epoch : earlier_views_.front().v.epoch;
    for (const earlier_view& e : earlier_views_) {
        m.views.push_back(e.v);
    }
    m.views.push_back(current_);
    return m;
}

} // namespace sesamesill
