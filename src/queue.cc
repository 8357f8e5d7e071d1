// Intrusive lists by organisation and band; organisations ordered by share.

#include "sesamesill/queue.h"

#include <algorithm>

namespace sesamesill {
namespace {

constexpr std::size_t window = 32;          ///< entries of an organisation that are weighed at once
constexpr std::uint32_t max_refusals = 256; ///< in one round
constexpr std::size_t max_sizes_refused = 8; ///< remembered in one round
constexpr int ageings_checked = 16;          ///< times a promotion is looked for while one is due
constexpr std::size_t highest_by_age = 2;    ///< urgent is never reached by waiting

} // namespace

work_queue::work_queue(fairness& organisations, const placement_policy& policy, queue_limits limits)
    : organisations_(organisations), policy_(policy), limits_(limits)
{
}

std::optional<ticket> work_queue::push(waiting_work work, std::int64_t class_limit, error& why)
{
    std::int64_t& of_class = by_class_[work.work_class];
    if (static_cast<std::int64_t>(size_) >= limits_.entries || of_class >= class_limit) {
        why = {error_code::overload, step::queueing, "",
               of_class >= class_limit ? "the queue of class " + work.work_class + " is full"
                                       : "the queue is full"};
        return std::nullopt;
    }
    ++of_class;
    if (unused_.empty()) {
        entries_.emplace_back();
        unused_.push_back(static_cast<std::uint32_t>(entries_.size() - 1));
    }
    const std::uint32_t e = unused_.back();
    unused_.pop_back();
    entries_[e].band = static_cast<std::uint8_t>(work.band);
    entries_[e].work = std::move(work);
    entries_[e].present = true;
    entries_[e].tried = 0;
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
    const auto found = by_class_.find(work_class);
    return found == by_class_.end() ? 0 : found->second;
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
    entry& gone = entries_[e];
    --by_class_[gone.work.work_class];
    gone.present = false;
    ++gone.generation;
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
        order(t, added.band);
    }
}

void work_queue::unlink(std::uint32_t e)
{
    entry& gone = entries_[e];
    lane& l = lanes_[gone.work.organisation].lanes[gone.band];
    (gone.previous != none ? entries_[gone.previous].next : l.entries.head) = gone.next;
    (gone.next != none ? entries_[gone.next].previous : l.entries.tail) = gone.previous;
    --waiting_[gone.band];
    if (l.entries.head == none) {
        unorder(gone.work.organisation, gone.band);
    }
}

void work_queue::order(organisation_id t, std::size_t band)
{
    lane& l = lanes_[t].lanes[band];
    const order_key key{organisations_.share(t), lanes_[t].served, t};
    if (l.ordered && l.key == key) {
        return;
    }
    unorder(t, band);
    l.key = key;
    l.ordered = true;
    order_[band].insert(key);
}

void work_queue::unorder(organisation_id t, std::size_t band)
{
    lane& l = lanes_[t].lanes[band];
    if (l.ordered) {
        order_[band].erase(l.key);
        l.ordered = false;
    }
}

void work_queue::park(organisation_id t, std::size_t band)
{
    unorder(t, band);
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
            order(t, band);
        }
    }
}

void work_queue::begin_round(time_point now)
{
    now_ = now;
    ++round_;
    refusals_ = 0;
    current_ = none;
    no_room_for_.clear();
    for (const std::pair<organisation_id, std::size_t>& p : parked_) {
        lane& l = lanes_[p.first].lanes[p.second];
        l.parked = false;
        if (l.entries.head != none) {
            order(p.first, p.second);
        }
    }
    parked_.clear();
    if (version_ != organisations_.version()) {
        version_ = organisations_.version();
        for (organisation_id t = 0; t < lanes_.size(); ++t) {
            share_changed(t);
        }
    }
    if (now - aged_at_ >= policy_.ageing / ageings_checked) {
        aged_at_ = now;
        age(now);
    }
}

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
            for (std::size_t band = highest_by_age; band-- > 0;) {
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
        const std::size_t risen = band + 1 - index_of(entries_[e].work.band);
        if (now - entries_[e].work.arrived < policy_.ageing * static_cast<std::int64_t>(risen)) {
            return;
        }
        unlink(e);
        ++entries_[e].band;
        link(e);
    }
}

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

bool work_queue::known_not_to_fit(const resources& size) const
{
    return std::any_of(no_room_for_.begin(), no_room_for_.end(),
                       [&size](const resources& refused) { return fits(refused, size); });
}

std::uint32_t work_queue::best_of(organisation_id t, std::size_t band) const
{
    std::uint32_t best = none;
    double best_score = 0.0;
    std::size_t seen = 0;
    for (std::uint32_t e = lanes_[t].lanes[band].entries.head; e != none && seen < window;
         e = entries_[e].next, ++seen) {
        const entry& candidate = entries_[e];
        if (candidate.tried == round_ || known_not_to_fit(candidate.work.size) ||
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
            const std::uint32_t e = best_of(t, band);
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
    if (no_room_for_.size() < max_sizes_refused) {
        no_room_for_.push_back(e.work.size);
    }
    pass_over();
}

void work_queue::pass_over()
{
    if (current_ != none) {
        entries_[current_].tried = round_;
        current_ = none;
    }
}

} // namespace sesamesill
