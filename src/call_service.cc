// Path of a call: from the caller to an entry, optionally to the owner of its key, optionally to
// the owner of an executor, to the executor, and back.

#include "call_service.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis expiry_tick{10};
constexpr millis answer_allowance{50}; ///< for the answer that a peer sends at the deadline
constexpr millis reroute_interval{50};
constexpr std::int32_t max_unstarted_attempts = 4;
constexpr char not_started_header[] = "X-Not-Started";
constexpr char load_header[] = "X-Load";

http_reply done_reply(const std::string& id, const std::string& body)
{
    Json::Value answer;
    answer["outcome"] = std::string(name_of(outcome::done));
    answer["request"] = id;
    answer["body"] = body;
    return json_reply(200, answer);
}

millis time_left_until(time_point deadline)
{
    return std::max(millis(1), std::chrono::duration_cast<millis>(deadline - boot_clock::now()));
}

std::optional<std::int64_t> number_in(const http_headers& headers, const char* name)
{
    const auto found = headers.find(name);
    std::int64_t value = 0;
    if (found == headers.end()) {
        return std::nullopt;
    }
    const char* const end = found->second.data() + found->second.size();
    const std::from_chars_result read = std::from_chars(found->second.data(), end, value);
    return read.ec == std::errc() && read.ptr == end ? std::optional<std::int64_t>(value)
                                                     : std::nullopt;
}

std::string text_of(const service_load& load)
{
    return std::to_string(load.free) + "," + std::to_string(load.slots) + "," +
           std::to_string(load.waiting) + "," + std::to_string(load.wait.count());
}

/// Returns the load that a peer reports with its answer, or nothing.
std::optional<service_load> load_in(const http_headers& headers)
{
    const auto found = headers.find("x-load");
    if (found == headers.end()) {
        return std::nullopt;
    }
    int numbers[4] = {};
    const char* at = found->second.data();
    const char* const end = at + found->second.size();
    for (int& number : numbers) {
        const std::from_chars_result read = std::from_chars(at, end, number);
        if (read.ec != std::errc() || number < 0) {
            return std::nullopt;
        }
        at = read.ptr == end ? end : read.ptr + 1;
    }
    return service_load{numbers[0], numbers[1], numbers[2], millis(numbers[3])};
}

} // namespace

call_service::call_service(event_loop& loop, http_client& client, cell_service& cell,
                           key_service& keys, document_service& documents,
                           const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), keys_(keys), documents_(documents),
      settings_(settings), pool_(loop, client, cell, settings), loads_(cell, settings),
      admission_(settings), limit_retries_(!is_disabled(settings, "retry_budget")),
      random_(XXH3_64bits(settings.name.data(), settings.name.size()))
{
    const auto configure = [this] {
        if (documents_.current()) {
            admission_.configure(*documents_.current(), cell_.members().size());
            budget_.set_ratio(documents_.current()->retry.budget_ratio);
        }
    };
    documents_.on_change(configure);
    cell_.on_change(configure);
    loads_.share([this] { return summary(); },
                 [this] {
                     admission_.set_peer_demand(cell_.members().size(), loads_.peers(),
                                                boot_clock::now());
                 });
    pool_.on_free([this](const std::string& service) { dispatch_waiting(service); });
    loop_.every(expiry_tick, [this] { end_expired(); });
}

void call_service::serve(http_server& callers, http_server& peers)
{
    callers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, call_source::caller);
    });
    peers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, call_source::key_owner);
    });
    peers.route("POST", "/v1/dispatch", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, call_source::executor_owner);
    });
}

void call_service::receive(const http_request& request, const http_respond& respond,
                           call_source source)
{
    if (!documents_.current() || !cell_.ready()) {
        // The reply has no outcome because an earlier attempt of the request may have run.
        http_reply reply = error_reply(
            503, {error_code::unavailable, step::document, "", "no document is in force yet"});
        reply.headers[not_started_header] = "1";
        respond(reply);
        return;
    }
    error why;
    const pending_pointer call = read(request, source, why);
    if (call == nullptr) {
        respond(error_reply(400, why));
        return;
    }
    call->respond = respond;
    ++in_flight_;
    if (source != call_source::executor_owner && !call->submitted.idempotent) {
        receive_once_only(call);
        return;
    }
    if (source == call_source::executor_owner || !refuse_for_rate(call)) {
        route_call(call);
    }
}

