// Parses the platform's VM list and the reports of its workers.

#include "sesamesill/platform.h"

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<vm_role, 3> role_names{
    {{vm_role::entry, "entry"}, {vm_role::worker, "worker"}, {vm_role::executor, "executor"}}};

constexpr name_table<task_state, 7> task_state_names{{{task_state::running, "running"},
                                                      {task_state::throttled, "throttled"},
                                                      {task_state::checkpointed, "checkpointed"},
                                                      {task_state::done, "done"},
                                                      {task_state::failed, "failed"},
                                                      {task_state::stopped, "stopped"},
                                                      {task_state::lease_expired, "lapsed"}}};

std::string text_at(const Json::Value& object, const char* key)
{
    const Json::Value& value = object[key];
    return value.isString() ? value.asString() : std::string();
}

std::int64_t number_at(const Json::Value& object, const char* key)
{
    const Json::Value& value = object[key];
    return value.isInt64() ? value.asInt64() : 0;
}

std::uint16_t port_at(const Json::Value& object, const char* key)
{
    const std::int64_t port = number_at(object, key);
    return port > 0 && port < 65536 ? static_cast<std::uint16_t>(port) : std::uint16_t{0};
}

resources resources_from(const Json::Value& object, const std::string& prefix)
{
    return {number_at(object, (prefix + "cpu_millis").c_str()),
            number_at(object, (prefix + "memory_mb").c_str()),
            number_at(object, (prefix + "accelerators").c_str())};
}

std::optional<vm> vm_from(const Json::Value& entry)
{
    if (!entry.isObject()) {
        return std::nullopt;
    }
    const std::optional<vm_role> role = value_in(role_names, text_at(entry, "role"));
    vm result;
    result.name = text_at(entry, "name");
    result.address = {text_at(entry, "address"), port_at(entry, "port")};
    if (!role || result.name.empty() || result.address.port == 0) {
        return std::nullopt;
    }
    result.role = *role;
    result.state = text_at(entry, "state") == "leaving" ? vm_state::leaving : vm_state::live;
    result.peer_address = {result.address.address, port_at(entry, "peer_port")};
    result.data_center = text_at(entry, "data_center");
    result.rack = text_at(entry, "rack");
    result.size = resources_from(entry, "");
    result.service = text_at(entry, "service");
    result.slots = static_cast<std::int32_t>(number_at(entry, "slots"));
    result.connections = static_cast<std::int32_t>(number_at(entry, "connections"));
    const Json::Value& attributes = entry["attributes"];
    if (attributes.isObject()) {
        for (const std::string& key : attributes.getMemberNames()) {
            result.attributes[key] = text_at(attributes, key.c_str());
        }
    }
    return result;
}

} // namespace

std::string shard_of(const vm& v)
{
    return v.data_center + "/" + v.rack;
}

std::optional<std::vector<vm>> vms_from(const Json::Value& answer, error& why)
{
    if (!answer.isObject() || !answer["vms"].isArray()) {
        why = {error_code::corrupt, step::membership, "vm list", "the answer has no array \"vms\""};
        return std::nullopt;
    }
    std::vector<vm> result;
    for (const Json::Value& entry : answer["vms"]) {
        std::optional<vm> v = vm_from(entry);
        if (v) {
            result.push_back(std::move(*v));
        }
    }
    return result;
}

std::string_view name_of(task_state state)
{
    return name_in(task_state_names, state);
}

std::optional<task_state> task_state_from(std::string_view name)
{
    return value_in(task_state_names, name);
}

bool is_ended(task_state state)
{
    return state == task_state::done || state == task_state::failed ||
           state == task_state::stopped || state == task_state::lease_expired;
}

std::optional<worker_report> worker_report_from(const Json::Value& answer, error& why)
{
    if (!answer.isObject() || !answer["tasks"].isArray()) {
        why = {error_code::corrupt, step::answer, "", "the worker's answer has no array \"tasks\""};
        return std::nullopt;
    }
    worker_report result;
    result.incarnation = text_at(answer, "incarnation");
    for (const Json::Value& entry : answer["tasks"]) {
        const std::optional<task_state> state =
            entry.isObject() ? value_in(task_state_names, text_at(entry, "state")) : std::nullopt;
        if (!state) {
            why = {error_code::corrupt, step::answer, "",
                   "a task in \"tasks\" has a missing or unknown \"state\""};
            return std::nullopt;
        }
        task_report report;
        report.task = text_at(entry, "task");
        report.attempt = static_cast<std::int32_t>(number_at(entry, "attempt"));
        report.epoch = static_cast<std::uint64_t>(number_at(entry, "epoch"));
        report.state = *state;
        report.reserved = resources_from(entry, "");
        report.used = resources_from(entry, "used_");
        report.result = text_at(entry, "result");
        result.tasks.push_back(std::move(report));
    }
    return result;
}

} // namespace sesamesill
