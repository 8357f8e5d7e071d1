// Carries out what the scheduler decides.

#include "pool_leader.h"

#include <algorithm>
#include <chrono>

#include "pool_keys.h"
#include "sesamesill/log.h"
#include "sesamesill/metrics.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr millis settle_delay{2}; ///< gathers events that come together
constexpr millis tick_period{50};
constexpr int place_rest = 3;        ///< placing takes at most a quarter of the time
constexpr millis start_timeout{130}; ///< a start is answered in a few milliseconds; a repeat is
                                     ///< the same run, so it may follow soon, each time later
constexpr millis stop_timeout{400};
constexpr millis idle_look_wait{1000}; ///< of a look at a worker without runs
constexpr millis busy_look_wait{400}; ///< with runs: a look whose answer is lost hides ends so long
constexpr millis look_slack{300};     ///< beyond its wait
constexpr std::size_t many_workers = 100; ///< from here on looks at one worker are spaced
constexpr millis look_spacing{40};  ///< gathers the ends of a large pool; they come that later
constexpr millis look_again{100};   ///< while ends wait for the store, or after a failure
constexpr millis advice_slack{900}; ///< beyond the time that the advisor needs
constexpr millis short_call{30};    ///< calls that the reserved caller takes
constexpr millis any_call{60000};
constexpr millis pulse_period{250}; ///< a leader with nothing to write still shows that it lives
constexpr millis submit_patience{1200}; ///< a job whose record can't be sent by then is refused
constexpr millis store_tolerance{500};  ///< failing appends before new jobs are refused
constexpr millis store_retry{1000};     ///< a client waits about 3 s in all for its job to be taken
constexpr millis handover_after{250};   ///< failing appends before another member is asked to lead
constexpr millis handover_pause{600};
constexpr millis handover_rest{250}; ///< a successor reads the log and claims within 20 ms
constexpr millis order_confidence{
    2500}; ///< orders without a sign that the claim is still the newest
constexpr const char* pulse_key = "pulse";
constexpr double ms_a_second = 1000;

} // namespace

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

leader::leader(event_loop& loop, const member_settings& settings, leader_record self,
               record_log& log, worker_gateway& workers, advisor& advice, http_client& peers,
               std::uint64_t end, std::function<void()> deposed,
               std::function<void(const std::vector<keyed_record>&, std::uint64_t)> taken)
    : loop_(loop), settings_(settings), self_(std::move(self)), workers_(workers), advice_(advice),
      peer_client_(peers), deposed_(deposed),
      scheduler_(self_.fence, settings.bounds, boot_clock::now()),
      writer_(loop, log, end, std::move(deposed), std::move(taken))
{
}

leader::~leader()
{
    *alive_ = false;
    for (const std::pair<const std::string, pending_submit>& p : submits_) {
        for (const std::function<void(submit_answer)>& done : p.second.waiting) {
            done({submit_verdict::unknown, "the leader changed", millis(0)});
        }
    }
    for (const std::pair<const std::string, std::vector<std::function<void(state_answer)>>>& c :
         cancels_) {
        for (const std::function<void(state_answer)>& done : c.second) {
            done({lookup::unavailable});
        }
    }
}

void leader::restore(const std::map<std::string, keyed_record>& records,
                     const std::vector<worker_entry>& known_workers, const configuration& config)
{
    const time_point now = boot_clock::now();
    const std::int64_t wall = wall_clock_ms();
    scheduler_.configure(config);
    std::map<std::string, std::pair<Json::Value, Json::Value>> jobs;
    for (const std::pair<const std::string, keyed_record>& r : records) {
        const std::optional<std::string> job = after_prefix(r.first, job_prefix);
        const std::optional<std::string> progress = after_prefix(r.first, progress_prefix);
        if (!job && !progress) {
            continue;
        }
        std::optional<Json::Value> value = json_from(r.second.value);
        if (!value || !value->isObject()) {
            log_event(log_level::warning, "record_unreadable",
                      {{"key", r.first}, {"offset", static_cast<std::int64_t>(r.second.offset)}});
            continue;
        }
        if (job) {
            jobs[*job].first = std::move(*value);
        }
        else {
            jobs[*progress].second = std::move(*value);
        }
    }
    for (const worker_entry& entry : known_workers) {
        scheduler_.list_worker(entry, now);
    }
    for (const std::pair<const std::string, std::pair<Json::Value, Json::Value>>& j : jobs) {
        scheduler_.restore(j.first, j.second.first, j.second.second, wall, now);
    }
    const time_point doubt_until = lease_end(now + order_confidence, settings_.bounds.max_lease);
    scheduler_.restored(now, doubt_until);
    leading_since_ = now;
    log_event(log_level::info, "leading",
              {{"fence", static_cast<std::int64_t>(self_.fence)},
               {"jobs", static_cast<std::int64_t>(jobs.size())},
               {"workers", static_cast<std::int64_t>(known_workers.size())}});
    tick();
    soon();
}

