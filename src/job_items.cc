// Conversion of log items and messages about jobs to and from JSON.

#include "job_items.h"

namespace sesamesill {
namespace {

constexpr std::int64_t max_tasks = 1000000;

bool are_strings(const Json::Value& list)
{
    if (!list.isArray()) {
        return false;
    }
    for (const Json::Value& entry : list) {
        if (!entry.isString()) {
            return false;
        }
    }
    return true;
}

std::vector<std::string> strings_from(const Json::Value& list)
{
    std::vector<std::string> result;
    for (const Json::Value& entry : list) {
        result.push_back(entry.asString());
    }
    return result;
}

Json::Value to_json(const std::vector<std::string>& texts)
{
    Json::Value list(Json::arrayValue);
    for (const std::string& text : texts) {
        list.append(text);
    }
    return list;
}

bool has_strings(const Json::Value& value, std::initializer_list<const char*> keys)
{
    for (const char* key : keys) {
        if (!value[key].isString()) {
            return false;
        }
    }
    return true;
}

bool has_numbers(const Json::Value& value, std::initializer_list<const char*> keys)
{
    for (const char* key : keys) {
        if (!value[key].isInt64() || value[key].asInt64() < 0) {
            return false;
        }
    }
    return true;
}

std::optional<task_phase> end_phase_from(const std::string& name)
{
    for (const task_phase phase :
         {task_phase::done, task_phase::failed, task_phase::not_run, task_phase::unknown}) {
        if (name == name_of(phase)) {
            return phase;
        }
    }
    return std::nullopt;
}

std::optional<task_state> state_from(const std::string& name)
{
    for (std::uint8_t s = 0; s <= static_cast<std::uint8_t>(task_state::lease_expired); ++s) {
        if (name == name_of(static_cast<task_state>(s))) {
            return static_cast<task_state>(s);
        }
    }
    return std::nullopt;
}

} // namespace

Json::Value to_json(const accept_item& item)
{
    Json::Value value;
    value["type"] = "accept";
    value["id"] = item.id;
    value["job"] = to_json(item.what);
    value["job"]["kind"] = std::string(name_of(item.what.kind));
    value["max_attempts"] = item.max_attempts;
    return value;
}

std::optional<accept_item> accept_item_from(const Json::Value& value)
{
    const Json::Value& j = value["job"];
    if (!value["id"].isString() || !value["max_attempts"].isInt() || !j.isObject() ||
        !has_strings(j, {"organisation", "class", "key", "kind"}) || !j["idempotent"].isBool() ||
        !has_numbers(
            j, {"deadline_ms", "tasks", "cpu_millis", "memory_mb", "accelerators", "run_ms"}) ||
        j["tasks"].asInt64() < 1 || j["tasks"].asInt64() > max_tasks) {
        return std::nullopt;
    }
    accept_item item;
    item.id = value["id"].asString();
    item.max_attempts = value["max_attempts"].asInt();
    submission& s = item.what;
    s.organisation = j["organisation"].asString();
    s.work_class = j["class"].asString();
    s.key = j["key"].asString();
    s.kind = work_kind_from(j["kind"].asString()).value_or(work_kind::batch);
    s.idempotent = j["idempotent"].asBool();
    s.deadline = millis(j["deadline_ms"].asInt64());
    s.tasks = j["tasks"].asInt64();
    s.size = {j["cpu_millis"].asInt64(), j["memory_mb"].asInt64(), j["accelerators"].asInt64()};
    s.run_time = millis(j["run_ms"].asInt64());
    s.payload = j["payload"];
    return item;
}

Json::Value to_json(const task_end_item& item)
{
    Json::Value value;
    value["type"] = "task_end";
    value["id"] = item.id;
    value["task"] = static_cast<Json::UInt64>(item.index);
    value["phase"] = std::string(name_of(item.phase));
    value["result"] = item.result;
    return value;
}

std::optional<task_end_item> task_end_item_from(const Json::Value& value)
{
    if (!has_strings(value, {"id", "phase", "result"}) || !value["task"].isUInt64()) {
        return std::nullopt;
    }
    const std::optional<task_phase> phase = end_phase_from(value["phase"].asString());
    if (!phase) {
        return std::nullopt;
    }
    return task_end_item{value["id"].asString(), value["task"].asUInt64(), *phase,
                         value["result"].asString()};
}

Json::Value to_json(const recovery_request& request)
{
    Json::Value value;
    value["home"] = request.owner;
    value["round"] = static_cast<Json::UInt64>(request.round);
    value["jobs"] = to_json(request.jobs);
    return value;
}

std::optional<recovery_request> recovery_request_from(const Json::Value& value)
{
    if (!value.isObject() || !value["home"].isString() || !value["round"].isUInt64() ||
        !are_strings(value["jobs"])) {
        return std::nullopt;
    }
    return recovery_request{value["home"].asString(), value["round"].asUInt64(),
                            strings_from(value["jobs"])};
}

Json::Value to_json(const listed_task& task)
{
    Json::Value value;
    value["task"] = task.task;
    value["attempt"] = task.attempt;
    value["state"] = std::string(name_of(task.state));
    value["worker"] = task.worker;
    value["result"] = task.result;
    return value;
}

std::optional<listed_task> listed_task_from(const Json::Value& value)
{
    if (!value.isObject() || !has_strings(value, {"task", "state", "worker", "result"}) ||
        !value["attempt"].isInt()) {
        return std::nullopt;
    }
    const std::optional<task_state> state = state_from(value["state"].asString());
    if (!state) {
        return std::nullopt;
    }
    return listed_task{value["task"].asString(), value["attempt"].asInt(), *state,
                       value["worker"].asString(), value["result"].asString()};
}

Json::Value to_json(const recovery_answer& answer)
{
    Json::Value value;
    value["member"] = answer.member;
    value["shards"] = to_json(answer.shards);
    value["up_us"] = static_cast<Json::Int64>(answer.uptime.count());
    value["tasks"] = Json::Value(Json::arrayValue);
    for (const listed_task& t : answer.tasks) {
        value["tasks"].append(to_json(t));
    }
    return value;
}

std::optional<recovery_answer> recovery_answer_from(const Json::Value& value)
{
    if (!value.isObject() || !value["member"].isString() || !are_strings(value["shards"]) ||
        !value["up_us"].isInt64() || !value["tasks"].isArray()) {
        return std::nullopt;
    }
    recovery_answer answer;
    answer.member = value["member"].asString();
    answer.shards = strings_from(value["shards"]);
    answer.uptime = micros(value["up_us"].asInt64());
    for (const Json::Value& entry : value["tasks"]) {
        const std::optional<listed_task> t = listed_task_from(entry);
        if (!t) {
            return std::nullopt;
        }
        answer.tasks.push_back(*t);
    }
    return answer;
}

std::vector<std::size_t> indices_from(const Json::Value& value)
{
    std::vector<std::size_t> result;
    if (value.isArray()) {
        for (const Json::Value& index : value) {
            if (index.isUInt64()) {
                result.push_back(index.asUInt64());
            }
        }
    }
    return result;
}

} // namespace sesamesill
