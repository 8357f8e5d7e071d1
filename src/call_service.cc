// The path of a call: caller, entry, (key's owner,) (executor's owner,) executor, and back.

#include "call_service.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis expiry_tick{10};
constexpr millis answer_allowance{50}; ///< for a peer's own answer at the deadline
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

millis left_until(time_point until)
{
    return std::max(millis(1), std::chrono::duration_cast<millis>(until - boot_clock::now()));
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

/// Returns the load that a peer told with its answer, or nothing.
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
      admission_(settings), budgeted_(!is_disabled(settings, "retry_budget")),
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
                     admission_.set_others(cell_.members().size(), loads_.peers(),
                                           boot_clock::now());
                 });
    pool_.on_free([this](const std::string& service) { pump(service); });
    loop_.every(expiry_tick, [this] { expire(); });
}

void call_service::serve(http_server& callers, http_server& peers)
{
    callers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, entrance::caller);
    });
    peers.route("POST", "/v1/calls", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, entrance::key_owner);
    });
    peers.route("POST", "/v1/dispatch", [this](const http_request& r, const http_respond& respond) {
        receive(r, respond, entrance::executor_owner);
    });
}

void call_service::receive(const http_request& request, const http_respond& respond, entrance from)
{
    if (!documents_.current() || !cell_.ready()) {
        // Says nothing of the request's ending: an earlier attempt may have run.
        http_reply reply = error_reply(
            503, {error_code::unavailable, step::document, "", "no document is in force yet"});
        reply.headers[not_started_header] = "1";
        respond(reply);
        return;
    }
    error why;
    const pending_pointer call = read(request, from, why);
    if (call == nullptr) {
        respond(error_reply(400, why));
        return;
    }
    call->respond = respond;
    ++in_flight_;
    if (from != entrance::executor_owner && !call->what.idempotent) {
        receive_once_only(call);
        return;
    }
    if (from == entrance::executor_owner || !refuse_for_rate(call)) {
        route_call(call);
    }
}

call_service::pending_pointer call_service::read(const http_request& request, entrance from,
                                                 error& why) const
{
    const environment& document = *documents_.current();
    if (from != entrance::caller) {
        const auto cell = request.headers.find("x-environment");
        if (cell == request.headers.end() || cell->second != settings_.environment) {
            why = {error_code::conflict, step::routing, request.peer, "another cell's member"};
            return nullptr;
        }
        const std::int64_t hops = number_in(request.headers, "x-hop").value_or(0);
        const std::int64_t most = from == entrance::key_owner ? max_hops : max_hops + 1;
        if (hops < 1 || hops > most) {
            why = {error_code::invalid, step::routing, request.peer, "x-hop: passed on too often"};
            return nullptr;
        }
    }
    why = {error_code::invalid, step::admission, "", "body: must be a JSON object"};
    const std::optional<Json::Value> body = json_from(request.body);
    std::optional<submission> what = body ? submission_from(*body, document, why) : std::nullopt;
    if (!what) {
        return nullptr;
    }
    if (what->kind != work_kind::call) {
        why.reason = "class: not a class of calls";
        return nullptr;
    }
    pending_pointer call = std::make_shared<pending_call>();
    const class_policy& policy = document.classes.at(what->work_class);
    const std::int64_t carried =
        number_in(request.headers, "x-deadline-ms").value_or(what->deadline.count());
    call->until = boot_clock::now() + std::min(what->deadline, millis(carried));
    call->what = std::move(*what);
    call->id = request_id(call->what.organisation, call->what.key);
    call->bytes = request.body;
    call->service = policy.service;
    call->max_attempts = std::max(1, policy.max_attempts);
    call->from = from;
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
                    "the key has another owner"};
    if (call->from != entrance::caller) {
        http_reply reply = error_reply(503, why);
        reply.headers[not_started_header] = "1";
        finish(call, reply);
        return;
    }
    if (boot_clock::now() >= call->until) {
        end_call(call, outcome::unknown, why);
        return;
    }
    if (owner) {
        to_key_owner(call, *owner);
    }
    else {
        loop_.after(reroute_interval, [this, call] { receive_once_only(call); });
    }
}

void call_service::begin_key(const pending_pointer& call)
{
    // Only of a key that was never used can this member say that its work did not run.
    if (keys_.is_unused(call->id) && refuse_for_rate(call)) {
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
        call->what.organisation, call->what.work_class, boot_clock::now());
    if (wait) {
        refuse(
            call,
            {error_code::overload, step::admission, "", "over the organisation's or class's rate"},
            *wait, 429);
    }
    return wait.has_value();
}

