// Reports the load of this member to the others with each heartbeat, and stores their reports.

#pragma once

#include <functional>
#include <string>

#include "cell_service.h"
#include "sesamesill/routing.h"

namespace sesamesill {

class load_service {
public:
    load_service(cell_service& cell, const node_settings& settings);

    /// Starts the exchange: `summary` returns the current load of this member, and `on_report` runs
    /// after each report of another member.
    void share(std::function<load_summary()> summary, std::function<void()> on_report);

    peer_table& peers() { return peers_; }

private:
    void remove_former_members();
    void on_load(const std::string& peer, const Json::Value& report);

    cell_service& cell_;
    millis interval_;
    peer_table peers_;
    std::function<void()> on_report_;
};

} // namespace sesamesill
