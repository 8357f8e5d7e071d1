// What a leader sends to workers and advisors: starts, stops, polls and advice calls, and when.

#include <algorithm>
#include <cmath>

#include "pool_advice_messages.h"
#include "pool_leader.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

/// Timeout of the first attempt of a start; attempt n waits n times as long. Workers answer in a
/// few milliseconds. A repeated order names the same run, so an early repeat is safe.
constexpr millis start_timeout{130};
constexpr millis stop_timeout{400};
constexpr millis idle_poll_wait{1000}; ///< longest wait of a poll of a worker without runs
/// The same in a large pool: idle workers are most of the leader's polls there. With its timeout it
/// is shorter than `worker::max_silence`.
constexpr millis large_pool_idle_poll_wait{1500};
/// Longest wait of a poll of a worker with runs. If an answer is lost, ends become known this much
/// later.
constexpr millis busy_poll_wait{400};
constexpr millis poll_timeout_margin{300}; ///< added to a poll's wait
constexpr millis poll_spacing{40}; ///< gathers ends in a large pool, and delays them by this much
constexpr millis max_poll_spacing{800}; ///< well below the time until a silent worker's lease ends
constexpr millis poll_retry_delay{100}; ///< pause while ends are being stored, or after a failure
/// A new leader fetches the runs of so many workers at a time, which leaves room on its link for
/// its records.
constexpr std::size_t max_first_polls = 32;
constexpr millis advice_timeout_margin{900}; ///< added to the expected duration of a call
constexpr millis short_call_limit{30};       ///< longest expected call of the reserved caller
constexpr millis no_call_limit{60000};       ///< for the other callers; longer than any call
constexpr double message_bytes = 400;        ///< of an order or a report without payload and runs
constexpr double report_row_bytes = 70;      ///< of a run in a report
/// A poll that is late by this much is sent whatever the budget, as leases are renewed by polls.
constexpr millis max_poll_delay{1500};

} // namespace

/// Returns how many starts may be sent now, by the window and by their share of the link.
std::size_t leader::max_starts(time_point now)
{
    if (!start_budget_.is_limited()) {
        return start_window_.free();
    }
    const double starts =
        std::ceil(start_budget_.available(now) / (message_bytes + mean_start_bytes_));
    return std::min(start_window_.free(), static_cast<std::size_t>(std::max(0.0, starts)));
}

void leader::send_starts()
{
    constexpr double mean_weight = 0.1; ///< of the last start
    for (start_order& order : scheduler_.take_starts()) {
        const double bytes = message_bytes + static_cast<double>(order.payload.size());
        mean_start_bytes_ += mean_weight * (bytes - mean_start_bytes_);
        start_budget_.take(bytes);
        start_bytes_in_flight_ += bytes;
        const millis transfer =
            transfer_time(start_bytes_in_flight_, link_bytes_per_ms(settings_.link_mbps));
        start_window_.on_sent();
        workers_.start(order, start_timeout * order.attempts + transfer,
                       [this, alive = alive_, order, bytes, transfer, sent = boot_clock::now()](
                           order_verdict verdict, std::int64_t clock_ms, const error&) {
                           if (*alive) {
                               const time_point now = boot_clock::now();
                               start_bytes_in_flight_ -= bytes;
                               start_window_.on_done(millis(to_millis(now - sent)) - transfer,
                                                     verdict != order_verdict::unknown, now);
                               scheduler_.on_start(order, verdict, clock_ms, now);
                               schedule_update();
                           }
                       });
    }
}

void leader::send_stops()
{
    for (const stop_order& order : scheduler_.take_stops()) {
        workers_.stop(
            order, stop_timeout,
            [this, alive = alive_, order](order_verdict verdict, std::int64_t, const error&) {
                if (*alive) {
                    scheduler_.on_stop(order, verdict, boot_clock::now());
                    poll_at_once(order.worker);
                    schedule_update();
                }
            });
    }
}

void leader::send_polls()
{
    const time_point now = boot_clock::now();
    if (!lead_is_confirmed(now)) {
        return;
    }
    std::vector<std::string> delayed;
    while (!poll_queue_.empty() && poll_queue_.begin()->first <= now) {
        if (!poll_budget_.allows(now) && now - poll_queue_.begin()->first < max_poll_delay) {
            break;
        }
        const std::string id = poll_queue_.begin()->second;
        poll_queue_.erase(poll_queue_.begin());
        poll_state& state = polls_.at(id);
        if (scheduler_.workers().count(id) == 0) {
            polls_.erase(id);
        }
        else if (state.first && first_polls_in_flight_ >= max_first_polls) {
            delayed.push_back(id);
        }
        else {
            send_poll(id, state);
        }
    }
    for (const std::string& id : delayed) {
        poll_queue_.emplace(polls_.at(id).not_before, id);
    }
}

void leader::add_polls_of(const std::string& id)
{
    if (polls_.count(id) == 0) {
        poll_queue_.emplace(polls_[id].not_before, id);
    }
}

/// Schedules the next poll of a worker without a poll in flight.
void leader::poll_after(const std::string& id, poll_state& state, time_point time)
{
    poll_queue_.erase({state.not_before, id});
    state.not_before = time;
    poll_queue_.emplace(time, id);
}

