// Stand-ins for the platform's workers and its advisor. They simulate fences, leases on the
// worker's own clock, run numbers, lists of ends, checkpoints, gangs, tickets and delayed orders.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/http.h"
#include "sesamesill/resources.h"
#include "store.h"
#include "witness.h"

namespace standin {

/// Time bounds that the platform guarantees.
struct worker_bounds {
    millis max_lease{6000};
    millis stop{200};
    millis gang_timeout{3000};
    millis checkpoint_period{500};
    millis restore{100};
    millis heartbeat{500};
    millis entry_lifetime{2000}; ///< of the entry of a worker that sends no heartbeats
};

struct worker_faults {
    double late_orders = 0; ///< share of orders and polls that get no reply and are executed later
    double slowness = 1;    ///< factor on the duration of the work
    bool fails_all = false;
    bool stalled = false;
    bool refuses = false;        ///< replies with 503 and executes nothing
    bool cut_from_store = false; ///< its entry isn't renewed and expires
};

struct worker_place {
    std::string machine;
    std::string rack;
    resources capacity;
    endpoint listen;
    endpoint advertised;    ///< endpoint at which the control plane reaches the worker
    millis report_delay{0}; ///< from its start until its first entry
};

class fleet;

/// One incarnation of a worker.
class fleet_worker {
public:
    fleet_worker(fleet& owner, std::string id, worker_place place);

    bool start(error& why);
    void set_faults(const worker_faults& faults) { faults_ = faults; }
    /// Reports in its entry that it stops after `remaining`, and stops `linger` later than that.
    void drain(millis remaining, millis linger);
    const std::string& id() const { return id_; }
    const worker_place& place() const { return place_; }
    bool draining() const { return draining_; }

private:
    friend class fleet;

    struct run {
        pool::task_id task;
        std::int64_t number = 0;
        run_facts facts;
        bool gang_complete = true; ///< all runs of its gang have started
        time_point present;        ///< when the run started on this worker
        double worked_ms = 0;
        double restored_ms = 0; ///< work contained in the checkpoint
        double pause_ms = 0;    ///< time left to restore the checkpoint
        std::string checkpoint;
        std::optional<time_point> stop_at;
    };

    struct waiting_poll {
        time_point until;
        http_respond respond;
    };

    std::int64_t clock_ms() const;
    void tick(millis period);
    void work(run& r, millis period);
    void heartbeat();
    void end_run(const std::string& task, pool::end_reason how);
    void end_all(pool::end_reason how);
    void extend_lease(std::int64_t until_ms);
    void serve_order(const http_request& request, const http_respond& respond,
                     http_reply (fleet_worker::*order)(const Json::Value&, bool late));
    http_reply start_run(const Json::Value& body, bool late);
    http_reply stop_run(const Json::Value& body, bool late);
    void poll(const http_request& request, const http_respond& respond);
    bool apply_poll(const Json::Value& body);
    bool draw_late() const;
    http_reply report() const;
    http_reply reply(int status, const std::string& reason = "") const;
    bool passes_fence(const Json::Value& body);
    void answer_polls();

    fleet& fleet_;
    std::string id_;
    worker_place place_;
    http_server server_;
    worker_faults faults_;
    time_point started_at_;
    std::int64_t start_time_ms_ = 0;
    double clock_rate_ = 1;
    std::uint64_t fence_ = 0;
    bool has_lease_ = false;                    ///< it hasn't expired since it was granted
    std::int64_t lease_ms_ = 0;                 ///< end of the lease, on this worker's clock
    std::map<std::string, run> runs_;           ///< by task
    std::map<std::string, std::int64_t> ended_; ///< highest run ended or stopped, by task
    std::deque<pool::ended_task> ends_;         ///< not yet acknowledged
    std::uint64_t last_end_ = 0;
    std::list<waiting_poll> polls_;
    std::uint64_t seq_ = 0;
    time_point entry_written_at_;
    bool draining_ = false;
    std::int64_t earliest_stop_ms_ = 0; ///< as reported, on this worker's clock
    std::int64_t stops_at_ms_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// All workers of one service, and the advisor that issues their tickets.
class fleet {
public:
    fleet(event_loop& loop, platform_store& store, run_observer& observer, worker_bounds bounds,
          std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Starts a worker and returns its id. Chooses a new id if `id` is empty.
    std::optional<std::string> add(const worker_place& place, const std::string& id, error& why);
    /// Ends the worker immediately without notice, like a crash.
    void crash(const std::string& id);
    fleet_worker* find(const std::string& id);
    std::vector<std::string> ids() const;
    /// Registers the route of the advisor, which processes requests one at a time.
    void serve_advice(http_server& server);
    void set_advice(millis base, double per_worker_ms, millis valid);
    /// Removes the entries of all workers, as an outage of the store may. They come back with the
    /// workers' heartbeats.
    void expire_entries();

    static constexpr const char* service_name = "places";

private:
    friend class fleet_worker;

    void tick();
    /// Executes an order without a reply seconds later, at the process that has this id then.
    void execute_late(const std::string& id, std::function<void(fleet_worker&)> order);
    bool gang_is_present(const fleet_worker::run& r) const;
    void end_gang(const pool::task_id& member, std::int64_t run, pool::end_reason how);
    void advise(const http_request& request, const http_respond& respond);
    bool ticket_is_valid(const std::string& text, const std::string& step,
                         const std::string& worker) const;

    event_loop& loop_;
    platform_store& store_;
    run_observer& observer_;
    worker_bounds bounds_;
    std::mt19937_64 random_;
    /// Of late orders. Outlives the workers, as a server replies for a responder that is dropped.
    std::vector<http_respond> unanswered_;
    std::map<std::string, std::unique_ptr<fleet_worker>> workers_;
    std::map<std::string, time_point> stale_entries_; ///< by worker id: when the worker crashed
    millis advice_base_{5};
    double advice_per_worker_ms_ = 1;
    millis advice_valid_{2000};
    time_point advisor_free_;
    std::map<std::string, time_point> tickets_; ///< end of validity
    std::uint64_t next_id_ = 1;
};

} // namespace standin
