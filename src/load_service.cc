// One exchange an interval: its bytes do not grow with the cell.

#include "load_service.h"

#include <algorithm>

namespace sesamesill {
namespace {

constexpr millis exchange_timeout{500};
constexpr std::int64_t stale_rounds = 3; ///< of asking every member once

} // namespace

load_service::load_service(event_loop& loop, http_client& client, cell_service& cell,
                           const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), settings_(settings),
      peers_(settings.heartbeat_interval * stale_rounds)
{
    cell_.on_change([this] {
        std::vector<std::string> names;
        for (const member& m : cell_.members()) {
            names.push_back(m.name);
        }
        const std::int64_t round =
            std::max<std::int64_t>(2, static_cast<std::int64_t>(names.size()));
        peers_.keep_only(names);
        peers_.set_stale_after(settings_.heartbeat_interval * round);
    });
}

void load_service::serve(rpc_server& rpc)
{
    rpc.add("load", [this](const Json::Value& params, error& why) { return take(params, why); });
}

void load_service::start(std::function<load_summary()> summary, std::function<void()> heard)
{
    summary_ = std::move(summary);
    heard_ = std::move(heard);
    loop_.every(settings_.heartbeat_interval, [this] { ask_next(); });
}

Json::Value load_service::own() const
{
    Json::Value told;
    told["from"] = settings_.name;
    told["environment"] = settings_.environment;
    told["load"] = to_json(summary_());
    return told;
}

bool load_service::accept(const Json::Value& told, const std::string& expected, error& why)
{
    why = {error_code::invalid, step::routing, expected,
           "load: from, environment and load are needed"};
    if (!told.isObject() || !told["from"].isString() || !told["environment"].isString()) {
        return false;
    }
    const std::string from = told["from"].asString();
    if (told["environment"].asString() != settings_.environment) {
        why = {error_code::conflict, step::routing, from, "another cell's member"};
        return false;
    }
    const std::vector<member>& members = cell_.members();
    const bool known = std::any_of(members.begin(), members.end(),
                                   [&from](const member& m) { return m.name == from; });
    if (!known || from == settings_.name || (!expected.empty() && from != expected)) {
        why = {error_code::not_found, step::routing, from, "not a member"};
        return false;
    }
    std::optional<load_summary> load = load_from(told["load"], why);
    if (!load) {
        why.peer = from;
        return false;
    }
    peers_.report(from, std::move(*load), boot_clock::now());
    heard_();
    return true;
}

std::optional<Json::Value> load_service::take(const Json::Value& params, error& why)
{
    if (!summary_ || !accept(params, "", why)) {
        return std::nullopt;
    }
    return own();
}

void load_service::ask_next()
{
    const std::vector<member>& members = cell_.members();
    if (members.empty()) {
        return;
    }
    next_ = (next_ + 1) % members.size();
    if (members[next_].name == settings_.name) {
        next_ = (next_ + 1) % members.size();
    }
    const member to = members[next_];
    if (to.name == settings_.name) {
        return;
    }
    call_rpc(client_, to.peer_address, "load", own(), exchange_timeout,
             [this, to](const std::optional<Json::Value>& answer, const error&) {
                 error why;
                 if (!answer || !accept(*answer, to.name, why)) {
                     peers_.on_unreachable(to.name);
                 }
             });
}

} // namespace sesamesill
