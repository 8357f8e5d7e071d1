// Passes clients' requests to the leader, follows the log, and takes the lead when it falls vacant.

#include "sesamesill/pool_member.h"

#include <algorithm>
#include <random>

#include "pool_keys.h"
#include "pool_leader.h"
#include "sesamesill/log.h"
#include "sesamesill/names.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr millis heartbeat_period{150};
constexpr millis heartbeat_period_a_member{12}; ///< some 80 heartbeats a second at the leader
constexpr millis standby_pause_a_member{33};    ///< some 30 reads of the log a second in all
constexpr millis heartbeat_timeout{400};
constexpr millis election_period{20};
constexpr millis standby_pause{200};  ///< a standby is at most this far behind the log
constexpr millis retry_pause{60};     ///< before a request is passed on again
constexpr millis answer_reserve{250}; ///< of a client's time, kept for the answer's way
constexpr millis longest_try{600};    ///< of one pass: by then a lost leader is replaced; a
                                      ///< repeat to the same leader joins the first
constexpr millis come_back{1000};     ///< to clients, while the pool has no leader
constexpr millis worker_memory{8000}; ///< entries that expired: longest lease and a margin
constexpr std::uint32_t max_claim_delay_ms = 60; ///< spreads the claims of like members
constexpr millis smaller_member_delay{60}; ///< leaves the claim to a member with more processor

constexpr name_table<submit_verdict, 4> verdict_names{{{submit_verdict::accepted, "accepted"},
                                                       {submit_verdict::refused, "refused"},
                                                       {submit_verdict::unknown, "unknown"},
                                                       {submit_verdict::moved, "moved"}}};

std::string random_text()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

struct known_peer {
    endpoint address;
    double processor_share = 1;
};

struct forgotten_worker {
    worker_entry entry;
    time_point since;
};

/// A request that is passed on until it is answered or its time is over.
struct passing {
    std::string path;
    std::string method;
    std::string body;
    time_point until;
    bool maybe_done = false;               ///< some try had no answer
    std::function<void(millis left)> here; ///< serves it where this member has come to lead
    std::function<void(std::optional<Json::Value>, bool maybe_done)> done;
};

} // namespace

std::string_view name_of(submit_verdict verdict)
{
    return name_in(verdict_names, verdict);
}

struct member::parts {
    event_loop& loop;
    member_settings settings;
    record_log& log;
    worker_gateway& workers;
    advisor& advice;
    http_client peers;
    http_server peer_server;
    rpc_server rpc;
    std::string incarnation = random_text();
    election vote;
    keyed_follower follower;
    configuration config;
    std::map<std::string, known_peer> known_peers; ///< from heartbeats, or from the leader
    std::map<std::string, worker_entry> known_workers;
    std::map<std::string, forgotten_worker> forgotten_workers;
    std::unique_ptr<leader> lead;
    std::function<void()> on_lead;
    bool claiming = false;
    bool leaving = false;
    bool beating = false;

    parts(event_loop& l, member_settings s, record_log& records, worker_gateway& w, advisor& a);

    bool start(error& why);
    void on_record(const keyed_record& record);
    void heartbeat();
    void heartbeat_later();
    void elect();
    void claim();
    void append_claim();
    void take_lead(std::uint64_t claim_offset);
    void lose_lead();
    void learn_leader(const Json::Value& value);
    void learn_peers(const Json::Value& addresses);
    void ask_peers_for_leader();
    void announce(const leader_record& self);
    bool leads() const { return lead != nullptr; }

    void pass_on(const std::shared_ptr<passing>& request);
    void serve_peers();
    std::optional<Json::Value> on_heartbeat(const Json::Value& params, error& why);
    void serve_submit(const http_request& request, const http_respond& respond);
    void serve_advise(const http_request& request, const http_respond& respond);
    std::vector<worker_entry> all_workers() const;
};

