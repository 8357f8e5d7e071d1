// Starts tasks on the workers of the shards that this member owns and keeps their leases.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell_service.h"
#include "sesamesill/cell.h"
#include "sesamesill/environment.h"
#include "sesamesill/estimate.h"
#include "sesamesill/explain.h"
#include "sesamesill/gang.h"
#include "sesamesill/health.h"
#include "sesamesill/http.h"
#include "sesamesill/placement.h"
#include "sesamesill/platform.h"
#include "sesamesill/preemption.h"
#include "sesamesill/recovery.h"
#include "sesamesill/settings.h"
#include "task_spec.h"

namespace sesamesill {

/// Tells the job's home that a task ended; the home's answer lets the worker forget it.
using task_ended =
    std::function<void(const task_report& report, std::function<void()> acknowledge)>;

class worker_service {
public:
    worker_service(event_loop& loop, http_client& client, cell_service& members,
                   const node_settings& settings);

    void start();
    void set_policy(const placement_policy& policy);
    /// Starts the task on a worker with room; returns the worker's name, or nothing and the reason.
    /// Returns the same name again for a task that runs already.
    std::optional<std::string> place(const task_spec& task, error& why);
    /// Starts all of a job's tasks or none; returns their workers in the same order.
    /// With `may_wait`, room is collected here for a bounded time where there is none now.
    std::optional<std::vector<std::string>> place_all(const std::vector<task_spec>& tasks,
                                                      error& why, bool may_wait = true);
    /// Returns the reason where no worker of the whole cell could ever hold the tasks.
    std::optional<error> check_feasible(const task_spec& task, std::int64_t count) const;
    /// Returns why the task runs where it does, or what keeps it off the owned workers.
    explanation explain(const task_spec& task) const;
    /// Returns what is held, waits for room, or ended unacknowledged here of the jobs named.
    std::vector<listed_task> tasks_of(const std::set<std::string>& jobs) const;
    /// Returns the owned shards whose workers have all been heard, or have had no answer for
    /// `lapse`, so that what they held has ended.
    std::vector<std::string> accounted_shards(micros lapse) const;
    void stop(const std::string& task);
    void on_ended(task_ended action) { ended_ = std::move(action); }

    resources used() const { return owned_.claimed(); }
    resources size() const { return owned_.total(); }
    resources cell_size() const { return all_.total(); }
    /// The workers of the owned shards.
    const cell& owned() const { return owned_; }

private:
    struct finished_task {
        task_report report;
        bool listed = true;        ///< the worker still has to forget it
        bool acknowledged = false; ///< its home knows
    };

    /// Waits on a worker for the tasks that make way.
    struct pending_start {
        task_spec spec;
        resources held; ///< kept on the worker meanwhile
        std::vector<std::string> victims;
        time_point since;
        bool stopped = false;
    };

    struct placed_task {
        std::string worker;
        std::string work_class;
        resources declared;
        std::int32_t attempt = 1;
        bool ended = false; ///< kept until the worker has forgotten it
    };

    struct worker_link {
        vm target;
        worker_id id = 0;
        bool listed = true; ///< in the VM list
        time_point since;   ///< when this member came to own its shard
        bool syncing = false;
        bool accounted = false; ///< its own list was read; before that it has no room
        time_point heard;       ///< when the last answer came
        time_point renewed;     ///< when a lease was last sent
        time_point taken;       ///< when the last report was asked for
        std::map<std::string, finished_task> finished;
        std::map<std::string, pending_start> pending;
    };

    bool enabled(std::string_view mechanism) const;
    void update_workers();
    void update_worker(const vm& v);
    void drop_worker(const std::string& name);
    void update_state(worker_link& link);
    void tick();
    void sync(worker_link& link);
    Json::Value sync_body(worker_link& link, time_point now) const;
    void take_report(worker_link& link, const worker_report& report, time_point asked);
    void take_end(worker_link& link, const task_report& report);
    void finish(worker_link& link, task_report report, bool listed);
    void tell_ends(worker_link& link);
    void forget_ends(worker_link& link, const worker_report& report);
    void learn(const allocated_task& task);
    void judge(worker_link& link, const task_report& report);
    void lapse_all(worker_link& link);
    void relieve(worker_link& link);
    void try_pending(worker_link& link);

    resources reservation_of(const task_spec& task) const;
    task_need need_of(const task_spec& task) const;
    std::optional<worker_id> failed_on(const task_spec& task) const;
    std::optional<worker_id> choose(const task_spec& task, error& why);
    bool begin(worker_id w, const task_spec& task);
    std::optional<std::string> preempt(const task_spec& task, error& why);
    const placed_task* place_of(const task_spec& task) const;
    void send_start(worker_link& link, const task_spec& task);
    void send_change(worker_link& link, const std::string& task, const std::string& change);
    worker_link& link_of(worker_id w) { return links_.at(owned_.at(w).name()); }

    event_loop& loop_;
    http_client& client_;
    cell_service& members_;
    const node_settings& settings_;
    cell owned_;
    cell all_; ///< every worker of the VM list, for what could ever fit
    placement packing_;
    placement spreading_;
    gang_book gangs_;
    health health_;
    std::map<std::string, worker_link> links_;            ///< by the worker's name, those of owned_
    std::unordered_map<std::string, placed_task> places_; ///< by task
    std::unordered_map<std::string, job_spread> spreads_; ///< of services, by job
    estimates estimates_;
    std::size_t unanswered_ = 0; ///< starts that were sent and have no answer yet
    double size_margin_ = placement_policy{}.size_margin;
    task_ended ended_;
};

} // namespace sesamesill