call_service::pending_pointer call_service::read(const http_request& request, call_source source,
                                                 error& why) const
{
    const environment& document = *documents_.current();
    if (source != call_source::caller) {
        const auto cell = request.headers.find("x-environment");
        if (cell == request.headers.end() || cell->second != settings_.environment) {
            why = {error_code::conflict, step::routing, request.peer,
                   "x-environment: the peer is a member of another cell"};
            return nullptr;
        }
        const std::int64_t hops = number_in(request.headers, "x-hop").value_or(0);
        const std::int64_t max_allowed = source == call_source::key_owner ? max_hops : max_hops + 1;
        if (hops < 1 || hops > max_allowed) {
            why = {error_code::invalid, step::routing, request.peer, "x-hop: forwarded too often"};
            return nullptr;
        }
    }
    why = {error_code::invalid, step::admission, "", "body: must be a JSON object"};
    const std::optional<Json::Value> body = json_from(request.body);
    std::optional<submission> submitted =
        body ? submission_from(*body, document, why) : std::nullopt;
    if (!submitted) {
        return nullptr;
    }
    if (submitted->kind != work_kind::call) {
        why.reason = "class: must be a class of calls";
        return nullptr;
    }
    pending_pointer call = std::make_shared<pending_call>();
    const class_policy& policy = document.classes.at(submitted->work_class);
    const std::int64_t header_deadline_ms =
        number_in(request.headers, "x-deadline-ms").value_or(submitted->deadline.count());
    call->deadline = boot_clock::now() + std::min(submitted->deadline, millis(header_deadline_ms));
    call->submitted = std::move(*submitted);
    call->id = request_id(call->submitted.organisation, call->submitted.key);
    call->raw_body = request.body;
    call->service = policy.service;
    call->max_attempts = std::max(1, policy.max_attempts);
    call->source = source;
    return call;
}

void call_service::receive_once_only(const pending_pointer& call)
{
    const std::optional<member> owner = cell_.owner_of(call->id);
    if (owner && owner->name == cell_.self()) {
        begin_key(call);
        return;
    }
    const error why{error_code::not_owner, step::routing, owner ? owner->name : "",
                    "the key is owned by another member"};
    if (call->source != call_source::caller) {
        http_reply reply = error_reply(503, why);
        reply.headers[not_started_header] = "1";
        finish(call, reply);
        return;
    }
    if (boot_clock::now() >= call->deadline) {
        end_call(call, outcome::unknown, why);
        return;
    }
    if (owner) {
        forward_to_key_owner(call, *owner);
    }
    else {
        loop_.after(reroute_interval, [this, call] { receive_once_only(call); });
    }
}

void call_service::begin_key(const pending_pointer& call)
{
    // A refusal reports that the work did not run, which is known only of a key that was never
    // used.
    if (keys_.is_unused(call->id) && refuse_for_rate(call)) {
        return;
    }
    keys_.begin(call->id, call->deadline,
                [this, call](const key_answer& answer) { on_verdict(call, answer); });
}

void call_service::on_verdict(const pending_pointer& call, const key_answer& answer)
{
    switch (answer.result) {
    case verdict::run:
        call->once_only = true;
        route_call(call);
        break;
    case verdict::replay:
        finish(call, done_reply(call->id, answer.body));
        break;
    case verdict::unknown:
        end_call(call, outcome::unknown, answer.why);
        break;
    case verdict::not_run:
        end_call(call, outcome::not_run, answer.why);
        break;
    }
}

void call_service::end_key(const pending_pointer& call, outcome final_outcome,
                           const std::string& body)
{
    if (call->once_only) {
        keys_.end(call->id, final_outcome, body);
    }
}

bool call_service::refuse_for_rate(const pending_pointer& call)
{
    const std::optional<micros> wait = admission_.refuse_for_rate(
        call->submitted.organisation, call->submitted.work_class, boot_clock::now());
    if (wait) {
        refuse(call,
               {error_code::overload, step::admission, "",
                "rate limit of the organisation or the class exceeded"},
               *wait, 429);
    }
    return wait.has_value();
}