/// Returns the pause between two polls of a worker. Polls yield to starts while answers are late.
millis leader::current_poll_spacing() const
{
    const double shrunk = std::max(1.0, send_window::initial_size / start_window_.size());
    return std::min(max_poll_spacing, millis(static_cast<std::int64_t>(
                                          static_cast<double>(poll_spacing.count()) * shrunk)));
}

void leader::poll_at_once(const std::string& id)
{
    const auto known = polls_.find(id);
    if (known != polls_.end() && !known->second.in_flight) {
        poll_after(id, known->second, {});
    }
}

void leader::send_poll(const std::string& id, poll_state& state)
{
    const time_point now = boot_clock::now();
    // The first poll of a worker doesn't wait: it fetches the worker's clock and its runs.
    const worker& w = scheduler_.workers().find(id)->second;
    const bool at_once = !w.heard || state.failures > 0 || scheduler_.has_unrecorded_ends(id) ||
                         std::any_of(w.runs.begin(), w.runs.end(), [](const auto& r) {
                             return r.second.phase == run_phase::stop_acknowledged;
                         });
    const millis idle_wait = scheduler_.workers().size() > large_pool_workers
                                 ? large_pool_idle_poll_wait
                                 : idle_poll_wait;
    const millis wait = at_once ? millis(0) : w.runs.empty() ? idle_wait : busy_poll_wait;
    const poll_order order = *scheduler_.next_poll(id, wait, now);
    state.in_flight = true;
    first_polls_in_flight_ += state.first ? 1 : 0;
    workers_.poll(order, order.wait + poll_timeout_margin,
                  [this, alive = alive_, order,
                   sent = now](order_verdict verdict, const worker_report& report, const error&) {
                      if (*alive) {
                          on_polled(order, sent, verdict, report);
                          schedule_update();
                      }
                  });
}

void leader::on_polled(const poll_order& order, time_point sent, order_verdict verdict,
                       const worker_report& report)
{
    const time_point now = boot_clock::now();
    poll_state& state = polls_.at(order.worker);
    const bool accepted = verdict == order_verdict::accepted;
    state.in_flight = false;
    first_polls_in_flight_ -= state.first ? 1 : 0;
    poll_budget_.take(message_bytes + report_row_bytes * static_cast<double>(report.running.size() +
                                                                             report.ended.size()));
    state.first = state.first && !accepted;
    state.failures = accepted ? 0 : state.failures + 1;
    scheduler_.on_poll(order, sent, verdict, report, now);
    time_point next = now;
    if (scheduler_.workers().size() > large_pool_workers) {
        next = now + current_poll_spacing();
    }
    if (!accepted || scheduler_.has_unrecorded_ends(order.worker) || order.wait == millis(0)) {
        next = std::max(next, now + poll_retry_delay);
    }
    poll_after(order.worker, state, next);
}

void leader::ask_advice()
{
    const time_point now = boot_clock::now();
    if (!scheduler_.needs_advice(now)) {
        return;
    }
    std::vector<const std::pair<const std::string, peer>*> callers;
    std::vector<double> shares;
    for (const std::pair<const std::string, peer>& p : peers_) {
        if (now - p.second.heard < heartbeat_validity) {
            callers.push_back(&p);
            shares.push_back(p.second.processor_share);
        }
    }
    callers.push_back(nullptr); // this member
    shares.push_back(settings_.processor_share);
    const std::vector<bool> short_only = reserve_for_short_calls(shares);
    bool has_short_call = true;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (short_only[i] && has_short_call) {
            has_short_call = ask_advice_from(callers[i], short_call_limit);
        }
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (!short_only[i] && !ask_advice_from(callers[i], no_call_limit)) {
            return;
        }
    }
}

/// Returns false if there is no call of at most `longest` to make.
bool leader::ask_advice_from(const std::pair<const std::string, peer>* by, millis longest)
{
    const std::string& caller_name = by != nullptr ? by->first : settings_.name;
    if (callers_[caller_name].busy) {
        return true;
    }
    const std::optional<advice_call> call = scheduler_.next_advice(longest, boot_clock::now());
    if (!call) {
        return false;
    }
    callers_[caller_name].busy = true;
    const std::function<void(advice_answer)> answered =
        [this, alive = alive_, caller_name, call = *call](const advice_answer& answer) {
            if (*alive) {
                callers_[caller_name].busy = false;
                scheduler_.on_advice(call, answer, boot_clock::now());
                schedule_update();
            }
        };
    const millis timeout = call->expected + advice_timeout_margin;
    if (by == nullptr) {
        advice_.advise(call->step, call->workers, timeout, answered);
        return true;
    }
    http_call request;
    request.method = "POST";
    request.path = "/pool/advise";
    request.body = encode(advice_request{call->step, call->workers, timeout});
    request.timeout = timeout + stop_timeout;
    peer_client_.send(by->second.address, std::move(request),
                      [answered](const std::optional<http_reply>& reply, const error& why) {
                          advice_answer answer;
                          answer.why = why;
                          answered(reply ? decode_advice_answer(reply->body) : answer);
                      });
    return true;
}

} // namespace sesamesill::pool