void leader::configure(const configuration& config)
{
    scheduler_.configure(config);
    soon();
}

void leader::list_worker(const worker_entry& entry)
{
    scheduler_.list_worker(entry, boot_clock::now());
    soon();
}

void leader::unlist_worker(const std::string& id)
{
    scheduler_.unlist_worker(id);
}

void leader::directory_known(time_point begun)
{
    scheduler_.directory_known(begun);
    soon();
}

void leader::on_peer(const std::string& name, const peer& seen)
{
    peers_[name] = seen;
}

void leader::soon()
{
    if (settling_) {
        return;
    }
    settling_ = true;
    loop_.after(settle_delay, [this, alive = alive_] {
        if (*alive) {
            settling_ = false;
            settle();
        }
    });
}

void leader::settle()
{
    const std::shared_ptr<bool> alive = alive_;
    const time_point now = boot_clock::now();
    if (scheduler_.fenced()) {
        log_event(log_level::warning, "fenced", {{"fence", static_cast<std::int64_t>(fence())}});
        deposed_();
        return;
    }
    if (may_order(now)) {
        if (now >= place_after_) {
            scheduler_.place(now);
            const time_point placed = boot_clock::now();
            place_after_ = placed + place_rest * (placed - now);
        }
        ask_advice();
    }
    send_starts();
    send_stops();
    log_decisions();
    write_records();
    if (*alive) {
        send_looks();
    }
}

void leader::tick()
{
    loop_.after(tick_period, [this, alive = alive_] {
        if (*alive) {
            tick();
        }
    });
    const time_point now = boot_clock::now();
    scheduler_.wrote(writer_.last_proof());
    scheduler_.tick(now);
    if (now - writer_.last_stored() > pulse_period && !writing_) {
        writing_ = true;
        writer_.add({{pulse_key, std::to_string(self_.fence), 0}}, millis(0),
                    [this, alive = alive_](write_outcome) {
                        if (*alive) {
                            writing_ = false;
                            soon();
                        }
                    });
    }
    check_store();
    look_for_larger_member(now);
    soon();
}

/// Gives the lead to a member that reaches the store where this one doesn't.
void leader::check_store()
{
    const time_point now = boot_clock::now();
    const bool failing = writer_.failing_for(now) > handover_after;
    if (failing) {
        handing_over_ = "the store doesn't answer this member";
    }
    if (handing_over_ != nullptr && !failing && !writer_.is_idle()) {
        writer_.rest(now + handover_rest); // asks as soon as the append under way is answered
    }
    if (handing_over_ != nullptr && now - nominated_at_ > handover_pause &&
        (failing || writer_.is_idle())) {
        nominated_at_ = now;
        nominate_successor();
    }
}

void leader::hand_over(const char* why)
{
    if (handing_over_ == nullptr) {
        handing_over_ = why;
        check_store();
    }
}

const std::pair<const std::string, peer>* leader::best_successor(time_point now) const
{
    return successor_among(peers_, writer_.failing_for(now), now);
}

/// Scheduling is the largest load of all members: the lead goes to where there is room for it.
void leader::look_for_larger_member(time_point now)
{
    constexpr millis settling{1000};     ///< heartbeats of most members have come by then
    constexpr double worth_moving = 1.5; ///< times this member's processor
    if (handing_over_ != nullptr || now - leading_since_ < settling) {
        return;
    }
    const std::pair<const std::string, peer>* best = best_successor(now);
    if (best != nullptr &&
        best->second.processor_share >= worth_moving * settings_.processor_share) {
        hand_over("another member has more processor");
    }
}

