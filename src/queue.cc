// Keeps intrusive lists of entries by organisation and band, and a set of organisations ordered by
// share for each band.

#include "sesamesill/queue.h"

#include <algorithm>

namespace sesamesill {
namespace {

/// Number of entries, from the head of an organisation's list, that best_entry() compares.
constexpr std::size_t max_entries_scored = 32;
/// Number of calls of no_room() that end a round.
constexpr std::uint32_t max_refusals = 256;
/// Number of sizes without room that a round remembers.
constexpr std::size_t max_sizes_refused = 8;
/// Number of checks for promotions in one ageing period.
constexpr int checks_per_ageing = 16;
/// Highest band that waiting leads to (high): the urgent band is for work submitted as urgent.
constexpr std::size_t highest_aged_band = 2;

} // namespace

work_queue::work_queue(fairness& organisations, const placement_policy& policy, queue_limits limits)
    : organisations_(organisations), policy_(policy), limits_(limits)
{
}

std::optional<ticket> work_queue::push(waiting_work work, std::int64_t class_limit, error& why)
{
    std::int64_t& class_count = class_counts_[work.work_class];
    if (static_cast<std::int64_t>(size_) >= limits_.entries || class_count >= class_limit) {
        why = {error_code::overload, step::queueing, "",
               class_count >= class_limit ? "the queue of class " + work.work_class + " is full"
                                          : "the queue is full"};
        return std::nullopt;
    }
    ++class_count;
    if (unused_.empty()) {
        entries_.emplace_back();
        unused_.push_back(static_cast<std::uint32_t>(entries_.size() - 1));
    }
    const std::uint32_t e = unused_.back();
    unused_.pop_back();
    entries_[e].band = static_cast<std::uint8_t>(work.band);
    entries_[e].work = std::move(work);
    entries_[e].present = true;
    entries_[e].skipped_round = 0;
    link(e);
    ++size_;
    return ticket{entries_[e].generation} << 32 | e;
}

work_queue::entry* work_queue::entry_of(ticket t)
{
    const std::uint32_t e = static_cast<std::uint32_t>(t);
    const bool known =
        t != 0 && e < entries_.size() && entries_[e].present && entries_[e].generation == t >> 32;
    return known ? &entries_[e] : nullptr;
}

const waiting_work* work_queue::find(ticket t) const
{
    const entry* e = const_cast<work_queue*>(this)->entry_of(t);
    return e != nullptr ? &e->work : nullptr;
}

std::int64_t work_queue::waiting_in_class(const std::string& work_class) const
{
    const auto found = class_counts_.find(work_class);
    return found == class_counts_.end() ? 0 : found->second;
}

bool work_queue::cancel(ticket t)
{
    if (entry_of(t) == nullptr) {
        return false;
    }
    erase(static_cast<std::uint32_t>(t));
    return true;
}

void work_queue::erase(std::uint32_t e)
{
    unlink(e);
    entry& removed = entries_[e];
    --class_counts_[removed.work.work_class];
    removed.present = false;
    ++removed.generation;
    unused_.push_back(e);
    --size_;
    if (current_ == e) {
        current_ = none;
    }
}

void work_queue::link(std::uint32_t e)
{
    entry& added = entries_[e];
    const organisation_id t = added.work.organisation;
    if (t >= lanes_.size()) {
        lanes_.resize(static_cast<std::size_t>(t) + 1);
    }
    lane& l = lanes_[t].lanes[added.band];
    added.previous = l.entries.tail;
    added.next = none;
    (l.entries.tail != none ? entries_[l.entries.tail].next : l.entries.head) = e;
    l.entries.tail = e;
    ++waiting_[added.band];
    if (!l.parked) {
        insert_ordered(t, added.band);
    }
}

void work_queue::unlink(std::uint32_t e)
{
    entry& removed = entries_[e];
    lane& l = lanes_[removed.work.organisation].lanes[removed.band];
    (removed.previous != none ? entries_[removed.previous].next : l.entries.head) = removed.next;
    (removed.next != none ? entries_[removed.next].previous : l.entries.tail) = removed.previous;
    --waiting_[removed.band];
    if (l.entries.head == none) {
        remove_ordered(removed.work.organisation, removed.band);
    }
}

void work_queue::insert_ordered(organisation_id t, std::size_t band)
{
    lane& l = lanes_[t].lanes[band];
    const order_key key{organisations_.share(t), lanes_[t].served, t};
    if (l.ordered && l.key == key) {
        return;
    }
    remove_ordered(t, band);
    l.key = key;
    l.ordered = true;
    order_[band].insert(key);
}

void work_queue::remove_ordered(organisation_id t, std::size_t band)
{
    lane& l = lanes_[t].lanes[band];
    if (l.ordered) {
        order_[band].erase(l.key);
        l.ordered = false;
    }
}

void work_queue::park(organisation_id t, std::size_t band)
{
    remove_ordered(t, band);
    lanes_[t].lanes[band].parked = true;
    parked_.emplace_back(t, band);
}

void work_queue::share_changed(organisation_id t)
{
    if (t >= lanes_.size()) {
        return;
    }
    for (std::size_t band = 0; band < bands; ++band) {
        if (lanes_[t].lanes[band].ordered) {
            insert_ordered(t, band);
        }
    }
}

void work_queue::begin_round(time_point now)
{
    now_ = now;
    ++round_;
    refusals_ = 0;
    current_ = none;
    refused_sizes_.clear();
    for (const std::pair<organisation_id, std::size_t>& p : parked_) {
        lane& l = lanes_[p.first].lanes[p.second];
        l.parked = false;
        if (l.entries.head != none) {
            insert_ordered(p.first, p.second);
        }
    }
    parked_.clear();
    if (version_ != organisations_.version()) {
        version_ = organisations_.version();
        for (organisation_id t = 0; t < lanes_.size(); ++t) {
            share_changed(t);
        }
    }
    if (now - last_ageing_ >= policy_.ageing / checks_per_ageing) {
        last_ageing_ = now;
        age(now);
    }
}

/// Promotes old entries of organisations whose share is at most the mean of the active ones, so
/// that an organisation above its share gains nothing from the age of its entries.
void work_queue::age(time_point now)
{
    double sum = 0.0;
    double active = 0.0;
    for (organisation_id t = 0; t < lanes_.size(); ++t) {
        const double share = organisations_.share(t);
        const bool waits = std::any_of(lanes_[t].lanes.begin(), lanes_[t].lanes.end(),
                                       [](const lane& l) { return l.entries.head != none; });
        sum += share;
        active += waits || share > 0 ? 1 : 0;
    }
    for (organisation_id t = 0; t < lanes_.size(); ++t) {
        if (organisations_.share(t) * active <= sum) {
            for (std::size_t band = highest_aged_band; band-- > 0;) {
                promote(t, band, now);
            }
        }
    }
}

void work_queue::promote(organisation_id t, std::size_t band, time_point now)
{
    const lane& l = lanes_[t].lanes[band];
    while (l.entries.head != none) {
        const std::uint32_t e = l.entries.head;
        const std::size_t bands_above = band + 1 - band_index(entries_[e].work.band);
        if (now - entries_[e].work.arrived <
            policy_.ageing * static_cast<std::int64_t>(bands_above)) {
            return;
        }
        unlink(e);
        ++entries_[e].band;
        link(e);
    }
}

/// Returns how early an entry of its organisation and band goes; the highest score goes first. An
/// entry that waited a whole ageing period goes before all younger ones. Otherwise the score
/// combines the wait and a short run time with the size, by the policy's weight.
double work_queue::score(const entry& e) const
{
    const double ageing = static_cast<double>(micros(policy_.ageing).count());
    const double waited = static_cast<double>((now_ - e.work.arrived).count()) / ageing;
    if (waited >= 1.0) {
        return 1e3 + waited;
    }
    const double run = static_cast<double>(e.work.run_time.count()) / ageing;
    const double waiting = waited + 1.0 / (1.0 + 8.0 * run);
    const double size = static_cast<double>(e.work.size.cpu_millis) / 64000 +
                        static_cast<double>(e.work.size.memory_mb) / 131072;
    return policy_.waiting_weight * waiting + (1.0 - policy_.waiting_weight) * size;
}

bool work_queue::exceeds_refused_size(const resources& size) const
{
    return std::any_of(refused_sizes_.begin(), refused_sizes_.end(),
                       [&size](const resources& refused) { return fits(refused, size); });
}

std::uint32_t work_queue::best_entry(organisation_id t, std::size_t band) const
{
    std::uint32_t best = none;
    double best_score = 0.0;
    std::size_t examined = 0;
    for (std::uint32_t e = lanes_[t].lanes[band].entries.head;
         e != none && examined < max_entries_scored; e = entries_[e].next, ++examined) {
        const entry& candidate = entries_[e];
        if (candidate.skipped_round == round_ || exceeds_refused_size(candidate.work.size) ||
            !organisations_.within_quota(t, candidate.work.size)) {
            continue;
        }
        const double s = score(candidate);
        if (best == none || s > best_score) {
            best = e;
            best_score = s;
        }
    }
    return best;
}

ticket work_queue::next()
{
    current_ = none;
    for (std::size_t band = bands; band-- > 0 && refusals_ < max_refusals;) {
        while (!order_[band].empty()) {
            const organisation_id t = std::get<organisation_id>(*order_[band].begin());
            const std::uint32_t e = best_entry(t, band);
            if (e != none) {
                current_ = e;
                return ticket{entries_[e].generation} << 32 | e;
            }
            park(t, band);
        }
    }
    return 0;
}

void work_queue::placed()
{
    if (current_ == none) {
        return;
    }
    entry& e = entries_[current_];
    const organisation_id t = e.work.organisation;
    lanes_[t].served = ++served_;
    if (--e.work.count == 0) {
        erase(current_);
    }
    share_changed(t);
}

void work_queue::no_room()
{
    if (current_ == none) {
        return;
    }
    ++refusals_;
    const entry& e = entries_[current_];
    if (refused_sizes_.size() < max_sizes_refused) {
        refused_sizes_.push_back(e.work.size);
    }
    skip();
}

void work_queue::skip()
{
    if (current_ != none) {
        entries_[current_].skipped_round = round_;
        current_ = none;
    }
}

} // namespace sesamesill
