// Settings of one daemon, read from INI. Errors about unknown or invalid settings name their line.

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

/// An operator's access key, written as "name = TOKEN [environment ...]" in the settings.
struct operator_key {
    std::string name;
    std::string token;
    std::vector<std::string> environments; ///< those the operator may change; empty for all
};

struct node_settings {
    std::string name; ///< name of this entry VM in the VM list
    std::string data_center;
    std::string environment; ///< environment whose document applies to this cell
    endpoint listen;         ///< address for callers and operators
    endpoint peer_listen;    ///< address for other members
    endpoint log;
    endpoint vm_list;
    millis commit_interval{5};       ///< minimum time between two group commits to the log
    millis snapshot_interval{60000}; ///< must be well below the retention of the log
    millis key_retention{600000};    ///< how long the outcome of a request is kept
    millis heartbeat_interval{0};    ///< 0 for the period that the byte budget allows
    millis lease{1500};              ///< how long an authority is valid after it was confirmed
    millis vm_list_interval{1000};
    millis vm_list_lag{60000}; ///< longest time by which the VM list may be out of date
    millis sync_interval{500}; ///< time between two reports requested from a worker
    millis task_lease{10000};
    millis log_timeout{2000};
    /// Planned stop: time to keep serving while not ready, so that the load balancer can react.
    millis stop_announce{1500};
    millis drain_limit{30000};                 ///< planned stop: longest wait for work in flight
    millis document_snapshot_interval{600000}; ///< must be well below the retention of the log
    std::vector<operator_key> operators;       ///< if empty, all changes by operators are refused
    bool faults = false;                       ///< test only: serves /test/faults
    std::string disable;                       ///< test only: comma-separated mechanisms to disable
};

/// Returns the time between two heartbeats of a member: the configured interval, or the default
/// period if none is set.
millis heartbeat_period(const node_settings& settings);

/// Returns whether the test-only list `settings.disable` names `mechanism`.
bool is_disabled(const node_settings& settings, std::string_view mechanism);

/// Returns the settings, or nothing and all errors found.
std::optional<node_settings> parse_settings(std::string_view text, std::vector<fault>& faults);

} // namespace sesamesill
