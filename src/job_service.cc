// A job lives with the owner of its id. Its tasks are placed by the owners of the shards.

#include "job_service.h"

#include <algorithm>
#include <cstdlib>

#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis place_interval{20};
constexpr millis watch_interval{20};
constexpr millis rpc_timeout{500};
constexpr std::int64_t max_wait_ms = 20000;
constexpr std::size_t max_places_per_round = 500;

const std::string jobs_path = "/v1/jobs/";

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('/'));
}

} // namespace

job_service::job_service(event_loop& loop, http_client& client, cell_service& cell,
                         journal_service& journal, document_service& documents,
                         worker_service& workers)
    : loop_(loop), client_(client), cell_(cell), journal_(journal), documents_(documents),
      workers_(workers)
{
    workers_.on_ended([this](const task_report& report, const std::function<void()>& acknowledge) {
        task_end(report, acknowledge);
    });
}

void job_service::start()
{
    loop_.every(place_interval, [this] { place_waiting(); });
    loop_.every(watch_interval, [this] { answer_watchers(); });
}

void job_service::serve(http_server& callers, http_server& peers, rpc_server& rpc)
{
    for (http_server* server : {&callers, &peers}) {
        const bool forwarded = server == &peers;
        server->route("POST", "/v1/jobs",
                      [this, forwarded](const http_request& r, const http_respond& respond) {
                          submit(r, respond, forwarded);
                      });
        server->route("GET", jobs_path,
                      [this, forwarded](const http_request& r, const http_respond& respond) {
                          show(r, respond, forwarded);
                      });
    }
    rpc.add("place", [this](const Json::Value& p, error& why) { return rpc_place(p, why); });
    rpc.add("ended", [this](const Json::Value& p, error& why) { return rpc_ended(p, why); });
}

void job_service::submit(const http_request& request, const http_respond& respond, bool forwarded)
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
    if (!what || what->kind == work_kind::call) {
        respond(error_reply(400, what ? error{error_code::invalid, step::admission, "",
                                              "class: not a class of jobs"}
                                      : why));
        return;
    }
    const member owner = *cell_.owner_of(request_id(what->tenant, what->key));
    if (owner.name == cell_.self()) {
        accept(*what, respond);
    }
    else if (forwarded) {
        respond(ending_reply(outcome::not_run, {error_code::not_owner, step::routing, owner.name,
                                                "the job has another home"}));
    }
    else {
        pass_on(request, respond, owner);
    }
}

void job_service::pass_on(const http_request& request, const http_respond& respond,
                          const member& to)
{
    http_call call;
    call.method = request.method;
    call.path = request.path;
    const auto wait = request.query.find("wait_ms");
    if (wait != request.query.end()) {
        call.path += "?wait_ms=" + wait->second;
    }
    call.body = request.body;
    call.timeout = millis(max_wait_ms + 1000);
    client_.send(to.peer_address, std::move(call),
                 [respond, to](const std::optional<http_reply>& reply, const error& why) {
                     if (reply) {
                         respond({reply->status, reply->body, {}, "application/json"});
                         return;
                     }
                     const bool never_sent = why.code == error_code::unavailable;
                     respond(ending_reply(never_sent ? outcome::not_run : outcome::unknown,
                                          {why.code, step::routing, to.name, why.reason}));
                 });
}

void job_service::accept(const submission& what, const http_respond& respond)
{
    const std::string id = request_id(what.tenant, what.key);
    const auto known = jobs_.find(id);
    if (known != jobs_.end()) {
        respond(json_reply(200, describe(known->second)));
        return;
    }
    job j;
    j.what = what;
    j.id = id;
    j.arrived = boot_clock::now();
    Json::Value item;
    item["type"] = "accept";
    item["id"] = id;
    item["job"] = to_json(what);
    journal_.append("cell", item, [this, j, respond](std::uint64_t) mutable {
        j.tasks.resize(static_cast<std::size_t>(j.what.tasks));
        const job& kept = jobs_.emplace(j.id, std::move(j)).first->second;
        respond(json_reply(202, describe(kept)));
    });
}

Json::Value job_service::describe(const job& j)
{
    Json::Value body;
    body["job"] = j.id;
    body["tenant"] = j.what.tenant;
    body["class"] = j.what.work_class;
    body["outcome"] = std::string(name_of(j.ending));
    std::int64_t running = 0;
    std::int64_t done = 0;
    for (const task& t : j.tasks) {
        running += t.phase == task_phase::running ? 1 : 0;
        done += t.phase == task_phase::done ? 1 : 0;
        if (t.phase == task_phase::done) {
            body["results"].append(t.result);
        }
    }
    body["tasks"] = static_cast<Json::Int64>(j.tasks.size());
    body["running"] = static_cast<Json::Int64>(running);
    body["done"] = static_cast<Json::Int64>(done);
    if (j.reason.code != error_code::none) {
        body["reason"] = to_json(j.reason);
    }
    return body;
}

void job_service::show(const http_request& request, const http_respond& respond, bool forwarded)
{
    const std::string id = request.path.substr(jobs_path.size());
    const std::optional<member> owner = cell_.owner_of(id);
    if (owner && owner->name != cell_.self() && !forwarded) {
        pass_on(request, respond, *owner);
        return;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        respond(error_reply(404, {error_code::not_found, step::answer, "", "no such job"}));
        return;
    }
    const auto wait = request.query.find("wait_ms");
    const std::int64_t wait_ms = wait == request.query.end() ? 0 : std::atoll(wait->second.c_str());
    found->second.watchers.push_back(
        {boot_clock::now() + millis(std::clamp<std::int64_t>(wait_ms, 0, max_wait_ms)), respond});
}

