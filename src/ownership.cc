// Two parts: what this member knows (views, words of peers, vouches), and what follows from it.

#include "sesamesill/ownership.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace sesamesill {
namespace {

constexpr std::size_t max_words = 4096; ///< names remembered beyond those in open views

// An age is one letter: steps of a fortieth of the lease, the last letter for all above.
constexpr std::int64_t age_steps = 40;
constexpr std::string_view age_letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
constexpr char age_unknown = '-';

char letter_of(micros age, millis lease)
{
    const std::int64_t step = micros(lease).count() / age_steps;
    const std::int64_t steps = (std::max<std::int64_t>(age.count(), 0) + step - 1) / step;
    const std::int64_t last = static_cast<std::int64_t>(age_letters.size()) - 1;
    return age_letters[static_cast<std::size_t>(std::min(steps, last))];
}

/// Returns the lease for a cell in which evidence takes log n probes to spread.
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
        reason = "a view without members";
        return false;
    }
    if (v.lease < millis(age_steps) || v.fence < v.lease) {
        reason = "a view with an impossible lease or fence time";
        return false;
    }
    const auto twice =
        std::adjacent_find(v.members.begin(), v.members.end(),
                           [](const member& a, const member& b) { return a.name >= b.name; });
    if (twice != v.members.end()) {
        reason = "a view whose members are not in order, at " + twice->name;
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
    const member* best = nullptr;
    XXH64_hash_t best_score = 0;
    for (const member& m : v.members) {
        const XXH64_hash_t seed = XXH3_64bits(m.name.data(), m.name.size());
        const XXH64_hash_t score =
            XXH3_64bits_withSeed(shard_or_key.data(), shard_or_key.size(), seed);
        if (best == nullptr || score > best_score) {
            best = &m;
            best_score = score;
        }
    }
    return best;
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
    words_[self_.name].incarnation = self_.incarnation;
}

micros ownership::waited(micros time) const
{
    if (!settings_.handover_wait) {
        return micros(0);
    }
    const double factor = 1.0 + settings_.clock_margin;
    return micros(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)) +
           settings_.read_staleness_margin;
}

// What this member knows.

void ownership::adopt(const membership_view& v, time_point now)
{
    if (current_.epoch != 0) {
        earlier_.push_back(
            {current_, now, std::nullopt, std::vector<bool>(current_.members.size(), false)});
    }
    current_ = v;
    self_index_ = index_in(v, self_);
    vouched_.assign(v.members.size(), std::nullopt);
    fresh_read_.reset();
    differs_since_.reset();
    lost_since_.reset();
    proposed_at_.reset();
    signs_.clear();
    ++changes_;
    for (const member& m : v.members) {
        word_of(m);
    }
    prune_words();
    count_seals(now);
}

void ownership::adopt_chain(const std::vector<membership_view>& views, std::uint64_t closed_epoch,
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
    earlier_.erase(std::remove_if(earlier_.begin(), earlier_.end(),
                                  [epoch](const earlier_view& e) { return e.v.epoch < epoch; }),
                   earlier_.end());
}

bool ownership::on_view(const membership_view& v, time_point now)
{
    if (!history_known_) {
        unplaced_.push_back(v);
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
    if (peer_word* word = word_of(released)) {
        word->released = true;
    }
    count_seals(now);
}

void ownership::place_views(std::uint64_t as_of, std::uint64_t epoch, time_point now)
{
    history_known_ = true;
    log_epoch_ = epoch;
    std::vector<membership_view> views;
    views.swap(unplaced_);
    for (const membership_view& v : views) {
        if (v.epoch > as_of) {
            on_view(v, now);
        }
    }
}

void ownership::on_checkpoint(const view_checkpoint& mark, time_point now)
{
    marked_at_ = now;
    if (mark.views.empty()) {
        return;
    }
    // A known history is right where it differs: the mark may name a view that lost its race.
    if (history_known_ ? mark.views.back().epoch <= log_epoch_ : mark.as_of >= history_first_) {
        adopt_chain(mark.views, mark.closed_epoch, now);
        if (!history_known_) {
            place_views(mark.as_of, mark.views.back().epoch, now);
        }
    }
}

void ownership::on_history_missing(std::uint64_t first, time_point now)
{
    history_known_ = false;
    history_first_ = first;
    unplaced_.clear();
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
        fresh_read_ = std::max(fresh_read_.value_or(began), began);
    }
}

