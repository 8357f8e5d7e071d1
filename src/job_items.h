// Items and messages about jobs: their JSON forms.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/recovery.h"

namespace sesamesill {

/// An accepted job as the log holds it.
struct accept_item {
    std::string id;
    submission what;
    std::int32_t max_attempts = 1;
};

struct task_end_item {
    std::string id;
    std::size_t index = 0;
    task_phase phase = task_phase::done;
    std::string result;
};

/// What a home asks of the members whose tasks it recovers.
struct recovery_request {
    std::string owner;
    std::uint64_t round = 0; ///< starts of earlier rounds of this home are refused from now on
    std::vector<std::string> jobs;
};

Json::Value to_json(const accept_item& item);
Json::Value to_json(const task_end_item& item);
Json::Value to_json(const recovery_request& request);
Json::Value to_json(const recovery_answer& answer);
Json::Value to_json(const listed_task& task);

/// Each returns nothing where a field is missing or of another kind.
std::optional<accept_item> accept_item_from(const Json::Value& value);
std::optional<task_end_item> task_end_item_from(const Json::Value& value);
std::optional<recovery_request> recovery_request_from(const Json::Value& value);
std::optional<recovery_answer> recovery_answer_from(const Json::Value& value);
std::optional<listed_task> listed_task_from(const Json::Value& value);
std::vector<std::size_t> indices_from(const Json::Value& value);

} // namespace sesamesill
