// Reads the platform's VM list and the task lists of its workers. docs/PLATFORM.md describes the
// JSON formats.

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
    endpoint peer_address; ///< entries: address for JSON-RPC from other members
    std::string data_center;
    std::string rack;
    resources size; ///< workers: capacity
    std::map<std::string, std::string> attributes;
    std::string service;          ///< executors: name of the service they run
    std::int32_t slots = 0;       ///< executors: maximum number of concurrent calls
    std::int32_t connections = 0; ///< executors: connection limit over all entries
};

/// Returns the name of the VM's shard, "<data centre>/<rack>".
std::string shard_of(const vm& v);

/// Returns the VMs of the platform's answer, or nothing and the reason. Skips entries
/// that it cannot read.
std::optional<std::vector<vm>> vms_from(const Json::Value& answer, error& why);

enum class task_state : std::uint8_t {
    running,
    throttled,
    checkpointed,
    done,
    failed,
    stopped,
    lease_expired ///< the task ended because its lease was not renewed
};

std::string_view name_of(task_state state);
std::optional<task_state> task_state_from(std::string_view name);
/// Returns whether a task in `state` has ended and uses no resources of its worker.
bool is_ended(task_state state);

struct task_report {
    std::string task;
    std::int32_t attempt = 0;
    std::uint64_t epoch = 0;
    task_state state = task_state::running;
    resources reserved;
    resources used;     ///< measured usage, some seconds old
    std::string result; ///< the task's result, or why it ended
};

struct worker_report {
    std::string incarnation; ///< identifies one run of the worker process
    std::vector<task_report> tasks;
};

/// Returns the report in a worker's answer to /sync, or nothing and the reason.
std::optional<worker_report> worker_report_from(const Json::Value& answer, error& why);

} // namespace sesamesill
