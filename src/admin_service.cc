// Collects the status of all entries with one RPC to each.

#include "admin_service.h"

#include <memory>

#include "operators.h"
#include "replies.h"
#include "sesamesill/log.h"
#include "sesamesill/metrics.h"

namespace sesamesill {
namespace {

constexpr millis status_timeout{500};

/// Collects the status of each entry and replies once all have answered or timed out.
struct status_collector {
    Json::Value members{Json::arrayValue};
    std::size_t outstanding = 0;
    std::string environment;
    http_respond respond;

    void add(const Json::Value& status)
    {
        members.append(status);
        if (--outstanding > 0) {
            return;
        }
        Json::Value answer;
        answer["environment"] = environment;
        answer["members"] = members;
        respond(json_reply(200, answer));
    }
};

} // namespace

admin_service::admin_service(http_client& client, cell_service& cell, const node_settings& settings)
    : client_(client), cell_(cell), settings_(settings)
{
}

void admin_service::add_status(const std::string& part, status_source source)
{
    sources_.push_back({part, std::move(source)});
}

void admin_service::before_metrics(std::function<void()> action)
{
    metrics_refreshers_.push_back(std::move(action));
}

void admin_service::serve(http_server& callers, rpc_server& rpc)
{
    rpc.add("status", [this](const Json::Value&, error&) {
        return std::optional<Json::Value>(own_status());
    });
    callers.route("GET", "/v1/status",
                  [this](const http_request&, const http_respond& respond) { show_cell(respond); });
    callers.route("POST", "/v1/drain", [this](const http_request& r, const http_respond& respond) {
        drain(r, respond);
    });
    callers.route("GET", "/metrics", [this](const http_request&, const http_respond& respond) {
        show_metrics(respond);
    });
}

Json::Value admin_service::own_status() const
{
    Json::Value status;
    status["name"] = settings_.name;
    status["data_center"] = settings_.data_center;
    status["address"] = to_string(settings_.listen);
    for (const named_source& s : sources_) {
        status[s.part] = s.source();
    }
    return status;
}

void admin_service::show_cell(const http_respond& respond) const
{
    const std::shared_ptr<status_collector> collector = std::make_shared<status_collector>();
    collector->environment = settings_.environment;
    collector->respond = respond;
    std::vector<vm> others;
    for (const vm& v : cell_.vms()) {
        if (v.role == vm_role::entry && v.name != settings_.name) {
            others.push_back(v);
        }
    }
    collector->outstanding = others.size() + 1;
    for (const vm& v : others) {
        call_rpc(client_, v.peer_address, "status", Json::Value(Json::objectValue), status_timeout,
                 [collector, v](const std::optional<Json::Value>& answer, const error& why) {
                     Json::Value status;
                     status["name"] = v.name;
                     status["address"] = to_string(v.address);
                     status["error"] = to_json(why);
                     collector->add(answer ? *answer : status);
                 });
    }
    collector->add(own_status());
}

void admin_service::drain(const http_request& request, const http_respond& respond) const
{
    const std::optional<std::string> who =
        operator_of(request, settings_.operators, settings_.environment);
    if (!who) {
        respond(error_reply(401, {error_code::invalid, step::admission, "", "no valid token"}));
        return;
    }
    log_event(log_level::info, "audit", {{"operator", *who}, {"action", std::string("drain")}});
    Json::Value answer;
    answer["draining"] = settings_.name;
    respond(json_reply(202, answer));
    drain_action_();
}

void admin_service::show_metrics(const http_respond& respond) const
{
    for (const std::function<void()>& action : metrics_refreshers_) {
        action();
    }
    respond({200, process_metrics().text(), {}, "text/plain; version=0.0.4"});
}

} // namespace sesamesill