member::parts::parts(event_loop& l, member_settings s, record_log& records, worker_gateway& w,
                     advisor& a)
    : loop(l), settings(std::move(s)), log(records), workers(w), advice(a),
      peers(l, settings.name, 16), peer_server(l),
      vote(incarnation, millis(std::hash<std::string>{}(settings.name) % max_claim_delay_ms),
           boot_clock::now()),
      follower(l, records, "pool", {millis(0), standby_pause},
               [this](const keyed_record& r) { on_record(r); })
{
}

namespace {

Json::Value to_json(const leader_record& leader)
{
    Json::Value value;
    value["name"] = leader.name;
    value["incarnation"] = leader.incarnation;
    value["address"] = to_string(leader.address);
    value["fence"] = static_cast<Json::UInt64>(leader.fence);
    return value;
}

} // namespace

/// Takes word of a leader from another member: one that is cut off from the store passes requests
/// on all the same. A claim of one's own rests on the log alone.
void member::parts::learn_leader(const Json::Value& value)
{
    if (!value.isObject() || !value["fence"].isUInt64() || value["fence"].asUInt64() == 0) {
        return;
    }
    const std::optional<leader_record> named =
        leader_from(to_text(value), value["fence"].asUInt64() - 1);
    if (named && (!vote.leader() || vote.leader()->fence < named->fence)) {
        vote.on_leader(*named, boot_clock::now());
        log_event(log_level::info, "leader_told",
                  {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
    }
}

void member::parts::learn_peers(const Json::Value& addresses)
{
    if (!addresses.isObject()) {
        return;
    }
    for (const std::string& name : addresses.getMemberNames()) {
        const std::optional<endpoint> address = endpoint_from(addresses[name][0].asString());
        if (address && name != settings.name) {
            known_peers[name] = {*address, addresses[name][1].asDouble()};
        }
    }
    const bool smaller = std::any_of(known_peers.begin(), known_peers.end(),
                                     [this](const std::pair<const std::string, known_peer>& p) {
                                         return p.second.processor_share > settings.processor_share;
                                     });
    const millis spread(std::hash<std::string>{}(settings.name) % max_claim_delay_ms);
    vote.set_delay(spread + (smaller ? smaller_member_delay : millis(0)));
}

void member::parts::ask_peers_for_leader()
{
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        call_rpc(peers, p.second.address, "leader", Json::Value(Json::objectValue),
                 heartbeat_timeout, [this](const std::optional<Json::Value>& answer, const error&) {
                     if (answer) { // a peer that doesn't answer is one of several asked
                         learn_leader(*answer);
                     }
                 });
    }
}

void member::parts::announce(const leader_record& self)
{
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        call_rpc(peers, p.second.address, "leader", to_json(self), heartbeat_timeout,
                 [](const std::optional<Json::Value>&, const error&) {
                     // The log tells those that this doesn't reach.
                 });
    }
}

