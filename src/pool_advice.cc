// Advice calls: chooses the next step and the workers to name, and applies the answers.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::size_t max_workers_per_call = 100; ///< the platform's limit

} // namespace

/// Returns the workers to name in an advice call: those with the most free CPU, as many as the step
/// is likely to need if the advisor approves a third of them.
std::vector<std::string> scheduler::workers_to_ask(const waiting_step& ws, const step_spec& step,
                                                   const queue_policy& queue, time_point now) const
{
    constexpr std::size_t workers_per_task = 4;
    constexpr std::size_t min_workers_per_call = 16;
    std::vector<std::pair<std::int64_t, const std::string*>> eligible;
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (ws.approved.count(w.first) == 0 && ws.denied.count(w.first) == 0 &&
            is_eligible(w.second, step, queue, now)) {
            eligible.emplace_back(-w.second.room().cpu_millis, &w.first);
        }
    }
    const std::size_t name_count =
        std::min(max_workers_per_call,
                 min_workers_per_call + workers_per_task * static_cast<std::size_t>(step.tasks));
    if (eligible.size() > name_count) {
        std::partial_sort(eligible.begin(),
                          eligible.begin() + static_cast<std::ptrdiff_t>(name_count),
                          eligible.end());
        eligible.resize(name_count);
    }
    std::vector<std::string> names;
    names.reserve(eligible.size());
    for (const std::pair<std::int64_t, const std::string*>& f : eligible) {
        names.push_back(*f.second);
    }
    return names;
}

std::optional<advice_call> scheduler::next_advice(millis longest, time_point now)
{
    constexpr millis next_call_delay{800}; ///< then a step that still waits names other workers
    waiting_step* best = nullptr;
    const queue_policy* best_queue = nullptr;
    const step_spec* best_step = nullptr;
    for (std::pair<const std::string, waiting_step>& named : waiting_steps_) {
        waiting_step& ws = named.second;
        const bool first_call = ws.approved.empty() && ws.denied.empty();
        const bool call_wanted =
            !ws.next_call_workers.empty() || first_call || now - ws.last_call > next_call_delay;
        if (ws.advice_pending || !call_wanted || now < ws.next_call_after ||
            (best != nullptr && ws.score <= best->score)) {
            continue;
        }
        const auto known = jobs_.find(ws.first.job);
        const queue_policy* queue =
            known != jobs_.end() ? queue_of(known->second.progress.spec().queue) : nullptr;
        if (queue == nullptr || !queue->advice || !may_start(ws, known->second, now) ||
            queue->advice->base_ms > static_cast<double>(longest.count())) {
            continue;
        }
        best = &ws;
        best_queue = queue;
        best_step = &known->second.progress.spec().steps[static_cast<std::size_t>(ws.first.step)];
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    best->last_call = now;
    std::vector<std::string> names;
    names.swap(best->next_call_workers);
    if (names.empty()) {
        names = workers_to_ask(*best, *best_step, *best_queue, now);
    }
    if (names.empty()) {
        // The advisor has judged all eligible workers.
        best->next_call_after = now + next_call_delay;
        return std::nullopt;
    }
    best->advice_pending = true;
    const double duration_ms = best_queue->advice->base_ms + best_queue->advice->per_worker_ms *
                                                                 static_cast<double>(names.size());
    return advice_call{step_name(best->first), std::move(names),
                       millis(static_cast<std::int64_t>(duration_ms) + 1)};
}

/// Requests new tickets for those that expire before the gang can start, early enough that they
/// arrive in time.
void scheduler::renew_tickets(waiting_step& ws, const gang_plan& plan,
                              const std::vector<gang_option>& options, const advice_terms& terms,
                              time_point now)
{
    constexpr millis advice_round_trip{100}; ///< includes forwarding by another member
    std::vector<std::string> expired;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const std::string& id = options[i].target->entry.id;
        const auto ticket = ws.approved.find(id);
        if (plan.counts[i] > 0 && ticket != ws.approved.end() &&
            ticket->second.until < plan.ready + advice_round_trip) {
            expired.push_back(id);
        }
    }
    const double duration_ms =
        terms.base_ms + terms.per_worker_ms * static_cast<double>(expired.size());
    const time_point answer_time =
        now + millis(static_cast<std::int64_t>(duration_ms)) + advice_round_trip;
    if (!expired.empty() && !ws.advice_pending && answer_time >= plan.ready) {
        ws.next_call_workers = expired;
    }
}

void scheduler::on_advice(const advice_call& call, const advice_answer& answer, time_point now)
{
    constexpr millis retry_delay{100};   ///< the advisor refuses only while its queue is full
    constexpr millis ticket_margin{250}; ///< covers the transit of the answer and of the start
    const auto known = waiting_steps_.find(call.step);
    if (known == waiting_steps_.end()) {
        return;
    }
    waiting_step& ws = known->second;
    ws.advice_pending = false;
    if (!answer.ok) {
        ws.next_call_after = now + retry_delay;
        add_decision(decision_kind::advice_failed, ws.first.job, "", answer.why.reason);
        placing_needed_ = true;
        return;
    }
    std::set<std::string> approved;
    for (const approval& a : answer.approved) {
        approved.insert(a.worker);
        ws.approved[a.worker] = {a.ticket, now + answer.valid - ticket_margin};
    }
    for (const std::string& id : call.workers) {
        if (approved.count(id) == 0) {
            ws.denied[id] = true;
        }
    }
    add_decision(decision_kind::advised, ws.first.job, "",
                 call.step + ": " + std::to_string(approved.size()) + " of " +
                     std::to_string(call.workers.size()),
                 answer.valid.count());
    placing_needed_ = true;
}

} // namespace sesamesill::pool