void ownership::on_log_activity(const std::string& name, std::uint64_t incarnation, time_point now)
{
    member writer;
    writer.name = name;
    writer.incarnation = incarnation;
    if (index_in(current_, writer)) {
        signs_[name] = now;
    }
}

ownership::peer_word* ownership::word_of(const member& m)
{
    peer_word& word = words_[m.name];
    if (word.incarnation < m.incarnation) {
        word = {};
        word.incarnation = m.incarnation;
    }
    return word.incarnation == m.incarnation ? &word : nullptr;
}

void ownership::prune_words()
{
    if (words_.size() <= max_words) {
        return;
    }
    std::map<std::string, peer_word> kept;
    const auto keep = [this, &kept](const membership_view& v) {
        for (const member& m : v.members) {
            kept[m.name] = words_[m.name];
        }
    };
    keep(current_);
    for (const earlier_view& e : earlier_) {
        keep(e.v);
    }
    kept[self_.name] = words_[self_.name];
    words_.swap(kept);
}

void ownership::take_word(const heartbeat& h, time_point now)
{
    if (peer_word* word = word_of(h.from)) {
        word->known = std::max(word->known, h.epoch);
        word->drained_epoch = std::max(word->drained_epoch, h.drained_epoch);
    }
    adopt_chain(h.views, h.closed_epoch, now);
    if (h.epoch == current_.epoch) {
        close_before(std::min(h.closed_epoch, current_.epoch));
    }
    if (h.epoch == current_.epoch && h.grant_ages.size() == current_.members.size()) {
        for (std::size_t i = 0; i < h.grant_ages.size(); ++i) {
            peer_word* word =
                h.grant_ages[i] != age_unknown ? word_of(current_.members[i]) : nullptr;
            if (word != nullptr) {
                word->known = std::max(word->known, h.epoch);
            }
        }
    }
    count_seals(now);
}

void ownership::take_ages(const heartbeat& h, time_point asked)
{
    if (h.epoch != current_.epoch || h.grant_ages.size() != current_.members.size()) {
        return;
    }
    for (std::size_t i = 0; i < h.grant_ages.size(); ++i) {
        const std::optional<micros> age = grant_age_from(h.grant_ages[i], current_.lease);
        if (age) {
            vouched_[i] = std::max(vouched_[i].value_or(asked - *age), asked - *age);
        }
    }
    if (h.log_age) {
        const time_point read = asked - *h.log_age;
        fresh_read_ = std::max(fresh_read_.value_or(read), read);
    }
}

void ownership::on_request(const heartbeat& h, time_point now)
{
    // A request may have waited anywhere for any time, so its ages cannot be dated.
    take_word(h, now);
}

void ownership::on_answer(const heartbeat& h, time_point asked, time_point now)
{
    take_word(h, now);
    take_ages(h, asked);
}

bool ownership::is_superseded(const member& m) const
{
    const auto found = words_.find(m.name);
    return found != words_.end() && found->second.incarnation > m.incarnation;
}

bool ownership::is_gone(const member& m) const
{
    const auto found = words_.find(m.name);
    return found != words_.end() &&
           (found->second.incarnation > m.incarnation ||
            (found->second.incarnation == m.incarnation && found->second.released));
}

bool ownership::has_sealed(const member& m, std::uint64_t epoch) const
{
    if (m == self_) {
        return current_.epoch > epoch;
    }
    const auto found = words_.find(m.name);
    return is_gone(m) || (found != words_.end() && found->second.incarnation == m.incarnation &&
                          found->second.known > epoch);
}

