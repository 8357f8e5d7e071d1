// Turns in order of arrival; a turn that ended without a start goes to the back of the line.

#include "sesamesill/gang.h"

#include <algorithm>

namespace sesamesill {
namespace {

/// A home that asked no more for so long has placed its job elsewhere or is gone.
constexpr micros abandoned_after = std::chrono::seconds(5);

} // namespace

std::optional<std::vector<worker_id>> gang_book::request(const gang_request& gang, time_point now)
{
    const auto known = std::find_if(line_.begin(), line_.end(),
                                    [&gang](const candidate& c) { return c.gang.job == gang.job; });
    if (known != line_.end() && gang.may_wait) {
        known->asked = now;
    }
    const bool holds = holder_ == gang.job;
    std::vector<worker_id> others;
    if (!holds) {
        others.swap(held_);
    }
    collect(gang);
    std::vector<worker_id> found;
    const bool whole = held_.size() == gang.tasks && ready();
    if (whole) {
        found = held_;
    }
    if (whole || !holds) {
        for (const worker_id w : held_) {
            cell_.release(w, gang.size);
        }
        held_.swap(others);
    }
    if (whole) {
        if (holds) {
            holder_.clear();
            rest_until_ = now + (now - since_);
        }
        forget(gang.job);
        return found;
    }
    if (known == line_.end() && gang.may_wait) {
        line_.push_back({gang, now});
    }
    return std::nullopt;
}

void gang_book::remove_worker(worker_id w)
{
    held_.erase(std::remove(held_.begin(), held_.end(), w), held_.end());
}

void gang_book::drop_unfit(const resources& size)
{
    for (auto it = held_.begin(); it != held_.end();) {
        if (cell_.at(*it).state() == worker_state::live) {
            ++it;
            continue;
        }
        cell_.release(*it, size);
        it = held_.erase(it);
    }
}

void gang_book::collect(const gang_request& gang)
{
    drop_unfit(gang.size);
    task_need need;
    need.size = gang.size;
    need.attributes = &gang.attributes;
    while (held_.size() < gang.tasks) {
        const std::optional<placement_choice> choice = how_.choose(need);
        if (!choice || !cell_.reserve(choice->worker, gang.size)) {
            return;
        }
        held_.push_back(choice->worker);
    }
}

/// Holds room on the emptiest workers before it is free, so that no other work fills it again.
void gang_book::claim_ahead(const gang_request& gang)
{
    std::vector<std::pair<double, worker_id>> order;
    for (worker_id w = 0; w < cell_.id_limit() && held_.size() < gang.tasks; ++w) {
        const worker& target = cell_.at(w);
        if (cell_.has(w) && target.state() == worker_state::live &&
            fits(gang.size, target.size()) &&
            std::find(held_.begin(), held_.end(), w) == held_.end() &&
            has_attributes(cell_.attributes_of(w), gang.attributes)) {
            order.emplace_back(dominant_share(target.claimed(), target.size()), w);
        }
    }
    std::sort(order.begin(), order.end());
    for (const std::pair<double, worker_id>& next : order) {
        resources left = cell_.at(next.second).size();
        while (held_.size() < gang.tasks && fits(gang.size, left)) {
            left -= gang.size;
            cell_.reserve_ahead(next.second, gang.size);
            held_.push_back(next.second);
        }
    }
}

bool gang_book::ready() const
{
    return std::all_of(held_.begin(), held_.end(), [this](worker_id w) {
        return fits(cell_.at(w).claimed(), cell_.at(w).size());
    });
}

void gang_book::release()
{
    if (!holder_.empty()) {
        for (const worker_id w : held_) {
            cell_.release(w, line_.front().gang.size);
        }
        held_.clear();
        holder_.clear();
    }
}

void gang_book::forget(const std::string& job)
{
    if (holder_ == job) {
        release();
    }
    line_.erase(std::remove_if(line_.begin(), line_.end(),
                               [&job](const candidate& c) { return c.gang.job == job; }),
                line_.end());
}

void gang_book::end_turn(time_point now)
{
    release();
    rest_until_ = now + (now - since_);
    line_.push_back(std::move(line_.front()));
    line_.pop_front();
}

void gang_book::advance(time_point now)
{
    std::vector<std::string> abandoned;
    for (const candidate& c : line_) {
        if (c.asked + abandoned_after < now) {
            abandoned.push_back(c.gang.job);
        }
    }
    for (const std::string& job : abandoned) {
        forget(job);
    }
    if (!holder_.empty() && now >= since_ + reservation_) {
        end_turn(now);
    }
    if (holder_.empty() && !line_.empty() && now >= rest_until_) {
        holder_ = line_.front().gang.job;
        since_ = now;
    }
    if (!holder_.empty()) {
        collect(line_.front().gang);
        claim_ahead(line_.front().gang);
    }
}

std::optional<std::size_t> gang_book::position(const std::string& job) const
{
    const auto found = std::find_if(line_.begin(), line_.end(),
                                    [&job](const candidate& c) { return c.gang.job == job; });
    return found == line_.end()
               ? std::nullopt
               : std::optional<std::size_t>(static_cast<std::size_t>(found - line_.begin()));
}

} // namespace sesamesill
