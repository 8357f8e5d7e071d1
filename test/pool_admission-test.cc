// Plays overload on virtual time: what is accepted is served in time, refusals are true, and the
// pool comes to rest after the load.

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>

#include "pool_fixture.h"
#include "pool_window.h"
#include "sesamesill/pool_admission.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t run_ms = 500;
constexpr std::int64_t job_objective_ms = 2 * run_ms + 1000; ///< by `config_of`

/// A pool whose workers run each task for `run_ms`, and jobs of one task each.
struct playing_pool {
    scheduler s{1, {}, at_ms(0)};
    std::vector<std::string> names;
    std::map<std::string, worker_report> reports; ///< by worker
    std::map<std::string, std::int64_t> accepted; ///< time by job
    std::map<std::string, std::int64_t> finished;
    std::deque<std::pair<std::int64_t, start_order>> running; ///< in order of their ends
    int refused = 0;
    std::string last_reason;
    int next_job = 0;
    std::int64_t shortest_retry_ms = std::numeric_limits<std::int64_t>::max();
    std::int64_t longest_retry_ms = 0;

    explicit playing_pool(int worker_count)
    {
        s.configure(config_of(), at_ms(0));
        for (int i = 0; i < worker_count; ++i) {
            names.push_back("w" + std::to_string(i));
            s.list_worker(worker_of(names.back()), at_ms(0));
            poll_worker(s, names.back(), {}, 0);
        }
    }

    void submit(std::int64_t now)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++next_job);
        const job_spec spec = job_of(id, {step_of(1, 4)});
        const admission_answer answer = s.admit(spec, wall_start_ms + now, at_ms(now));
        if (answer.verdict == admission::accept) {
            s.add(s.accepted(spec, wall_start_ms + now), at_ms(now));
            accepted[id] = now;
            return;
        }
        ++refused;
        last_reason = answer.reason;
        shortest_retry_ms = std::min(shortest_retry_ms, answer.retry_after.count());
        longest_retry_ms = std::max(longest_retry_ms, answer.retry_after.count());
    }

    void run(std::int64_t now)
    {
        while (!running.empty() && running.front().first <= now) {
            const start_order& o = running.front().second;
            worker_report& report = reports[o.worker];
            report.running.erase(
                std::find_if(report.running.begin(), report.running.end(),
                             [&](const running_task& r) { return r.task == o.task; }));
            report.ended.push_back(
                end_of(report.ended.size() + 1, o.task, o.run, end_reason::done));
            finished[task_id_from(o.task)->job] = now;
            poll_worker(s, o.worker, report, now);
            running.pop_front();
        }
        if (now % 500 == 0) {
            for (const std::string& name : names) {
                poll_worker(s, name, reports[name], now);
            }
        }
        s.on_directory_loaded(at_ms(now));
        s.on_record_stored(s.fence());
        store_worker_records(s);
        s.on_batch_stored(s.take_records(wall_start_ms + now));
        s.tick(at_ms(now));
        s.place(at_ms(now));
        for (const start_order& o : s.take_starts()) {
            s.on_start(o, order_verdict::accepted, now, at_ms(now));
            running.emplace_back(now + run_ms, o);
            reports[o.worker].running.push_back({o.task, o.run, "", 0, 0});
        }
    }
};

} // namespace

Test(pool_admission, load_ten_times_too_high_is_refused_and_leaves_no_queue_behind)
{
    // Two tasks a worker and 0.5 s each: ten workers carry 40 jobs a second.
    playing_pool pool(10);
    constexpr int capacity = 40;
    std::int64_t now = 0;
    const auto play = [&](std::int64_t until, int jobs_per_second) {
        constexpr std::int64_t ms_per_second = 1000;
        std::int64_t due = 0; // jobs, in thousandths
        for (; now < until; now += step_ms) {
            due += jobs_per_second * step_ms;
            while (due >= ms_per_second) {
                due -= ms_per_second;
                pool.submit(now);
            }
            pool.run(now);
        }
    };
    play(5000, capacity * 8 / 10);
    cr_assert_eq(pool.refused, 0, "%s", pool.last_reason.c_str());
    play(10000, capacity * 10);
    const int refused = pool.refused;
    cr_assert_gt(refused, 1000);
    play(18000, 0);
    cr_assert_eq(pool.s.queued_steps(), 0, "%zu of %zu accepted jobs wait", pool.s.queued_steps(),
                 pool.accepted.size());
    play(20000, capacity * 8 / 10);
    cr_assert_eq(pool.refused, refused, "nothing is refused after the load");
    play(23000, 0);
    double useful = 0;
    for (const std::pair<const std::string, std::int64_t>& a : pool.accepted) {
        cr_assert_eq(pool.finished.count(a.first), 1);
        useful += pool.finished[a.first] - a.second <= 3 * job_objective_ms + run_ms ? 1 : 0;
    }
    const double accepted = static_cast<double>(pool.accepted.size());
    cr_assert_geq(useful, 0.9 * accepted, "%.0f of %.0f end before they are useless", useful,
                  accepted);
    cr_assert_eq(pool.accepted.size(), pool.finished.size(), "what is refused never runs");
    cr_assert_geq(pool.shortest_retry_ms, 1000);
    cr_assert_gt(pool.longest_retry_ms, pool.shortest_retry_ms, "clients return spread out");
}

