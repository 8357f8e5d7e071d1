// Calls for advice: which step asks next, about which workers, and what an answer is good for.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::size_t max_named = 100; ///< workers in one call; the platform's bound

} // namespace

/// Returns the workers to be named in a call for advice: those with the most room, as many as the
/// step is likely to need where a third is approved.
std::vector<std::string> scheduler::workers_to_ask(const unit& u, const step_spec& step,
                                                   const queue_policy& queue, time_point now) const
{
    constexpr std::size_t asked_a_task = 4;
    constexpr std::size_t asked_at_least = 16;
    std::vector<std::pair<std::int64_t, const std::string*>> found;
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (u.approved.count(w.first) == 0 && u.denied.count(w.first) == 0 &&
            is_eligible(w.second, step, queue, now)) {
            found.emplace_back(-w.second.room().cpu_millis, &w.first);
        }
    }
    const std::size_t wanted =
        std::min(max_named, asked_at_least + asked_a_task * static_cast<std::size_t>(step.tasks));
    if (found.size() > wanted) {
        std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(wanted),
                          found.end());
        found.resize(wanted);
    }
    std::vector<std::string> names;
    names.reserve(found.size());
    for (const std::pair<std::int64_t, const std::string*>& f : found) {
        names.push_back(*f.second);
    }
    return names;
}

std::optional<advice_call> scheduler::next_advice(millis longest, time_point now)
{
    constexpr millis ask_more_after{800}; ///< a step that still waits then asks about other workers
    unit* best = nullptr;
    const queue_policy* best_queue = nullptr;
    const step_spec* best_step = nullptr;
    for (std::pair<const std::string, unit>& named : units_) {
        unit& u = named.second;
        const bool first_call = u.approved.empty() && u.denied.empty();
        const bool wants = !u.ask.empty() || first_call || now - u.asked > ask_more_after;
        if (u.asking || !wants || now < u.ask_after ||
            (best != nullptr && u.score <= best->score)) {
            continue;
        }
        const auto known = jobs_.find(u.first.job);
        const queue_policy* queue =
            known != jobs_.end() ? queue_of(known->second.progress.spec().queue) : nullptr;
        if (queue == nullptr || !queue->advice || !may_start(u, known->second, now) ||
            queue->advice->base_ms > static_cast<double>(longest.count())) {
            continue;
        }
        best = &u;
        best_queue = queue;
        best_step = &known->second.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    best->asked = now;
    std::vector<std::string> names;
    names.swap(best->ask);
    if (names.empty()) {
        names = workers_to_ask(*best, *best_step, *best_queue, now);
    }
    if (names.empty()) {
        best->ask_after = now + ask_more_after; // all have been asked about
        return std::nullopt;
    }
    best->asking = true;
    const double takes = best_queue->advice->base_ms +
                         best_queue->advice->per_worker_ms * static_cast<double>(names.size());
    return advice_call{step_name(best->first), std::move(names),
                       millis(static_cast<std::int64_t>(takes) + 1)};
}

/// Asks again, in time, for tickets that will have expired when the gang can start.
void scheduler::renew_tickets(unit& u, const gang_plan& plan,
                              const std::vector<gang_option>& options, const advice_terms& terms,
                              time_point now)
{
    constexpr millis way{100}; ///< to the advisor and back, through another member
    std::vector<std::string> expired;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const std::string& id = options[i].where->entry.id;
        const auto ticket = u.approved.find(id);
        if (plan.counts[i] > 0 && ticket != u.approved.end() &&
            ticket->second.until < plan.ready + way) {
            expired.push_back(id);
        }
    }
    const double takes = terms.base_ms + terms.per_worker_ms * static_cast<double>(expired.size());
    const time_point answered = now + millis(static_cast<std::int64_t>(takes)) + way;
    if (!expired.empty() && !u.asking && answered >= plan.ready) {
        u.ask = expired;
    }
}

void scheduler::on_advice(const advice_call& call, const advice_answer& answer, time_point now)
{
    constexpr millis retry_pause{100};   ///< the advisor refuses only while its queue is full
    constexpr millis ticket_margin{250}; ///< covers the way of the answer and of the start
    const auto known = units_.find(call.step);
    if (known == units_.end()) {
        return;
    }
    unit& u = known->second;
    u.asking = false;
    if (!answer.ok) {
        u.ask_after = now + retry_pause;
        note(decision_kind::advice_failed, u.first.job, "", answer.why.reason);
        changed_ = true;
        return;
    }
    std::set<std::string> approved;
    for (const approval& a : answer.approved) {
        approved.insert(a.worker);
        u.approved[a.worker] = {a.ticket, now + answer.valid - ticket_margin};
    }
    for (const std::string& id : call.workers) {
        if (approved.count(id) == 0) {
            u.denied[id] = true;
        }
    }
    note(decision_kind::advised, u.first.job, "",
         call.step + ": " + std::to_string(approved.size()) + " of " +
             std::to_string(call.workers.size()),
         answer.valid.count());
    changed_ = true;
}

} // namespace sesamesill::pool
