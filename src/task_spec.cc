// Converts task specifications to and from the JSON that members exchange.

#include "task_spec.h"

namespace sesamesill {

std::string job_of_task(const std::string& task)
{
    return task.substr(0, task.find('/'));
}

void apply_policy(task_spec& spec, const class_policy& policy)
{
    spec.kind = policy.kind;
    spec.work_class = policy.name;
    spec.band = policy.priority;
    spec.may_preempt = policy.may_preempt;
    spec.preemptible = policy.preemptible;
    spec.max_per_rack = policy.max_per_rack;
    spec.attributes = policy.required_attributes;
}

Json::Value to_json(const task_spec& spec)
{
    Json::Value body;
    body["task"] = spec.task;
    body["attempt"] = spec.attempt;
    body["cpu_millis"] = static_cast<Json::Int64>(spec.size.cpu_millis);
    body["memory_mb"] = static_cast<Json::Int64>(spec.size.memory_mb);
    body["accelerators"] = static_cast<Json::Int64>(spec.size.accelerators);
    body["payload"] = spec.payload;
    body["kind"] = std::string(name_of(spec.kind));
    body["class"] = spec.work_class;
    body["band"] = std::string(name_of(spec.band));
    body["may_preempt"] = spec.may_preempt;
    body["preemptible"] = spec.preemptible;
    body["max_per_rack"] = static_cast<Json::Int64>(spec.max_per_rack);
    for (const std::pair<const std::string, std::string>& attribute : spec.attributes) {
        body["attributes"][attribute.first] = attribute.second;
    }
    return body;
}

task_spec task_spec_from(const Json::Value& params)
{
    task_spec spec;
    spec.task = params["task"].asString();
    spec.attempt = params["attempt"].asInt();
    spec.size = {params["cpu_millis"].asInt64(), params["memory_mb"].asInt64(),
                 params["accelerators"].asInt64()};
    spec.payload = params["payload"];
    spec.kind = work_kind_from(params["kind"].asString()).value_or(spec.kind);
    spec.work_class = params["class"].asString();
    spec.band = priority_band_from(params["band"].asString()).value_or(spec.band);
    spec.may_preempt = params["may_preempt"].asBool();
    spec.preemptible = params["preemptible"].asBool();
    spec.max_per_rack = params["max_per_rack"].asInt64();
    const Json::Value& attributes = params["attributes"];
    for (const std::string& name : attributes.getMemberNames()) {
        spec.attributes[name] = attributes[name].asString();
    }
    return spec;
}

} // namespace sesamesill
