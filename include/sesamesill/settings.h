// Settings of one daemon, read from INI. Unknown and impossible settings are named with their line.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"
#include "sesamesill/http.h"

namespace sesamesill {

/// One operator's key; written as "name = TOKEN [environment ...]".
struct operator_key {
    std::string name;
    std::string token;
    std::vector<std::string> environments; ///< that it may change; empty for all
};

struct node_settings {
    std::string name; ///< of this entry VM, as in the VM list
    std::string data_center;
    std::string environment; ///< whose document this cell runs under
    endpoint listen;         ///< callers and operators
    endpoint peer_listen;    ///< other members
    endpoint log;
    endpoint vm_list;
    millis commit_interval{5};       ///< shortest time between two group commits to the log
    millis snapshot_interval{60000}; ///< well below the time for which the log keeps records
    millis key_retention{600000};    ///< how long the ending of a request is remembered
    millis heartbeat_interval{0};    ///< 0: as often as the budget of bytes allows
    millis lease{1500};              ///< validity of an authority once confirmed
    millis vm_list_interval{1000};
    millis vm_list_lag{60000}; ///< longest delay of the VM list
    millis sync_interval{500}; ///< between reports asked of a worker
    millis task_lease{10000};
    millis log_timeout{2000};
    millis stop_announce{1500}; ///< planned stop: not ready but serving, until the balancer knows
    millis drain_limit{30000};  ///< planned stop: longest wait for what is in flight
    millis document_snapshot_interval{600000}; ///< well below the retention of the log
    std::vector<operator_key> operators;       ///< none: all changes by operators are refused
    bool faults = false;                       ///< test only: serve /test/faults
    std::string disable; ///< test only: mechanisms to switch off, comma-separated
};

/// Returns the time between two heartbeats of a member, also where it is left to the byte budget.
millis heartbeat_period(const node_settings& settings);

/// Returns whether the test-only list `settings.disable` names `mechanism`.
bool is_disabled(const node_settings& settings, std::string_view mechanism);

/// Returns the settings, or nothing and every fault found.
std::optional<node_settings> parse_settings(std::string_view text, std::vector<fault>& faults);

} // namespace sesamesill