void leader::nominate_successor()
{
    const time_point now = boot_clock::now();
    const std::pair<const std::string, peer>* best = best_successor(now);
    if (best == nullptr) {
        nominated_at_ = {}; // looks again at the next tick
        return;
    }
    writer_.rest(now + handover_rest);
    log_event(log_level::info, "successor_asked",
              {{"peer", best->first}, {"reason", std::string(handing_over_)}});
    if (writer_.failing_for(now) == millis(0) && std::string_view(handing_over_) != planned_stop) {
        handing_over_ = nullptr; // asked once; the reason may be gone
        leading_since_ = now;
    }
    Json::Value params;
    params["fence"] = static_cast<Json::UInt64>(self_.fence);
    constexpr millis nominate_timeout{500};
    call_rpc(peer_client_, best->second.address, "succeed", params, nominate_timeout,
             [name = best->first](const std::optional<Json::Value>& answer, const error& e) {
                 if (!answer) {
                     log_event(log_level::warning, "successor_silent",
                               {{"peer", name}, {"reason", e.reason}});
                 }
             });
}

/// Without the store, heartbeats of most members that know of no later claim will do.
bool leader::may_order(time_point now) const
{
    if (now - writer_.last_stored() < order_confidence) {
        return true;
    }
    std::size_t agreeing = 0;
    for (const std::pair<const std::string, peer>& p : peers_) {
        agreeing += now - p.second.heard < peer_life && p.second.fence <= self_.fence ? 1 : 0;
    }
    return agreeing * 2 >= peers_.size();
}

void leader::send_starts()
{
    for (start_order& order : scheduler_.take_starts()) {
        workers_.start(order, start_timeout * order.attempts,
                       [this, alive = alive_, order](order_verdict verdict, std::int64_t clock_ms,
                                                     const error&) {
                           if (*alive) {
                               scheduler_.on_start(order, verdict, clock_ms, boot_clock::now());
                               soon();
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
                    looks_[order.worker].not_before = {};
                    soon();
                }
            });
    }
}

void leader::send_looks()
{
    const time_point now = boot_clock::now();
    if (!may_order(now)) {
        return;
    }
    for (const std::pair<const std::string, worker>& w : scheduler_.workers()) {
        look& l = looks_[w.first];
        if (!l.under_way && now >= l.not_before) {
            send_look(w.first, l);
        }
    }
}

void leader::send_look(const std::string& id, look& l)
{
    const time_point now = boot_clock::now();
    // The first look at a worker learns its clock and what runs there.
    const worker& w = scheduler_.workers().find(id)->second;
    const bool at_once = !w.heard || l.missed > 0 || scheduler_.has_unrecorded_ends(id) ||
                         std::any_of(w.runs.begin(), w.runs.end(), [](const auto& r) {
                             return r.second.phase == run_phase::stop_acknowledged;
                         });
    const millis wait = at_once ? millis(0) : w.runs.empty() ? idle_look_wait : busy_look_wait;
    const std::optional<hold_order> order = scheduler_.hold_for(id, wait, now);
    if (!order) {
        return;
    }
    l.under_way = true;
    workers_.hold(*order, order->wait + look_slack,
                  [this, alive = alive_, order = *order,
                   sent = now](order_verdict verdict, const worker_report& report, const error&) {
                      if (!*alive) {
                          return;
                      }
                      const time_point answered = boot_clock::now();
                      look& done = looks_[order.worker];
                      done.under_way = false;
                      done.missed = verdict == order_verdict::obeyed ? 0 : done.missed + 1;
                      scheduler_.on_hold(order, sent, verdict, report, answered);
                      if (scheduler_.workers().size() > many_workers) {
                          done.not_before = answered + look_spacing;
                      }
                      if (verdict != order_verdict::obeyed ||
                          scheduler_.has_unrecorded_ends(order.worker) || order.wait == millis(0)) {
                          done.not_before = answered + look_again;
                      }
                      soon();
                  });
}