void call_service::route_call(const pending_pointer& call)
{
    const time_point now = boot_clock::now();
    if (now >= call->deadline) {
        end_call(call, outcome::not_run,
                 {error_code::timeout, step::queueing, "", "no free slot before the deadline"});
        return;
    }
    // Calls that wait already go first.
    if (admission_.waiting(call->service) == 0 && send(call)) {
        return;
    }
    const service_load load =
        load_of(call->service, call->submitted.organisation, call->submitted.work_class);
    const local_capacity local{0, load.slots, load.wait};
    const std::int32_t hops = call->source == call_source::executor_owner ? max_hops : 0;
    const route chosen = choose_route(local, hops, call->service, loads_.peers(), now, random_);
    const std::optional<micros> retry_delay = admission_.refuse_for_deadline(
        chosen.wait, pool_.latency(call->service), call->deadline - now);
    if (chosen.kind == route_kind::peer && retry_delay) {
        refuse(call,
               {error_code::overload, step::routing, chosen.peer,
                "expected wait exceeds the deadline"},
               *retry_delay, 503);
    }
    else if (chosen.kind == route_kind::peer) {
        forward_to_executor_owner(call, chosen.peer);
    }
    else if (chosen.kind == route_kind::queue) {
        enqueue(call);
    }
    else if (call->source == call_source::executor_owner) {
        refuse(call,
               {error_code::not_owner, step::routing, "",
                "this member has no executor of the service"},
               reroute_interval, 503);
    }
    else {
        loop_.after(reroute_interval, [this, call] { route_call(call); });
    }
}

void call_service::enqueue(const pending_pointer& call)
{
    const time_point now = boot_clock::now();
    const latency_estimate& latency = pool_.latency(call->service);
    const micros wait =
        admission_.wait_of(call->service, call->submitted.organisation, call->submitted.work_class,
                           pool_.usable(call->service), latency);
    const std::optional<micros> retry_delay =
        admission_.refuse_for_deadline(wait, latency, call->deadline - now);
    if (retry_delay) {
        refuse(call,
               {error_code::overload, step::queueing, "", "expected wait exceeds the deadline"},
               *retry_delay, 503);
        return;
    }
    const std::uint64_t id = next_id_++;
    if (!admission_.queue(call->service)
             .push(
                 {id, call->submitted.organisation, call->submitted.work_class, call->deadline})) {
        refuse(call, {error_code::overload, step::queueing, "", "the queue of the class is full"},
               wait, 503);
        return;
    }
    waiting_.emplace(id, call);
}

void call_service::dispatch_waiting(const std::string& service)
{
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    call_queue& queue = admission_.queue(service);
    while (queue.size() > 0 && pool_.has_free(service)) {
        const auto next = waiting_.find(*queue.pop());
        const pending_pointer call = next->second;
        waiting_.erase(next);
        if (boot_clock::now() + pool_.latency(service).bound() >= call->deadline) {
            end_call(call, outcome::not_run,
                     {error_code::timeout, step::queueing, "",
                      "a free slot came too late to end before the deadline"});
        }
        else if (!send(call)) {
            enqueue(call);
            break;
        }
    }
    dispatching_ = false;
}

void call_service::end_expired()
{
    for (const std::uint64_t id : admission_.take_expired(boot_clock::now())) {
        const auto found = waiting_.find(id);
        const pending_pointer call = found->second;
        waiting_.erase(found);
        end_call(call, outcome::not_run,
                 {error_code::timeout, step::queueing, "", "no free slot before the deadline"});
    }
}

