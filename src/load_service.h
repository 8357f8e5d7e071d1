// Tells the other members what this one offers, with each heartbeat, and keeps what they tell.

#pragma once

#include <functional>
#include <string>

#include "cell_service.h"
#include "sesamesill/routing.h"

namespace sesamesill {

class load_service {
public:
    load_service(cell_service& cell, const node_settings& settings);

    /// `summary` returns what this member offers now; `heard` runs after each word of another.
    void share(std::function<load_summary()> summary, std::function<void()> heard);

    peer_table& peers() { return peers_; }

private:
    void keep_members();
    void take(const std::string& peer, const Json::Value& told);

    cell_service& cell_;
    millis interval_;
    peer_table peers_;
    std::function<void()> heard_;
};

} // namespace sesamesill
