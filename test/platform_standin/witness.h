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
    bool carried_out_late = false; ///< the order had been on its way for seconds
};

struct run_end {
    std::string worker;
    std::uint64_t number = 0; ///< in the worker's list; 0 where the worker itself is gone
    pool::task_id task;
    std::int64_t run = 0;
    pool::end_reason how = pool::end_reason::failed;
    std::string checkpoint;
};

class witness {
public:
    witness() = default;
    virtual ~witness() = default;
    witness(const witness&) = delete;
    witness& operator=(const witness&) = delete;
    witness(witness&&) = delete;
    witness& operator=(witness&&) = delete;

    /// Returns nothing for a task that nobody submitted.
    virtual std::optional<run_facts> facts_of(const pool::task_id& task, std::int64_t run) = 0;
    virtual void on_start(const run_start& start) = 0;
    virtual void on_checkpoint(const pool::task_id& task, const std::string& checkpoint) = 0;
    virtual void on_end(const run_end& end) = 0;
    /// The control plane has taken note of the worker's ends up to `number`.
    virtual void on_noted(const std::string& worker, std::uint64_t number) = 0;
    /// The worker's lease ran out; ends that wait to be noted no longer bind.
    virtual void on_lapse(const std::string& worker) = 0;
    /// The worker lists that it drains.
    virtual void on_draining(const std::string& worker) = 0;
};

} // namespace standin