void member::parts::on_record(const keyed_record& record)
{
    const time_point now = boot_clock::now();
    vote.on_log_record(now);
    if (record.key != leader_key) {
        return;
    }
    const std::optional<leader_record> named = leader_from(record.value, record.offset);
    if (!named) {
        log_event(log_level::warning, "leader_unreadable",
                  {{"offset", static_cast<std::int64_t>(record.offset)}});
        return;
    }
    vote.on_leader(*named, now);
    log_event(log_level::info, "leader_known",
              {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
}

bool member::parts::start(error& why)
{
    serve_peers();
    if (!peer_server.listen(settings.peer_listen, why)) {
        return false;
    }
    follower.start();
    heartbeat_later();
    loop.every(election_period, [this] { elect(); });
    return true;
}

/// Keeps what the leader and the store get from all members together within bounds.
void member::parts::heartbeat_later()
{
    const std::int64_t count = static_cast<std::int64_t>(known_peers.size()) + 1;
    const millis period = std::max(heartbeat_period, heartbeat_period_a_member * count);
    constexpr int missed_heartbeats = 2;
    vote.set_patience(missed_heartbeats * period + heartbeat_timeout / 2);
    follower.set_pace({millis(0), std::max(standby_pause, standby_pause_a_member * count)});
    loop.after(period, [this] {
        heartbeat();
        heartbeat_later();
    });
}

void member::parts::heartbeat()
{
    if (leads() || !vote.leader() || vote.is_own() || beating) {
        return;
    }
    beating = true;
    Json::Value params;
    params["name"] = settings.name;
    params["address"] = to_string(settings.peer_address);
    params["read_age_ms"] =
        static_cast<Json::Int64>(to_millis(boot_clock::now() - follower.last_read()));
    params["read_took_ms"] = static_cast<Json::Int64>(follower.last_read_took().count());
    params["leaving"] = leaving;
    params["peers_known"] = static_cast<Json::UInt64>(known_peers.size());
    params["processor_share"] = settings.processor_share;
    params["fence"] = static_cast<Json::UInt64>(vote.leader()->fence);
    call_rpc(peers, vote.leader()->address, "heartbeat", params, heartbeat_timeout,
             [this, asked = vote.leader()->incarnation](const std::optional<Json::Value>& answer,
                                                        const error& why) {
                 beating = false;
                 const time_point now = boot_clock::now();
                 if (!vote.leader() || vote.leader()->incarnation != asked) {
                     return;
                 }
                 if (answer) {
                     learn_peers((*answer)["peers"]);
                     learn_leader((*answer)["leader"]);
                 }
                 if (vote.leader()->incarnation != asked) {
                     return;
                 }
                 if (answer && (*answer)["incarnation"].asString() == asked &&
                     (*answer)["leads"].asBool()) {
                     vote.on_contact(now);
                     return;
                 }
                 ask_peers_for_leader();
                 if (answer || why.code == error_code::unavailable) {
                     vote.on_leader_gone(now);
                 }
             });
}

void member::parts::elect()
{
    const time_point now = boot_clock::now();
    for (auto w = forgotten_workers.begin(); w != forgotten_workers.end();) {
        w = now - w->second.since > worker_memory ? forgotten_workers.erase(w) : std::next(w);
    }
    if (!claiming && !leaving && !leads() && follower.is_loaded() && vote.should_claim(now)) {
        claim();
    }
}

/// Claims the lead where the log, read to its end, names no live leader.
void member::parts::claim()
{
    claiming = true;
    follower.pause();
    follower.catch_up([this](bool good) {
        const time_point now = boot_clock::now();
        if (!good || !vote.should_claim(now)) {
            claiming = false;
            if (!good) {
                vote.on_claim_failed(now);
            }
            follower.resume();
            return;
        }
        append_claim();
    });
}

void member::parts::append_claim()
{
    const leader_record self{settings.name, incarnation, settings.peer_address, 0};
    constexpr millis claim_timeout{1000};
    log.append({{leader_key, encode(self), 0}}, follower.next(), claim_timeout,
               [this](const append_result& r) {
                   claiming = false;
                   if (r.verdict == append_verdict::stored) {
                       take_lead(r.first);
                       return;
                   }
                   log_event(log_level::info, "claim_failed",
                             {{"reason", r.why.reason},
                              {"next", static_cast<std::int64_t>(follower.next())}});
                   vote.on_claim_failed(boot_clock::now());
                   follower.resume();
               });
}

std::vector<worker_entry> member::parts::all_workers() const
{
    std::vector<worker_entry> all;
    for (const std::pair<const std::string, worker_entry>& w : known_workers) {
        all.push_back(w.second);
    }
    for (const std::pair<const std::string, forgotten_worker>& w : forgotten_workers) {
        all.push_back(w.second.entry);
    }
    return all;
}

void member::parts::take_lead(std::uint64_t claim_offset)
{
    leader_record self{settings.name, incarnation, settings.peer_address, claim_offset + 1};
    follower.take({{leader_key, encode(self), claim_offset}}, claim_offset + 1);
    lead = std::make_unique<leader>(
        loop, settings, self, log, workers, advice, peers, claim_offset + 1,
        [this, fence = self.fence] {
            loop.after(millis(0), [this, fence] {
                if (leads() && lead->fence() == fence) {
                    lose_lead();
                }
            });
        },
        [this](const std::vector<keyed_record>& records, std::uint64_t end) {
            follower.take(records, end);
        });
    lead->restore(follower.values(), all_workers(), config);
    for (const std::pair<const std::string, forgotten_worker>& w : forgotten_workers) {
        lead->unlist_worker(w.first);
    }
    announce(self);
    if (on_lead) {
        on_lead();
    }
}

void member::parts::lose_lead()
{
    log_event(log_level::warning, "lead_lost",
              {{"fence", static_cast<std::int64_t>(lead->fence())}});
    lead.reset();
    vote.on_claim_failed(boot_clock::now());
    follower.resume();
}

std::optional<Json::Value> member::parts::on_heartbeat(const Json::Value& params, error& why)
{
    const std::optional<endpoint> address = endpoint_from(params["address"].asString());
    if (!address) {
        why = {error_code::invalid, step::rpc, params["name"].asString(), "bad address"};
        return std::nullopt;
    }
    if (leads()) {
        peer seen;
        seen.address = *address;
        seen.heard = boot_clock::now();
        seen.store_read = seen.heard - millis(params["read_age_ms"].asInt64());
        seen.store_read_took = millis(params["read_took_ms"].asInt64());
        seen.leaving = params["leaving"].asBool();
        seen.processor_share = params["processor_share"].asDouble();
        seen.fence = params["fence"].asUInt64();
        lead->on_peer(params["name"].asString(), seen);
    }
    known_peers[params["name"].asString()] = {*address, params["processor_share"].asDouble()};
    Json::Value answer;
    const auto add_peer = [&answer](const std::string& name, const known_peer& p) {
        Json::Value row;
        row.append(to_string(p.address));
        row.append(p.processor_share);
        answer["peers"][name] = row;
    };
    add_peer(settings.name, {settings.peer_address, settings.processor_share});
    if (params["peers_known"].asUInt64() != known_peers.size()) {
        for (const std::pair<const std::string, known_peer>& p : known_peers) {
            add_peer(p.first, p.second);
        }
    }
    if (vote.leader()) {
        answer["leader"] = to_json(*vote.leader());
    }
    answer["incarnation"] = incarnation;
    // A claim under way counts as leading: its record is ahead of the answer.
    answer["leads"] = leads() || claiming;
    return answer;
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
    return {found == static_cast<int>(lookup::found) ? lookup::found : lookup::not_known, *state};
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
    const std::optional<Json::Value> body = json_from(request.body);
    error why{error_code::corrupt, step::rpc, request.peer, "not JSON"};
    const std::optional<job_spec> spec =
        body ? job_spec_from(*body, why) : std::optional<job_spec>();
    if (!spec) {
        log_error("submit_unreadable", why);
        respond_json(respond, to_json(submit_answer{submit_verdict::refused, why.reason}));
        return;
    }
    lead->submit(*spec, [respond](const submit_answer& a) {
        if (a.verdict == submit_verdict::moved) {
            respond_not_leading(respond);
            return;
        }
        if (a.verdict == submit_verdict::unknown) {
            http_reply reply; // the sender asks the next leader, which reads the log
            reply.status = outcome_unknown;
            respond(std::move(reply));
            return;
        }
        respond_json(respond, to_json(a));
    });
}

void member::parts::serve_advise(const http_request& request, const http_respond& respond)
{
    const std::optional<Json::Value> body = json_from(request.body);
    if (!body || !body->isObject()) {
        http_reply reply;
        reply.status = 400;
        respond(std::move(reply));
        return;
    }
    std::vector<std::string> names;
    for (const Json::Value& w : (*body)["workers"]) {
        names.push_back(w.asString());
    }
    advice.advise((*body)["step"].asString(), names, millis((*body)["timeout_ms"].asInt64()),
                  [respond](const advice_answer& a) {
                      Json::Value value;
                      value["good"] = a.good;
                      value["valid_ms"] = static_cast<Json::Int64>(a.valid.count());
                      value["reason"] = a.why.reason;
                      for (const approval& row : a.approved) {
                          Json::Value pair;
                          pair.append(row.worker);
                          pair.append(row.ticket);
                          value["approved"].append(pair);
                      }
                      respond_json(respond, value);
                  });
}

void member::parts::serve_peers()
{
    rpc.add("heartbeat",
            [this](const Json::Value& params, error& why) { return on_heartbeat(params, why); });
    rpc.add("leader", [this](const Json::Value& params, error&) {
        learn_leader(params);
        return std::optional<Json::Value>(vote.leader() ? to_json(*vote.leader())
                                                        : Json::Value(Json::objectValue));
    });
    rpc.add("succeed", [this](const Json::Value& params, error&) {
        const bool newest = vote.leader() && vote.leader()->fence <= params["fence"].asUInt64();
        if (newest && !leaving) {
            vote.on_nominated(boot_clock::now());
        }
        return std::optional<Json::Value>(Json::Value(newest && !leaving));
    });
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
            respond_json(respond, to_json(lead->state_of(query_value(request, "id"))));
        }));
    peer_server.route(
        "POST", "/pool/cancel",
        leading_only([this](const http_request& request, const http_respond& respond) {
            lead->cancel(query_value(request, "id"),
                         [respond](const state_answer& a) { respond_json(respond, to_json(a)); });
        }));
    peer_server.route(
        "GET", "/pool/waiting",
        leading_only([this](const http_request& request, const http_respond& respond) {
            Json::Value value;
            value["count"] = lead->waiting_in(query_value(request, "queue"));
            respond_json(respond, value);
        }));
}

