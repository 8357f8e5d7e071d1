// What the platform tells: the VM list and the tasks of a worker. Wire forms: docs/PLATFORM.md.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "sesamesill/http.h"
#include "sesamesill/resources.h"

namespace sesamesill {

enum class vm_role : std::uint8_t { entry, worker, executor };
enum class vm_state : std::uint8_t { live, leaving };

struct vm {
    std::string name;
    vm_role role = vm_role::worker;
    vm_state state = vm_state::live;
    endpoint address;
    endpoint peer_address; ///< entries: where they take JSON-RPC
    std::string data_center;
    std::string rack;
    resources size; ///< workers
    std::map<std::string, std::string> attributes;
    std::string service;          ///< executors
    std::int32_t slots = 0;       ///< executors: calls at once
    std::int32_t connections = 0; ///< executors: open connections over all entries
};

/// Returns the name of the shard that a VM belongs to: its rack within its data centre.
std::string shard_of(const vm& v);

/// Returns the list, or nothing and the reason; an entry that cannot be read is left out.
std::optional<std::vector<vm>> vms_from(const Json::Value& answer, error& why);

enum class task_state : std::uint8_t {
    running,
    throttled,
    checkpointed,
    done,
    failed,
    stopped,
    lease_expired ///< its lease was not renewed
};

std::string_view name_of(task_state state);
std::optional<task_state> task_state_from(std::string_view name);
/// Returns whether a task in `state` holds nothing any more.
bool is_ended(task_state state);

struct task_report {
    std::string task;
    std::int32_t attempt = 0;
    std::uint64_t epoch = 0;
    task_state state = task_state::running;
    resources reserved;
    resources used; ///< lags by some seconds
    std::string result;
};

struct worker_report {
    std::string incarnation;
    std::vector<task_report> tasks;
};

/// Returns a worker's answer to /sync, or nothing and the reason.
std::optional<worker_report> worker_report_from(const Json::Value& answer, error& why);

} // namespace sesamesill
