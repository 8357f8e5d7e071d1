// Serves calls of clients, which are forwarded to the leader, and requests of other members.

#include <algorithm>

#include "pool_advice_messages.h"
#include "pool_member_parts.h"
#include "sesamesill/log.h"
#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr millis retry_pause{60};     ///< before the next attempt to forward a request
constexpr millis answer_reserve{250}; ///< part of a client's budget kept for the answer to reach it
/// Timeout of one attempt: a lost leader is replaced within this time. A repeat to the same leader
/// joins the first attempt.
constexpr millis attempt_timeout{600};
constexpr millis congestion_retry_after{2000};

constexpr name_table<submit_verdict, 4> verdict_names{{{submit_verdict::accepted, "accepted"},
                                                       {submit_verdict::refused, "refused"},
                                                       {submit_verdict::unknown, "unknown"},
                                                       {submit_verdict::leader_changed, "moved"}}};

} // namespace

std::string_view name_of(submit_verdict verdict)
{
    return name_in(verdict_names, verdict);
}

namespace {

Json::Value to_json(const submit_answer& a)
{
    Json::Value value;
    value["verdict"] = static_cast<int>(a.verdict);
    value["reason"] = a.reason;
    value["retry_after_ms"] = static_cast<Json::Int64>(a.retry_after.count());
    return value;
}

submit_answer submit_answer_from(const Json::Value& value)
{
    submit_answer a;
    const int verdict = value["verdict"].asInt();
    a.verdict = verdict == static_cast<int>(submit_verdict::accepted)  ? submit_verdict::accepted
                : verdict == static_cast<int>(submit_verdict::refused) ? submit_verdict::refused
                                                                       : submit_verdict::unknown;
    a.reason = value["reason"].asString();
    a.retry_after = millis(value["retry_after_ms"].asInt64());
    return a;
}

Json::Value to_json(const state_answer& a)
{
    Json::Value value;
    value["found"] = static_cast<int>(a.found);
    value["state"] = std::string(name_of(a.state));
    return value;
}

state_answer state_answer_from(const Json::Value& value)
{
    const std::optional<job_state> state = job_state_from(value["state"].asString());
    const int found = value["found"].asInt();
    if (!state || found == static_cast<int>(lookup::unavailable)) {
        return {};
    }
    for (const lookup known : {lookup::found, lookup::refused}) {
        if (found == static_cast<int>(known)) {
            return {known, *state};
        }
    }
    return {lookup::not_known, *state};
}

constexpr int not_leading = 421;     ///< HTTP: misdirected request
constexpr int outcome_unknown = 504; ///< HTTP: gateway time-out

void respond_json(const http_respond& respond, const Json::Value& value)
{
    http_reply reply;
    reply.body = to_text(value);
    respond(std::move(reply));
}

void respond_not_leading(const http_respond& respond)
{
    http_reply reply;
    reply.status = not_leading;
    respond(std::move(reply));
}

std::string query_value(const http_request& request, const char* name)
{
    const auto known = request.query.find(name);
    return known != request.query.end() ? known->second : std::string();
}

} // namespace

void member::parts::serve_submit(const http_request& request, const http_respond& respond)
{
    const std::string fence = query_value(request, "fence");
    if (!fence.empty() && fence != std::to_string(lead->fence())) {
        respond_not_leading(respond);
        return;
    }
    error why;
    const std::optional<job_spec> spec = decode_job_spec(request.body, why);
    if (!spec) {
        why.peer = request.peer;
        log_error("submit_unreadable", why);
        respond_json(respond, to_json(submit_answer{submit_verdict::refused, why.reason}));
        return;
    }
    lead->submit(*spec, query_value(request, "request"), [respond](const submit_answer& a) {
        if (a.verdict == submit_verdict::leader_changed) {
            respond_not_leading(respond);
            return;
        }
        if (a.verdict == submit_verdict::unknown) {
            http_reply reply; // the sender then asks the next leader, which has read the log
            reply.status = outcome_unknown;
            respond(std::move(reply));
            return;
        }
        respond_json(respond, to_json(a));
    });
}

