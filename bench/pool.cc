// Measures one pass of the pool scheduler when all workers are full and jobs are waiting.

#include <benchmark/benchmark.h>

#include "sesamesill/pool_scheduler.h"

namespace {

using namespace sesamesill;
using namespace sesamesill::pool;

constexpr std::int64_t wall_ms = 1'700'000'000'000;

configuration one_queue()
{
    configuration config;
    config.version = 1;
    queue_policy queue;
    queue.name = "q";
    queue.service = "s";
    queue.max_attempts = 3;
    queue.stretch = 4;
    queue.latency_target = millis(1000);
    config.queues = {queue};
    return config;
}

job_spec job_number(int number, bool gang)
{
    step_spec step;
    step.tasks = 8;
    step.need = {3000, 4000, 0};
    step.estimate = millis(2000);
    step.gang = gang;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    job_spec job;
    job.id = id;
    job.queue = "q";
    job.steps = {step};
    return job;
}

/// Measures passes over a full pool: each pass examines all waiting steps and starts nothing.
void full_pool(benchmark::State& state)
{
    const int workers = static_cast<int>(state.range(0));
    const int waiting = static_cast<int>(state.range(1));
    time_point now(micros(0));
    scheduler s(1, {}, now);
    s.configure(one_queue());
    for (int i = 0; i < workers; ++i) {
        worker_entry entry;
        entry.id = "w" + std::to_string(i);
        entry.service = "s";
        entry.capacity = {32000, 64000, 0};
        s.list_worker(entry, now);
        const std::optional<poll_order> poll = s.next_poll(entry.id, millis(0), now);
        worker_report report;
        report.clock_ms = 1;
        s.on_poll(*poll, now, order_verdict::accepted, report, now);
    }
    for (int i = 0; i < workers * 2 + waiting; ++i) {
        s.add(job_number(i, i % 4 == 0), wall_ms, now);
    }
    s.on_record_stored(now + micros(1));
    s.place(now);
    s.take_starts();
    s.take_decisions();
    while (state.KeepRunning()) {
        s.tick(now);
        s.place(now);
    }
    state.counters["steps_waiting"] = static_cast<double>(s.queued_steps());
}

} // namespace

BENCHMARK(full_pool)
    ->Args({48, 100})
    ->Args({48, 500})
    ->Args({350, 500})
    ->Args({350, 2000})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
