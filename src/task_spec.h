// What a shard's owner needs to know to start a task.

#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>

#include "sesamesill/environment.h"
#include "sesamesill/resources.h"
#include "sesamesill/submission.h"
#include "sesamesill/work.h"

namespace sesamesill {

struct task_spec {
    std::string task; ///< "<job>/<index>"
    std::int32_t attempt = 1;
    resources size;
    Json::Value payload;
    work_kind kind = work_kind::batch;
    std::string work_class;
    priority_band band = priority_band::normal;
    bool may_preempt = false;
    bool preemptible = false;
    std::int64_t max_per_rack = 0;
    std::map<std::string, std::string> attributes; ///< required of the worker
};

/// Returns the job's part of a task's name.
std::string job_of_task(const std::string& task);

/// Takes over what the class of the work says about its tasks.
void apply_policy(task_spec& spec, const class_policy& policy);

/// The form in which members pass it on.
Json::Value to_json(const task_spec& spec);
task_spec task_spec_from(const Json::Value& params);

} // namespace sesamesill
