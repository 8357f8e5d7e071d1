// Sends load reports with the heartbeats, whose rate per member does not grow with the cell.

#include "load_service.h"

#include <algorithm>

#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr std::int64_t min_stale_rounds = 3;

} // namespace

load_service::load_service(cell_service& cell, const node_settings& settings)
    : cell_(cell), interval_(heartbeat_period(settings)), peers_(interval_ * min_stale_rounds)
{
    cell_.on_change([this] { remove_former_members(); });
}

void load_service::remove_former_members()
{
    std::vector<std::string> names;
    names.reserve(cell_.members().size());
    for (const member& m : cell_.members()) {
        names.push_back(m.name);
    }
    peers_.keep_only(names);
    // Each other member reports to this one about once in as many intervals as there are members.
    const std::int64_t rounds = static_cast<std::int64_t>(names.size());
    peers_.set_stale_after(interval_ * std::max(min_stale_rounds, rounds));
}

void load_service::share(std::function<load_summary()> summary, std::function<void()> on_report)
{
    on_report_ = std::move(on_report);
    cell_.share(
        "load", [summary = std::move(summary)] { return to_json(summary()); },
        [this](const std::string& peer, const Json::Value& report) { on_load(peer, report); });
}

void load_service::on_load(const std::string& peer, const Json::Value& report)
{
    error why;
    std::optional<load_summary> load = load_from(report, why);
    if (!load) {
        why.peer = peer;
        log_error("load_refused", why);
        return;
    }
    peers_.report(peer, std::move(*load), boot_clock::now());
    on_report_();
}

} // namespace sesamesill