namespace {

/// Returns a callback that passes a leader's answer on. If it has none, the sender asks the next
/// leader.
std::function<void(state_answer)> respond_state(const http_respond& respond)
{
    return [respond](const state_answer& a) {
        if (a.found == lookup::unavailable) {
            respond_not_leading(respond);
            return;
        }
        respond_json(respond, to_json(a));
    };
}

} // namespace

void member::parts::serve_state(const http_request& request, const http_respond& respond)
{
    lead->state_of(query_value(request, "id"), respond_state(respond));
}

void member::parts::serve_waiting(const http_request& request, const http_respond& respond) const
{
    const waiting_answer a = lead->waiting_in(query_value(request, "queue"));
    if (a.found == lookup::unavailable) {
        respond_not_leading(respond);
        return;
    }
    Json::Value value;
    value["count"] = a.count;
    respond_json(respond, value);
}

void member::parts::serve_advise(const http_request& request, const http_respond& respond)
{
    error why;
    const std::optional<advice_request> asked = decode_advice_request(request.body, why);
    if (!asked) {
        why.peer = request.peer;
        log_error("advice_request_unreadable", why);
        http_reply reply;
        reply.status = 400;
        respond(std::move(reply));
        return;
    }
    advice.advise(asked->step, asked->workers, asked->timeout, [respond](const advice_answer& a) {
        http_reply reply;
        reply.body = encode(a);
        respond(std::move(reply));
    });
}

void member::parts::add_rpc_methods()
{
    rpc.add("heartbeat",
            [this](const Json::Value& params, error& why) { return on_heartbeat(params, why); });
    rpc.add("leader", [this](const Json::Value& params, error&) {
        learn_leader(params);
        const Json::Value& silent = params["silent_fence"];
        if (silent.isUInt64() && leader_election.leader() &&
            leader_election.leader()->fence == silent.asUInt64()) {
            heartbeat(); // checks the leader that doesn't answer the other member
        }
        return std::optional<Json::Value>(leader_election.leader()
                                              ? to_json(*leader_election.leader())
                                              : Json::Value(Json::objectValue));
    });
    rpc.add("succeed", [this](const Json::Value& params, error&) {
        const bool newest = leader_election.leader() &&
                            leader_election.leader()->fence <= params["fence"].asUInt64();
        if (newest && !leaving) {
            leader_election.on_nominated(boot_clock::now());
        }
        return std::optional<Json::Value>(Json::Value(newest && !leaving));
    });
}

void member::parts::serve_peers()
{
    add_rpc_methods();
    peer_server.route("POST", "/rpc",
                      [this](const http_request& request, const http_respond& respond) {
                          http_reply reply;
                          reply.body = rpc.handle(request.body);
                          respond(std::move(reply));
                      });
    peer_server.route("POST", "/pool/advise",
                      [this](const http_request& request, const http_respond& respond) {
                          serve_advise(request, respond);
                      });
    peer_server.route("GET", "/pool/configuration",
                      [this](const http_request&, const http_respond& respond) {
                          const bool known = declared != nullptr && !declared->text().empty();
                          http_reply reply;
                          reply.status = known ? 200 : 404;
                          reply.body = known ? declared->text() : std::string();
                          respond(std::move(reply));
                      });
    const auto leading_only = [this](auto handler) {
        return [this, handler](const http_request& request, const http_respond& respond) {
            if (!leads()) {
                respond_not_leading(respond);
                return;
            }
            handler(request, respond);
        };
    };
    peer_server.route(
        "POST", "/pool/submit",
        leading_only([this](const http_request& request, const http_respond& respond) {
            serve_submit(request, respond);
        }));
    peer_server.route(
        "GET", "/pool/state",
        leading_only([this](const http_request& request, const http_respond& respond) {
            serve_state(request, respond);
        }));
    peer_server.route(
        "POST", "/pool/cancel",
        leading_only([this](const http_request& request, const http_respond& respond) {
            lead->cancel(query_value(request, "id"), respond_state(respond));
        }));
    peer_server.route(
        "GET", "/pool/waiting",
        leading_only([this](const http_request& request, const http_respond& respond) {
            serve_waiting(request, respond);
        }));
}

namespace {

/// Passes the leader's answer on. A malformed one tells nothing of the request's outcome.
void finish_forwarded(const forwarded_request& request, const std::string& body)
{
    try {
        request.done(json_from(body), request.maybe_executed);
    }
    catch (const Json::Exception& e) {
        log_error("answer_unreadable",
                  {error_code::corrupt, step::rpc, request.path, std::string(e.what())});
        request.done(std::nullopt, true);
    }
}

} // namespace

