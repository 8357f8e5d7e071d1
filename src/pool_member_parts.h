// The private state of a member, and requests that are forwarded to the leader. `pool_member.cc`
// follows and claims the lead; `pool_calls.cc` serves calls of clients and of other members.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <json/json.h>

#include "pool_arrival.h"
#include "pool_budget.h"
#include "pool_leader.h"
#include "pool_window.h"
#include "sesamesill/pool_member.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {

constexpr millis standby_pause{200}; ///< shortest pause between a standby's reads, by which it lags
/// Spreads the claims of members with equal shares.
constexpr std::uint32_t max_claim_delay_ms = 60;

/// Another member, as learned from heartbeats or from the leader.
struct known_peer {
    endpoint address;
    double processor_share = 1;
    double memory_mb = 0; ///< that its process may use; 0 if it isn't known
};

/// A worker that has left the directory; its runs may go on until its lease expires.
struct removed_worker {
    worker_entry entry;
    time_point removed_at;
};

/// A request that is forwarded to the leader until it's answered or its deadline is over.
struct forwarded_request {
    std::string path;
    std::string method;
    std::string body;
    time_point until;      ///< no attempt is made after this
    bool windowed = false; ///< counts in the window of forwarded jobs
    /// An attempt had no clear answer, so the leader may have executed it.
    bool maybe_executed = false;
    /// The leader that an attempt is sent to refuses it if its claim isn't the newest one that this
    /// member knows: an attempt that is delayed has no effect on a later lead of the same member.
    bool names_fence = false;
    /// Serves the request if this member has become the leader.
    std::function<void(bool maybe_executed)> serve_locally;
    std::function<void(std::optional<Json::Value>, bool maybe_executed)> done;
};

/// A client's job until it's answered. Its attempts share what is known of them: once the outcome
/// of one is unknown, only a later leader, which has read the log, can tell that the job isn't
/// stored.
struct submission {
    job_spec spec;
    time_point until;          ///< the client waits until then
    bool maybe_stored = false; ///< an attempt had no clear answer
    std::function<void(submit_answer)> done;

    /// Answers without a leader's word: refuses the job unless it may be stored.
    void give_up(const std::string& reason, millis retry_after) const
    {
        done({maybe_stored ? submit_verdict::unknown : submit_verdict::refused, reason,
              retry_after});
    }
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
    declared_configuration* declared = nullptr;        ///< null if the owner calls `configure`
    bool fetching_configuration = false;               ///< from another member
    std::map<std::string, known_peer> known_peers;     ///< by name
    std::map<std::string, worker_entry> known_workers; ///< in the directory, by id
    std::map<std::string, removed_worker> removed_workers;
    directory_knowledge directory;
    std::unique_ptr<leader> lead;         ///< null if this member isn't the leader
    bool has_answering_leader = false;    ///< a leader has answered a heartbeat
    std::function<void()> read_directory; ///< runs when the leader needs it at once
    bool claiming = false;                ///< a claim is in progress
    bool leaving = false;                 ///< a planned stop has begun: claims no lead
    std::uint64_t heartbeat_fence = 0; ///< of the leader asked by the heartbeat in flight; 0: none
    bool report_next_read = false;     ///< the leader asked whether this member reaches the store
    time_point store_checked_at;       ///< when it was last asked so
    arrival_meter arrivals{boot_clock::now()};
    std::uint64_t forwarded_jobs = 0;            ///< number of the last job that was forwarded
    send_window submit_window;                   ///< of jobs forwarded to the leader
    byte_budget submit_budget;                   ///< share of the leader's link
    std::mt19937 random{std::random_device{}()}; ///< spreads questions over the members

    parts(event_loop& l, member_settings s, record_log& records, worker_gateway& w, advisor& a);

    bool start(error& why);
    void on_record(const keyed_record& record);
    void heartbeat();
    int expected_members() const;
    double least_memory_mb() const;
    void start_follower();
    bool has_leader_contact(time_point now) const;
    void load();
    void greet_leader();
    void check_store();
    void schedule_heartbeat();
    void check_election();
    void claim();
    void append_claim();
    void take_lead(std::uint64_t claim_offset);
    void lose_lead();
    void learn_leader(const Json::Value& value);
    void learn_peers(const Json::Value& addresses);
    void learn_configuration(const Json::Value& told, const std::string& peer,
                             const endpoint& address, std::optional<time_point> asked);
    void add_configuration(Json::Value& message) const;
    void fetch_configuration(const std::string& peer, const endpoint& address);
    void ask_peers_for_leader();
    void announce_leader(const leader_record& self);
    bool leads() const { return lead != nullptr; }

    millis retry_after_outage_of(const job_spec& spec) const;
    using own_question = std::function<void(const std::function<void(state_answer)>&)>;
    void ask_leader(const std::string& method, const std::string& path, time_point until,
                    const own_question& ask_own, const std::function<void(state_answer)>& done);
    void submit(const std::shared_ptr<submission>& job);
    void submit_locally(const std::shared_ptr<submission>& job);
    void forward_request(const std::shared_ptr<forwarded_request>& request);
    void add_rpc_methods();
    void serve_peers();
    std::optional<Json::Value> on_heartbeat(const Json::Value& params, error& why);
    void serve_submit(const http_request& request, const http_respond& respond);
    void serve_state(const http_request& request, const http_respond& respond);
    void serve_waiting(const http_request& request, const http_respond& respond) const;
    void serve_advise(const http_request& request, const http_respond& respond);
    std::vector<worker_entry> all_workers() const;
};

} // namespace sesamesill::pool
