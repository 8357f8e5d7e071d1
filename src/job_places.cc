// The part of the job service that finds places for tasks and takes their ends.

#include <algorithm>
#include <cstdlib>

#include <xxhash.h>

#include "job_service.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis rpc_timeout{500};
constexpr std::size_t max_places_per_round = 500;
constexpr millis refusal_memory{300};
constexpr millis gang_ask_interval{200};
constexpr int reservations_in_ageing = 8; ///< part of the ageing time after which room is kept
constexpr int turns_per_member = 2; ///< reservation times for which a gang waits at one member

std::size_t index_of(const std::string& task)
{
    return std::strtoull(task.c_str() + std::min(task.size(), task.find('/') + 1), nullptr, 10);
}

} // namespace

std::optional<error> job_service::refusal(const submission& what) const
{
    const std::optional<error> refused = queue_.refusal(what);
    if (refused) {
        return refused;
    }
    task_spec spec;
    spec.size = what.size;
    spec.kind = what.kind;
    const auto policy = documents_.current()->classes.find(what.work_class);
    if (policy != documents_.current()->classes.end()) {
        apply_policy(spec, policy->second);
    }
    return workers_.never_fits(spec, what.tasks);
}

void job_service::update_cell()
{
    std::set<std::string> names;
    for (const member& m : cell_.members()) {
        names.insert(m.name);
    }
    queue_.keep_peers(names);
}

void job_service::place_waiting()
{
    queue_.set_capacity(workers_.cell_size());
    queue_.round(boot_clock::now(), max_places_per_round,
                 [this](const std::string& id, bool first_refusal) {
                     const auto found = jobs_.find(id);
                     if (found == jobs_.end()) {
                         return home_queue::verdict::later;
                     }
                     job& j = found->second;
                     return j.what.kind == work_kind::gang ? offer_all(j) : offer(j, first_refusal);
                 });
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
    const auto policy = documents_.current()->classes.find(j.what.work_class);
    if (policy != documents_.current()->classes.end()) {
        apply_policy(spec, policy->second);
    }
    spec.kind = j.what.kind;
    return spec;
}

/// Returns the next peer that has not just refused the size, or null where there is none.
const member* job_service::peer_for(const resources& size)
{
    const std::vector<member>& members = cell_.members();
    const time_point now = boot_clock::now();
    for (std::size_t i = 0; i < members.size(); ++i) {
        const member& to = members[next_peer_++ % members.size()];
        const auto refused = refused_.find(to.name);
        const bool full = refused != refused_.end() && now < refused->second.until &&
                          fits(refused->second.size, size);
        if (to.name != cell_.self() && !full) {
            return &to;
        }
    }
    return nullptr;
}

bool job_service::place_here(job& j, std::size_t index, bool keep_room)
{
    error why;
    const task_spec spec = spec_of(j, index);
    std::optional<std::string> worker = workers_.place(spec, why);
    if (!worker && keep_room) {
        const std::optional<std::vector<std::string>> kept = workers_.place_all({spec}, true, why);
        worker = kept ? std::optional<std::string>(kept->front()) : std::nullopt;
    }
    if (!worker) {
        return false;
    }
    j.tasks[index].phase = task_phase::running;
    j.tasks[index].worker = *worker;
    return true;
}

home_queue::verdict job_service::offer(job& j, bool first_refusal)
{
    while (j.next_task < j.tasks.size() && j.tasks[j.next_task].phase != task_phase::waiting) {
        ++j.next_task;
    }
    if (j.next_task == j.tasks.size()) {
        return home_queue::verdict::later;
    }
    const std::size_t index = j.next_task;
    ++j.tasks[index].attempt;
    const micros kept_after = documents_.current()->placement.ageing / reservations_in_ageing;
    const bool keep_room = first_refusal && boot_clock::now() - j.arrived > kept_after;
    if (place_here(j, index, keep_room)) {
        return home_queue::verdict::placed;
    }
    const member* to = peer_for(j.what.size);
    if (to == nullptr) {
        --j.tasks[index].attempt;
        return home_queue::verdict::no_room;
    }
    j.tasks[index].phase = task_phase::placing;
    place_remote(j.id, index, *to);
    return home_queue::verdict::placed;
}

