// Settings of one member of the pool's control plane, read from INI.

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
    endpoint listen;           ///< clients
    endpoint readiness_listen; ///< the balancer
    endpoint peer_listen;      ///< other members
    endpoint peer_address;     ///< where they reach this one; `peer_listen` if not set
    endpoint metrics_listen;
    endpoint store;
    endpoint advisor;
    double processor_share = 1; ///< of a core that this member may use
    platform_bounds bounds;
};

/// Returns the settings, or nothing and every fault found. Unknown keys are ignored: the platform
/// may add some.
std::optional<daemon_settings> parse_daemon_settings(std::string_view text,
                                                     std::vector<fault>& faults);

} // namespace sesamesill::pool
