// Passes log records, heartbeats and the VM list to the coordinator and performs its actions.

#include "cell_service.h"

#include <algorithm>
#include <cstdlib>

#include "cell_messages.h"
#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {
namespace {

constexpr millis advance_interval{20};
constexpr millis heartbeat_timeout{500};
constexpr const char* stream = "cell";

/// Returns the incarnation, which follows the last '#' in the name of a journal's writer.
std::uint64_t incarnation_in(const std::string& writer)
{
    const std::size_t mark = writer.rfind('#');
    return mark != std::string::npos ? std::strtoull(writer.c_str() + mark + 1, nullptr, 10) : 0;
}

member self_from(const node_settings& settings, const journal_service& journal)
{
    return {settings.name, incarnation_in(journal.writer()), settings.listen, settings.peer_listen};
}

ownership_settings ownership_settings_from(const node_settings& settings)
{
    ownership_settings s;
    s.lease = settings.lease;
    s.handover_wait = !is_disabled(settings, "handover_wait");
    s.revocation = !is_disabled(settings, "seal");
    s.revocation_shortfall = is_disabled(settings, "seal_one_less") ? 1 : 0;
    s.self_report = !is_disabled(settings, "own_word");
    return s;
}

membership_settings membership_settings_from(const node_settings& settings)
{
    membership_settings s;
    s.suspect_after = settings.lease * 2 / 3;
    s.dead_after = settings.lease * 4 / 3;
    s.probe_period = settings.heartbeat_interval;
    s.list_lag = settings.vm_list_lag;
    return s;
}

} // namespace

cell_service::cell_service(event_loop& loop, http_client& client, const node_settings& settings,
                           journal_service& journal)
    : loop_(loop), client_(client), settings_(settings), journal_(journal),
      self_(self_from(settings, journal)),
      coordinator_(self_, membership_settings_from(settings), ownership_settings_from(settings),
                   self_.incarnation)
{
}

void cell_service::start()
{
    subscribe_to_log();
    poll_vm_list();
    loop_.every(settings_.vm_list_interval, [this] { poll_vm_list(); });
    loop_.every(advance_interval, [this] { advance(); });
}

void cell_service::serve(http_server& callers, rpc_server& rpc)
{
    rpc.add("heartbeat", [this](const Json::Value& params, error& why) {
        const std::optional<heartbeat> h = decoded(params, why);
        std::optional<Json::Value> answer;
        if (h) {
            answer = encoded(coordinator_.on_request(*h, boot_clock::now()));
            advance();
        }
        return answer;
    });
    callers.route("GET", "/v1/cell", [this](const http_request&, const http_respond& respond) {
        respond({200, to_text(status()), {}, "application/json"});
    });
}

void cell_service::poll_vm_list()
{
    http_call call;
    call.path = "/vms";
    client_.send(settings_.vm_list, std::move(call),
                 [this](const std::optional<http_reply>& reply, const error& failure) {
                     error why = failure;
                     std::optional<std::vector<vm>> vms;
                     if (reply && reply->status == 200) {
                         vms = vms_from(json_from(reply->body).value_or(Json::Value()), why);
                     }
                     if (!vms) {
                         log_error("vm_list_failed", why);
                         return;
                     }
                     on_vm_list(std::move(*vms));
                 });
}

void cell_service::on_vm_list(std::vector<vm> vms)
{
    vms_ = std::move(vms);
    std::vector<member> entries;
    for (const vm& v : vms_) {
        if (v.role == vm_role::entry) {
            entries.push_back({v.name, 0, v.address, v.peer_address});
        }
    }
    coordinator_.peers().listed(entries, boot_clock::now());
    advance();
    for (const std::function<void()>& action : change_actions_) {
        action();
    }
}

void cell_service::subscribe_to_log()
{
    for (const char* type : {"view", "view_mark", "release"}) {
        journal_.on(type, [this](const journal_item& item) { on_log_item(item); });
    }
    journal_.on("gap", [this](const journal_item& gap) {
        if (gap.value["stream"].asString() == stream) {
            coordinator_.owners().on_history_missing(gap.offset, boot_clock::now());
        }
    });
    journal_.add_snapshot_source(stream, [this](std::vector<journal_item>& items) {
        if (epoch() != 0) {
            Json::Value mark = to_json(coordinator_.owners().snapshot(read_position_));
            mark["type"] = "view_mark";
            items.push_back({"view_mark", journal_.writer(), read_position_, mark});
        }
    });
}

void cell_service::on_log_item(const journal_item& item)
{
    const time_point now = boot_clock::now();
    ownership& owners = coordinator_.owners();
    error why;
    why.peer = item.writer;
    read_position_ = item.offset + 1;
    if (journal_.caught_up()) {
        owners.on_log_activity(item.writer.substr(0, item.writer.rfind('#')),
                               incarnation_in(item.writer), now);
    }
    if (item.type == "release") {
        owners.on_release(item.value["name"].asString(), item.value["incarnation"].asUInt64(), now);
    }
    else if (item.type == "view_mark") {
        const std::optional<view_checkpoint> mark = view_checkpoint_from(item.value, why);
        if (mark) {
            owners.on_checkpoint(*mark, now);
        }
    }
    else {
        std::optional<membership_view> v = view_from(item.value, why);
        if (v) {
            v->epoch = item.offset + 1;
            owners.on_view(*v, now);
        }
    }
    if (why.code != error_code::none) {
        log_error("record_skipped", why);
    }
    loop_.after(millis(0), [this] { advance(); });
}

void cell_service::append(const std::string& type, Json::Value item)
{
    item["type"] = type;
    ++waiting_;
    journal_.append(stream, item, [this](std::uint64_t /*offset*/) { --waiting_; });
}

