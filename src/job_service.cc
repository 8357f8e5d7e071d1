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
constexpr std::int64_t max_wait_ms = 20000;
constexpr int unfit_status = 422;

const std::string jobs_path = "/v1/jobs/";

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
    documents_.on_change([this] { queue_.set_document(*documents_.current()); });
    cell_.on_change([this] { update_cell(); });
    cell_.share(
        "running", [this] { return queue_.running(); },
        [this](const std::string& peer, const Json::Value& value) {
            queue_.take_running(peer, value);
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
    rpc.add("place_all",
            [this](const Json::Value& p, error& why) { return rpc_place_all(p, why); });
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
    const std::optional<error> refused = refusal(what);
    if (refused) {
        http_reply reply = ending_reply(outcome::not_run, *refused);
        reply.status = refused->code == error_code::unfit ? unfit_status : reply.status;
        respond(reply);
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
        queue_.add(kept.id, kept.what, kept.what.tasks, kept.arrived);
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

} // namespace sesamesill