void job_service::place_remote(const std::string& id, std::size_t index, const member& to)
{
    const job& j = jobs_.at(id);
    const resources size = j.what.size;
    call_rpc(
        client_, to.peer_address, "place", to_json(spec_of(j, index)), rpc_timeout,
        [this, id, index, to, size](const std::optional<Json::Value>& result, const error& why) {
            if (result) {
                take_place(id, index, (*result)["worker"].asString());
                return;
            }
            if (why.code == error_code::timeout) {
                // It may have been started there; that member answers the same again.
                const auto found = jobs_.find(id);
                if (found != jobs_.end() &&
                    found->second.tasks[index].phase == task_phase::placing) {
                    place_remote(id, index, to);
                }
                return;
            }
            refused_[to.name] = {size, boot_clock::now() + refusal_memory};
            lose_place(id, index);
        });
}

/// Returns whether the job is to wait for room at this member; which one that is changes in time.
bool job_service::waits_here(const job& j, const std::string& member_name) const
{
    const std::vector<member>& members = cell_.members();
    const micros turn = documents_.current()->placement.reservation * turns_per_member;
    const std::size_t turns =
        static_cast<std::size_t>((boot_clock::now() - j.arrived).count() / turn.count());
    const std::size_t first = XXH3_64bits(j.id.data(), j.id.size()) % members.size();
    return members[(first + turns) % members.size()].name == member_name;
}

home_queue::verdict job_service::offer_all(job& j)
{
    const time_point now = boot_clock::now();
    if (now - j.asked < gang_ask_interval) {
        return home_queue::verdict::later;
    }
    j.asked = now;
    std::vector<std::size_t> indices;
    std::vector<task_spec> specs;
    for (std::size_t i = 0; i < j.tasks.size(); ++i) {
        if (j.tasks[i].phase == task_phase::waiting) {
            ++j.tasks[i].attempt;
            indices.push_back(i);
            specs.push_back(spec_of(j, i));
        }
    }
    error why;
    const std::optional<std::vector<std::string>> workers =
        workers_.place_all(specs, waits_here(j, cell_.self()), why);
    const member* to = workers ? nullptr : peer_for(j.what.size);
    for (std::size_t k = 0; k < indices.size(); ++k) {
        task& t = j.tasks[indices[k]];
        t.phase = workers         ? task_phase::running
                  : to != nullptr ? task_phase::placing
                                  : task_phase::waiting;
        t.worker = workers ? (*workers)[k] : "";
        t.attempt -= !workers && to == nullptr ? 1 : 0;
    }
    if (to != nullptr) {
        place_all_remote(j.id, indices, *to, waits_here(j, to->name));
    }
    return workers || to != nullptr ? home_queue::verdict::placed : home_queue::verdict::no_room;
}

void job_service::place_all_remote(const std::string& id, const std::vector<std::size_t>& indices,
                                   const member& to, bool may_wait)
{
    const job& j = jobs_.at(id);
    Json::Value params;
    params["may_wait"] = may_wait;
    for (const std::size_t i : indices) {
        params["tasks"].append(to_json(spec_of(j, i)));
    }
    call_rpc(client_, to.peer_address, "place_all", params, rpc_timeout,
             [this, id, indices, to, may_wait](const std::optional<Json::Value>& result,
                                               const error& why) {
                 if (!result && why.code == error_code::timeout) {
                     place_all_remote(id, indices, to, may_wait);
                     return;
                 }
                 for (std::size_t k = 0; k < indices.size(); ++k) {
                     const Json::ArrayIndex at = static_cast<Json::ArrayIndex>(k);
                     if (result) {
                         take_place(id, indices[k], (*result)["workers"][at].asString());
                     }
                     else {
                         lose_place(id, indices[k]);
                     }
                 }
             });
}

void job_service::take_place(const std::string& id, std::size_t index, const std::string& worker)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.tasks[index].phase == task_phase::placing) {
        found->second.tasks[index].phase = task_phase::running;
        found->second.tasks[index].worker = worker;
    }
}

void job_service::lose_place(const std::string& id, std::size_t index)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.tasks[index].phase == task_phase::placing) {
        --found->second.tasks[index].attempt;
        queue_.refund(found->second.what);
        wait_again(found->second, index);
    }
}

