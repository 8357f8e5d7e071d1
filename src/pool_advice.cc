// Advice calls: chooses the next step and the workers to name, and applies the answers.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::size_t max_workers_per_call = 100; ///< the platform's limit
constexpr std::size_t exact_order_size = 200; ///< steps or workers that are sorted for each call
constexpr millis next_call_delay{800};        ///< then a step that still waits names other workers

} // namespace

/// Sorts the schedulable workers by free CPU, in a large pool at most once in a while.
const std::vector<worker_number>& scheduler::workers_by_room(time_point now)
{
    constexpr micros validity_per_worker{20};
    const micros validity = validity_per_worker * static_cast<int>(workers_by_number_.size());
    if (workers_by_number_.size() > exact_order_size && now - by_room_since_ < validity) {
        return by_room_;
    }
    by_room_since_ = now;
    std::vector<std::pair<std::int64_t, worker_number>> rooms;
    rooms.reserve(workers_by_number_.size());
    for (const worker* w : workers_by_number_) {
        if (w != nullptr && w->is_schedulable(now)) {
            rooms.emplace_back(-w->room().cpu_millis, w->number);
        }
    }
    std::sort(rooms.begin(), rooms.end());
    by_room_.clear();
    for (const std::pair<std::int64_t, worker_number>& r : rooms) {
        by_room_.push_back(r.second);
    }
    return by_room_;
}

/// Returns the workers to name in an advice call: those with the most free CPU, as many as the step
/// is likely to need if the advisor approves a third of them.
std::vector<worker_number> scheduler::workers_to_ask(const waiting_step& ws, const step_spec& step,
                                                     time_point now)
{
    constexpr std::size_t workers_per_task = 4;
    constexpr std::size_t min_workers_per_call = 16;
    const std::size_t name_count =
        std::min(max_workers_per_call,
                 min_workers_per_call + workers_per_task * static_cast<std::size_t>(step.tasks));
    std::vector<worker_number> numbers;
    for (const worker_number n : workers_by_room(now)) {
        if (numbers.size() == name_count) {
            break;
        }
        const worker* w = workers_by_number_[n];
        if (w != nullptr && ws.approved.count(n) == 0 && ws.denied.count(n) == 0 &&
            is_eligible(*w, step, *ws.queue, now)) {
            numbers.push_back(n);
        }
    }
    return numbers;
}

bool scheduler::wants_advice(const waiting_step& ws, time_point now) const
{
    if (ws.advice_pending || ws.queue == nullptr || !ws.queue->advice || now < ws.next_call_after) {
        return false;
    }
    const bool first_call = ws.approved.empty() && ws.denied.empty();
    return (!ws.next_call_workers.empty() || first_call || now - ws.last_call > next_call_delay) &&
           may_start(ws, now);
}

/// Sorts the steps that want advice by rank, the highest last. With many steps at most once in a
/// while: there are hundreds of calls a second.
void scheduler::sort_advice_requests(time_point now)
{
    constexpr micros validity_per_step{10};
    const micros validity = validity_per_step * static_cast<int>(waiting_steps_.size());
    if (waiting_steps_.size() > exact_order_size && now - advice_requests_since_ < validity) {
        return;
    }
    advice_requests_since_ = now;
    advice_requests_.clear();
    for (const std::pair<const std::string, waiting_step>& ws : waiting_steps_) {
        if (wants_advice(ws.second, now)) {
            advice_requests_.push_back(
                {ws.second.score, ws.second.queue->advice->base_ms, ws.first});
        }
    }
    std::sort(advice_requests_.begin(), advice_requests_.end(),
              [](const advice_request_rank& a, const advice_request_rank& b) {
                  return a.score != b.score ? a.score < b.score : a.step > b.step;
              });
}

/// Returns the step of the highest rank that needs an advice call of at most `longest`, or null.
waiting_step* scheduler::next_step_to_advise(millis longest, time_point now)
{
    sort_advice_requests(now);
    for (std::size_t i = advice_requests_.size(); i-- > 0;) {
        if (advice_requests_[i].base_ms > static_cast<double>(longest.count())) {
            continue;
        }
        const auto known = waiting_steps_.find(advice_requests_[i].step);
        if (known != waiting_steps_.end() && wants_advice(known->second, now)) {
            return &known->second;
        }
        advice_requests_.erase(advice_requests_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return nullptr;
}

/// Takes as many of the workers that the step's next call should name as one call may name.
std::vector<worker_number> scheduler::take_named_workers(waiting_step& ws)
{
    std::vector<worker_number>& waiting = ws.next_call_workers;
    const auto end = waiting.begin() +
                     static_cast<std::ptrdiff_t>(std::min(waiting.size(), max_workers_per_call));
    std::vector<worker_number> taken(waiting.begin(), end);
    waiting.erase(waiting.begin(), end);
    return taken;
}

std::optional<advice_call> scheduler::next_advice(millis longest, time_point now)
{
    while (waiting_step* ws = next_step_to_advise(longest, now)) {
        ws->last_call = now;
        std::vector<std::string> names = ids_of(take_named_workers(*ws));
        if (names.empty()) {
            const step_spec& step = ws->job->spec().steps[static_cast<std::size_t>(ws->first.step)];
            names = ids_of(workers_to_ask(*ws, step, now));
        }
        if (names.empty()) {
            // The advisor has judged all eligible workers.
            ws->next_call_after = now + next_call_delay;
            continue;
        }
        ws->advice_pending = true;
        const advice_terms& terms = *ws->queue->advice;
        const double duration_ms =
            terms.base_ms + terms.per_worker_ms * static_cast<double>(names.size());
        return advice_call{step_name(ws->first), std::move(names),
                           millis(static_cast<std::int64_t>(duration_ms) + 1)};
    }
    return std::nullopt;
}

/// Requests new tickets for those that expire before the gang can start, early enough that they
/// arrive in time.
void scheduler::renew_tickets(waiting_step& ws, const gang_plan& plan,
                              const std::vector<gang_option>& options, const advice_terms& terms,
                              time_point now)
{
    constexpr millis advice_round_trip{100}; ///< includes forwarding by another member
    std::vector<worker_number> expired;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const auto ticket = ws.approved.find(options[i].target->number);
        if (plan.counts[i] > 0 && ticket != ws.approved.end() &&
            ticket->second.until < plan.ready + advice_round_trip) {
            expired.push_back(ticket->first);
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
    std::set<worker_number> approved;
    for (const approval& a : answer.approved) {
        const std::optional<worker_number> number = number_of(a.worker);
        if (number) {
            approved.insert(*number);
            const worker* w = workers_by_number_[*number];
            // A ticket that was asked for before the process was known may be of an earlier one.
            const bool of_process = w != nullptr && w->process.known_since <= ws.last_call;
            ws.approved[*number] = {a.ticket,
                                    of_process ? now + answer.valid - ticket_margin : now};
        }
    }
    for (const std::string& id : call.workers) {
        const std::optional<worker_number> number = number_of(id);
        if (number && approved.count(*number) == 0) {
            ws.denied.insert(*number);
        }
    }
    add_decision(decision_kind::advised, ws.first.job, "",
                 call.step + ": " + std::to_string(approved.size()) + " of " +
                     std::to_string(call.workers.size()),
                 answer.valid.count());
    placing_needed_ = true;
}

} // namespace sesamesill::pool
