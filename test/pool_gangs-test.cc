// Guards against gangs that are accepted and never start.

#include <criterion/criterion.h>

#include <algorithm>

#include "pool_fixture.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* job = "00000000000000aa";
constexpr millis longest_call{60000};

std::string task(int index)
{
    return to_string(task_id{job, 0, 0, index});
}

} // namespace

Test(pool_gangs, a_large_gang_gets_new_tickets_in_calls_that_the_advisor_takes)
{
    // Guards against LOST of review case 9: each call for new tickets named all workers of the
    // gang, and the advisor rejected it.
    constexpr int tasks = 105;
    constexpr std::size_t max_names = 100; ///< the advisor's limit
    constexpr std::size_t workers = 125;
    std::vector<std::string> names;
    names.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i) {
        names.push_back("w" + std::to_string(1000 + i));
    }
    scheduler s = scheduler_with(names, config_of(advice_terms{5, 0.1, millis(2500)}));
    std::map<std::string, std::string> store;
    add_job(s, store, job_of(job, {step_of(tasks, 8, true)}), 0);
    std::int64_t ms = 10;
    const auto advise = [&] {
        std::size_t largest = 0;
        while (const std::optional<advice_call> call = s.next_advice(longest_call, at_ms(ms))) {
            largest = std::max(largest, call->workers.size());
            advice_answer answer;
            answer.ok = call->workers.size() <= max_names;
            answer.valid = millis(2500);
            for (const std::string& id : call->workers) {
                answer.approved.push_back({id, "t" + std::to_string(ms)});
            }
            ms += 20;
            s.on_advice(*call, answer, at_ms(ms));
        }
        return largest;
    };
    // Half of the workers are full until the first tickets have expired.
    std::vector<worker_report> busy(names.size());
    for (std::size_t i = 0; i < names.size() / 2; ++i) {
        busy[i].running = {{"00000000000000bb.0.0." + std::to_string(i), 1, "", 10, 0}};
        poll_worker(s, names[i], busy[i], ms);
    }
    for (; ms < 2000; ms += 100) {
        advise();
        cr_assert_eq(place(s, ms).size(), 0, "there is room on half of the workers");
    }
    ms = 6000;
    for (const std::string& name : names) {
        poll_worker(s, name, {}, ms);
    }
    std::size_t started = 0;
    for (; ms < 9000 && started == 0; ms += 100) {
        started = place(s, ms).size();
        cr_assert_leq(advise(), max_names);
    }
    cr_assert_eq(started, tasks);
}

Test(pool_gangs, a_gang_with_a_limit_a_worker_returns_to_workers_that_it_failed_on)
{
    // Guards against LOST of review case 10: the only other worker has capacity for both tasks, but
    // may run one.
    scheduler s = scheduler_with({"w1", "w2"});
    std::map<std::string, std::string> store;
    step_spec step = step_of(2, 1, true);
    step.max_per_worker = 1;
    add_job(s, store, job_of(job, {step}), 0);
    accept_starts(s, place(s, 1), 2);
    s.list_worker(worker_of("w3"), at_ms(3));
    poll_worker(s, "w3", {}, 3);
    worker_report report;
    report.ended = {end_of(1, task(0), 1, end_reason::failed)};
    poll_worker(s, "w1", report, 10);
    report.ended = {end_of(1, task(1), 1, end_reason::failed)};
    poll_worker(s, "w2", report, 11);
    cr_assert_eq(place(s, 12).size(), 2);
}
