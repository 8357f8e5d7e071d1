// Describes a task to the owner of a shard, which starts it on a worker.

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
    resources size;      ///< as declared by the client
    Json::Value payload; ///< passed to the worker unchanged
    work_kind kind = work_kind::batch;
    std::string work_class;
    priority_band band = priority_band::normal;
    bool may_preempt = false;      ///< may stop other tasks to get room
    bool preemptible = false;      ///< may be stopped to make room for other tasks
    std::int64_t max_per_rack = 0; ///< limit on the job's tasks in one rack; 0 for none
    std::map<std::string, std::string> attributes; ///< attributes that the worker must have
};

/// Returns the part of a task's name that names its job.
std::string job_of_task(const std::string& task);

/// Copies the settings of the work class to the task.
void apply_policy(task_spec& spec, const class_policy& policy);

/// Returns the JSON in which members forward a task to each other.
Json::Value to_json(const task_spec& spec);
/// Returns the task that to_json() wrote. An unknown kind or band leaves the default.
task_spec task_spec_from(const Json::Value& params);

} // namespace sesamesill
