// Rides on the heartbeats, whose number does not grow with the cell.

#include "load_service.h"

#include <algorithm>

#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr std::int64_t least_stale_rounds = 3;

} // namespace

load_service::load_service(cell_service& cell, const node_settings& settings)
    : cell_(cell), interval_(heartbeat_period(settings)), peers_(interval_ * least_stale_rounds)
{
    cell_.on_change([this] { keep_members(); });
}

void load_service::keep_members()
{
    std::vector<std::string> names;
    names.reserve(cell_.members().size());
    for (const member& m : cell_.members()) {
        names.push_back(m.name);
    }
    peers_.keep_only(names);
    // A member hears from each other one about once in as many intervals as there are members.
    const std::int64_t rounds = static_cast<std::int64_t>(names.size());
    peers_.set_stale_after(interval_ * std::max(least_stale_rounds, rounds));
}

void load_service::share(std::function<load_summary()> summary, std::function<void()> heard)
{
    heard_ = std::move(heard);
    cell_.share(
        "load", [summary = std::move(summary)] { return to_json(summary()); },
        [this](const std::string& peer, const Json::Value& told) { take(peer, told); });
}

void load_service::take(const std::string& peer, const Json::Value& told)
{
    error why;
    std::optional<load_summary> load = load_from(told, why);
    if (!load) {
        why.peer = peer;
        log_error("load_refused", why);
        return;
    }
    peers_.report(peer, std::move(*load), boot_clock::now());
    heard_();
}

} // namespace sesamesill