void job_service::answer_watchers()
{
    const time_point now = boot_clock::now();
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        std::vector<watcher> left;
        for (watcher& w : j.watchers) {
            if (j.ending != outcome::pending || w.until <= now) {
                w.respond(json_reply(200, describe(j)));
            }
            else {
                left.push_back(std::move(w));
            }
        }
        j.watchers.swap(left);
    }
}

void job_service::place_waiting()
{
    std::size_t placed = 0;
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        for (std::size_t i = 0; i < j.tasks.size() && placed < max_places_per_round; ++i) {
            if (j.ending == outcome::pending && j.tasks[i].phase == task_phase::waiting) {
                place(j, i);
                ++placed;
            }
        }
    }
}

task_spec job_service::spec_of(const job& j, std::size_t index) const
{
    task_spec spec;
    spec.task = j.id + "/" + std::to_string(index);
    spec.attempt = j.tasks[index].attempt;
    spec.size = j.what.size;
    spec.payload = j.what.payload.isObject() ? j.what.payload : Json::Value(Json::objectValue);
    spec.payload["idempotent"] = j.what.idempotent;
    spec.payload["kind"] = std::string(name_of(j.what.kind));
    spec.payload["job_tasks"] = static_cast<Json::Int64>(j.tasks.size());
    return spec;
}

void job_service::place(job& j, std::size_t index)
{
    task& t = j.tasks[index];
    ++t.attempt;
    error why;
    const std::optional<std::string> worker = workers_.place(spec_of(j, index), why);
    if (worker) {
        t.phase = task_phase::running;
        t.worker = *worker;
        return;
    }
    place_remote(j, index);
}

void job_service::place_remote(job& j, std::size_t index)
{
    const std::vector<member>& members = cell_.members();
    const member& to = members[next_peer_++ % members.size()];
    if (to.name == cell_.self()) {
        --j.tasks[index].attempt;
        return;
    }
    j.tasks[index].phase = task_phase::placing;
    const task_spec spec = spec_of(j, index);
    Json::Value params;
    params["task"] = spec.task;
    params["attempt"] = spec.attempt;
    params["cpu_millis"] = static_cast<Json::Int64>(spec.size.cpu_millis);
    params["memory_mb"] = static_cast<Json::Int64>(spec.size.memory_mb);
    params["accelerators"] = static_cast<Json::Int64>(spec.size.accelerators);
    params["payload"] = spec.payload;
    const std::string id = j.id;
    call_rpc(client_, to.peer_address, "place", params, rpc_timeout,
             [this, id, index](const std::optional<Json::Value>& result, const error& why) {
                 if (result) {
                     set_phase(id, index, task_phase::running, (*result)["worker"].asString());
                     return;
                 }
                 if (why.code != error_code::timeout) {
                     set_phase(id, index, task_phase::waiting, "");
                 }
             });
}

void job_service::set_phase(const std::string& id, std::size_t index, task_phase phase,
                            const std::string& worker)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.tasks[index].phase != task_phase::placing) {
        return;
    }
    found->second.tasks[index].phase = phase;
    found->second.tasks[index].worker = worker;
}

std::optional<Json::Value> job_service::rpc_place(const Json::Value& params, error& why)
{
    task_spec spec;
    spec.task = params["task"].asString();
    spec.attempt = params["attempt"].asInt();
    spec.size = {params["cpu_millis"].asInt64(), params["memory_mb"].asInt64(),
                 params["accelerators"].asInt64()};
    spec.payload = params["payload"];
    const std::optional<std::string> worker = workers_.place(spec, why);
    if (!worker) {
        return std::nullopt;
    }
    Json::Value result;
    result["worker"] = *worker;
    return result;
}

void job_service::task_end(const task_report& report, const std::function<void()>& acknowledge)
{
    const std::optional<member> home = cell_.owner_of(job_of(report.task));
    if (!home) {
        return;
    }
    const bool done = report.state == task_state::done;
    if (home->name == cell_.self()) {
        apply_end(report.task, done, report.result);
        acknowledge();
        return;
    }
    Json::Value params;
    params["task"] = report.task;
    params["done"] = done;
    params["result"] = report.result;
    call_rpc(client_, home->peer_address, "ended", params, rpc_timeout,
             [acknowledge](const std::optional<Json::Value>& result, const error&) {
                 if (result) {
                     acknowledge();
                 }
             });
}

std::optional<Json::Value> job_service::rpc_ended(const Json::Value& params, error& /*why*/)
{
    apply_end(params["task"].asString(), params["done"].asBool(), params["result"].asString());
    return Json::Value(true);
}

void job_service::apply_end(const std::string& task_name, bool done, const std::string& result)
{
    const auto found = jobs_.find(job_of(task_name));
    if (found == jobs_.end()) {
        return;
    }
    job& j = found->second;
    const std::size_t index = std::strtoull(
        task_name.c_str() + std::min(task_name.size(), task_name.find('/') + 1), nullptr, 10);
    if (index >= j.tasks.size()) {
        return;
    }
    j.tasks[index].phase = done ? task_phase::done : task_phase::failed;
    j.tasks[index].result = result;
    finish_if_ended(j);
}

void job_service::finish_if_ended(job& j)
{
    bool failed = false;
    for (const task& t : j.tasks) {
        if (t.phase != task_phase::done && t.phase != task_phase::failed) {
            return;
        }
        failed = failed || t.phase == task_phase::failed;
    }
    j.ending = failed ? outcome::failed : outcome::done;
    Json::Value item;
    item["type"] = "job_ending";
    item["id"] = j.id;
    item["outcome"] = std::string(name_of(j.ending));
    journal_.append("cell", item, nullptr);
}

} // namespace sesamesill
