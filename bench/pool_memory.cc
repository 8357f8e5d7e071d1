// Measures the memory of a leader whose accepted work is at its limit: fills a scheduler with jobs
// of one shape until it refuses the next one, keeps their records as a follower does, then restores
// a successor from them. Prints one JSON line.

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "one_queue.h"
#include "sesamesill/pool_scheduler.h"

DEFINE_string(shape, "small", "small, wide, daily, steps or cancelled");
DEFINE_double(memory_mb, 260, "memory of the process whose limit is kept");

namespace {

using namespace sesamesill;
using namespace sesamesill::pool;

constexpr std::int64_t wall_ms = 1'700'000'000'000;
constexpr std::int64_t minute_ms = 60'000;
constexpr int max_jobs = 1'000'000;

worker_entry idle_worker()
{
    worker_entry entry;
    entry.id = "w1";
    entry.service = "s";
    entry.capacity = {32000, 64000, 0};
    return entry;
}

step_spec step_of(int tasks)
{
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1000, 0};
    step.estimate = millis(2000);
    return step;
}

/// Returns a job of the shape, or nothing if there is no such shape.
std::optional<job_spec> job_of(const std::string& shape, int number)
{
    const std::map<std::string, std::vector<step_spec>> steps{
        {"small", {step_of(2)}},
        {"wide", {step_of(4000)}},
        {"daily", {step_of(2)}},
        {"steps", std::vector<step_spec>(max_steps, step_of(1))},
        {"cancelled", {step_of(4000)}}};
    const auto known = steps.find(shape);
    if (known == steps.end()) {
        return std::nullopt;
    }
    job_spec job;
    job.id = "id" + std::to_string(number);
    job.queue = "q";
    job.payload.assign(max_payload_bytes, 'x');
    job.steps = known->second;
    if (shape == "daily") {
        job.occurrences = 1440;
        job.first_due_ms = wall_ms + minute_ms;
        job.interval_ms = minute_ms;
    }
    return job;
}

/// Returns a line of /proc/self/status, such as VmRSS, in MB.
double status_mb(const std::string& name)
{
    constexpr double kb_per_mb = 1000.0 / 1.024;
    std::ifstream status("/proc/self/status");
    std::string word;
    double kb = 0;
    while (status >> word) {
        if (word == name + ":") {
            status >> kb;
        }
    }
    return kb / kb_per_mb;
}

std::unique_ptr<scheduler> leader_with(double memory_mb, std::uint64_t fence)
{
    std::unique_ptr<scheduler> s =
        std::make_unique<scheduler>(fence, platform_bounds(), time_point());
    s->limit_memory(accepted_work_limit(memory_mb));
    s->configure(bench::one_queue(millis(0)), time_point());
    s->list_worker(idle_worker(), time_point());
    return s;
}

void store(std::map<std::string, keyed_record>& records, const keyed_record& record)
{
    if (record.value.empty()) {
        records.erase(record.key);
    }
    else {
        records[record.key] = record;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!job_of(FLAGS_shape, 0)) {
        std::cerr << "unknown shape: " << FLAGS_shape << "\n";
        return 2;
    }
    std::map<std::string, keyed_record> records;
    std::unique_ptr<scheduler> s = leader_with(FLAGS_memory_mb, 1);
    const double empty_mb = status_mb("VmRSS");
    int jobs = 0;
    for (; jobs < max_jobs; ++jobs) {
        const job_spec spec = *job_of(FLAGS_shape, jobs);
        if (s->admit(spec, wall_ms, time_point()).verdict != admission::accept) {
            break;
        }
        const job_record job = s->accepted(spec, wall_ms);
        store(records, scheduler::record_of(job));
        s->add(job, time_point());
        if (FLAGS_shape == "cancelled") {
            s->cancel(spec.id, time_point());
            const record_batch batch = s->take_records(wall_ms);
            for (const keyed_record& r : batch.records) {
                store(records, r);
            }
            s->on_batch_stored(batch);
        }
        s->take_decisions();
        s->take_stops();
    }
    const double used_mb = static_cast<double>(s->memory().used()) / 1e6;
    const double full_mb = status_mb("VmRSS");
    s = leader_with(FLAGS_memory_mb, 2); // the records stay, as those of a follower that claims
    for (const std::pair<const std::string, keyed_record>& r : records) {
        const std::string id = r.first.substr(r.first.find('/') + 1);
        if (r.first.compare(0, 4, "job/") == 0) {
            s->restore(id, &r.second.value, {}, wall_ms, time_point());
        }
    }
    s->finish_restore(time_point(), time_point());
    std::cout << "{\"shape\":\"" << FLAGS_shape << "\",\"jobs\":" << jobs
              << ",\"limit_mb\":" << static_cast<double>(s->memory().limit()) / 1e6
              << ",\"estimated_mb\":" << used_mb << ",\"empty_mb\":" << empty_mb
              << ",\"full_mb\":" << full_mb << ",\"restored_mb\":" << status_mb("VmRSS")
              << ",\"peak_mb\":" << status_mb("VmHWM") << "}\n";
    return 0;
}
