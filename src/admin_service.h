// HTTP API of operators for status, metrics and draining.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cell_service.h"
#include "sesamesill/http.h"
#include "sesamesill/rpc.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class admin_service {
public:
    using status_source = std::function<Json::Value()>;

    admin_service(http_client& client, cell_service& cell, const node_settings& settings);

    /// Adds a part to the status of this member.
    void add_status(const std::string& part, status_source source);
    /// Adds an action that updates gauges. It runs before each output of the metrics.
    void before_metrics(std::function<void()> action);
    /// Sets the action that starts a drain of this member.
    void on_drain(std::function<void()> action) { drain_action_ = std::move(action); }
    void serve(http_server& callers, rpc_server& rpc);

private:
    struct named_source {
        std::string part;
        status_source source;
    };

    Json::Value own_status() const;
    void show_cell(const http_respond& respond) const;
    void drain(const http_request& request, const http_respond& respond) const;
    void show_metrics(const http_respond& respond) const;

    http_client& client_;
    cell_service& cell_;
    const node_settings& settings_;
    std::vector<named_source> sources_;
    std::vector<std::function<void()>> metrics_refreshers_;
    std::function<void()> drain_action_;
};

} // namespace sesamesill
