// Guards against accepted jobs that are treated by a configuration which came after them.

#include <criterion/criterion.h>

#include "pool_fixture.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* job = "00000000000000aa";
constexpr int attempts = 4;

configuration with_queue()
{
    return config_of(std::nullopt, attempts);
}

/// A newer configuration, in which another queue has taken the place of the job's.
configuration without_queue()
{
    configuration config = with_queue();
    ++config.version;
    config.queues[0].name = "other";
    return config;
}

/// A cell of one worker with a job whose tasks fail.
struct failing_job {
    scheduler s = scheduler_with({"w1"}, with_queue());
    std::map<std::string, std::string> store;
    std::uint64_t ends = 0;
    std::int64_t ms = 0;

    explicit failing_job(int tasks) { add_job(s, store, job_of(job, {step_of(tasks, 1)}), 0); }

    void start()
    {
        ms += 100;
        accept_starts(s, place(s, ms), ms + 1);
    }

    /// Ends the run of the first task as failed. Returns whether there was one.
    bool fail_run()
    {
        worker_report report;
        bool found = false;
        for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r :
             s.workers().at("w1").runs) {
            if (r.second.task.index == 0) {
                found = true;
                report.ended.push_back(
                    end_of(++ends, r.first.first, r.first.second, end_reason::failed));
            }
            else {
                report.running.push_back({r.first.first, r.first.second, "", 10, 0});
            }
        }
        poll_worker(s, "w1", report, ms + 10);
        record_all(s, store, ms + 20);
        return found;
    }

    bool fail_once()
    {
        start();
        return fail_run();
    }

    job_state state() const { return *s.visible_state(job); }
};

} // namespace

Test(pool_terms, a_job_in_a_dropped_queue_is_not_given_up_before_its_last_attempt)
{
    // Guards against LOST of review case 8: `failed` after two of four attempts.
    failing_job f(1);
    cr_assert(f.fail_once());
    f.start();
    f.s.configure(without_queue(), at_ms(f.ms + 5));
    cr_assert(f.fail_run());
    cr_assert_not(is_final(f.state()), "two runs have failed");
    f.s.configure(with_queue(), at_ms(f.ms + 50));
    cr_assert_not(is_final(f.state()));
    while (f.ends + 1 < attempts) {
        cr_assert(f.fail_once());
        cr_assert_not(is_final(f.state()), "%d runs have failed", static_cast<int>(f.ends));
    }
    cr_assert(f.fail_once());
    cr_assert_eq(f.state(), job_state::failed);
}

Test(pool_terms, a_job_in_a_dropped_queue_gets_no_more_attempts_than_it_was_accepted_with)
{
    // Guards against BUDGET: the steps of a job had one attempt more than they have tasks.
    failing_job f(attempts + 2);
    f.s.configure(without_queue(), at_ms(f.ms + 50));
    while (f.ends < attempts && f.fail_once()) {
    }
    cr_assert_eq(f.ends, attempts);
    cr_assert_eq(f.state(), job_state::failed);
}

Test(pool_terms, a_job_keeps_its_attempts_when_those_of_its_queue_change)
{
    failing_job f(1);
    f.s.configure(config_of(std::nullopt, 1), at_ms(50));
    while (f.ends + 1 < attempts) {
        cr_assert(f.fail_once());
        cr_assert_not(is_final(f.state()), "%d runs have failed", static_cast<int>(f.ends));
    }
    cr_assert(f.fail_once());
    cr_assert_eq(f.state(), job_state::failed);
}

Test(pool_terms, a_job_in_a_dropped_queue_goes_on_to_its_later_steps)
{
    // Guards against an accepted job that is neither finished nor refused.
    scheduler s = scheduler_with({"w1"}, with_queue());
    std::map<std::string, std::string> store;
    job_spec spec = job_of(job, {step_of(1, 1), step_of(1, 1)});
    spec.steps[1].after = {0};
    add_job(s, store, spec, 0);
    const std::vector<start_order> first = place(s, 10);
    cr_assert_eq(first.size(), 1);
    accept_starts(s, first, 11);
    s.configure(without_queue(), at_ms(20));
    worker_report report;
    report.ended = {end_of(1, first[0].task, first[0].run, end_reason::done)};
    poll_worker(s, "w1", report, 30);
    cr_assert_eq(place(s, 40).size(), 1);
}

Test(pool_terms, a_successor_without_the_queue_knows_the_terms_of_a_job)
{
    // Guards against the same after a change of the lead: also before the successor has read any
    // configuration.
    for (const configuration& known : {without_queue(), configuration()}) {
        failing_job f(1);
        cr_assert(f.fail_once());
        cr_assert(f.fail_once());
        scheduler next = successor_of(f.store, 50, {"w1"}, 1000, known);
        poll_worker(next, "w1", {}, 1010);
        std::int64_t ms = 1100;
        std::uint64_t number = f.ends;
        std::size_t starts = 0;
        for (int n = 0; n < attempts; ++n, ms += 100) {
            const std::vector<start_order> orders = place(next, ms);
            starts += orders.size();
            accept_starts(next, orders, ms + 1);
            worker_report report;
            for (const start_order& o : orders) {
                report.ended.push_back(end_of(++number, o.task, o.run, end_reason::failed));
            }
            poll_worker(next, "w1", report, ms + 10);
            record_all(next, f.store, ms + 20);
        }
        cr_assert_eq(starts, 2, "%zu starts, two runs had failed before", starts);
        cr_assert_eq(*next.visible_state(job), job_state::failed);
    }
}