void ownership::count_seals(time_point now)
{
    for (earlier_view& e : earlier_) {
        if (e.sealed_at) {
            continue;
        }
        const std::int64_t sealed =
            std::count_if(e.v.members.begin(), e.v.members.end(),
                          [this, &e](const member& m) { return has_sealed(m, e.v.epoch); });
        const std::size_t needed = settings_.revocation ? revocation_quorum_of(e.v.members.size()) -
                                                              settings_.revocation_shortfall
                                                        : 0;
        if (static_cast<std::size_t>(sealed) >= needed) {
            e.sealed_at = now;
        }
    }
}

bool ownership::is_free(const earlier_view& e, std::size_t index) const
{
    const member& m = e.v.members[index];
    if (m == self_ || is_gone(m) || e.delisted[index]) {
        return true;
    }
    const auto found = words_.find(m.name);
    return settings_.self_report && found != words_.end() &&
           found->second.incarnation == m.incarnation && found->second.drained_epoch > e.v.epoch;
}

bool ownership::is_closed(const earlier_view& e, time_point now) const
{
    const micros wait = waited(e.v.lease);
    if (now - e.learnt >= waited(e.v.fence) && settings_.handover_wait) {
        return true;
    }
    if (e.sealed_at && now - *e.sealed_at >= wait && now - e.learnt >= wait) {
        return true;
    }
    for (std::size_t i = 0; i < e.v.members.size(); ++i) {
        if (!is_free(e, i) || (e.v.members[i] == self_ && settled_ <= e.v.epoch)) {
            return false;
        }
    }
    return true;
}

void ownership::advance(const membership& peers, time_point now)
{
    if (!history_known_ && now - history_missing_since_ >= waited(settings_.fence)) {
        place_views(0, 0, now);
    }
    count_seals(now);
    for (earlier_view& e : earlier_) {
        const micros wait = waited(e.v.lease);
        for (std::size_t i = 0; i < e.v.members.size(); ++i) {
            e.delisted[i] =
                now - e.learnt >= wait && peers.delisted(e.v.members[i].name, wait, now);
        }
    }
    earlier_.erase(std::remove_if(earlier_.begin(), earlier_.end(),
                                  [this, now](const earlier_view& e) { return is_closed(e, now); }),
                   earlier_.end());
}

// What follows.

bool ownership::vouches() const
{
    return self_index_ && !released_self_ && !is_superseded(self_);
}

time_point ownership::vouched_at(std::size_t index, time_point now) const
{
    if (index == self_index_) {
        return vouches() ? now : time_point();
    }
    return vouched_[index].value_or(time_point());
}

std::string ownership::encoded_ages(time_point now) const
{
    std::string grant_ages(current_.members.size(), age_unknown);
    for (std::size_t i = 0; i < grant_ages.size(); ++i) {
        const time_point at = vouched_at(i, now);
        if (at != time_point()) {
            grant_ages[i] = letter_of(now - at, current_.lease);
        }
    }
    return grant_ages;
}

