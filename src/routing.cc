// Chooses the better of two random executors or members, and the route of a call.

#include "sesamesill/routing.h"

#include <algorithm>
#include <utility>

namespace sesamesill {
namespace {

constexpr millis hop_cost{5}; ///< added to the wait at another member

Json::Value demand_json(const std::map<std::string, double>& demand)
{
    std::vector<std::pair<double, std::string>> largest;
    largest.reserve(demand.size());
    for (const std::pair<const std::string, double>& d : demand) {
        largest.emplace_back(d.second, d.first);
    }
    std::sort(largest.rbegin(), largest.rend());
    largest.resize(std::min(largest.size(), load_summary::max_names));
    Json::Value value(Json::objectValue);
    for (const std::pair<double, std::string>& d : largest) {
        value[d.second] = static_cast<Json::Int64>(d.first * 10.0);
    }
    return value;
}

bool read_demand(const Json::Value& value, std::map<std::string, double>& demand)
{
    if (!value.isObject() || value.size() > load_summary::max_names) {
        return value.isNull();
    }
    for (const std::string& name : value.getMemberNames()) {
        if (!value[name].isInt64() || value[name].asInt64() < 0) {
            return false;
        }
        demand[name] = static_cast<double>(value[name].asInt64()) / 10.0;
    }
    return true;
}

bool read_service(const Json::Value& value, service_load& load)
{
    if (!value.isArray() || value.size() != 4) {
        return false;
    }
    for (const Json::Value& number : value) {
        if (!number.isInt() || number.asInt() < 0) {
            return false;
        }
    }
    load = {value[0].asInt(), value[1].asInt(), value[2].asInt(), millis(value[3].asInt())};
    return true;
}

} // namespace

namespace detail {

std::size_t draw(std::size_t count, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

double expected_time(const executor_view& e)
{
    const double latency = static_cast<double>(std::max<std::int64_t>(1, e.latency.count()));
    return latency * static_cast<double>(e.busy + 1) / std::max(e.weight, 0.01);
}

} // namespace detail

Json::Value to_json(const load_summary& load)
{
    Json::Value value;
    Json::Value& services = value["s"] = Json::Value(Json::objectValue);
    for (const std::pair<const std::string, service_load>& s : load.services) {
        if (services.size() == load_summary::max_names) {
            break;
        }
        Json::Value& numbers = services[s.first];
        numbers.append(s.second.free);
        numbers.append(s.second.slots);
        numbers.append(s.second.waiting);
        numbers.append(static_cast<Json::Int64>(s.second.wait.count()));
    }
    value["t"] = demand_json(load.organisation_demand);
    value["c"] = demand_json(load.class_demand);
    return value;
}

std::optional<load_summary> load_from(const Json::Value& value, error& why)
{
    load_summary load;
    why = {error_code::invalid, step::routing, "",
           "load: services or demands are malformed or too many"};
    if (!value.isObject() || !value["s"].isObject() ||
        value["s"].size() > load_summary::max_names) {
        return std::nullopt;
    }
    for (const std::string& name : value["s"].getMemberNames()) {
        if (!read_service(value["s"][name], load.services[name])) {
            return std::nullopt;
        }
    }
    if (!read_demand(value["t"], load.organisation_demand) ||
        !read_demand(value["c"], load.class_demand)) {
        return std::nullopt;
    }
    return load;
}

void peer_table::report(const std::string& member, load_summary load, time_point now)
{
    peers_[member] = {std::move(load), now, {}};
}

void peer_table::report(const std::string& member, const std::string& service,
                        const service_load& load, time_point now)
{
    peer& p = peers_[member];
    p.load.services[service] = load;
    p.reported_at = now;
    p.forwarded[service] = 0;
}

void peer_table::keep_only(const std::vector<std::string>& members)
{
    for (auto it = peers_.begin(); it != peers_.end();) {
        const bool kept = std::find(members.begin(), members.end(), it->first) != members.end();
        it = kept ? std::next(it) : peers_.erase(it);
    }
}

void peer_table::on_forwarded(const std::string& member, const std::string& service)
{
    const auto found = peers_.find(member);
    if (found != peers_.end()) {
        ++found->second.forwarded[service];
    }
}

void peer_table::on_unreachable(const std::string& member)
{
    peers_.erase(member);
}

std::int32_t peer_table::free_slots_of(const peer& p, const std::string& service)
{
    const auto offered = p.load.services.find(service);
    const auto forwarded = p.forwarded.find(service);
    return (offered == p.load.services.end() ? 0 : offered->second.free) -
           (forwarded == p.forwarded.end() ? 0 : forwarded->second);
}

std::optional<std::string> peer_table::choose_free(const std::string& service, time_point now,
                                                   std::mt19937_64& random) const
{
    std::vector<std::pair<std::int32_t, const std::string*>> candidates;
    candidates.reserve(peers_.size());
    for (const std::pair<const std::string, peer>& p : peers_) {
        const std::int32_t free = free_slots_of(p.second, service);
        if (free > 0 && is_fresh(p.second, now)) {
            candidates.emplace_back(free, &p.first);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::pair<std::int32_t, const std::string*>& a =
        candidates[detail::draw(candidates.size(), random)];
    const std::pair<std::int32_t, const std::string*>& b =
        candidates[detail::draw(candidates.size(), random)];
    return *(a.first >= b.first ? a.second : b.second);
}

std::optional<std::pair<std::string, millis>> peer_table::shortest_wait(const std::string& service,
                                                                        time_point now) const
{
    std::optional<std::pair<std::string, millis>> best;
    for (const std::pair<const std::string, peer>& p : peers_) {
        const auto offered = p.second.load.services.find(service);
        if (!is_fresh(p.second, now) || offered == p.second.load.services.end() ||
            offered->second.slots == 0) {
            continue;
        }
        // The member has served calls since its report, so the wait decreases with the report's
        // age.
        const millis age = std::chrono::duration_cast<millis>(now - p.second.reported_at);
        const millis wait = std::max(millis(0), offered->second.wait - age);
        if (!best || wait < best->second) {
            best = {p.first, wait};
        }
    }
    return best;
}

namespace {

void add_demand(std::map<std::string, double>& sum, const std::map<std::string, double>& part)
{
    for (const std::pair<const std::string, double>& d : part) {
        sum[d.first] += d.second;
    }
}

} // namespace

std::map<std::string, double> peer_table::organisation_demand(time_point now) const
{
    std::map<std::string, double> sum;
    for (const std::pair<const std::string, peer>& p : peers_) {
        if (is_fresh(p.second, now)) {
            add_demand(sum, p.second.load.organisation_demand);
        }
    }
    return sum;
}

std::map<std::string, double> peer_table::class_demand(time_point now) const
{
    std::map<std::string, double> sum;
    for (const std::pair<const std::string, peer>& p : peers_) {
        if (is_fresh(p.second, now)) {
            add_demand(sum, p.second.load.class_demand);
        }
    }
    return sum;
}

route choose_route(const local_capacity& local, std::int32_t hops, const std::string& service,
                   const peer_table& peers, time_point now, std::mt19937_64& random)
{
    if (local.free > 0) {
        return {route_kind::local, "", {}};
    }
    if (hops >= max_hops) {
        return {local.slots > 0 ? route_kind::queue : route_kind::refuse, "", {}};
    }
    const std::optional<std::string> free = peers.choose_free(service, now, random);
    if (free) {
        return {route_kind::peer, *free, {}};
    }
    const std::optional<std::pair<std::string, millis>> shortest =
        peers.shortest_wait(service, now);
    if (local.slots == 0) {
        return shortest ? route{route_kind::peer, shortest->first, shortest->second} : route{};
    }
    const bool elsewhere = shortest && shortest->second + hop_cost < local.wait;
    return elsewhere ? route{route_kind::peer, shortest->first, shortest->second}
                     : route{route_kind::queue, "", {}};
}

} // namespace sesamesill