void member::parts::forward_request(const std::shared_ptr<forwarded_request>& request)
{
    const time_point now = boot_clock::now();
    const millis left(to_millis(request->until - now));
    if (left <= millis(0)) {
        request->done(std::nullopt, request->maybe_executed);
        return;
    }
    if (leads()) {
        request->serve_locally(request->maybe_executed);
        return;
    }
    const auto retry = [this, request] {
        loop.after(retry_pause, [this, request] { forward_request(request); });
    };
    if (!leader_election.leader() || leader_election.is_own()) {
        retry(); // no leader is known, or this member is just becoming or ceasing to be it
        return;
    }
    http_call call;
    call.method = request->method;
    call.path = request->path;
    if (request->names_fence) {
        call.path += "&fence=" + std::to_string(leader_election.leader()->fence);
    }
    call.body = request->body;
    call.timeout = std::min(left, attempt_timeout);
    if (request->windowed) {
        submit_window.on_sent();
    }
    peers.send(leader_election.leader()->address, std::move(call),
               [this, request, retry, sent = now,
                asked_incarnation = leader_election.leader()->incarnation](
                   const std::optional<http_reply>& reply, const error& why) {
                   if (request->windowed) {
                       const time_point answered = boot_clock::now();
                       submit_window.on_done(millis(to_millis(answered - sent)), reply.has_value(),
                                             answered);
                   }
                   if (reply && reply->status == 200) {
                       finish_forwarded(*request, reply->body);
                       return;
                   }
                   const bool not_executed =
                       reply ? reply->status == not_leading : never_sent(why.code);
                   request->maybe_executed = request->maybe_executed || !not_executed;
                   const bool still_leader =
                       leader_election.leader() &&
                       leader_election.leader()->incarnation == asked_incarnation;
                   if (still_leader && why.code == error_code::unavailable) {
                       leader_election.on_leader_gone(boot_clock::now());
                   }
                   else if (still_leader && why.code == error_code::unreachable) {
                       leader_election.on_leader_unreachable(boot_clock::now());
                   }
                   retry();
               });
}

namespace {

time_point answer_by(millis budget)
{
    return boot_clock::now() + std::max(millis(50), budget - answer_reserve);
}

} // namespace

/// Returns when a client may retry whose job no leader took, by the clients' estimates.
millis member::parts::retry_after_outage_of(const job_spec& spec) const
{
    std::vector<double> estimates;
    for (const step_spec& s : spec.steps) {
        estimates.push_back(static_cast<double>(s.estimate.count()));
    }
    for (const queue_policy& q : config.queues) {
        if (q.name == spec.queue) {
            return retry_after_outage(objective_ms(q, size_of(spec, estimates)),
                                      spread_of(spec.id));
        }
    }
    return retry_after_outage(0, 0);
}

void member::submit(const job_spec& spec, millis budget, std::function<void(submit_answer)> done)
{
    const time_point now = boot_clock::now();
    const time_point arrived = parts_->arrivals.earliest_arrival(now);
    const std::shared_ptr<submission> job =
        std::make_shared<submission>(submission{spec, arrived + budget, false, std::move(done)});
    if (arrived < now && job->until <= now + answer_reserve) {
        job->give_up("the request may have waited until its deadline", congestion_retry_after);
        return;
    }
    parts_->submit(job);
}

/// Hands the job to this member's own leader. If the lead is lost first, the successor knows
/// whether the job is stored.
void member::parts::submit_locally(const std::shared_ptr<submission>& job)
{
    lead->submit(job->spec, "", [this, job](const submit_answer& a) {
        const bool ask_successor =
            a.verdict == submit_verdict::unknown || a.verdict == submit_verdict::leader_changed;
        if (!ask_successor) {
            job->done(a);
            return;
        }
        job->maybe_stored = job->maybe_stored || a.verdict == submit_verdict::unknown;
        if (job->until - boot_clock::now() > answer_reserve + retry_pause) {
            loop.after(retry_pause, [this, job] { submit(job); });
            return;
        }
        job->give_up(a.reason, a.retry_after);
    });
}