void member::parts::pass_on(const std::shared_ptr<passing>& request)
{
    const time_point now = boot_clock::now();
    const millis left(to_millis(request->until - now));
    if (left <= millis(0)) {
        request->done(std::nullopt, request->maybe_done);
        return;
    }
    if (leads()) {
        request->here(left + answer_reserve);
        return;
    }
    const auto again = [this, request] {
        loop.after(retry_pause, [this, request] { pass_on(request); });
    };
    if (!vote.leader() || vote.is_own()) {
        again(); // no leader yet, or this member's own lead is beginning or ending
        return;
    }
    http_call call;
    call.method = request->method;
    call.path = request->path;
    call.body = request->body;
    call.timeout = std::min(left, longest_try);
    peers.send(vote.leader()->address, std::move(call),
               [this, request, again, asked = vote.leader()->incarnation](
                   const std::optional<http_reply>& reply, const error& why) {
                   if (reply && reply->status == 200) {
                       request->done(json_from(reply->body), request->maybe_done);
                       return;
                   }
                   const bool not_done =
                       reply ? reply->status == not_leading : why.code == error_code::unavailable;
                   request->maybe_done = request->maybe_done || !not_done;
                   if (!reply && not_done && vote.leader() && vote.leader()->incarnation == asked) {
                       vote.on_leader_gone(boot_clock::now());
                   }
                   again();
               });
}