bool call_service::send(const pending_pointer& call)
{
    http_call request;
    request.method = "POST";
    request.path = "/calls";
    request.body = call->submitted.body;
    const micros time_left = call->deadline - boot_clock::now();
    const micros limit = call->submitted.idempotent
                             ? attempt_timeout(time_left, call->lost + 1, call->max_attempts,
                                               pool_.latency(call->service).bound())
                             : time_left;
    request.timeout = std::max(millis(1), std::chrono::duration_cast<millis>(limit));
    const auto policy = documents_.current()->services.find(call->service);
    if (policy != documents_.current()->services.end()) {
        request.connect_timeout = policy->second.connect_timeout;
        request.first_byte_timeout = policy->second.first_byte_timeout;
    }
    request.headers = {{"X-Request-Id", call->id},
                       {"X-Attempt", std::to_string(call->attempt + 1)},
                       {"X-Organisation", call->submitted.organisation},
                       {"X-Class", call->submitted.work_class},
                       {"X-Key", call->submitted.key},
                       {"X-Idempotent", call->submitted.idempotent ? "yes" : "no"}};
    const bool sent =
        pool_.send(call->service, call->last_executor, std::move(request), call->deadline,
                   [this, call](const attempt_result& result) { on_attempt_result(call, result); });
    if (sent && ++call->attempt == 1) {
        budget_.on_first_attempt();
    }
    return sent;
}

void call_service::on_attempt_result(const pending_pointer& call, const attempt_result& result)
{
    call->last_executor = result.executor;
    if (result.end == attempt_outcome::answered) {
        on_executor_answer(call, result);
        return;
    }
    retry_or_end(call, result.end, result.why);
}

void call_service::on_executor_answer(const pending_pointer& call, const attempt_result& result)
{
    constexpr int first_server_error = 500;
    if (result.reply.status == 200) {
        end_key(call, outcome::done, result.reply.body);
        finish(call, done_reply(call->id, result.reply.body));
        return;
    }
    const error why{error_code::internal, step::answer, result.executor,
                    "the executor answered " + std::to_string(result.reply.status)};
    if (result.reply.status >= first_server_error && call->submitted.idempotent) {
        retry_or_end(call, attempt_outcome::lost, why);
        return;
    }
    end_call(call, outcome::failed, why);
}

void call_service::retry_or_end(const pending_pointer& call, attempt_outcome end, const error& why)
{
    call->lost += end == attempt_outcome::lost ? 1 : 0;
    const bool attempts_left = call->lost < call->max_attempts &&
                               call->attempt < call->max_attempts + max_unstarted_attempts;
    const bool may_retry = is_repeatable(call->submitted.idempotent, end) && attempts_left &&
                           boot_clock::now() < call->deadline &&
                           (!limit_retries_ || budget_.try_acquire());
    if (!may_retry) {
        end_call(call, outcome::not_run, why);
        return;
    }
    if (end == attempt_outcome::not_started) {
        route_call(call);
        return;
    }
    const micros wait = backoff_after(call->attempt, documents_.current()->retry, random_);
    loop_.after(std::chrono::duration_cast<millis>(wait), [this, call] { route_call(call); });
}

void call_service::refuse(const pending_pointer& call, const error& why, micros wait, int status)
{
    const bool may_have_run = call->lost > 0;
    end_key(call, may_have_run ? outcome::unknown : outcome::not_run, "");
    http_reply reply = outcome_reply(may_have_run ? outcome::unknown : outcome::not_run, why);
    if (!may_have_run) {
        reply.status = status;
        reply.headers[not_started_header] = "1";
    }
    reply.headers["Retry-After"] = retry_after(wait);
    finish(call, std::move(reply));
}

void call_service::end_call(const pending_pointer& call, outcome final_outcome, const error& why)
{
    const bool may_have_run = final_outcome == outcome::not_run && call->lost > 0;
    const outcome reported_outcome = may_have_run ? outcome::unknown : final_outcome;
    end_key(call, reported_outcome, "");
    http_reply reply = outcome_reply(reported_outcome, why);
    if (reported_outcome == outcome::not_run) {
        reply.headers[not_started_header] = "1";
    }
    finish(call, std::move(reply));
}

void call_service::finish(const pending_pointer& call, http_reply reply)
{
    --in_flight_;
    if (call->source == call_source::caller) {
        reply.headers.erase(not_started_header);
    }
    else if (call->source == call_source::executor_owner) {
        reply.headers[load_header] = text_of(
            load_of(call->service, call->submitted.organisation, call->submitted.work_class));
    }
    call->respond(std::move(reply));
}

