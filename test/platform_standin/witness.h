// What the stand-ins tell of tasks, for whoever checks what the control plane promises.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"

namespace standin {

using namespace sesamesill;

/// How a run of a task goes, decided by whoever submitted its job.
struct run_facts {
    pool::step_spec step;
    millis work{0};
    bool fails = false;        ///< this run, by its own fault
    bool needs_ticket = false; ///< from the advisor
};

struct run_start {
    std::string worker;
    pool::task_id task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    bool executed_late = false; ///< the order had been on its way for seconds
};

struct run_end {
    std::string worker;
    std::uint64_t number = 0; ///< in the worker's list; 0 where the worker itself is gone
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

    /// Returns nothing for a task that nobody submitted.
    virtual std::optional<run_facts> facts_of(const pool::task_id& task, std::int64_t run) = 0;
    virtual void on_start(const run_start& start) = 0;
    virtual void on_checkpoint(const pool::task_id& task, const std::string& checkpoint) = 0;
    virtual void on_end(const run_end& end) = 0;
    /// The control plane has taken note of the worker's ends up to `number`.
    virtual void on_ends_acknowledged(const std::string& worker, std::uint64_t number) = 0;
    /// The worker's lease ran out; ends that wait to be noted no longer bind.
    virtual void on_lease_expired(const std::string& worker) = 0;
    /// The worker lists that it drains.
    virtual void on_draining(const std::string& worker) = 0;
};

} // namespace standin
