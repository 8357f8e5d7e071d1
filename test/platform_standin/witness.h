// Interface through which the stand-ins report task events to the checks of the soak.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"

namespace standin {

using namespace sesamesill;

/// Properties of a run, decided by the submitter of its job.
struct run_facts {
    pool::step_spec step;
    millis work{0};
    bool fails = false;        ///< the run fails because of the task itself
    bool needs_ticket = false; ///< the run needs a ticket from the advisor
};

struct run_start {
    std::string worker;
    pool::task_id task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    bool executed_late = false; ///< the worker executed the order seconds after it was sent
};

struct run_end {
    std::string worker;
    std::uint64_t number = 0; ///< in the worker's list of ends; 0 if the worker crashed
    pool::task_id task;
    std::int64_t run = 0;
    pool::end_reason how = pool::end_reason::failed;
    std::string checkpoint;
};

class run_observer {
public:
    run_observer() = default;
    virtual ~run_observer() = default;
    run_observer(const run_observer&) = delete;
    run_observer& operator=(const run_observer&) = delete;
    run_observer(run_observer&&) = delete;
    run_observer& operator=(run_observer&&) = delete;

    /// Returns the properties of the run, or nothing if no client submitted the task.
    virtual std::optional<run_facts> facts_of(const pool::task_id& task, std::int64_t run) = 0;
    virtual void on_start(const run_start& start) = 0;
    virtual void on_checkpoint(const pool::task_id& task, const std::string& checkpoint) = 0;
    virtual void on_end(const run_end& end) = 0;
    /// Handles an acknowledgement by the control plane of the worker's ends up to `number`.
    virtual void on_ends_acknowledged(const std::string& worker, std::uint64_t number) = 0;
    /// Handles the expiry of the worker's lease. Unacknowledged ends no longer count.
    virtual void on_lease_expired(const std::string& worker) = 0;
    /// Handles the start of draining, which the worker reports in its entry.
    virtual void on_draining(const std::string& worker) = 0;
};

} // namespace standin