http_call call_service::forwarded_call(const pending_call& call, const char* path) const
{
    http_call forwarded;
    forwarded.method = "POST";
    forwarded.path = path;
    forwarded.body = call.raw_body;
    const millis time_left = time_left_until(call.deadline);
    forwarded.headers = {{"X-Hop", call.source == call_source::caller ? "1" : "2"},
                         {"X-Environment", settings_.environment},
                         {"X-Deadline-Ms", std::to_string(time_left.count())}};
    forwarded.timeout = time_left + answer_allowance;
    return forwarded;
}

void call_service::forward_to_key_owner(const pending_pointer& call, const member& owner)
{
    client_.send(owner.peer_address, forwarded_call(*call, "/v1/calls"),
                 [this, call, owner](const std::optional<http_reply>& reply, const error&) {
                     const bool rejected = reply && reply->headers.count("x-not-started") > 0 &&
                                           reply->headers.count("retry-after") == 0 &&
                                           reply->status == 503 &&
                                           reply->body.find("\"outcome\"") == std::string::npos;
                     if (reply && !rejected) {
                         http_reply relayed{reply->status, reply->body, {}, "application/json"};
                         const auto retry_delay = reply->headers.find("retry-after");
                         if (retry_delay != reply->headers.end()) {
                             relayed.headers["Retry-After"] = retry_delay->second;
                         }
                         finish(call, std::move(relayed));
                         return;
                     }
                     // The key makes a repetition safe, also if its owner has changed meanwhile.
                     loop_.after(reroute_interval, [this, call] { receive_once_only(call); });
                 });
}

void call_service::forward_to_executor_owner(const pending_pointer& call, const std::string& peer)
{
    const std::vector<member>& members = cell_.members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&peer](const member& m) { return m.name == peer; });
    if (found == members.end()) {
        loads_.peers().on_unreachable(peer);
        loop_.after(reroute_interval, [this, call] { route_call(call); });
        return;
    }
    loads_.peers().on_forwarded(peer, call->service);
    if (++call->attempt == 1) {
        budget_.on_first_attempt();
    }
    client_.send(
        found->peer_address, forwarded_call(*call, "/v1/dispatch"),
        [this, call, to = *found](const std::optional<http_reply>& reply, const error& why) {
            on_peer_answer(call, to, reply, why);
        });
}

void call_service::on_peer_answer(const pending_pointer& call, const member& peer,
                                  const std::optional<http_reply>& reply, const error& why)
{
    if (!reply) {
        loads_.peers().on_unreachable(peer.name);
        retry_or_end(call,
                     never_sent(why.code) ? attempt_outcome::never_sent : attempt_outcome::lost,
                     {why.code, step::routing, peer.name, why.reason});
        return;
    }
    const std::optional<service_load> load = load_in(reply->headers);
    if (load) {
        loads_.peers().report(peer.name, call->service, *load, boot_clock::now());
    }
    if (reply->headers.count("x-not-started") > 0) {
        retry_or_end(
            call, attempt_outcome::not_started,
            {error_code::overload, step::routing, peer.name, "the peer did not start the call"});
        return;
    }
    if (call->once_only) {
        const Json::Value answer = json_from(reply->body).value_or(Json::Value());
        const outcome final_outcome =
            answer.isObject() && answer["outcome"].isString()
                ? outcome_from(answer["outcome"].asString()).value_or(outcome::unknown)
                : outcome::unknown;
        end_key(call, final_outcome,
                final_outcome == outcome::done ? answer["body"].asString() : "");
    }
    finish(call, {reply->status, reply->body, {}, "application/json"});
}

service_load call_service::load_of(const std::string& service, const std::string& organisation,
                                   const std::string& work_class)
{
    service_load load;
    load.slots = pool_.usable(service);
    load.waiting = static_cast<std::int32_t>(admission_.waiting(service));
    load.free = load.waiting > 0 ? 0 : pool_.free(service);
    if (load.free == 0) {
        const micros wait = admission_.wait_of(service, organisation, work_class, load.slots,
                                               pool_.latency(service));
        load.wait =
            std::chrono::duration_cast<millis>(std::min<micros>(wait, std::chrono::hours(1)));
    }
    return load;
}

load_summary call_service::summary()
{
    load_summary load;
    for (const std::string& service : pool_.services()) {
        load.services[service] = load_of(service, "", "");
    }
    admission_.add_demand(load, boot_clock::now());
    return load;
}

} // namespace sesamesill
