// What the two halves of a member share: its parts, and requests on their way to the leader.
// `pool_member.cc` keeps the lead, `pool_calls.cc` the calls of clients and of other members.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "pool_leader.h"
#include "sesamesill/pool_member.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {

struct known_peer {
    endpoint address;
    double processor_share = 1;
};

struct removed_worker {
    worker_entry entry;
    time_point removed_at;
};

/// A request that is passed on until it is answered or its time is over.
struct forwarded_request {
    std::string path;
    std::string method;
    std::string body;
    time_point until;
    bool maybe_executed = false; ///< some try had no answer
    std::function<void(millis left)>
        serve_locally; ///< serves it where this member has come to lead
    std::function<void(std::optional<Json::Value>, bool maybe_executed)> done;
};

Json::Value to_json(const leader_record& leader);

struct member::parts {
    event_loop& loop;
    member_settings settings;
    record_log& log;
    worker_gateway& workers;
    advisor& advice;
    http_client peers;
    http_server peer_server;
    rpc_server rpc;
    std::string incarnation;
    election leader_election;
    keyed_follower follower;
    configuration config;
    std::map<std::string, known_peer> known_peers; ///< from heartbeats, or from the leader
    std::map<std::string, worker_entry> known_workers;
    std::map<std::string, removed_worker> removed_workers;
    std::unique_ptr<leader> lead;
    std::function<void()> on_lead;
    bool claiming = false;
    bool leaving = false;
    bool heartbeat_in_flight = false;

    parts(event_loop& l, member_settings s, record_log& records, worker_gateway& w, advisor& a);

    bool start(error& why);
    void on_record(const keyed_record& record);
    void heartbeat();
    void schedule_heartbeat();
    void check_election();
    void claim();
    void append_claim();
    void take_lead(std::uint64_t claim_offset);
    void lose_lead();
    void learn_leader(const Json::Value& value);
    void learn_peers(const Json::Value& addresses);
    void ask_peers_for_leader();
    void announce_leader(const leader_record& self);
    bool leads() const { return lead != nullptr; }

    void forward_request(const std::shared_ptr<forwarded_request>& request);
    void serve_peers();
    std::optional<Json::Value> on_heartbeat(const Json::Value& params, error& why);
    void serve_submit(const http_request& request, const http_respond& respond);
    void serve_advise(const http_request& request, const http_respond& respond);
    std::vector<worker_entry> all_workers() const;
};

} // namespace sesamesill::pool
