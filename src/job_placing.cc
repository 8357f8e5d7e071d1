// The part of the job service that finds places for tasks, here or with another member.

#include <algorithm>

#include "job_service.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis rpc_timeout{500};
constexpr millis no_room_delay{100};
constexpr std::size_t max_places_per_round = 500;
constexpr std::size_t max_tasks_per_request = 100;

std::vector<std::size_t> sendable(job_table& table, job& j, std::size_t most, job_actions& out)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < j.tasks.size() && result.size() < most; ++i) {
        if (table.may_send(j, i, out)) {
            result.push_back(i);
        }
    }
    return result;
}

} // namespace

void job_service::place_waiting()
{
    const time_point now = boot_clock::now();
    const std::set<std::string> ids = table_.placeable();
    std::size_t placed = 0;
    for (const std::string& id : ids) {
        const auto retry = retry_at_.find(id);
        if (placed >= max_places_per_round || asking_.count(id) > 0 ||
            (retry != retry_at_.end() && retry->second > now) || !cell_.may_act(id)) {
            continue;
        }
        retry_at_.erase(id);
        job& j = *table_.find(id);
        placed += j.tasks.size();
        place(j);
    }
}

task_spec job_service::spec_of(const job& j, std::size_t index) const
{
    task_spec spec;
    const auto policy = documents_.current()->classes.find(j.what.work_class);
    if (policy != documents_.current()->classes.end()) {
        apply_policy(spec, policy->second);
    }
    spec.task = task_name(j.id, index);
    spec.attempt = j.tasks[index].attempt;
    spec.size = j.what.size;
    spec.kind = j.what.kind;
    spec.payload = j.what.payload.isObject() ? j.what.payload : Json::Value(Json::objectValue);
    spec.payload["idempotent"] = j.what.idempotent;
    spec.payload["kind"] = std::string(name_of(j.what.kind));
    spec.payload["job_tasks"] = static_cast<Json::Int64>(j.tasks.size());
    return spec;
}

/// Sends what may be sent of a job: here as far as there is room, the rest to the next member.
void job_service::place(job& j)
{
    if (!documents_.current()) {
        return;
    }
    const bool all = j.what.kind == work_kind::gang;
    const std::size_t most = all ? j.tasks.size() : max_tasks_per_request;
    job_actions actions;
    const std::vector<std::size_t> indices = sendable(table_, j, most, actions);
    carry_out(actions);
    if (indices.empty() || (all && indices.size() < j.tasks.size())) {
        return;
    }
    place_request request;
    request.id = j.id;
    request.all = all;
    for (const std::size_t i : indices) {
        request.indices.push_back(i);
        request.attempts.push_back(table_.sent(j, i, cell_.self()));
        request.specs.push_back(spec_of(j, i));
    }
    if (!place_here(j, request)) {
        place_remote(request);
    }
}

/// Returns whether nothing is left; `request` keeps the tasks that found no room here.
bool job_service::place_here(job& j, place_request& request)
{
    error why;
    std::size_t placed = 0;
    if (request.all) {
        const std::optional<std::vector<std::string>> workers =
            workers_.place_all(request.specs, why);
        for (std::size_t k = 0; workers && k < workers->size(); ++k, ++placed) {
            table_.placed(j.id, request.indices[k], request.attempts[k], (*workers)[k]);
        }
        return placed > 0;
    }
    for (; placed < request.specs.size(); ++placed) {
        const std::optional<std::string> worker = workers_.place(request.specs[placed], why);
        if (!worker) {
            break;
        }
        table_.placed(j.id, request.indices[placed], request.attempts[placed], *worker);
    }
    const std::ptrdiff_t done = static_cast<std::ptrdiff_t>(placed);
    request.indices.erase(request.indices.begin(), request.indices.begin() + done);
    request.attempts.erase(request.attempts.begin(), request.attempts.begin() + done);
    request.specs.erase(request.specs.begin(), request.specs.begin() + done);
    return request.indices.empty();
}

void job_service::place_remote(const place_request& request)
{
    const std::vector<member>& members = cell_.members();
    const member* const to = members.empty() ? nullptr : &members[next_peer_++ % members.size()];
    if (to == nullptr || to->name == cell_.self()) {
        for (std::size_t k = 0; k < request.indices.size(); ++k) {
            table_.refused(request.id, request.indices[k], request.attempts[k]);
        }
        if (members.size() < 2) {
            retry_at_[request.id] = boot_clock::now() + no_room_delay;
        }
        return;
    }
    job* const j = table_.find(request.id);
    Json::Value params;
    params["home"] = cell_.self();
    params["round"] = static_cast<Json::UInt64>(round_);
    params["all"] = request.all;
    for (std::size_t k = 0; k < request.indices.size(); ++k) {
        j->tasks[request.indices[k]].worker = to->name;
        params["tasks"].append(to_json(request.specs[k]));
    }
    asking_.insert(request.id);
    call_rpc(client_, to->peer_address, "place", params, rpc_timeout,
             [this, request](const std::optional<Json::Value>& result, const error& why) {
                 asking_.erase(request.id);
                 if (result || why.code != error_code::timeout) {
                     take_places(request, result.value_or(Json::Value(Json::objectValue)));
                     return;
                 }
                 for (std::size_t k = 0; k < request.indices.size(); ++k) {
                     table_.unanswered(request.id, request.indices[k], request.attempts[k],
                                       boot_clock::now());
                 }
             });
}

void job_service::take_places(const place_request& request, const Json::Value& result)
{
    const Json::Value& workers = result["workers"];
    bool room = true;
    for (std::size_t k = 0; k < request.indices.size(); ++k) {
        const Json::ArrayIndex at = static_cast<Json::ArrayIndex>(k);
        const std::string worker =
            workers.isArray() && at < workers.size() && workers[at].isString()
                ? workers[at].asString()
                : std::string();
        if (worker.empty()) {
            table_.refused(request.id, request.indices[k], request.attempts[k]);
            room = false;
        }
        else {
            table_.placed(request.id, request.indices[k], request.attempts[k], worker);
        }
    }
    if (!room && next_peer_ % cell_.members().size() == 0) {
        retry_at_[request.id] = boot_clock::now() + no_room_delay;
    }
}

/// Starts tasks for another home. An empty name in the answer says that a task was not started.
std::optional<Json::Value> job_service::rpc_place(const Json::Value& params, error& why)
{
    if (!params.isObject() || !params["tasks"].isArray() || !params["home"].isString() ||
        !params["round"].isUInt64() || params["tasks"].empty()) {
        why = {error_code::invalid, step::placement, cell_.self(), "not a request for places"};
        return std::nullopt;
    }
    const std::string home = params["home"].asString();
    std::vector<task_spec> specs;
    for (const Json::Value& task : params["tasks"]) {
        specs.push_back(task_spec_from(task));
    }
    const std::optional<member> owner = cell_.owner_of(job_of(specs.front().task));
    if (!owner || owner->name != home || params["round"].asUInt64() < fences_[home]) {
        why = {error_code::not_owner, step::placement, cell_.self(), "the job has another home"};
        return std::nullopt;
    }
    Json::Value result;
    result["workers"] = Json::Value(Json::arrayValue);
    if (params["all"].asBool()) {
        const std::optional<std::vector<std::string>> workers = workers_.place_all(specs, why);
        for (std::size_t k = 0; workers && k < workers->size(); ++k) {
            result["workers"].append((*workers)[k]);
        }
        return result;
    }
    for (const task_spec& spec : specs) {
        result["workers"].append(workers_.place(spec, why).value_or(""));
    }
    return result;
}

} // namespace sesamesill
