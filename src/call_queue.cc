// Fair queueing on two levels: among classes, then among the organisations of a class.

#include "sesamesill/call_queue.h"

#include <algorithm>

namespace sesamesill {

void fair_order::activate(const std::string& flow)
{
    double& finish = finish_[flow];
    if (active_.count({finish, flow}) > 0) {
        return;
    }
    finish = std::max(finish, now_);
    active_.emplace(finish, flow);
}

void fair_order::deactivate(const std::string& flow)
{
    const auto found = finish_.find(flow);
    if (found != finish_.end()) {
        active_.erase({found->second, flow});
    }
    if (active_.empty()) {
        finish_.clear(); // with no active flow there is no unfairness to make up for
        now_ = 0.0;
    }
}

const std::string* fair_order::next() const
{
    return active_.empty() ? nullptr : &active_.begin()->second;
}

void fair_order::charge(const std::string& flow, double weight)
{
    double& finish = finish_[flow];
    const bool was_active = active_.erase({finish, flow}) > 0;
    now_ = std::max(now_, finish);
    finish += 1.0 / std::max(weight, 1e-6);
    if (was_active) {
        active_.emplace(finish, flow);
    }
}

double class_weight(priority_band band)
{
    constexpr double step = 4.0;
    double weight = 1.0;
    for (int i = 0; i < static_cast<int>(band); ++i) {
        weight *= step;
    }
    return weight;
}

void call_queue::set_class(const std::string& name, priority_band band, std::size_t limit)
{
    class_queue& queue = classes_[name];
    queue.weight = class_weight(band);
    queue.limit = limit;
}

void call_queue::set_organisation(const std::string& name, double weight)
{
    weights_[name] = weight;
}

double call_queue::organisation_weight(const std::string& name) const
{
    const auto found = weights_.find(name);
    return found == weights_.end() ? 1.0 : found->second;
}

bool call_queue::push(const waiting_call& call)
{
    class_queue& queue = classes_[call.work_class];
    if (queue.queued >= queue.limit) {
        return false;
    }
    organisation_queue& organisation = queue.organisations[call.organisation];
    organisation.calls.push_back(call.id);
    ++organisation.queued;
    ++queue.queued;
    queue.order.activate(call.organisation);
    order_.activate(call.work_class);
    deadlines_.emplace(call.deadline, call.id);
    calls_.emplace(call.id, call);
    return true;
}

std::optional<std::uint64_t> call_queue::pop()
{
    const std::string* work_class = order_.next();
    if (work_class == nullptr) {
        return std::nullopt;
    }
    class_queue& queue = classes_[*work_class];
    const std::string organisation = *queue.order.next();
    std::deque<std::uint64_t>& waiting = queue.organisations[organisation].calls;
    while (calls_.count(waiting.front()) == 0) {
        waiting.pop_front();
    }
    const std::uint64_t id = waiting.front();
    waiting.pop_front();
    const waiting_call call = calls_[id];
    queue.order.charge(organisation, organisation_weight(organisation));
    order_.charge(call.work_class, queue.weight);
    remove(call);
    return id;
}

void call_queue::remove(const waiting_call& call)
{
    class_queue& queue = classes_[call.work_class];
    organisation_queue& organisation = queue.organisations[call.organisation];
    deadlines_.erase({call.deadline, call.id});
    --organisation.queued;
    --queue.queued;
    if (organisation.queued == 0) {
        queue.order.deactivate(call.organisation);
        queue.organisations.erase(call.organisation);
    }
    if (queue.queued == 0) {
        order_.deactivate(call.work_class);
    }
    calls_.erase(call.id);
}

std::vector<std::uint64_t> call_queue::take_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const std::uint64_t id = deadlines_.begin()->second;
        const waiting_call call = calls_[id];
        remove(call);
        expired.push_back(id);
    }
    return expired;
}

std::size_t call_queue::size(const std::string& work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? 0 : found->second.queued;
}

double call_queue::calls_ahead_of(const std::string& work_class,
                                  const std::string& organisation) const
{
    const auto own = classes_.find(work_class);
    if (own == classes_.end()) {
        return static_cast<double>(calls_.size());
    }
    const auto queue = own->second.organisations.find(organisation);
    const double own_calls =
        queue == own->second.organisations.end() ? 0.0 : static_cast<double>(queue->second.queued);
    const double rounds = (own_calls + 1.0) / organisation_weight(organisation);
    double ahead = own_calls;
    for (const std::pair<const std::string, organisation_queue>& other :
         own->second.organisations) {
        if (other.first != organisation) {
            ahead += std::min(static_cast<double>(other.second.queued),
                              rounds * organisation_weight(other.first));
        }
    }
    const double class_rounds = (ahead + 1.0) / own->second.weight;
    double total = ahead;
    for (const std::pair<const std::string, class_queue>& other : classes_) {
        if (other.first != work_class) {
            total += std::min(static_cast<double>(other.second.queued),
                              class_rounds * other.second.weight);
        }
    }
    return total;
}

} // namespace sesamesill