void job_service::wait_again(job& j, std::size_t index)
{
    j.tasks[index].phase = task_phase::waiting;
    j.tasks[index].worker.clear();
    j.next_task = std::min(j.next_task, index);
    queue_.add(j.id, j.what, 1, j.arrived);
}

std::optional<Json::Value> job_service::rpc_place(const Json::Value& params, error& why)
{
    const std::optional<std::string> worker = workers_.place(task_spec_from(params), why);
    if (!worker) {
        return std::nullopt;
    }
    Json::Value result;
    result["worker"] = *worker;
    return result;
}

std::optional<Json::Value> job_service::rpc_place_all(const Json::Value& params, error& why)
{
    std::vector<task_spec> specs;
    for (const Json::Value& spec : params["tasks"]) {
        specs.push_back(task_spec_from(spec));
    }
    const std::optional<std::vector<std::string>> workers =
        workers_.place_all(specs, params["may_wait"].asBool(), why);
    if (!workers) {
        return std::nullopt;
    }
    Json::Value result;
    for (const std::string& worker : *workers) {
        result["workers"].append(worker);
    }
    return result;
}

void job_service::task_end(const task_report& report, const std::function<void()>& acknowledge)
{
    const std::optional<member> home = cell_.owner_of(job_of_task(report.task));
    if (!home) {
        return;
    }
    if (home->name == cell_.self()) {
        apply_end(report);
        acknowledge();
        return;
    }
    Json::Value params;
    params["task"] = report.task;
    params["attempt"] = report.attempt;
    params["state"] = std::string(name_of(report.state));
    params["result"] = report.result;
    call_rpc(client_, home->peer_address, "ended", params, rpc_timeout,
             [acknowledge](const std::optional<Json::Value>& result, const error&) {
                 if (result) {
                     acknowledge();
                 }
             });
}

std::optional<Json::Value> job_service::rpc_ended(const Json::Value& params, error& why)
{
    task_report report;
    report.task = params["task"].asString();
    report.attempt = params["attempt"].asInt();
    report.result = params["result"].asString();
    const std::optional<task_state> state = task_state_from(params["state"].asString());
    if (!state) {
        why = {error_code::invalid, step::answer, "", "state: unknown"};
        return std::nullopt;
    }
    report.state = *state;
    apply_end(report);
    return Json::Value(true);
}

void job_service::apply_end(const task_report& report)
{
    const auto found = jobs_.find(job_of_task(report.task));
    const std::size_t index = index_of(report.task);
    if (found == jobs_.end() || index >= found->second.tasks.size()) {
        return;
    }
    job& j = found->second;
    task& t = j.tasks[index];
    const bool held = t.phase == task_phase::running || t.phase == task_phase::placing;
    if (!held || (report.attempt > 0 && report.attempt < t.attempt)) {
        return;
    }
    queue_.refund(j.what);
    t.result = report.result;
    if (report.state == task_state::done) {
        t.phase = task_phase::done;
        finish_if_ended(j);
        return;
    }
    const auto policy = documents_.current()->classes.find(j.what.work_class);
    const std::int32_t most =
        policy != documents_.current()->classes.end() ? policy->second.max_attempts : 1;
    const bool again =
        report.state == task_state::checkpointed || (j.what.idempotent && t.attempt < most);
    if (again) {
        wait_again(j, index);
        return;
    }
    t.phase = task_phase::failed;
    t.uncertain = report.state == task_state::lapsed;
    finish_if_ended(j);
}

void job_service::finish_if_ended(job& j)
{
    outcome ending = outcome::done;
    for (const task& t : j.tasks) {
        if (t.phase != task_phase::done && t.phase != task_phase::failed) {
            return;
        }
        if (t.phase == task_phase::failed && ending != outcome::unknown) {
            ending = t.uncertain ? outcome::unknown : outcome::failed;
        }
    }
    j.ending = ending;
    Json::Value item;
    item["type"] = "job_ending";
    item["id"] = j.id;
    item["outcome"] = std::string(name_of(j.ending));
    journal_.append("cell", item, nullptr);
}

} // namespace sesamesill