void member::parts::submit(const std::shared_ptr<submission>& job)
{
    if (leads()) {
        submit_locally(job);
        return;
    }
    const time_point now = boot_clock::now();
    if (submit_window.free() == 0 || !submit_budget.allows(now)) {
        job->give_up("the leader answers late: too many jobs wait for it", congestion_retry_after);
        return;
    }
    const std::shared_ptr<forwarded_request> request = std::make_shared<forwarded_request>();
    request->windowed = true;
    request->names_fence = true;
    request->maybe_executed = job->maybe_stored;
    request->method = "POST";
    request->path = "/pool/submit?request=" + incarnation + "-" + std::to_string(++forwarded_jobs);
    request->body = encode(job->spec);
    submit_budget.take(static_cast<double>(request->body.size()));
    request->until = answer_by(millis(to_millis(job->until - now)));
    request->serve_locally = [this, job](bool maybe_executed) {
        job->maybe_stored = maybe_executed;
        submit_locally(job);
    };
    request->done = [job, retry = retry_after_outage_of(job->spec)](
                        const std::optional<Json::Value>& answer, bool maybe_executed) {
        if (answer) {
            job->done(submit_answer_from(*answer));
            return;
        }
        job->maybe_stored = maybe_executed;
        job->give_up("no leader answered before the deadline", retry);
    };
    forward_request(request);
}

void member::state_of(const std::string& id, millis budget,
                      const std::function<void(state_answer)>& done)
{
    parts_->ask_leader(
        "GET", "/pool/state?id=" + id, boot_clock::now() + budget,
        [p = parts_.get(), id](const std::function<void(state_answer)>& answered) {
            p->lead->state_of(id, answered);
        },
        done);
}

void member::cancel(const std::string& id, millis budget,
                    const std::function<void(state_answer)>& done)
{
    parts_->ask_leader(
        "POST", "/pool/cancel?id=" + id, boot_clock::now() + budget,
        [p = parts_.get(), id](const std::function<void(state_answer)>& answered) {
            p->lead->cancel(id, answered);
        },
        done);
}

/// Asks the leader of a job, by `ask_own` if it's this member. If the leader has no answer because
/// it may have been replaced, asks the next one.
void member::parts::ask_leader(const std::string& method, const std::string& path, time_point until,
                               const own_question& ask_own,
                               const std::function<void(state_answer)>& done)
{
    if (leads()) {
        ask_own([this, method, path, until, ask_own, done](const state_answer& a) {
            const bool may_retry = until - boot_clock::now() > answer_reserve + retry_pause;
            if (a.found != lookup::unavailable || !may_retry) {
                done(a);
                return;
            }
            loop.after(retry_pause, [this, method, path, until, ask_own, done] {
                ask_leader(method, path, until, ask_own, done);
            });
        });
        return;
    }
    const std::shared_ptr<forwarded_request> request = std::make_shared<forwarded_request>();
    request->method = method;
    request->path = path;
    request->until = answer_by(millis(to_millis(until - boot_clock::now())));
    request->serve_locally = [this, method, path, until, ask_own, done](bool) {
        ask_leader(method, path, until, ask_own, done);
    };
    request->done = [done](const std::optional<Json::Value>& answer, bool) {
        done(answer ? state_answer_from(*answer) : state_answer{});
    };
    forward_request(request);
}

void member::waiting_in(const std::string& queue, millis budget,
                        const std::function<void(waiting_answer)>& done)
{
    parts& p = *parts_;
    if (p.leads()) {
        done(p.lead->waiting_in(queue));
        return;
    }
    const std::shared_ptr<forwarded_request> request = std::make_shared<forwarded_request>();
    request->method = "GET";
    request->path = "/pool/waiting?queue=" + queue;
    request->until = answer_by(budget);
    request->serve_locally = [this, queue, done, until = request->until](bool) {
        waiting_in(queue, millis(to_millis(until - boot_clock::now())) + answer_reserve, done);
    };
    request->done = [done](const std::optional<Json::Value>& answer, bool) {
        done(answer ? waiting_answer{lookup::found, (*answer)["count"].asInt()} : waiting_answer{});
    };
    p.forward_request(request);
}

} // namespace sesamesill::pool
