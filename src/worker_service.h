// Starts tasks on the workers of the shards that this member owns, renews the leases of the tasks
// and reports their ends to the owners of the jobs.

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

/// Reports the end of a task to the owner of its job. Calls `acknowledge` when the owner has
/// answered; from then on the worker is told to forget the task.
using task_end_handler =
    std::function<void(const task_report& report, std::function<void()> acknowledge)>;

class worker_service {
public:
    worker_service(event_loop& loop, http_client& client, cell_service& members,
                   const node_settings& settings);

    void start();
    void set_policy(const placement_policy& policy);
    /// Starts the task on a worker with room and returns the worker's name, or nothing and the
    /// reason. If this attempt of the task already has a worker, returns that worker's name.
    std::optional<std::string> place(const task_spec& task, error& why);
    /// Starts all of a job's tasks or none and returns their workers in the same order. If there is
    /// no room for all and `may_wait` is set, reserves room as it becomes free, for a bounded time.
    std::optional<std::vector<std::string>> place_all(const std::vector<task_spec>& tasks,
                                                      error& why, bool may_wait = true);
    /// Returns the reason why the workers of the whole cell could not run the tasks even if they
    /// were empty, or nothing if they could or no worker is known.
    std::optional<error> check_feasible(const task_spec& task, std::int64_t count) const;
    /// Returns why the task runs on its worker, or why no owned worker can start it.
    explanation explain(const task_spec& task) const;
    /// Returns the tasks of `jobs` that run on owned workers, wait there for preempted tasks to
    /// stop, or have ended and are not yet forgotten by their worker and this member.
    std::vector<listed_task> tasks_of(const std::set<std::string>& jobs) const;
    /// Returns the owned shards of which every worker either has reported its tasks or has been
    /// followed for longer than `lease_limit` without a report. The leases of the latter have
    /// expired, so their tasks have ended.
    std::vector<std::string> accounted_shards(micros lease_limit) const;
    /// Asks the worker that runs the task to stop it.
    void stop(const std::string& task);
    void on_ended(task_end_handler action) { end_handler_ = std::move(action); }

    resources used() const { return owned_.claimed(); }
    resources size() const { return owned_.total(); }
    resources cell_size() const { return whole_cell_.total(); }
    /// Returns the workers of the owned shards.
    const cell& owned() const { return owned_; }

private:
    struct finished_task {
        task_report report;
        bool listed = true;        ///< the worker's task list still contains it
        bool acknowledged = false; ///< the owner of the job has confirmed the end
    };

    /// A start that waits until the tasks it preempts have released their room.
    struct pending_start {
        task_spec spec;
        resources allocated;              ///< room that is kept free on the worker until the start
        std::vector<std::string> victims; ///< tasks that were asked to checkpoint
        time_point since;                 ///< when they were asked
        bool stopped = false;             ///< they were also asked to stop
    };

    struct placed_task {
        std::string worker;
        std::string work_class;
        resources declared; ///< size in the client's request
        std::int32_t attempt = 1;
        bool ended = false; ///< the entry stays until the worker has forgotten the task
    };

    struct worker_link {
        vm target;
        worker_id id = 0;
        bool listed = true;   ///< in the VM list
        time_point since;     ///< when this member began to follow the worker as owner of its shard
        bool syncing = false; ///< a /sync request is in flight
        bool accounted = false;     ///< its task list was read; no task starts on it before that
        time_point last_answer_at;  ///< when the last report arrived
        time_point last_renewal_at; ///< when a lease was last granted or renewed
        time_point last_report_asked_at; ///< when the last report in use was asked for
        std::map<std::string, finished_task> finished; ///< by task
        std::map<std::string, pending_start> pending;  ///< by task
    };

    bool enabled(std::string_view mechanism) const;
    void update_workers();
    void update_worker(const vm& v);
    void drop_worker(const std::string& name);
    void update_state(worker_link& link);
    void tick();
    void sync(worker_link& link);
    Json::Value sync_body(worker_link& link, time_point now) const;
    void handle_report(worker_link& link, const worker_report& report, time_point asked_at);
    void handle_end(worker_link& link, const task_report& report);
    void record_end(worker_link& link, task_report report, bool listed);
    void report_ends(worker_link& link);
    void remove_forgotten_ends(worker_link& link, const worker_report& report);
    void record_peak(const allocated_task& task);
    void update_health(worker_link& link, const task_report& report);
    void expire_tasks(worker_link& link);
    void respond_to_overuse(worker_link& link);
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
    cell owned_;          ///< the workers of the owned shards
    cell whole_cell_;     ///< every worker of the VM list; never_fits() decides by their sizes
    placement packing_;   ///< for all kinds of work but services
    placement spreading_; ///< for services
    gang_reservations gangs_;
    health health_;
    std::map<std::string, worker_link> links_;            ///< the workers in owned_, by name
    std::unordered_map<std::string, placed_task> places_; ///< by task
    std::unordered_map<std::string, job_spread> spreads_; ///< services only, by job
    estimates estimates_;
    std::size_t unanswered_starts_ = 0; ///< start requests in flight; a drained member has none
    double size_margin_ = placement_policy{}.size_margin;
    task_end_handler end_handler_;
};

} // namespace sesamesill
