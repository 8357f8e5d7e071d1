// Grants reservations in order of arrival. A job whose reservation ended without a start moves to
// the back of the queue.

#include "sesamesill/gang.h"

#include <algorithm>

namespace sesamesill {
namespace {

/// An owner that made no request for this long has placed its job elsewhere or has left.
constexpr micros request_timeout = std::chrono::seconds(5);

} // namespace

std::optional<std::vector<worker_id>> gang_reservations::request(const gang_request& gang,
                                                                 time_point now)
{
    const auto queued = std::find_if(queue_.begin(), queue_.end(), [&gang](const waiting_gang& c) {
        return c.gang.job == gang.job;
    });
    if (queued != queue_.end() && gang.may_wait) {
        queued->last_requested = now;
    }
    const bool is_reserving = reserving_job_ == gang.job;
    std::vector<worker_id> other_reservation;
    if (!is_reserving) {
        // Sets the other job's list aside. Its capacity stays reserved in the cell.
        other_reservation.swap(reserved_);
    }
    reserve_free(gang);
    std::vector<worker_id> found;
    const bool complete = reserved_.size() == gang.tasks && all_free();
    if (complete) {
        found = reserved_;
    }
    if (complete || !is_reserving) {
        for (const worker_id w : reserved_) {
            cell_.release(w, gang.size);
        }
        reserved_.swap(other_reservation);
    }
    if (complete) {
        if (is_reserving) {
            reserving_job_.clear();
            next_reservation_at_ = now + (now - reserving_since_);
        }
        forget(gang.job);
        return found;
    }
    if (queued == queue_.end() && gang.may_wait) {
        queue_.push_back({gang, now});
    }
    return std::nullopt;
}

void gang_reservations::remove_worker(worker_id w)
{
    reserved_.erase(std::remove(reserved_.begin(), reserved_.end(), w), reserved_.end());
}

void gang_reservations::release_unavailable(const resources& size)
{
    for (auto it = reserved_.begin(); it != reserved_.end();) {
        if (cell_.at(*it).state() == worker_state::live) {
            ++it;
            continue;
        }
        cell_.release(*it, size);
        it = reserved_.erase(it);
    }
}

void gang_reservations::reserve_free(const gang_request& gang)
{
    release_unavailable(gang.size);
    task_need need;
    need.size = gang.size;
    need.attributes = &gang.attributes;
    while (reserved_.size() < gang.tasks) {
        const std::optional<placement_choice> choice = placement_.choose(need);
        if (!choice || !cell_.reserve(choice->worker, gang.size)) {
            return;
        }
        reserved_.push_back(choice->worker);
    }
}

// Reserves room before it is free, so that no other task takes it when the running ones end. The
// least used workers come first.
void gang_reservations::reserve_ahead(const gang_request& gang)
{
    std::vector<std::pair<double, worker_id>> order;
    for (worker_id w = 0; w < cell_.id_limit() && reserved_.size() < gang.tasks; ++w) {
        const worker& target = cell_.at(w);
        if (cell_.has(w) && target.state() == worker_state::live &&
            fits(gang.size, target.size()) &&
            std::find(reserved_.begin(), reserved_.end(), w) == reserved_.end() &&
            has_attributes(cell_.attributes_of(w), gang.attributes)) {
            order.emplace_back(dominant_share(target.claimed(), target.size()), w);
        }
    }
    std::sort(order.begin(), order.end());
    for (const std::pair<double, worker_id>& next : order) {
        resources left = cell_.at(next.second).size();
        while (reserved_.size() < gang.tasks && fits(gang.size, left)) {
            left -= gang.size;
            cell_.reserve_ahead(next.second, gang.size);
            reserved_.push_back(next.second);
        }
    }
}

bool gang_reservations::all_free() const
{
    return std::all_of(reserved_.begin(), reserved_.end(), [this](worker_id w) {
        return fits(cell_.at(w).claimed(), cell_.at(w).size());
    });
}

void gang_reservations::release()
{
    if (!reserving_job_.empty()) {
        for (const worker_id w : reserved_) {
            cell_.release(w, queue_.front().gang.size);
        }
        reserved_.clear();
        reserving_job_.clear();
    }
}

void gang_reservations::forget(const std::string& job)
{
    if (reserving_job_ == job) {
        release();
    }
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(),
                                [&job](const waiting_gang& c) { return c.gang.job == job; }),
                 queue_.end());
}

void gang_reservations::end_reservation(time_point now)
{
    release();
    next_reservation_at_ = now + (now - reserving_since_);
    queue_.push_back(std::move(queue_.front()));
    queue_.pop_front();
}

void gang_reservations::advance(time_point now)
{
    std::vector<std::string> timed_out;
    for (const waiting_gang& c : queue_) {
        if (c.last_requested + request_timeout < now) {
            timed_out.push_back(c.gang.job);
        }
    }
    for (const std::string& job : timed_out) {
        forget(job);
    }
    if (!reserving_job_.empty() && now >= reserving_since_ + max_reservation_) {
        end_reservation(now);
    }
    if (reserving_job_.empty() && !queue_.empty() && now >= next_reservation_at_) {
        reserving_job_ = queue_.front().gang.job;
        reserving_since_ = now;
    }
    if (!reserving_job_.empty()) {
        reserve_free(queue_.front().gang);
        reserve_ahead(queue_.front().gang);
    }
}

std::optional<std::size_t> gang_reservations::position(const std::string& job) const
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&job](const waiting_gang& c) { return c.gang.job == job; });
    return found == queue_.end()
               ? std::nullopt
               : std::optional<std::size_t>(static_cast<std::size_t>(found - queue_.begin()));
}

} // namespace sesamesill
