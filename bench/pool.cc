// Measures one pass of the pool scheduler when all workers are full and jobs are waiting, and the
// scheduler's part of a whole job: from its admission to the acknowledged ends of its tasks.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "one_queue.h"
#include "sesamesill/pool_scheduler.h"

namespace {

using namespace sesamesill;
using namespace sesamesill::pool;

constexpr std::int64_t wall_ms = 1'700'000'000'000;

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

worker_entry entry_of(int number)
{
    worker_entry entry;
    entry.id = "w" + std::to_string(number);
    entry.service = "s";
    entry.capacity = {32000, 64000, 0};
    return entry;
}

/// Measures passes over a full pool: each pass examines all waiting steps and starts nothing.
/// Stores what a worker's first task waits for.
void store_worker_records(scheduler& s)
{
    s.on_record_stored(s.fence());
    s.take_worker_records();
    s.on_worker_records(true);
}

void full_pool(benchmark::State& state)
{
    const int workers = static_cast<int>(state.range(0));
    const int waiting = static_cast<int>(state.range(1));
    time_point now(micros(0));
    scheduler s(1, {}, now);
    s.configure(bench::one_queue(millis(1000)), now);
    for (int i = 0; i < workers; ++i) {
        const worker_entry entry = entry_of(i);
        s.list_worker(entry, now);
        const std::optional<poll_order> poll = s.next_poll(entry.id, millis(0), now);
        worker_report report;
        report.clock_ms = 1;
        s.on_poll(*poll, now, order_verdict::accepted, report, now);
    }
    for (int i = 0; i < workers * 2 + waiting; ++i) {
        s.add(s.accepted(job_number(i, i % 4 == 0), wall_ms), now);
    }
    store_worker_records(s);
    s.place(now);
    s.take_starts();
    s.take_decisions();
    while (state.KeepRunning()) {
        s.tick(now);
        s.place(now);
    }
    state.counters["steps_waiting"] = static_cast<double>(s.queued_steps());
}

/// A scheduler with idle workers that answer all orders at once.
struct answering_pool {
    time_point now{micros(0)};
    scheduler s{1, {}, now};
    std::vector<std::string> names;
    std::map<std::string, std::uint64_t> ends; ///< listed so far, by worker
    std::uint64_t jobs = 0;

    explicit answering_pool(int workers)
    {
        s.configure(bench::one_queue(millis(1000)), now);
        for (int i = 0; i < workers; ++i) {
            const worker_entry entry = entry_of(i);
            s.list_worker(entry, now);
            names.push_back(entry.id);
        }
        poll_all();
        s.on_directory_loaded(now);
        store_worker_records(s);
    }

    void poll(const std::string& name, worker_report report)
    {
        const std::optional<poll_order> order = s.next_poll(name, millis(0), now);
        report.clock_ms = to_millis(now.time_since_epoch()) + 1;
        s.on_poll(*order, now, order_verdict::accepted, report, now);
    }

    void poll_all()
    {
        for (const std::string& name : names) {
            poll(name, {});
        }
    }

    void store_records() { s.on_batch_stored(s.take_records(wall_ms)); }

    /// Adds a job of eight tasks that need `cpu_millis` each.
    void add_job(std::int64_t cpu_millis)
    {
        job_spec job = job_number(static_cast<int>(++jobs), false);
        job.steps[0].need.cpu_millis = cpu_millis;
        s.add(s.accepted(job, wall_ms), now);
    }

    /// Places, and ends all tasks that were started.
    void run_started_tasks()
    {
        s.place(now);
        const std::vector<start_order> orders = s.take_starts();
        for (const start_order& o : orders) {
            s.on_start(o, order_verdict::accepted, 1, now);
        }
        std::map<std::string, worker_report> reports;
        for (const start_order& o : orders) {
            reports[o.worker].ended.push_back(
                {++ends[o.worker], o.task, o.run, end_reason::done, ""});
        }
        for (const std::pair<const std::string, worker_report>& r : reports) {
            poll(r.first, r.second);
        }
        store_records();
        s.take_decisions();
    }
};

/// Measures a job on a pool with other jobs that wait for room and jobs that have ended.
void whole_job(benchmark::State& state)
{
    answering_pool pool(static_cast<int>(state.range(0)));
    constexpr std::int64_t task_cpu = 3000;
    constexpr std::int64_t too_large = 33000; // fits no worker, so the job waits
    for (int i = 0; i < state.range(1); ++i) {
        pool.add_job(too_large);
    }
    for (int i = 0; i < state.range(2); ++i) {
        pool.add_job(task_cpu);
        if (i % 100 == 99) {
            pool.run_started_tasks();
        }
    }
    pool.run_started_tasks();
    while (state.KeepRunning()) {
        pool.add_job(task_cpu);
        pool.run_started_tasks();
    }
}

/// Measures the choice of an advice call and the handling of its answer, which approves nobody.
void advice_call_of_many(benchmark::State& state)
{
    answering_pool pool(static_cast<int>(state.range(0)));
    configuration config = bench::one_queue(millis(1000));
    config.queues[0].advice = advice_terms{5, 1, millis(1000)};
    pool.s.configure(config, pool.now);
    for (int i = 0; i < state.range(1); ++i) {
        pool.add_job(1000);
    }
    pool.s.place(pool.now);
    while (state.KeepRunning()) {
        pool.now += millis(1); // so that no step is asked for twice within its pause
        if (const std::optional<advice_call> call = pool.s.next_advice(millis::max(), pool.now)) {
            advice_answer answer;
            answer.ok = true;
            pool.s.on_advice(*call, answer, pool.now);
        }
        if (to_millis(pool.now.time_since_epoch()) % 1000 == 0) {
            state.PauseTiming();
            pool.poll_all();
            pool.s.take_decisions();
            state.ResumeTiming();
        }
    }
}

} // namespace

BENCHMARK(advice_call_of_many)
    ->ArgNames({"workers", "waiting"})
    ->Args({50, 100})
    ->Args({370, 1000})
    ->Args({3000, 10000})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(whole_job)
    ->ArgNames({"workers", "waiting", "retained"})
    ->Args({50, 0, 1000})
    ->Args({370, 0, 1000})
    ->Args({1000, 0, 1000})
    ->Args({3000, 0, 1000})
    ->Args({370, 100, 1000})
    ->Args({370, 1000, 1000})
    ->Args({370, 10000, 1000})
    ->Args({370, 0, 30000})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(full_pool)
    ->Args({48, 100})
    ->Args({48, 500})
    ->Args({350, 500})
    ->Args({350, 2000})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
