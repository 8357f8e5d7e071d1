// Starts tasks on the workers of the shards that this member owns and keeps their leases.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cell_service.h"
#include "sesamesill/http.h"
#include "sesamesill/platform.h"
#include "sesamesill/settings.h"

namespace sesamesill {

struct task_spec {
    std::string task; ///< "<job>/<index>"
    std::int32_t attempt = 1;
    resources size;
    Json::Value payload;
};

/// Tells the job's home that a task ended; the home's answer lets the worker forget it.
using task_ended =
    std::function<void(const task_report& report, std::function<void()> acknowledge)>;

class worker_service {
public:
    worker_service(event_loop& loop, http_client& client, cell_service& cell,
                   const node_settings& settings);

    void start();
    /// Starts the task on a worker with room; returns the worker's name, or nothing and the reason.
    std::optional<std::string> place(const task_spec& task, error& why);
    void on_ended(task_ended action) { ended_ = std::move(action); }

    resources used() const;
    resources size() const;

private:
    struct held_task {
        resources size;
        bool ended = false;
        bool acknowledged = false;
    };

    struct worker_state {
        vm target;
        bool accounted = false; ///< its own list was read; before that it has no room
        resources held;
        std::map<std::string, held_task> tasks;
    };

    void update_workers();
    void sync_all();
    void sync(worker_state& w);
    void take_report(worker_state& w, const worker_report& report);

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    const node_settings& settings_;
    std::map<std::string, worker_state> workers_;
    task_ended ended_;
};

} // namespace sesamesill
