// How members learn of the leader and of each other: heartbeats, and questions for the leader.

#include <algorithm>

#include "pool_member_parts.h"
#include "sesamesill/log.h"

namespace sesamesill::pool {
namespace {

constexpr millis heartbeat_period{150}; ///< at least; grows with the number of members
/// Bounds the leader's load to about 80 heartbeats a second.
constexpr millis heartbeat_period_per_member{12};
/// Bounds all members together to about 30 reads of the log a second.
constexpr millis standby_pause_per_member{33};
/// Between two checks of the store for a leader whose appends fail.
constexpr millis store_check_period{400};
/// Spreads the members' first heartbeats to a new leader.
constexpr std::int64_t max_greeting_delay_ms = 40;
constexpr double heartbeat_bytes = 500; ///< with its answer and headers, at most
constexpr millis heartbeat_timeout{400};
/// Members forward unequal numbers of jobs. Each may use this multiple of an equal share.
constexpr double submit_overcommit = 1.5;
/// Lets a member with a larger processor share claim first. It learns of a lost leader from its own
/// heartbeat or from a member that asks it for the leader.
constexpr millis smaller_member_delay{400};
/// Of each step of an answer with a configuration, which may be large.
constexpr millis configuration_timeout{900};
constexpr std::size_t max_peers_asked = 4; ///< for the leader, after a failed heartbeat

} // namespace

/// Learns of a leader from another member, so that a member that can't reach the store can still
/// forward requests. Its own claims depend on the log alone.
void member::parts::learn_leader(const Json::Value& value)
{
    if (!value.isObject() || !value["fence"].isUInt64() || value["fence"].asUInt64() == 0) {
        return;
    }
    const std::optional<leader_record> named =
        leader_from(to_text(value), value["fence"].asUInt64() - 1);
    if (named && (!leader_election.leader() || leader_election.leader()->fence < named->fence)) {
        leader_election.on_leader(*named, boot_clock::now());
        greet_leader();
        log_event(log_level::info, "leader_told",
                  {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
    }
}

void member::parts::learn_peers(const Json::Value& addresses)
{
    if (!addresses.isObject()) {
        return;
    }
    for (const std::string& name : addresses.getMemberNames()) {
        const std::optional<endpoint> address = endpoint_from(addresses[name][0].asString());
        if (address && name != settings.name) {
            known_peers[name] = {*address, addresses[name][1].asDouble(),
                                 addresses[name][2].asDouble()};
        }
    }
    const bool has_larger_peer =
        std::any_of(known_peers.begin(), known_peers.end(),
                    [this](const std::pair<const std::string, known_peer>& p) {
                        return p.second.processor_share > settings.processor_share;
                    });
    const millis spread(std::hash<std::string>{}(settings.name) % max_claim_delay_ms);
    leader_election.set_delay(spread + (has_larger_peer ? smaller_member_delay : millis(0)));
}

/// Adds the version of the configuration that this member holds, and how long ago it was known to
/// be the newest one.
void member::parts::add_configuration(Json::Value& message) const
{
    message["configuration"] = static_cast<Json::Int64>(config.version);
    if (declared != nullptr && declared->knowledge().newest_at()) {
        message["configuration_age_ms"] = static_cast<Json::Int64>(
            to_millis(boot_clock::now() - *declared->knowledge().newest_at()));
    }
}

/// Learns which version a member holds. If `told` answers a question that was sent at `asked`, the
/// age that it tells counts from then at the latest; a message of its own may have been delayed.
void member::parts::learn_configuration(const Json::Value& told, const std::string& peer,
                                        const endpoint& address, std::optional<time_point> asked)
{
    if (declared == nullptr || !told["configuration"].isInt64()) {
        return;
    }
    std::optional<time_point> newest_at;
    if (asked && told["configuration_age_ms"].isInt64()) {
        newest_at = *asked - millis(told["configuration_age_ms"].asInt64());
    }
    declared->on_told(told["configuration"].asInt64(), peer, newest_at);
    if (told["configuration"].asInt64() > config.version) {
        fetch_configuration(peer, address);
    }
}

/// Asks a member that holds a newer version for it, unless the store is about to send it.
void member::parts::fetch_configuration(const std::string& peer, const endpoint& address)
{
    if (fetching_configuration || !declared->should_ask_peer(boot_clock::now())) {
        return;
    }
    fetching_configuration = true;
    http_call call;
    call.path = "/pool/configuration";
    call.timeout = configuration_timeout;
    call.stall_timeout = configuration_timeout;
    peers.send(address, std::move(call),
               [this, peer](const std::optional<http_reply>& reply, const error&) {
                   fetching_configuration = false; // without a reply, the next heartbeat asks again
                   if (reply && reply->status == 200) {
                       declared->adopt(reply->body, peer);
                   }
               });
}

/// Asks some members for the leader, which also makes them check theirs. Those with the largest
/// processor shares come first, as they should succeed a lost leader.
void member::parts::ask_peers_for_leader()
{
    std::vector<known_peer> asked;
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        asked.push_back(p.second);
    }
    std::shuffle(asked.begin(), asked.end(), random);
    std::stable_sort(asked.begin(), asked.end(), [](const known_peer& a, const known_peer& b) {
        return a.processor_share > b.processor_share;
    });
    asked.resize(std::min(asked.size(), max_peers_asked));
    Json::Value params(Json::objectValue);
    if (leader_election.leader()) {
        params["silent_fence"] = static_cast<Json::UInt64>(leader_election.leader()->fence);
    }
    for (const known_peer& p : asked) {
        call_rpc(peers, p.address, "leader", params, heartbeat_timeout,
                 [this](const std::optional<Json::Value>& answer, const error&) {
                     if (answer) { // without an answer, the other peers may still know the leader
                         learn_leader(*answer);
                     }
                 });
    }
}

void member::parts::announce_leader(const leader_record& self)
{
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        call_rpc(peers, p.second.address, "leader", to_json(self), heartbeat_timeout,
                 [](const std::optional<Json::Value>&, const error&) {
                     // Members that miss this message learn of the leader from the log.
                 });
    }
}

/// Schedules the next heartbeat. Heartbeats and log reads get rarer with more members, which bounds
/// the load of the leader and of the store.
void member::parts::schedule_heartbeat()
{
    const std::int64_t count = static_cast<std::int64_t>(known_peers.size()) + 1;
    const double link = link_bytes_per_ms(settings.link_mbps);
    const millis period = std::max(
        {heartbeat_period, heartbeat_period_per_member * count,
         transfer_time(heartbeat_bytes * static_cast<double>(count) / heartbeat_share, link)});
    constexpr int missed_heartbeats = 2;
    leader_election.set_silence_timeout(missed_heartbeats * period + heartbeat_timeout / 2);
    follower.set_timing({millis(0), std::max(standby_pause, standby_pause_per_member * count)});
    loop.after(period, [this] {
        heartbeat();
        schedule_heartbeat();
    });
}

/// Sends a heartbeat to a leader that has just become known: it learns of this member, which may
/// call the advisor for it, and this member learns whether the leader named by the log still lives.
void member::parts::greet_leader()
{
    std::uniform_int_distribution<std::int64_t> spread(0, max_greeting_delay_ms);
    loop.after(millis(spread(random)), [this] { heartbeat(); });
}

/// Reads the log now and tells the leader, which looks for a successor that reaches the store.
void member::parts::check_store()
{
    const time_point now = boot_clock::now();
    if (now - store_checked_at > store_check_period) {
        store_checked_at = now;
        report_next_read = true;
        follower.read_now();
    }
}

void member::parts::heartbeat()
{
    if (leads() || !leader_election.leader() || leader_election.is_own() ||
        heartbeat_fence == leader_election.leader()->fence) {
        return;
    }
    heartbeat_fence = leader_election.leader()->fence;
    Json::Value params;
    params["name"] = settings.name;
    params["address"] = to_string(settings.peer_address);
    params["read_age_ms"] =
        static_cast<Json::Int64>(to_millis(boot_clock::now() - follower.last_read()));
    params["read_took_ms"] = static_cast<Json::Int64>(follower.last_read_duration().count());
    params["leaving"] = leaving;
    params["peers_known"] = static_cast<Json::UInt64>(known_peers.size());
    params["processor_share"] = settings.processor_share;
    params["memory_mb"] = settings.memory_mb;
    params["fence"] = static_cast<Json::UInt64>(leader_election.leader()->fence);
    add_configuration(params);
    call_rpc(peers, leader_election.leader()->address, "heartbeat", params, heartbeat_timeout,
             [this, sent = boot_clock::now(), asked = *leader_election.leader()](
                 const std::optional<Json::Value>& answer, const error& why) {
                 if (heartbeat_fence == asked.fence) {
                     heartbeat_fence = 0;
                 }
                 const time_point now = boot_clock::now();
                 if (answer) {
                     learn_configuration(*answer, asked.name, asked.address, sent);
                 }
                 if (!leader_election.leader() ||
                     leader_election.leader()->incarnation != asked.incarnation) {
                     return;
                 }
                 if (answer) {
                     submit_budget.set_rate((*answer)["job_bytes_per_ms"].asDouble());
                     learn_peers((*answer)["peers"]);
                     learn_leader((*answer)["leader"]);
                     if ((*answer)["check_store"].asBool()) {
                         check_store();
                     }
                 }
                 if (leader_election.leader()->incarnation != asked.incarnation) {
                     return;
                 }
                 if (answer && (*answer)["incarnation"].asString() == asked.incarnation &&
                     (*answer)["leads"].asBool()) {
                     leader_election.on_contact(now);
                     has_answering_leader = true;
                     return;
                 }
                 ask_peers_for_leader();
                 if (answer || why.code == error_code::unavailable) {
                     leader_election.on_leader_gone(now);
                 }
                 else if (why.code == error_code::unreachable) {
                     leader_election.on_leader_unreachable(now);
                 }
             });
}

std::optional<Json::Value> member::parts::on_heartbeat(const Json::Value& params, error& why)
{
    const std::optional<endpoint> address = endpoint_from(params["address"].asString());
    if (!address) {
        why = {error_code::invalid, step::rpc, params["name"].asString(),
               "the heartbeat's address is not host:port"};
        return std::nullopt;
    }
    if (leads()) {
        peer seen;
        seen.address = *address;
        seen.heard = boot_clock::now();
        seen.store_read = seen.heard - millis(params["read_age_ms"].asInt64());
        seen.store_read_took = millis(params["read_took_ms"].asInt64());
        seen.leaving = params["leaving"].asBool();
        seen.processor_share = params["processor_share"].asDouble();
        seen.memory_mb = params["memory_mb"].asDouble();
        seen.fence = params["fence"].asUInt64();
        lead->on_peer(params["name"].asString(), seen);
    }
    known_peers[params["name"].asString()] = {*address, params["processor_share"].asDouble(),
                                              params["memory_mb"].asDouble()};
    learn_configuration(params, params["name"].asString(), *address, std::nullopt);
    Json::Value answer;
    const auto add_peer = [&answer](const std::string& name, const known_peer& p) {
        Json::Value row;
        row.append(to_string(p.address));
        row.append(p.processor_share);
        row.append(p.memory_mb);
        answer["peers"][name] = row;
    };
    add_peer(settings.name, {settings.peer_address, settings.processor_share, settings.memory_mb});
    if (params["peers_known"].asUInt64() != known_peers.size()) {
        for (const std::pair<const std::string, known_peer>& p : known_peers) {
            add_peer(p.first, p.second);
        }
    }
    if (leader_election.leader()) {
        answer["leader"] = to_json(*leader_election.leader());
    }
    answer["incarnation"] = incarnation;
    add_configuration(answer);
    answer["job_bytes_per_ms"] = submit_overcommit * submit_share *
                                 link_bytes_per_ms(settings.link_mbps) /
                                 static_cast<double>(known_peers.size() + 1);
    answer["check_store"] = leads() && lead->doubts_store();
    // A member whose claim is in progress counts as leading, as its record precedes this answer.
    answer["leads"] = leads() || claiming;
    return answer;
}

} // namespace sesamesill::pool
