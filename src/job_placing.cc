// The part of the job service that places tasks on this member's workers or through another member.

#include <algorithm>
#include <utility>

#include "job_service.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis rpc_timeout{500};
constexpr millis no_room_delay{100};
constexpr millis sync_interval{100};
constexpr std::size_t max_places_per_round = 500;
/// Room is reserved for a task once its job has waited for the ageing time divided by this.
constexpr int reserve_ageing_divisor = 8;

/// Returns the indices of at most `max_tasks` tasks that may be sent now.
std::vector<std::size_t> sendable(job_table& table, job& j, std::size_t max_tasks, job_actions& out)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < j.tasks.size() && result.size() < max_tasks; ++i) {
        if (table.may_send(j, i, out)) {
            result.push_back(i);
        }
    }
    return result;
}

} // namespace

std::optional<error> job_service::refusal(const submission& what) const
{
    const std::optional<environment>& document = documents_.current();
    if (!document) {
        return std::nullopt;
    }
    std::optional<error> refused = queue_.refusal(what);
    if (refused) {
        return refused;
    }
    task_spec spec;
    const auto policy = document->classes.find(what.work_class);
    if (policy != document->classes.end()) {
        apply_policy(spec, policy->second);
    }
    spec.size = what.size;
    spec.kind = what.kind;
    return workers_.check_feasible(spec, what.tasks);
}

void job_service::publish_running()
{
    documents_.on_change([this] { queue_.set_document(*documents_.current()); });
    cell_.on_change([this] {
        std::set<std::string> names;
        for (const member& m : cell_.members()) {
            names.insert(m.name);
        }
        queue_.keep_peers(names);
    });
    cell_.share(
        "running", [this] { return queue_.running(); },
        [this](const std::string& peer, const Json::Value& value) {
            queue_.handle_running(peer, value);
        });
}

/// Updates the queue from the table: waiting tasks by job, and allocated resources by organisation.
void job_service::sync_queue(time_point now)
{
    std::map<std::string, resources> running;
    std::set<std::string> waiting_jobs;
    for (const std::pair<const std::string, job>& entry : table_.jobs()) {
        const job& j = entry.second;
        if (!j.owner || j.final_outcome != outcome::pending) {
            continue;
        }
        std::int64_t waiting = 0;
        std::int64_t held = 0;
        for (const job_task& t : j.tasks) {
            waiting += t.phase == task_phase::waiting ? 1 : 0;
            held += t.phase != task_phase::waiting && !is_over(t.phase) ? 1 : 0;
        }
        running[j.what.organisation] += scaled(j.what.size, held);
        if (waiting > 0 && table_.placeable().count(j.id) > 0) {
            waiting_jobs.insert(j.id);
            queue_.set_waiting(j.id, j.what, waiting, j.arrived);
        }
    }
    queue_.keep_jobs(waiting_jobs);
    queue_.set_running(running);
    synced_at_ = now;
}