member::member(event_loop& loop, member_settings settings, record_log& log, worker_gateway& workers,
               advisor& advice)
    : parts_(std::make_unique<parts>(loop, std::move(settings), log, workers, advice))
{
}

member::~member() = default;

bool member::start(error& why)
{
    return parts_->start(why);
}

void member::configure(const configuration& config)
{
    parts_->config = config;
    if (parts_->leads()) {
        parts_->lead->configure(config);
    }
}

void member::list_worker(const worker_entry& entry)
{
    parts_->known_workers[entry.id] = entry;
    parts_->forgotten_workers.erase(entry.id);
    if (parts_->leads()) {
        parts_->lead->list_worker(entry);
    }
}

void member::unlist_worker(const std::string& id)
{
    const auto known = parts_->known_workers.find(id);
    if (known == parts_->known_workers.end()) {
        return;
    }
    parts_->forgotten_workers[id] = {known->second, boot_clock::now()};
    parts_->known_workers.erase(known);
    if (parts_->leads()) {
        parts_->lead->unlist_worker(id);
    }
}

void member::directory_known(time_point begun)
{
    if (parts_->leads()) {
        parts_->lead->directory_known(begun);
    }
}

void member::on_lead(std::function<void()> leads)
{
    parts_->on_lead = std::move(leads);
}

bool member::is_leader() const
{
    return parts_->leads();
}