void cell_service::advance()
{
    const time_point now = boot_clock::now();
    ownership& owners = coordinator_.owners();
    const time_point read = journal_.last_read_start();
    if (read != applied_read_) {
        applied_read_ = read;
        owners.on_log_read(read, now);
    }
    if (std::all_of(drained_checks_.begin(), drained_checks_.end(),
                    [](const auto& idle) { return idle(); })) {
        owners.mark_drained();
    }
    coordination_actions actions = coordinator_.advance(read_position_, now);
    for (const member& m : actions.probes) {
        probe(m);
    }
    if (actions.propose) {
        append("view", to_json(*actions.propose));
    }
    if (actions.mark) {
        append("view_mark", to_json(*actions.mark));
    }
    notify_if_changed(now);
}

void cell_service::notify_if_changed(time_point now)
{
    const ownership::authority_state authority_state =
        coordinator_.owners().authority_state_at(now);
    if (authority_state == authority_state_) {
        return;
    }
    if (authority_state.epoch != authority_state_.epoch) {
        log_view();
    }
    authority_state_ = authority_state;
    for (const std::function<void()>& action : change_actions_) {
        action();
    }
}

void cell_service::log_view() const
{
    std::string names;
    for (const member& m : members()) {
        names += (names.empty() ? "" : ",") + m.name;
    }
    log_event(log_level::info, "view",
              {{"epoch", static_cast<std::int64_t>(epoch())}, {"members", names}});
}

Json::Value cell_service::encoded(const heartbeat& h) const
{
    Json::Value out = to_json(h, settings_.environment);
    for (const shared_value& s : shared_) {
        out["shared"][s.key] = s.source();
    }
    return out;
}

std::optional<heartbeat> cell_service::decoded(const Json::Value& value, error& why)
{
    std::optional<heartbeat> h = heartbeat_from(value, settings_.environment, why);
    if (h && value["shared"].isObject()) {
        for (const shared_value& s : shared_) {
            if (value["shared"].isMember(s.key)) {
                s.receiver(h->from.name, value["shared"][s.key]);
            }
        }
    }
    return h;
}

void cell_service::probe(const member& to)
{
    const time_point asked = boot_clock::now();
    call_rpc(client_, to.peer_address, "heartbeat", encoded(coordinator_.request(asked)),
             heartbeat_timeout,
             [this, asked](const std::optional<Json::Value>& result, const error& failure) {
                 error why = failure;
                 const std::optional<heartbeat> h = result ? decoded(*result, why) : std::nullopt;
                 if (!h) {
                     log_event(log_level::debug, "heartbeat_failed",
                               {{"peer", why.peer}, {"reason", why.reason}});
                     return;
                 }
                 coordinator_.on_answer(*h, asked, boot_clock::now());
                 advance();
             });
}

void cell_service::answered(const std::string& name)
{
    for (const member& m : members()) {
        if (m.name == name) {
            coordinator_.peers().record_alive(m, boot_clock::now());
        }
    }
}

bool cell_service::ready() const
{
    return coordinator_.owners().in_view() && !coordinator_.owners().released();
}

std::optional<member> cell_service::owner_of(std::string_view shard_or_key) const
{
    const member* owner = coordinator_.owners().owner_of(shard_or_key);
    return owner != nullptr ? std::optional<member>(*owner) : std::nullopt;
}

bool cell_service::may_act(std::string_view shard_or_key) const
{
    return coordinator_.owners().may_act(shard_or_key, boot_clock::now());
}

millis cell_service::authority_left() const
{
    return std::chrono::duration_cast<millis>(
        coordinator_.owners().authority_left(boot_clock::now()));
}

void cell_service::release()
{
    if (coordinator_.owners().released()) {
        return;
    }
    const membership_view next = coordinator_.owners().release();
    Json::Value released;
    released["name"] = self_.name;
    released["incarnation"] = static_cast<Json::UInt64>(self_.incarnation);
    append("release", std::move(released));
    if (!next.members.empty()) {
        append("view", to_json(next));
    }
    notify_if_changed(boot_clock::now());
}

void cell_service::share(const std::string& key, std::function<Json::Value()> source,
                         std::function<void(const std::string&, const Json::Value&)> receiver)
{
    shared_.push_back({key, std::move(source), std::move(receiver)});
}

Json::Value cell_service::status() const
{
    const time_point now = boot_clock::now();
    const ownership& owners = coordinator_.owners();
    Json::Value out;
    out["self"] = self_.name;
    out["incarnation"] = static_cast<Json::UInt64>(self_.incarnation);
    out["epoch"] = static_cast<Json::UInt64>(owners.epoch());
    out["in_view"] = owners.in_view();
    out["releasing"] = owners.released();
    out["authority_left_ms"] = static_cast<Json::Int64>(authority_left().count());
    out["open_views"] = static_cast<Json::UInt64>(owners.open_views());
    out["view_changes"] = static_cast<Json::UInt64>(owners.changes());
    out["members"] = Json::Value(Json::arrayValue);
    for (const member& m : members()) {
        Json::Value entry;
        entry["name"] = m.name;
        entry["incarnation"] = static_cast<Json::UInt64>(m.incarnation);
        entry["state"] =
            std::string(name_of(coordinator_.peers().state_of(m.name, m.incarnation, now)));
        out["members"].append(entry);
    }
    out["shards"] = Json::Value(Json::objectValue);
    for (const vm& v : vms_) {
        const std::string shard = shard_of(v);
        if (v.role != vm_role::entry && !out["shards"].isMember(shard)) {
            const member* owner = owners.owner_of(shard);
            out["shards"][shard]["owner"] = owner != nullptr ? owner->name : "";
            out["shards"][shard]["acting"] = owners.may_act(shard, now);
        }
    }
    return out;
}

} // namespace sesamesill