void job_service::place_waiting()
{
    const time_point now = boot_clock::now();
    if (!documents_.current()) {
        return;
    }
    if (now - synced_at_ >= sync_interval) {
        queue_.set_capacity(workers_.cell_size());
        sync_queue(now);
    }
    room_reserved_ = false;
    queue_.round(now, max_places_per_round, [this, now](const job_queue::offer& offered) {
        job* const j = table_.find(offered.job);
        const auto retry = retry_at_.find(offered.job);
        if (j == nullptr || remote_requests_.count(offered.job) > 0 ||
            (retry != retry_at_.end() && retry->second > now) || !cell_.may_act(offered.job)) {
            return job_queue::answer{};
        }
        retry_at_.erase(offered.job);
        return place(*j, offered);
    });
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

/// Starts the offered tasks that may be sent on this member's workers while there is room, and asks
/// the next member to start the rest.
job_queue::answer job_service::place(job& j, const job_queue::offer& offered)
{
    const bool all = j.what.kind == work_kind::gang;
    job_actions actions;
    const std::vector<std::size_t> indices =
        sendable(table_, j, static_cast<std::size_t>(offered.max_tasks), actions);
    execute(actions);
    if (indices.empty() || (all && indices.size() < j.tasks.size())) {
        return {};
    }
    place_request request;
    request.id = j.id;
    request.all = all;
    for (const std::size_t i : indices) {
        request.indices.push_back(i);
        request.attempts.push_back(table_.sent(j, i, cell_.self()));
        request.specs.push_back(spec_of(j, i));
    }
    const micros reserve_after = documents_.current()->placement.ageing / reserve_ageing_divisor;
    const bool reserve_room = boot_clock::now() - j.arrived > reserve_after;
    if (!place_here(j, request, reserve_room)) {
        place_remote(request);
    }
    return {job_queue::verdict::placed, static_cast<std::int64_t>(indices.size())};
}

/// Returns whether all tasks were placed here; removes the placed tasks from `request`.
bool job_service::place_here(job& j, place_request& request, bool reserve_room)
{
    error why;
    if (request.all) {
        const std::optional<std::vector<std::string>> workers =
            workers_.place_all(request.specs, why);
        for (std::size_t k = 0; workers && k < workers->size(); ++k) {
            table_.placed(j.id, request.indices[k], request.attempts[k], (*workers)[k]);
        }
        return workers.has_value();
    }
    std::size_t placed = 0;
    for (; placed < request.specs.size(); ++placed) {
        const task_spec& spec = request.specs[placed];
        std::optional<std::string> worker = workers_.place(spec, why);
        if (!worker && reserve_room && !std::exchange(room_reserved_, true)) {
            const std::optional<std::vector<std::string>> reserved_worker =
                workers_.place_all({spec}, why);
            worker = reserved_worker ? std::optional<std::string>(reserved_worker->front())
                                     : std::nullopt;
        }
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
    params["round"] = static_cast<Json::UInt64>(recovery_round_);
    params["all"] = request.all;
    for (std::size_t k = 0; k < request.indices.size(); ++k) {
        j->tasks[request.indices[k]].worker = to->name;
        params["tasks"].append(to_json(request.specs[k]));
    }
    remote_requests_.insert(request.id);
    call_rpc(client_, to->peer_address, "place", params, rpc_timeout,
             [this, request](const std::optional<Json::Value>& result, const error& why) {
                 remote_requests_.erase(request.id);
                 if (result || why.code != error_code::timeout) {
                     handle_place_reply(request, result.value_or(Json::Value(Json::objectValue)));
                     return;
                 }
                 for (std::size_t k = 0; k < request.indices.size(); ++k) {
                     table_.unanswered(request.id, request.indices[k], request.attempts[k],
                                       boot_clock::now());
                 }
             });
}

void job_service::handle_place_reply(const place_request& request, const Json::Value& result)
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

/// Starts tasks for the owner of their job. An empty name in the result means that the task was not
/// started.
std::optional<Json::Value> job_service::rpc_place(const Json::Value& params, error& why)
{
    if (!params.isObject() || !params["tasks"].isArray() || !params["home"].isString() ||
        !params["round"].isUInt64() || params["tasks"].empty()) {
        why = {error_code::invalid, step::placement, cell_.self(),
               "params: must be an object with owner \"home\", \"round\" and a list \"tasks\""};
        return std::nullopt;
    }
    const std::string owner = params["home"].asString();
    std::vector<task_spec> specs;
    for (const Json::Value& task : params["tasks"]) {
        specs.push_back(task_spec_from(task));
    }
    const std::optional<member> current_owner = cell_.owner_of(job_of(specs.front().task));
    if (!current_owner || current_owner->name != owner ||
        params["round"].asUInt64() < fences_[owner]) {
        why = {error_code::not_owner, step::placement, cell_.self(), "the job has another owner"};
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
