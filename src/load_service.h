// Tells the other members what this one offers, one member an interval in turn, and keeps what they
// tell.

#pragma once

#include <functional>
#include <string>

#include "cell_service.h"
#include "sesamesill/http.h"
#include "sesamesill/routing.h"
#include "sesamesill/rpc.h"

namespace sesamesill {

class load_service {
public:
    load_service(event_loop& loop, http_client& client, cell_service& cell,
                 const node_settings& settings);

    void serve(rpc_server& rpc);
    /// `summary` returns what this member offers now; `heard` runs after each answer of another.
    void start(std::function<load_summary()> summary, std::function<void()> heard);

    peer_table& peers() { return peers_; }

private:
    void ask_next();
    std::optional<Json::Value> take(const Json::Value& params, error& why);
    bool accept(const Json::Value& told, const std::string& expected, error& why);
    Json::Value own() const;

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    const node_settings& settings_;
    peer_table peers_;
    std::size_t next_ = 0; ///< whom to ask next
    std::function<load_summary()> summary_;
    std::function<void()> heard_;
};

} // namespace sesamesill