void leader::ask_advice()
{
    const time_point now = boot_clock::now();
    std::vector<std::pair<std::string, std::optional<endpoint>>> callers;
    for (const std::pair<const std::string, peer>& p : peers_) {
        if (now - p.second.heard < peer_life) {
            callers.emplace_back(p.first, p.second.address);
        }
    }
    callers.emplace_back(settings_.name, std::nullopt);
    // The advisor serves one call of a member at a time: one member stays free of long calls.
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const bool reserved = i + 1 == callers.size() && callers.size() > 1;
        ask_one(callers[i].first, callers[i].second, reserved ? short_call : any_call);
    }
}

void leader::ask_one(const std::string& caller_name, const std::optional<endpoint>& address,
                     millis longest)
{
    if (callers_[caller_name].busy) {
        return;
    }
    const std::optional<advice_call> call = scheduler_.next_advice(longest, boot_clock::now());
    if (!call) {
        return;
    }
    callers_[caller_name].busy = true;
    const std::function<void(advice_answer)> answered =
        [this, alive = alive_, caller_name, call = *call](const advice_answer& answer) {
            if (*alive) {
                callers_[caller_name].busy = false;
                scheduler_.on_advice(call, answer, boot_clock::now());
                soon();
            }
        };
    const millis timeout = call->expected + advice_slack;
    if (!address) {
        advice_.advise(call->step, call->workers, timeout, answered);
        return;
    }
    Json::Value body;
    body["step"] = call->step;
    for (const std::string& w : call->workers) {
        body["workers"].append(w);
    }
    body["timeout_ms"] = static_cast<Json::Int64>(timeout.count());
    http_call request;
    request.method = "POST";
    request.path = "/pool/advise";
    request.body = to_text(body);
    request.timeout = timeout + stop_timeout;
    peer_client_.send(*address, std::move(request),
                      [answered](const std::optional<http_reply>& reply, const error& why) {
                          advice_answer answer;
                          answer.why = why;
                          const std::optional<Json::Value> value =
                              reply ? json_from(reply->body) : std::nullopt;
                          if (value && (*value)["good"].asBool()) {
                              answer.good = true;
                              answer.valid = millis((*value)["valid_ms"].asInt64());
                              for (const Json::Value& row : (*value)["approved"]) {
                                  answer.approved.push_back({row[0].asString(), row[1].asString()});
                              }
                          }
                          else if (value) {
                              answer.why.reason = (*value)["reason"].asString();
                          }
                          answered(answer);
                      });
}

void leader::write_records()
{
    if (writing_) {
        return;
    }
    const record_batch batch = scheduler_.take_records(wall_clock_ms());
    if (batch.empty()) {
        return;
    }
    if (batch.records.empty()) {
        scheduler_.recorded(batch);
        return;
    }
    writing_ = true;
    writer_.add(batch.records, millis(0), [this, alive = alive_, batch](write_outcome outcome) {
        if (!*alive) {
            return;
        }
        writing_ = false;
        if (outcome != write_outcome::stored) {
            scheduler_.not_recorded(batch);
            answer_cancels(batch.finals, false);
            return;
        }
        scheduler_.recorded(batch);
        answer_cancels(batch.finals, true);
        if (scheduler_.workers().size() <= many_workers) {
            for (const std::pair<const std::string, std::uint64_t>& end : batch.ends) {
                looks_[end.first].not_before = {};
            }
        }
        soon();
    });
}

void leader::log_decisions()
{
    for (const decision& d : scheduler_.take_decisions()) {
        const std::string kind(name_of(d.kind));
        process_metrics().counter("sesamesill_pool_decisions_total", "Decisions of the leader",
                                  {{"kind", kind}})++;
        if (d.kind == decision_kind::begun) {
            process_metrics()
                .distribution("sesamesill_pool_first_start_seconds",
                              "From acceptance to a job's first start", {{"queue", d.queue}})
                .observe(static_cast<double>(d.age_ms) / ms_a_second);
        }
        if (d.kind == decision_kind::finished) {
            process_metrics()
                .distribution("sesamesill_pool_job_seconds", "From acceptance to a job's end",
                              {{"queue", d.queue}})
                .observe(static_cast<double>(d.age_ms) / ms_a_second);
        }
        log_event(log_level::info, kind,
                  {{"job", d.job},
                   {"queue", d.queue},
                   {"worker", d.worker},
                   {"detail", d.detail},
                   {"age_ms", d.age_ms},
                   {"fence", static_cast<std::int64_t>(self_.fence)}});
    }
}

