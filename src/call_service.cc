// The path of a call: caller, entry, (owner,) executor, and back.

#include "call_service.h"

#include <algorithm>

#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis dispatch_interval{2};

http_reply done_reply(const std::string& id, const std::string& body)
{
    Json::Value answer;
    answer["outcome"] = std::string(name_of(outcome::done));
    answer["request"] = id;
    answer["body"] = body;
    return json_reply(200, answer);
}

millis left_until(time_point until)
{
    return std::max(millis(1), std::chrono::duration_cast<millis>(until - boot_clock::now()));
}

} // namespace

call_service::call_service(event_loop& loop, http_client& client, cell_service& cell,
                           key_service& keys, document_service& documents)
    : loop_(loop), client_(client), cell_(cell), keys_(keys), documents_(documents)
{
    cell_.on_change([this] { update_executors(); });
    loop_.every(dispatch_interval, [this] {
        std::vector<pending_pointer> calls;
        calls.swap(waiting_);
        for (const pending_pointer& call : calls) {
            dispatch(call);
        }
    });
}

void call_service::serve(http_server& callers, http_server& peers)
{
    callers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, false);
    });
    peers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, true);
    });
}

void call_service::receive(const http_request& request, const http_respond& respond, bool forwarded)
{
    error why{error_code::unavailable, step::document, "", "no document is in force yet"};
    if (!documents_.current() || !cell_.ready()) {
        respond(ending_reply(outcome::not_run, why));
        return;
    }
    const std::optional<Json::Value> body = json_from(request.body);
    why = {error_code::invalid, step::admission, "", "body: must be a JSON object"};
    const std::optional<submission> what =
        body ? submission_from(*body, *documents_.current(), why) : std::nullopt;
    if (!what || what->kind != work_kind::call) {
        respond(error_reply(400, what ? error{error_code::invalid, step::admission, "",
                                              "class: not a class of calls"}
                                      : why));
        return;
    }
    const pending_pointer call = std::make_shared<pending_call>();
    call->what = *what;
    call->id = request_id(what->tenant, what->key);
    call->forwarded = forwarded;
    call->until = boot_clock::now() + what->deadline;
    call->respond = respond;
    ++in_flight_;
    if (what->idempotent) {
        dispatch(call);
    }
    else {
        receive_once_only(call);
    }
}

void call_service::receive_once_only(const pending_pointer& call)
{
    const member owner = *cell_.owner_of(call->id);
    if (owner.name != cell_.self()) {
        if (call->forwarded) {
            finish(call, ending_reply(outcome::not_run, {error_code::not_owner, step::routing,
                                                         owner.name, "the key has another owner"}));
            return;
        }
        forward(call, owner);
        return;
    }
    keys_.begin(call->id, call->until,
                [this, call](const key_answer& answer) { take_verdict(call, answer); });
}

void call_service::take_verdict(const pending_pointer& call, const key_answer& answer)
{
    switch (answer.result) {
    case verdict::run:
        call->once_only = true;
        dispatch(call);
        break;
    case verdict::replay:
        finish(call, done_reply(call->id, answer.body));
        break;
    case verdict::unknown:
        finish(call, ending_reply(outcome::unknown, answer.why));
        break;
    case verdict::not_run:
        finish(call, ending_reply(outcome::not_run, answer.why));
        break;
    }
}

void call_service::end_key(const pending_pointer& call, outcome ending, const std::string& body)
{
    if (call->once_only) {
        keys_.end(call->id, ending, body);
    }
}

void call_service::forward(const pending_pointer& call, const member& to)
{
    http_call passed;
    passed.method = "POST";
    passed.path = "/v1/calls";
    Json::Value body = to_json(call->what);
    body["deadline_ms"] = static_cast<Json::Int64>(left_until(call->until).count());
    passed.body = to_text(body);
    passed.timeout = left_until(call->until) + millis(50);
    client_.send(to.peer_address, std::move(passed),
                 [this, call, to](const std::optional<http_reply>& reply, const error& why) {
                     if (reply) {
                         finish(call, {reply->status, reply->body, {}, "application/json"});
                         return;
                     }
                     const bool never_sent = why.code == error_code::unavailable;
                     finish(call, ending_reply(never_sent ? outcome::not_run : outcome::unknown,
                                               {why.code, step::routing, to.name, why.reason}));
                 });
}

void call_service::dispatch(const pending_pointer& call)
{
    const std::string& service = documents_.current()->classes.at(call->what.work_class).service;
    executor_state* executor = free_executor(service);
    if (executor != nullptr) {
        send(call, *executor);
        return;
    }
    if (boot_clock::now() >= call->until) {
        end_key(call, outcome::not_run, "");
        finish(call, ending_reply(outcome::not_run, {error_code::timeout, step::queueing, "",
                                                     "no free slot before the deadline"}));
        return;
    }
    waiting_.push_back(call);
}

void call_service::send(const pending_pointer& call, executor_state& executor)
{
    ++executor.busy;
    ++call->attempt;
    http_call request;
    request.method = "POST";
    request.path = "/calls";
    request.body = call->what.body;
    request.timeout = left_until(call->until);
    request.headers = {
        {"X-Request-Id", call->id},      {"X-Attempt", std::to_string(call->attempt)},
        {"X-Tenant", call->what.tenant}, {"X-Class", call->what.work_class},
        {"X-Key", call->what.key},       {"X-Idempotent", call->what.idempotent ? "yes" : "no"}};
    const std::string name = executor.target.name;
    client_.send(executor.target.address, std::move(request),
                 [this, call, name](const std::optional<http_reply>& reply, const error& why) {
                     const auto found = executors_.find(name);
                     if (found != executors_.end()) {
                         --found->second.busy;
                     }
                     if (reply && reply->status == 200) {
                         end_key(call, outcome::done, reply->body);
                         finish(call, done_reply(call->id, reply->body));
                         return;
                     }
                     const bool never_started = reply ? reply->headers.count("x-not-started") > 0
                                                      : why.code == error_code::unavailable;
                     const bool again = never_started || call->what.idempotent;
                     if (again && boot_clock::now() < call->until) {
                         waiting_.push_back(call);
                         return;
                     }
                     const outcome ending = never_started ? outcome::not_run : outcome::unknown;
                     end_key(call, ending, "");
                     finish(call, ending_reply(ending, {error_code::timeout, step::dispatch, name,
                                                        reply ? reply->body : why.reason}));
                 });
}

void call_service::finish(const pending_pointer& call, const http_reply& reply)
{
    --in_flight_;
    call->respond(reply);
}

void call_service::update_executors()
{
    std::map<std::string, executor_state> kept;
    for (const vm& v : cell_.vms()) {
        if (v.role != vm_role::executor || v.state != vm_state::live ||
            !cell_.may_act(shard_of(v))) {
            continue;
        }
        executor_state& e = kept[v.name];
        e.target = v;
        const auto before = executors_.find(v.name);
        e.busy = before != executors_.end() ? before->second.busy : 0;
    }
    executors_.swap(kept);
}

call_service::executor_state* call_service::free_executor(const std::string& service)
{
    executor_state* best = nullptr;
    for (std::pair<const std::string, executor_state>& entry : executors_) {
        executor_state& e = entry.second;
        if (e.target.service == service && e.busy < e.target.slots &&
            (best == nullptr || e.busy < best->busy)) {
            best = &e;
        }
    }
    return best;
}

} // namespace sesamesill
