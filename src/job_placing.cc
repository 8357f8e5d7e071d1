// The part of the job service that finds places for tasks, here or with another member.

#include <algorithm>
#include <utility>

#include "job_service.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis rpc_timeout{500};
constexpr millis no_room_delay{100};
constexpr millis follow_interval{100};
constexpr std::size_t max_places_per_round = 500;
constexpr int reservations_in_ageing = 8; ///< part of the ageing time after which room is kept

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

void job_service::share_running()
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
            queue_.take_running(peer, value);
        });
}

/// Brings the queue in line with the table: what waits, and what the organisations' jobs hold.
void job_service::follow_table(time_point now)
{
    std::map<std::string, resources> running;
    std::set<std::string> waiting_jobs;
    for (const std::pair<const std::string, job>& entry : table_.jobs()) {
        const job& j = entry.second;
        if (!j.home || j.ending != outcome::pending) {
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
    followed_ = now;
}

void job_service::place_waiting()
{
    const time_point now = boot_clock::now();
    if (!documents_.current()) {
        return;
    }
    if (now - followed_ >= follow_interval) {
        queue_.set_capacity(workers_.cell_size());
        follow_table(now);
    }
    room_kept_ = false;
    queue_.round(now, max_places_per_round, [this, now](const home_queue::offer& offered) {
        job* const j = table_.find(offered.job);
        const auto retry = retry_at_.find(offered.job);
        if (j == nullptr || asking_.count(offered.job) > 0 ||
            (retry != retry_at_.end() && retry->second > now) || !cell_.may_act(offered.job)) {
            return home_queue::answer{};
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

/// Sends what may be sent of an offer: here as far as there is room, the rest to the next member.
home_queue::answer job_service::place(job& j, const home_queue::offer& offered)
{
    const bool all = j.what.kind == work_kind::gang;
    job_actions actions;
    const std::vector<std::size_t> indices =
        sendable(table_, j, static_cast<std::size_t>(offered.most), actions);
    carry_out(actions);
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
    const micros kept_after = documents_.current()->placement.ageing / reservations_in_ageing;
    const bool keep_room = boot_clock::now() - j.arrived > kept_after;
    if (!place_here(j, request, keep_room)) {
        place_remote(request);
    }
    return {home_queue::verdict::placed, static_cast<std::int64_t>(indices.size())};
}

/// Returns whether nothing is left; `request` keeps the tasks that found no room here.
bool job_service::place_here(job& j, place_request& request, bool keep_room)
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
        if (!worker && keep_room && !std::exchange(room_kept_, true)) {
            const std::optional<std::vector<std::string>> kept = workers_.place_all({spec}, why);
            worker = kept ? std::optional<std::string>(kept->front()) : std::nullopt;
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
