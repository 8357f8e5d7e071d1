// Helpers for tests of the scheduler: configurations, jobs, worker reports and stored records.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool::testing {

constexpr std::int64_t wall_start_ms = 1'700'000'000'000;

inline time_point at_ms(std::int64_t ms)
{
    return time_point(micros(ms * 1000));
}

inline configuration config_of(std::optional<advice_terms> advice = std::nullopt, int attempts = 3)
{
    configuration config;
    config.version = 1;
    queue_policy queue;
    queue.name = "holds";
    queue.service = "places";
    queue.max_attempts = attempts;
    queue.stretch = 2;
    queue.latency_target = millis(1000);
    queue.advice = advice;
    config.queues = {queue};
    config.services = {{"places", false, false}};
    return config;
}

inline worker_entry worker_of(const std::string& id, std::int64_t cores = 8)
{
    worker_entry entry;
    entry.id = id;
    entry.machine = "machine-" + id;
    entry.address = {"10.0.0.1", 80};
    entry.service = "places";
    entry.rack = "r1-1";
    entry.labels = {"a", "r1-1"};
    entry.capacity = {cores * 1000, 64000, 0};
    entry.start_time_ms = wall_start_ms;
    return entry;
}

inline step_spec step_of(int tasks, std::int64_t cores, bool gang = false)
{
    step_spec step;
    step.tasks = tasks;
    step.need = {cores * 1000, 100, 0};
    step.estimate = millis(500);
    step.gang = gang;
    return step;
}

inline job_spec job_of(const std::string& id, std::vector<step_spec> steps)
{
    job_spec spec;
    spec.id = id;
    spec.queue = "holds";
    spec.payload = "text";
    spec.steps = std::move(steps);
    return spec;
}

/// Polls a worker, which answers with `report` at `ms`.
inline void poll_worker(scheduler& s, const std::string& worker, worker_report report,
                        std::int64_t ms)
{
    report.clock_ms = ms;
    if (report.start_time_ms == 0) {
        report.start_time_ms = wall_start_ms; // as its entry says
    }
    const std::optional<poll_order> order = s.next_poll(worker, millis(0), at_ms(ms));
    s.on_poll(*order, at_ms(ms), order_verdict::accepted, report, at_ms(ms + 1));
}

inline ended_task end_of(std::uint64_t number, const std::string& task, std::int64_t run,
                         end_reason how, const std::string& checkpoint = "")
{
    return {number, task, run, how, checkpoint};
}

/// Stores the next records of the scheduler in `store` without a failure.
inline void record_all(scheduler& s, std::map<std::string, std::string>& store, std::int64_t ms)
{
    const record_batch batch = s.take_records(wall_start_ms + ms);
    for (const keyed_record& r : batch.records) {
        if (r.value.empty()) {
            store.erase(r.key);
        }
        else {
            store[r.key] = r.value;
        }
    }
    s.on_batch_stored(batch);
}

/// Returns a successor that has read `store` and the entries of `workers`, which are unverified.
/// The directory may lack workers until `entries_back_ms`.
scheduler successor_of(const std::map<std::string, std::string>& store, std::uint64_t fence,
                       const std::vector<std::string>& workers, std::int64_t ms,
                       const configuration& config, std::int64_t entries_back_ms = 0);

/// Returns the first leader's scheduler, to which all workers have reported no runs.
inline scheduler scheduler_with(const std::vector<std::string>& workers,
                                const configuration& config = config_of())
{
    scheduler s(1, {}, at_ms(0));
    s.configure(config, at_ms(0));
    for (const std::string& w : workers) {
        s.list_worker(worker_of(w), at_ms(0));
        poll_worker(s, w, {}, 0);
    }
    return s;
}

inline void add_job(scheduler& s, std::map<std::string, std::string>& store, const job_spec& spec,
                    std::int64_t ms)
{
    const job_record accepted = s.accepted(spec, wall_start_ms + ms);
    const keyed_record record = scheduler::record_of(accepted);
    store[record.key] = record.value;
    s.add(accepted, at_ms(ms));
}

/// Stores the records that name workers, so that these may get tasks.
inline void store_worker_records(scheduler& s)
{
    s.take_worker_records();
    s.on_worker_records(true);
}

/// Places without another read of the worker directory.
inline std::vector<start_order> place_by_last_read(scheduler& s, std::int64_t ms)
{
    s.on_record_stored(s.fence() + static_cast<std::uint64_t>(ms));
    store_worker_records(s);
    s.tick(at_ms(ms));
    s.place(at_ms(ms));
    return s.take_starts();
}

inline std::vector<start_order> place(scheduler& s, std::int64_t ms)
{
    s.on_directory_loaded(at_ms(ms));
    return place_by_last_read(s, ms);
}

inline void accept_starts(scheduler& s, const std::vector<start_order>& orders, std::int64_t ms)
{
    for (const start_order& o : orders) {
        s.on_start(o, order_verdict::accepted, ms, at_ms(ms));
    }
}

} // namespace sesamesill::pool::testing