std::size_t member::members() const
{
    return parts_->known_peers.size() + 1;
}

bool member::ready() const
{
    return !parts_->leaving && parts_->config.version > 0 && parts_->follower.is_loaded() &&
           parts_->vote.leader().has_value();
}

void member::leave()
{
    parts_->leaving = true;
    if (parts_->leads()) {
        parts_->lead->hand_over(planned_stop);
    }
}

namespace {

time_point answer_by(millis budget)
{
    return boot_clock::now() + std::max(millis(50), budget - answer_reserve);
}

} // namespace

void member::submit(const job_spec& spec, millis budget, std::function<void(submit_answer)> done)
{
    parts& p = *parts_;
    if (p.leads()) {
        const time_point until = boot_clock::now() + budget;
        p.lead->submit(spec, [this, spec, until, done = std::move(done)](const submit_answer& a) {
            const millis left(to_millis(until - boot_clock::now()));
            const bool ask_successor =
                a.verdict == submit_verdict::unknown || a.verdict == submit_verdict::moved;
            if (ask_successor && left > answer_reserve + retry_pause) {
                // The lead was lost meanwhile; the successor knows whether the job is stored.
                parts_->loop.after(retry_pause, [this, spec, left, done] {
                    submit(spec, left - retry_pause, done);
                });
                return;
            }
            done(a);
        });
        return;
    }
    const std::shared_ptr<passing> request = std::make_shared<passing>();
    request->method = "POST";
    request->path = "/pool/submit";
    request->body = to_text(pool::to_json(spec));
    request->until = answer_by(budget);
    request->here = [this, spec, done](millis left) { submit(spec, left, done); };
    request->done = [done](const std::optional<Json::Value>& answer, bool maybe_done) {
        if (answer) {
            done(submit_answer_from(*answer));
            return;
        }
        done({maybe_done ? submit_verdict::unknown : submit_verdict::refused,
              "no leader answered in time", come_back});
    };
    p.pass_on(request);
}

void member::state_of(const std::string& id, millis budget,
                      const std::function<void(state_answer)>& done)
{
    parts& p = *parts_;
    if (p.leads()) {
        done(p.lead->state_of(id));
        return;
    }
    const std::shared_ptr<passing> request = std::make_shared<passing>();
    request->method = "GET";
    request->path = "/pool/state?id=" + id;
    request->until = answer_by(budget);
    request->here = [this, id, done](millis left) { state_of(id, left, done); };
    request->done = [done](const std::optional<Json::Value>& answer, bool) {
        done(answer ? state_answer_from(*answer) : state_answer{});
    };
    p.pass_on(request);
}

void member::cancel(const std::string& id, millis budget, std::function<void(state_answer)> done)
{
    parts& p = *parts_;
    if (p.leads()) {
        p.lead->cancel(id, std::move(done));
        return;
    }
    const std::shared_ptr<passing> request = std::make_shared<passing>();
    request->method = "POST";
    request->path = "/pool/cancel?id=" + id;
    request->until = answer_by(budget);
    request->here = [this, id, done](millis left) { cancel(id, left, done); };
    request->done = [done](const std::optional<Json::Value>& answer, bool) {
        done(answer ? state_answer_from(*answer) : state_answer{});
    };
    p.pass_on(request);
}

void member::waiting_in(const std::string& queue, millis budget,
                        const std::function<void(waiting_answer)>& done)
{
    parts& p = *parts_;
    if (p.leads()) {
        done({lookup::found, p.lead->waiting_in(queue)});
        return;
    }
    const std::shared_ptr<passing> request = std::make_shared<passing>();
    request->method = "GET";
    request->path = "/pool/waiting?queue=" + queue;
    request->until = answer_by(budget);
    request->here = [this, queue, done](millis left) { waiting_in(queue, left, done); };
    request->done = [done](const std::optional<Json::Value>& answer, bool) {
        done(answer ? waiting_answer{lookup::found, (*answer)["count"].asInt()} : waiting_answer{});
    };
    p.pass_on(request);
}

} // namespace sesamesill::pool
