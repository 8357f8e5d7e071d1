// Validates every message completely before it is used, so that an invalid one has no effect.

#include "cell_messages.h"

namespace sesamesill {
namespace {

constexpr std::size_t max_views = 64;

std::uint64_t integer_at(const Json::Value& object, const char* key)
{
    const Json::Value& value = object[key];
    return value.isUInt64() ? value.asUInt64() : 0;
}

std::string text_at(const Json::Value& object, const char* key)
{
    const Json::Value& value = object[key];
    return value.isString() ? value.asString() : std::string();
}

void set_reason(error& why, const std::string& reason)
{
    why = {error_code::invalid, step::membership, why.peer, reason};
}

void write_member(Json::Value& out, const member& m)
{
    out["name"] = m.name;
    out["incarnation"] = static_cast<Json::UInt64>(m.incarnation);
    out["address"] = to_string(m.address);
    out["peer_address"] = to_string(m.peer_address);
}

std::optional<member> member_from(const Json::Value& value, error& why)
{
    if (!value.isObject()) {
        set_reason(why, "member is not an object");
        return std::nullopt;
    }
    const std::optional<endpoint> address = endpoint_from(text_at(value, "address"));
    const std::optional<endpoint> peer_address = endpoint_from(text_at(value, "peer_address"));
    member m;
    m.name = text_at(value, "name");
    m.incarnation = integer_at(value, "incarnation");
    if (m.name.empty() || m.incarnation == 0 || !address || !peer_address) {
        set_reason(why, "member has no valid name, incarnation, address or peer_address");
        return std::nullopt;
    }
    m.address = *address;
    m.peer_address = *peer_address;
    return m;
}

Json::Value views_to_json(const std::vector<membership_view>& views)
{
    Json::Value list(Json::arrayValue);
    for (const membership_view& v : views) {
        list.append(to_json(v));
    }
    return list;
}

std::optional<std::vector<membership_view>> views_from(const Json::Value& list, error& why)
{
    std::vector<membership_view> views;
    if (!list.isArray() || list.size() > max_views) {
        set_reason(why, "views is not an array or has too many entries");
        return std::nullopt;
    }
    for (const Json::Value& entry : list) {
        std::optional<membership_view> v = view_from(entry, why);
        if (!v) {
            return std::nullopt;
        }
        views.push_back(std::move(*v));
    }
    return views;
}

} // namespace

Json::Value to_json(const membership_view& v)
{
    Json::Value out;
    out["base"] = static_cast<Json::UInt64>(v.base);
    out["lease_ms"] = static_cast<Json::Int64>(v.lease.count());
    out["fence_ms"] = static_cast<Json::Int64>(v.fence.count());
    out["members"] = Json::Value(Json::arrayValue);
    for (const member& m : v.members) {
        write_member(out["members"].append(Json::Value()), m);
    }
    if (v.epoch != 0) {
        out["epoch"] = static_cast<Json::UInt64>(v.epoch);
    }
    return out;
}

std::optional<membership_view> view_from(const Json::Value& value, error& why)
{
    if (!value.isObject() || !value["members"].isArray()) {
        set_reason(why, "view is not an object with an array of members");
        return std::nullopt;
    }
    membership_view v;
    v.epoch = integer_at(value, "epoch");
    v.base = integer_at(value, "base");
    v.lease = millis(static_cast<std::int64_t>(integer_at(value, "lease_ms")));
    v.fence = millis(static_cast<std::int64_t>(integer_at(value, "fence_ms")));
    for (const Json::Value& entry : value["members"]) {
        std::optional<member> m = member_from(entry, why);
        if (!m) {
            return std::nullopt;
        }
        v.members.push_back(std::move(*m));
    }
    std::string reason;
    if (!is_valid(v, reason)) {
        set_reason(why, reason);
        return std::nullopt;
    }
    return v;
}

Json::Value to_json(const view_checkpoint& checkpoint)
{
    Json::Value out;
    out["as_of"] = static_cast<Json::UInt64>(checkpoint.as_of);
    out["closed"] = static_cast<Json::UInt64>(checkpoint.closed_epoch);
    out["views"] = views_to_json(checkpoint.views);
    return out;
}

std::optional<view_checkpoint> view_checkpoint_from(const Json::Value& value, error& why)
{
    if (!value.isObject()) {
        set_reason(why, "view_mark is not an object");
        return std::nullopt;
    }
    std::optional<std::vector<membership_view>> views = views_from(value["views"], why);
    if (!views) {
        return std::nullopt;
    }
    return view_checkpoint{integer_at(value, "as_of"), integer_at(value, "closed"),
                           std::move(*views)};
}

Json::Value to_json(const heartbeat& h, const std::string& cell)
{
    Json::Value out;
    out["cell"] = cell;
    write_member(out, h.from);
    out["epoch"] = static_cast<Json::UInt64>(h.epoch);
    out["settled"] = static_cast<Json::UInt64>(h.drained_epoch);
    out["closed"] = static_cast<Json::UInt64>(h.closed_epoch);
    out["ages"] = h.grant_ages;
    if (h.log_age) {
        out["log_age_ms"] = static_cast<Json::Int64>(h.log_age->count());
    }
    if (!h.views.empty()) {
        out["views"] = views_to_json(h.views);
    }
    return out;
}

std::optional<heartbeat> heartbeat_from(const Json::Value& value, const std::string& cell,
                                        error& why)
{
    if (!value.isObject() || text_at(value, "cell") != cell) {
        set_reason(why, "heartbeat is not an object or its cell differs");
        return std::nullopt;
    }
    std::optional<member> from = member_from(value, why);
    if (!from) {
        return std::nullopt;
    }
    heartbeat h;
    h.from = std::move(*from);
    h.epoch = integer_at(value, "epoch");
    h.drained_epoch = integer_at(value, "settled");
    h.closed_epoch = integer_at(value, "closed");
    h.grant_ages = text_at(value, "ages");
    if (value["log_age_ms"].isUInt64()) {
        h.log_age = millis(static_cast<std::int64_t>(integer_at(value, "log_age_ms")));
    }
    if (value.isMember("views")) {
        std::optional<std::vector<membership_view>> views = views_from(value["views"], why);
        if (!views) {
            return std::nullopt;
        }
        h.views = std::move(*views);
    }
    if (h.drained_epoch > h.epoch || h.closed_epoch > h.epoch) {
        set_reason(why, "settled or closed of the heartbeat is greater than its epoch");
        return std::nullopt;
    }
    return h;
}

} // namespace sesamesill
