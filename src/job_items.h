// JSON forms of the log items and of the messages between members about jobs.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/recovery.h"

namespace sesamesill {

/// Log item: an accepted job.
struct accept_item {
    std::string id;
    submission what;
    std::int32_t max_attempts = 1;
};

/// Log item: the end of a task.
struct task_end_item {
    std::string id;
    std::size_t index = 0;
    task_phase phase = task_phase::done;
    std::string result;
};

/// Request of an owner that recovers jobs, sent to every member.
struct recovery_request {
    std::string owner;
    std::uint64_t round =
        0; ///< start requests of earlier rounds of this owner are refused afterwards
    std::vector<std::string> jobs;
};

Json::Value to_json(const accept_item& item);
Json::Value to_json(const task_end_item& item);
Json::Value to_json(const recovery_request& request);
Json::Value to_json(const recovery_answer& answer);
Json::Value to_json(const listed_task& task);

/// Each returns nullopt if a field is missing or has an invalid type or value.
std::optional<accept_item> accept_item_from(const Json::Value& value);
std::optional<task_end_item> task_end_item_from(const Json::Value& value);
std::optional<recovery_request> recovery_request_from(const Json::Value& value);
std::optional<recovery_answer> recovery_answer_from(const Json::Value& value);
std::optional<listed_task> listed_task_from(const Json::Value& value);
/// Returns the indices in a list; ignores other elements.
std::vector<std::size_t> indices_from(const Json::Value& value);

} // namespace sesamesill