Test(pool_admission, a_burst_that_the_pool_works_off_in_time_is_accepted)
{
    playing_pool pool(10);
    std::int64_t now = 0;
    for (; now < 5000; now += step_ms) {
        if (now % 40 == 0) {
            pool.submit(now);
        }
        pool.run(now);
    }
    for (int i = 0; i < 80; ++i) { // two seconds of the pool's rate
        pool.submit(now);
    }
    cr_assert_eq(pool.refused, 0);
}

Test(pool_admission, starts_that_stop_for_a_while_do_not_lead_to_refusals)
{
    // Load: the store is away for seconds, and steps wait until it answers again.
    start_rate rate;
    for (int ms = 0; ms < 4000; ms += 10) {
        rate.add(1, at_ms(ms));
    }
    cr_assert_float_eq(rate.highest(at_ms(4000)), 100, 2);
    rate.add(0, at_ms(9000));
    cr_assert_float_eq(rate.highest(at_ms(9000)), 100, 2);
    rate.add(0, at_ms(40000));
    cr_assert_eq(rate.highest(at_ms(40000)), 0, "an idle pool's rate isn't known");
}

Test(pool_window, late_answers_shrink_the_window_to_what_a_slow_link_carries)
{
    // A link that carries 100 orders a second, and always more orders to send.
    send_window window(millis(80));
    constexpr double orders_per_ms = 0.1;
    std::deque<double> sent; ///< times, in order
    double link_free_at = 0;
    std::deque<double> answers;
    double longest_ms = 0;
    int answered = 0;
    for (int now = 0; now < 10000; ++now) {
        while (window.free() > 0) {
            window.on_sent();
            link_free_at = std::max<double>(now, link_free_at) + 1 / orders_per_ms;
            sent.push_back(now);
            answers.push_back(link_free_at);
        }
        while (!answers.empty() && answers.front() <= now) {
            const double elapsed = answers.front() - sent.front();
            if (now > 5000) {
                longest_ms = std::max(longest_ms, elapsed);
                ++answered;
            }
            window.on_done(millis(static_cast<std::int64_t>(elapsed)), true, at_ms(now));
            answers.pop_front();
            sent.pop_front();
        }
    }
    cr_assert_lt(longest_ms, 130, "before an order's timeout");
    cr_assert_gt(answered, 450, "and the link is used");
}

Test(pool_window, workers_that_are_cut_off_do_not_shrink_the_window)
{
    send_window window(millis(80));
    for (int i = 0; i < 2000; ++i) {
        window.on_sent();
        window.on_done(millis(5), i % 5 != 0, at_ms(i));
    }
    cr_assert_geq(window.size(), send_window::initial_size);
}

Test(pool_admission, clients_whose_jobs_may_wait_return_after_an_outage_of_several_seconds)
{
    // Load: the store is away for 4.2 s; a client tries five times.
    constexpr double hold_ms = 1260;
    constexpr double review_ms = 11800;
    constexpr int retries = 4;
    for (const double spread : {0.0, 0.5, 0.99}) {
        cr_assert_eq(retry_after_outage(hold_ms, spread), millis(1000),
                     "a late hold is worth little");
        const millis review = retry_after_outage(review_ms, spread);
        cr_assert_gt(retries * review, millis(4200 + 3000), "the last try is after the outage");
        cr_assert_lt(review, millis(static_cast<std::int64_t>(review_ms / 2)));
    }
    cr_assert_lt(retry_after_outage(review_ms, 0.0), retry_after_outage(review_ms, 0.9));
}
