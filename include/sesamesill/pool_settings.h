// Settings of one member of the pool's control plane, read from an INI file.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "sesamesill/environment.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_member.h"

namespace sesamesill::pool {

struct daemon_settings {
    std::string name;
    std::string data_center;
    endpoint listen;           ///< for clients
    endpoint readiness_listen; ///< for the load balancer's readiness checks
    endpoint peer_listen;      ///< for other members
    endpoint peer_address;     ///< where other members reach this one; `peer_listen` if not set
    endpoint metrics_listen;
    endpoint store;
    endpoint advisor;
    double processor_share = 1; ///< share of a core that this member may use
    platform_bounds bounds;
    double link_mbps = 0;                 ///< of this member's network link; 0 if it isn't known
    double memory_mb = default_memory_mb; ///< that this member's process may use
};

/// Returns the settings, or nothing if there are faults, and appends every fault found to `faults`.
/// Ignores unknown keys, because the platform may add keys.
std::optional<daemon_settings> parse_daemon_settings(std::string_view text,
                                                     std::vector<fault>& faults);

} // namespace sesamesill::pool