heartbeat ownership::make_heartbeat(std::uint64_t known, time_point now) const
{
    heartbeat h;
    h.from = self_;
    h.epoch = current_.epoch;
    h.drained_epoch = settled_;
    h.closed_epoch = earlier_.empty() ? current_.epoch : earlier_.front().v.epoch;
    h.grant_ages = encoded_ages(now);
    if (fresh_read_) {
        // Rounded up, so that an age passed on is never too low.
        h.log_age = std::chrono::ceil<millis>(now - *fresh_read_);
    }
    if (known < current_.epoch) {
        for (const earlier_view& e : earlier_) {
            if (e.v.epoch > known) {
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
    if (!fresh_read_) {
        return time_point();
    }
    std::vector<time_point> times(current_.members.size());
    for (std::size_t i = 0; i < times.size(); ++i) {
        times[i] = vouched_at(i, now);
    }
    const auto nth = times.begin() + static_cast<std::ptrdiff_t>(quorum_of(times.size()) - 1);
    std::nth_element(times.begin(), nth, times.end(), std::greater<>());
    return *nth == time_point() ? time_point()
                                : std::min(*nth + current_.lease, *fresh_read_ + current_.fence);
}

micros ownership::authority_left(time_point now) const
{
    if (!vouches()) {
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
    return owner != nullptr && !is_free(e, static_cast<std::size_t>(owner - e.v.members.data()));
}

bool ownership::may_act(std::string_view shard_or_key, time_point now) const
{
    const member* owner = owner_of(shard_or_key);
    if (owner == nullptr || *owner != self_ || authority_left(now) <= micros(0)) {
        return false;
    }
    return std::none_of(
        earlier_.begin(), earlier_.end(),
        [this, shard_or_key](const earlier_view& e) { return blocks(e, shard_or_key); });
}

ownership::authority_state ownership::authority_state_at(time_point now) const
{
    authority_state s;
    s.epoch = current_.epoch;
    s.open_views = earlier_.size();
    s.acting = authority_left(now) > micros(0);
    for (const earlier_view& e : earlier_) {
        for (std::size_t i = 0; i < e.v.members.size(); ++i) {
            s.inactive_owners += is_free(e, i) ? 1 : 0;
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
                                [this](const member& m) { return is_gone(m); }),
                 wanted.end());
    return wanted;
}

bool ownership::has_sign_of_others(const std::vector<member>& wanted, time_point now) const
{
    return std::any_of(signs_.begin(), signs_.end(), [this, &wanted, now](const auto& sign) {
        const bool heard = std::any_of(wanted.begin(), wanted.end(),
                                       [&sign](const member& m) { return m.name == sign.first; });
        return !heard && now - sign.second < settings_.orphaned_view_after;
    });
}

bool ownership::may_propose(const std::vector<member>& wanted, const membership& peers,
                            time_point now)
{
    if (current_.epoch == 0) {
        return !peers.has_unheard_entries() ||
               now - *differs_since_ >= settings_.proposal_rank_delay * 5;
    }
    std::size_t heard = 0;
    std::size_t gone = 0;
    for (const member& m : current_.members) {
        if (contains(wanted, m)) {
            ++heard;
        }
        else if (is_gone(m) || peers.delisted(m.name, waited(current_.lease), now)) {
            ++gone;
        }
    }
    const std::size_t size = current_.members.size();
    const bool enough = in_view() ? heard + gone >= revocation_quorum_of(size) : gone == size;
    if (enough) {
        lost_since_.reset();
        return true;
    }
    if (!lost_since_ || (!in_view() && heard > 0) || has_sign_of_others(wanted, now)) {
        lost_since_ = now;
    }
    return now - *lost_since_ >= settings_.orphaned_view_after;
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
        differs_since_.reset();
        return std::nullopt;
    }
    differs_since_ = differs_since_.value_or(now);
    const bool waits = proposed_at_ && proposed_base_ == current_.epoch &&
                       now - *proposed_at_ < settings_.propose_timeout;
    if (waits || !may_propose(wanted, peers, now) ||
        now - *differs_since_ < settings_.proposal_rank_delay * rank_) {
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
    if (!vouches() || !log_is_fresh(now) ||
        now - marked_at_ < settings_.checkpoint_interval * (2 + *self_index_) / 2) {
        return std::nullopt;
    }
    marked_at_ = now;
    return snapshot(as_of);
}

view_checkpoint ownership::snapshot(std::uint64_t as_of) const
{
    view_checkpoint m;
    m.as_of = as_of;
    m.closed_epoch = earlier_.empty() ? current_.epoch : earlier_.front().v.epoch;
    for (const earlier_view& e : earlier_) {
        m.views.push_back(e.v);
    }
    m.views.push_back(current_);
    return m;
}

} // namespace sesamesill