void call_service::route_call(const pending_pointer& call)
{
    const time_point now = boot_clock::now();
    if (now >= call->until) {
        end_call(call, outcome::not_run,
                 {error_code::timeout, step::queueing, "", "no free slot before the deadline"});
        return;
    }
    // Those who wait already go first.
    if (admission_.waiting(call->service) == 0 && send(call)) {
        return;
    }
    const service_load load =
        load_of(call->service, call->what.organisation, call->what.work_class);
    const own_capacity own{0, load.slots, load.wait};
    const std::int32_t hops = call->from == entrance::executor_owner ? max_hops : 0;
    const route chosen = choose_route(own, hops, call->service, loads_.peers(), now, random_);
    const std::optional<micros> later = admission_.refuse_for_deadline(
        chosen.wait, pool_.latency(call->service), call->until - now);
    if (chosen.kind == route_kind::peer && later) {
        refuse(
            call,
            {error_code::overload, step::routing, chosen.peer, "the wait would pass the deadline"},
            *later, 503);
    }
    else if (chosen.kind == route_kind::peer) {
        to_executor_owner(call, chosen.peer);
    }
    else if (chosen.kind == route_kind::queue) {
        enqueue(call);
    }
    else if (call->from == entrance::executor_owner) {
        refuse(call, {error_code::not_owner, step::routing, "", "no executor of the service here"},
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
        admission_.wait_of(call->service, call->what.organisation, call->what.work_class,
                           pool_.usable(call->service), latency);
    const std::optional<micros> later =
        admission_.refuse_for_deadline(wait, latency, call->until - now);
    if (later) {
        refuse(call, {error_code::overload, step::queueing, "", "the wait would pass the deadline"},
               *later, 503);
        return;
    }
    const std::uint64_t id = next_id_++;
    if (!admission_.queue(call->service)
             .push({id, call->what.organisation, call->what.work_class, call->until})) {
        refuse(call, {error_code::overload, step::queueing, "", "the class's queue is full"}, wait,
               503);
        return;
    }
    waiting_.emplace(id, call);
}

void call_service::pump(const std::string& service)
{
    if (pumping_) {
        return;
    }
    pumping_ = true;
    call_queue& queue = admission_.queue(service);
    while (queue.size() > 0 && pool_.has_free(service)) {
        const auto next = waiting_.find(*queue.pop());
        const pending_pointer call = next->second;
        waiting_.erase(next);
        if (boot_clock::now() + pool_.latency(service).bound() >= call->until) {
            end_call(call, outcome::not_run,
                     {error_code::timeout, step::queueing, "", "too late to end in time"});
        }
        else if (!send(call)) {
            enqueue(call);
            break;
        }
    }
    pumping_ = false;
}

void call_service::expire()
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
    request.body = call->what.body;
    const micros left = call->until - boot_clock::now();
    const micros limit = call->what.idempotent
                             ? attempt_timeout(left, call->lost + 1, call->max_attempts,
                                               pool_.latency(call->service).bound())
                             : left;
    request.timeout = std::max(millis(1), std::chrono::duration_cast<millis>(limit));
    const auto steps = documents_.current()->services.find(call->service);
    if (steps != documents_.current()->services.end()) {
        request.connect_timeout = steps->second.connect_timeout;
        request.first_byte_timeout = steps->second.first_byte_timeout;
    }
    request.headers = {{"X-Request-Id", call->id},
                       {"X-Attempt", std::to_string(call->attempt + 1)},
                       {"X-Organisation", call->what.organisation},
                       {"X-Class", call->what.work_class},
                       {"X-Key", call->what.key},
                       {"X-Idempotent", call->what.idempotent ? "yes" : "no"}};
    const bool sent =
        pool_.send(call->service, call->last_executor, std::move(request), call->until,
                   [this, call](const attempt_result& result) { take_attempt(call, result); });
    if (sent && ++call->attempt == 1) {
        budget_.on_first_attempt();
    }
    return sent;
}

void call_service::take_attempt(const pending_pointer& call, const attempt_result& result)
{
    call->last_executor = result.executor;
    if (result.end == attempt_end::answered) {
        take_answer(call, result);
        return;
    }
    try_again(call, result.end, result.why);
}

void call_service::take_answer(const pending_pointer& call, const attempt_result& result)
{
    constexpr int first_server_error = 500;
    if (result.reply.status == 200) {
        end_key(call, outcome::done, result.reply.body);
        finish(call, done_reply(call->id, result.reply.body));
        return;
    }
    const error why{error_code::internal, step::answer, result.executor,
                    "the executor answered " + std::to_string(result.reply.status)};
    if (result.reply.status >= first_server_error && call->what.idempotent) {
        try_again(call, attempt_end::lost, why);
        return;
    }
    end_call(call, outcome::failed, why);
}

void call_service::try_again(const pending_pointer& call, attempt_end end, const error& why)
{
    call->lost += end == attempt_end::lost ? 1 : 0;
    const bool attempts_left = call->lost < call->max_attempts &&
                               call->attempt < call->max_attempts + max_unstarted_attempts;
    const bool again = is_repeatable(call->what.idempotent, end) && attempts_left &&
                       boot_clock::now() < call->until && (!budgeted_ || budget_.take());
    if (!again) {
        end_call(call, outcome::not_run, why);
        return;
    }
    if (end == attempt_end::not_started) {
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
    const bool doubtful = final_outcome == outcome::not_run && call->lost > 0;
    const outcome truth = doubtful ? outcome::unknown : final_outcome;
    end_key(call, truth, "");
    http_reply reply = outcome_reply(truth, why);
    if (truth == outcome::not_run) {
        reply.headers[not_started_header] = "1";
    }
    finish(call, std::move(reply));
}

void call_service::finish(const pending_pointer& call, http_reply reply)
{
    --in_flight_;
    if (call->from == entrance::caller) {
        reply.headers.erase(not_started_header);
    }
    else if (call->from == entrance::executor_owner) {
        reply.headers[load_header] =
            text_of(load_of(call->service, call->what.organisation, call->what.work_class));
    }
    call->respond(std::move(reply));
}

http_call call_service::passed_on(const pending_call& call, const char* path) const
{
    http_call passed;
    passed.method = "POST";
    passed.path = path;
    passed.body = call.bytes;
    const millis left = left_until(call.until);
    passed.headers = {{"X-Hop", call.from == entrance::caller ? "1" : "2"},
                      {"X-Environment", settings_.environment},
                      {"X-Deadline-Ms", std::to_string(left.count())}};
    passed.timeout = left + answer_allowance;
    return passed;
}

void call_service::to_key_owner(const pending_pointer& call, const member& owner)
{
    client_.send(owner.peer_address, passed_on(*call, "/v1/calls"),
                 [this, call, owner](const std::optional<http_reply>& reply, const error&) {
                     const bool turned_away = reply && reply->headers.count("x-not-started") > 0 &&
                                              reply->headers.count("retry-after") == 0 &&
                                              reply->status == 503 &&
                                              reply->body.find("\"outcome\"") == std::string::npos;
                     if (reply && !turned_away) {
                         http_reply relayed{reply->status, reply->body, {}, "application/json"};
                         const auto later = reply->headers.find("retry-after");
                         if (later != reply->headers.end()) {
                             relayed.headers["Retry-After"] = later->second;
                         }
                         finish(call, std::move(relayed));
                         return;
                     }
                     // The key makes it safe to ask again, wherever its owner is by then.
                     loop_.after(reroute_interval, [this, call] { receive_once_only(call); });
                 });
}

void call_service::to_executor_owner(const pending_pointer& call, const std::string& peer)
{
    const std::vector<member>& members = cell_.members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&peer](const member& m) { return m.name == peer; });
    if (found == members.end()) {
        loads_.peers().on_unreachable(peer);
        loop_.after(reroute_interval, [this, call] { route_call(call); });
        return;
    }
    loads_.peers().on_passed(peer, call->service);
    if (++call->attempt == 1) {
        budget_.on_first_attempt();
    }
    client_.send(
        found->peer_address, passed_on(*call, "/v1/dispatch"),
        [this, call, to = *found](const std::optional<http_reply>& reply, const error& why) {
            take_peer_answer(call, to, reply, why);
        });
}

void call_service::take_peer_answer(const pending_pointer& call, const member& peer,
                                    const std::optional<http_reply>& reply, const error& why)
{
    if (!reply) {
        loads_.peers().on_unreachable(peer.name);
        const bool never_sent = why.code == error_code::unavailable;
        try_again(call, never_sent ? attempt_end::never_sent : attempt_end::lost,
                  {why.code, step::routing, peer.name, why.reason});
        return;
    }
    const std::optional<service_load> load = load_in(reply->headers);
    if (load) {
        loads_.peers().report(peer.name, call->service, *load, boot_clock::now());
    }
    if (reply->headers.count("x-not-started") > 0) {
        try_again(call, attempt_end::not_started,
                  {error_code::overload, step::routing, peer.name, "the peer has no room"});
        return;
    }
    if (call->once_only) {
        const Json::Value told = json_from(reply->body).value_or(Json::Value());
        const outcome final_outcome =
            told.isObject() && told["outcome"].isString()
                ? outcome_from(told["outcome"].asString()).value_or(outcome::unknown)
                : outcome::unknown;
        end_key(call, final_outcome, final_outcome == outcome::done ? told["body"].asString() : "");
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