void leader::submit(const job_spec& spec, std::function<void(submit_answer)> done)
{
    const time_point now = boot_clock::now();
    const auto pending = submits_.find(spec.id);
    if (pending != submits_.end()) {
        pending->second.waiting.push_back(std::move(done));
        return;
    }
    const admission_answer admitted = scheduler_.admit(spec);
    if (admitted.verdict == admission::known) {
        done({submit_verdict::accepted, "known", millis(0)});
        return;
    }
    if (admitted.verdict == admission::accept && writer_.failing_for(now) > store_tolerance) {
        done({submit_verdict::refused, "the store doesn't answer", store_retry});
        return;
    }
    if (admitted.verdict == admission::refuse) {
        log_event(log_level::info, name_of(decision_kind::refused),
                  {{"job", spec.id}, {"reason", admitted.reason}});
        done({submit_verdict::refused, admitted.reason, admitted.retry_after});
        return;
    }
    const std::int64_t wall = wall_clock_ms();
    submits_[spec.id].waiting.push_back(std::move(done));
    writer_.add(
        {scheduler::record_of(spec, wall)}, submit_patience,
        [this, alive = alive_, spec, wall](write_outcome outcome) {
            if (!*alive) {
                return;
            }
            submit_answer answer;
            if (outcome == write_outcome::stored) {
                scheduler_.add(spec, wall, boot_clock::now());
                answer.verdict = submit_verdict::accepted;
            }
            else if (outcome == write_outcome::not_stored) {
                answer = {submit_verdict::refused, "the record could not be stored", store_retry};
            }
            else if (outcome == write_outcome::deposed) {
                answer.verdict = submit_verdict::moved;
            }
            answer_submit(spec.id, answer);
        });
}

void leader::answer_submit(const std::string& id, const submit_answer& answer)
{
    const pending_submit waiting = std::move(submits_[id]);
    submits_.erase(id);
    for (const std::function<void(submit_answer)>& tell : waiting.waiting) {
        tell(answer);
    }
    soon();
}

state_answer leader::state_of(const std::string& id) const
{
    if (submits_.count(id) > 0) {
        return {lookup::found, job_state::queued};
    }
    const std::optional<job_state> state = scheduler_.shown(id);
    return state ? state_answer{lookup::found, *state} : state_answer{lookup::not_known};
}

void leader::cancel(const std::string& id, std::function<void(state_answer)> done)
{
    if (submits_.count(id) > 0) {
        submits_[id].waiting.emplace_back([this, alive = alive_, id, done](const submit_answer& a) {
            if (!*alive || a.verdict == submit_verdict::unknown ||
                a.verdict == submit_verdict::moved) {
                done({lookup::unavailable});
                return;
            }
            cancel(id, done);
        });
        return;
    }
    const cancel_answer answer = scheduler_.cancel(id, boot_clock::now());
    if (answer == cancel_answer::not_known) {
        done({lookup::not_known});
        return;
    }
    const std::optional<job_state> shown = scheduler_.shown(id);
    if (answer == cancel_answer::already_final && shown && is_final(*shown)) {
        done({lookup::found, *shown});
        return;
    }
    cancels_[id].push_back(std::move(done)); // answered with the batch that records it
    soon();
}

void leader::answer_cancels(const std::vector<std::string>& finals, bool stored)
{
    for (const std::string& id : finals) {
        const auto waiting = cancels_.find(id);
        if (waiting == cancels_.end()) {
            continue;
        }
        const std::vector<std::function<void(state_answer)>> answers = std::move(waiting->second);
        cancels_.erase(waiting);
        for (const std::function<void(state_answer)>& answer : answers) {
            answer(stored ? state_answer{lookup::found, job_state::cancelled} : state_answer{});
        }
    }
}

} // namespace sesamesill::pool
