// Tests of the memory that accepted work takes: at acceptance, after a restore, when occurrences
// come due, and after jobs have ended.

#include <atomic>
#include <fstream>

#include <criterion/criterion.h>
#include <unistd.h>

#include "pool_fixture.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

#if defined(__SANITIZE_ADDRESS__)

namespace {

std::atomic<std::size_t> allocated_bytes{0};

} // namespace

// The sanitizer calls these for each block.
extern "C" {

std::size_t __sanitizer_get_allocated_size(const volatile void* block);

void __sanitizer_malloc_hook(const volatile void* /*block*/, std::size_t size)
{
    allocated_bytes += size;
}

void __sanitizer_free_hook(const volatile void* block)
{
    allocated_bytes -= __sanitizer_get_allocated_size(block);
}

} // extern "C"

#endif

namespace {

constexpr std::int64_t minute_ms = 60'000;
constexpr std::size_t vm_limit = 104'000'000; ///< share of a VM of 260 MB for accepted work

/// Returns the memory that this process uses, in bytes. With the address sanitizer that is the size
/// of its blocks, as resident memory includes their margins and blocks that were freed.
std::size_t used_bytes()
{
#if defined(__SANITIZE_ADDRESS__)
    return allocated_bytes;
#else
    std::ifstream statm("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    statm >> pages >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
}

std::size_t growth_since(std::size_t bytes)
{
    const std::size_t now = used_bytes();
    return now > bytes ? now - bytes : 0;
}

std::string id_of(int number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// A job that runs each minute of a day.
job_spec daily_job(int number, std::int64_t first_due_ms = minute_ms)
{
    job_spec spec = job_of(id_of(number), {step_of(2, 1)});
    spec.occurrences = 1440;
    spec.first_due_ms = wall_start_ms + first_due_ms;
    spec.interval_ms = minute_ms;
    return spec;
}

job_spec large_job(int number, int tasks)
{
    job_spec spec = job_of(id_of(number), {step_of(tasks, 1)});
    spec.payload.assign(max_payload_bytes, 'x');
    return spec;
}

/// Returns the Retry-After of the job's refusal; nothing if it is accepted.
std::optional<millis> refusal_of(const scheduler& s, const job_spec& spec, std::int64_t ms)
{
    const admission_answer answer = s.admit(spec, wall_start_ms + ms, at_ms(ms));
    return answer.verdict == admission::refuse ? std::optional<millis>(answer.retry_after)
                                               : std::nullopt;
}

/// Adds jobs like this one, and compares the memory that they take with the estimate.
void check_estimate(job_spec spec)
{
    constexpr int jobs = 1000;
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    const std::size_t before = used_bytes();
    for (int n = 0; n < jobs; ++n) {
        spec.id = id_of(n);
        add_job(s, store, spec, 0);
        s.take_decisions();
    }
    const std::size_t growth = growth_since(before);
    cr_assert_geq(growth, jobs * sizeof(job_spec), "the measurement shows %zu bytes only", growth);
    cr_assert_leq(growth, s.memory().used(), "%zu bytes, %zu estimated", growth, s.memory().used());
}

} // namespace

Test(pool_memory, jobs_with_many_due_times_do_not_exhaust_their_leader)
{
    // Guards against a leader that exceeds its memory by jobs of which hardly a task is due.
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    const std::size_t before = used_bytes();
    for (int n = 0; n < 600; ++n) {
        add_job(s, store, daily_job(n), n);
    }
    const std::size_t growth = growth_since(before);
    cr_assert_lt(growth, vm_limit, "600 jobs take %zu bytes", growth);
}

Test(pool_memory, jobs_with_many_due_times_do_not_exhaust_a_later_leader)
{
    // Guards against successors that exceed their memory by restoring such jobs.
    std::map<std::string, std::string> store;
    for (int n = 0; n < 600; ++n) {
        const job_record job{daily_job(n), wall_start_ms, {}};
        store[scheduler::record_of(job).key] = encode(job);
    }
    const std::size_t before = used_bytes();
    scheduler s = successor_of(store, 2, {"w1"}, 5000, config_of());
    const std::size_t growth = growth_since(before);
    cr_assert_lt(growth, vm_limit, "600 jobs take %zu bytes", growth);
    cr_assert_eq(s.jobs(), 600);
}

Test(pool_memory, ended_jobs_keep_no_tasks)
{
    // Guards against a leader that exceeds its memory by cancelled jobs, whose state it still
    // knows.
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    const std::size_t before = used_bytes();
    for (int n = 0; n < 300; ++n) {
        add_job(s, store, large_job(n, 4096), n);
        cr_assert(s.cancel(id_of(n), at_ms(n)) == cancel_answer::cancelled);
        record_all(s, store, n);
    }
    const std::size_t growth = growth_since(before);
    cr_assert_lt(growth, vm_limit, "300 ended jobs take %zu bytes", growth);
    cr_assert(s.visible_state(id_of(7)) == job_state::cancelled);
}

Test(pool_memory, work_beyond_the_limit_is_refused_at_once)
{
    // Guards against a leader that accepts more work than it can hold.
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    s.limit_memory(vm_limit);
    const std::size_t before = used_bytes();
    int accepted = 0;
    while (accepted < 1000 && !refusal_of(s, large_job(accepted, 1000), 0)) {
        add_job(s, store, large_job(accepted, 1000), 0);
        ++accepted;
    }
    cr_assert_gt(accepted, 10);
    cr_assert_lt(accepted, 1000, "no job was refused");
    cr_assert_gt(refusal_of(s, large_job(accepted, 1000), 0)->count(), 0);
    cr_assert_leq(growth_since(before), vm_limit);
    // Another leader needs no more than was accepted, and what waits for its record counts.
    scheduler next = successor_of(store, 2, {"w1"}, 5000, config_of());
    cr_assert_leq(next.memory().used(), s.memory().used());
    next.limit_memory(vm_limit);
    const memory_charge waiting = next.reserve(large_job(accepted, 20));
    cr_assert(refusal_of(next, large_job(accepted, 4000), 5000).has_value());
}

Test(pool_memory, the_estimate_of_an_ended_job_is_not_below_what_it_takes)
{
    // Guards against a leader that exceeds its memory by jobs whose state it still has to tell.
    constexpr int jobs = 20'000;
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    const std::size_t before = used_bytes();
    for (int n = 0; n < jobs; ++n) {
        add_job(s, store, large_job(n, 2), n);
        s.cancel(id_of(n), at_ms(n));
        record_all(s, store, n);
        s.take_decisions();
    }
    const std::size_t growth = growth_since(before);
    cr_assert_leq(growth, s.memory().used(), "%zu bytes, %zu estimated", growth, s.memory().used());
    cr_assert_leq(s.memory().used(), static_cast<std::size_t>(jobs) * 1000, "%zu bytes a job",
                  s.memory().used() / jobs);
    record_all(s, store, jobs + 2 * platform_bounds().status_kept.count());
    cr_assert_eq(s.memory().used(), 0);
    cr_assert(store.empty());
}

// Each guards against a limit that is kept on paper only. They are separate tests, as each runs in
// a process of its own.

Test(pool_memory, the_estimate_of_a_small_job_is_not_below_what_it_takes)
{
    check_estimate(large_job(0, 1));
}

Test(pool_memory, the_estimate_of_a_job_with_many_tasks_is_not_below_what_it_takes)
{
    check_estimate(large_job(0, 300));
}

Test(pool_memory, the_estimate_of_a_job_with_many_due_times_is_not_below_what_it_takes)
{
    check_estimate(daily_job(0));
}

Test(pool_memory, the_estimate_of_a_job_with_many_steps_is_not_below_what_it_takes)
{
    job_spec spec = job_of("", {});
    for (int n = 0; n < max_steps; ++n) {
        step_spec step = step_of(1, 1);
        step.required_label.assign(100, 'l');
        step.image.assign(100, 'i');
        step.after.assign(n > 0 ? 1 : 0, n - 1);
        spec.steps.push_back(step);
    }
    check_estimate(spec);
}

Test(pool_memory, due_occurrences_wait_for_memory_and_then_run)
{
    // Guards against a leader that exceeds its memory when many accepted occurrences come due.
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    const std::size_t occurrence = memory_of(daily_job(0)).occurrence;
    s.limit_memory(memory_of(daily_job(0)).job * 200);
    for (int n = 0; n < 100; ++n) {
        cr_assert_not(refusal_of(s, daily_job(n, 1000), 0));
        add_job(s, store, daily_job(n, 1000), 0);
    }
    cr_assert_leq(occurrence, s.memory().reserve());
    s.limit_memory(s.memory().used() + 3 * occurrence + 200 * failure_bytes);
    int ended = 0;
    std::uint64_t end_number = 0;
    for (std::int64_t ms = 1000; ms < 1000 + 60 * 200 && ended < 200; ms += 200) {
        worker_report report;
        for (const start_order& o : place(s, ms)) {
            accept_starts(s, {o}, ms);
            report.ended.push_back(end_of(++end_number, o.task, o.run, end_reason::done));
            ++ended;
        }
        cr_assert_leq(s.memory().used(), s.memory().limit(), "%zu of %zu bytes after %lld ms",
                      s.memory().used(), s.memory().limit(), static_cast<long long>(ms));
        poll_worker(s, "w1", report, ms + 100);
    }
    cr_assert_eq(ended, 200, "%d tasks of 100 occurrences have run", ended);
}

Test(pool_memory, a_restore_opens_the_occurrences_that_the_limit_allows)
{
    // Guards against a successor that opens all due occurrences at once.
    std::map<std::string, std::string> store;
    for (int n = 0; n < 100; ++n) {
        const job_record job{daily_job(n, -30 * minute_ms), wall_start_ms - 60 * minute_ms, {}};
        store[scheduler::record_of(job).key] = encode(job);
    }
    scheduler s(2, {}, at_ms(0));
    const std::size_t limit = 100 * memory_of(daily_job(0)).job + 300'000;
    s.limit_memory(limit);
    s.configure(config_of(), at_ms(0));
    s.list_worker(worker_of("w1"), at_ms(0));
    for (const std::pair<const std::string, std::string>& r : store) {
        s.restore(r.first.substr(4), &r.second, {}, wall_start_ms, at_ms(0));
    }
    s.finish_restore(at_ms(0), at_ms(9000));
    cr_assert_leq(s.memory().used(), limit);
    cr_assert_gt(s.queued_steps(), 0);
}

Test(pool_memory, stored_progress_does_not_list_each_finished_occurrence)
{
    // Guards against members that exceed their memory by the progress of jobs that run each minute.
    std::map<std::string, std::string> store;
    step_spec step = step_of(1, 1);
    step.need = {};
    job_spec spec = job_of(id_of(1), {step});
    spec.occurrences = 9000;
    spec.first_due_ms = wall_start_ms;
    scheduler s = scheduler_with({"w1"});
    add_job(s, store, spec, 0);
    worker_report report;
    for (const start_order& o : place(s, 1)) {
        accept_starts(s, {o}, 2);
        if (task_id_from(o.task)->occurrence != 4000) {
            report.ended.push_back(
                end_of(report.ended.size() + 1, o.task, o.run, end_reason::done));
        }
        else {
            report.running.push_back({o.task, o.run, "", 10, 0});
        }
    }
    poll_worker(s, "w1", report, 100);
    record_all(s, store, 101);
    std::size_t bytes = 0;
    for (const std::pair<const std::string, std::string>& r : store) {
        bytes += r.first.size() + r.second.size();
    }
    const std::size_t parts = 9000 / tasks_per_part + 1;
    cr_assert_leq(bytes, parts * progress_part_bytes + encode(spec).size() + 300);
    scheduler next = successor_of(store, 2, {"w2"}, 5000, config_of());
    poll_worker(next, "w2", {}, 5001);
    const std::vector<start_order> left = place(next, 5002);
    cr_assert_eq(left.size(), 1, "%zu tasks start again", left.size());
    cr_assert_eq(task_id_from(left[0].task)->occurrence, 4000);
}
