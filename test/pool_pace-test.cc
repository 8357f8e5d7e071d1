// Guards against slow workers that keep their runs or get new ones, and against moving runs that
// are only longer than estimated. The load: single tasks on three workers, some of which stall or
// are slow.

#include <criterion/criterion.h>

#include "pool_fixture.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

std::string job_name(int n)
{
    std::string id = std::to_string(n);
    return std::string(16 - id.size(), '0') + id;
}

/// Three workers of 8 cores that run single tasks of 500 ms; virtual time advances by 200 ms.
struct small_pool {
    scheduler s{1, {}, at_ms(0)};
    std::map<std::string, double> speed;
    std::map<std::string, std::map<std::string, std::pair<std::int64_t, double>>> runs;
    std::map<std::string, int> started;
    std::map<std::string, std::vector<ended_task>> ends;
    std::vector<std::string> stopped;
    std::int64_t now = 0;
    int jobs = 0;

    small_pool()
    {
        s.configure(config_of(), at_ms(0));
        for (const char* w : {"w1", "w2", "w3"}) {
            speed[w] = 1;
            s.list_worker(worker_of(w), at_ms(0));
            poll_worker(s, w, {}, 0);
        }
        add_jobs(60); // enough finished runs for the estimates of the queue
        advance(30);
        cr_assert(stopped.empty());
    }

    void add_jobs(int count, bool saves = false)
    {
        for (int i = 0; i < count; ++i) {
            step_spec step = step_of(1, 2);
            step.saves_progress = saves;
            s.add(s.accepted(job_of(job_name(++jobs), {step}), wall_start_ms + now), at_ms(now));
        }
    }

    void advance(int times)
    {
        constexpr std::int64_t period = 200;
        for (int i = 0; i < times; ++i) {
            now += period;
            s.on_directory_loaded(at_ms(now));
            s.on_record_stored(s.fence());
            store_worker_records(s);
            s.tick(at_ms(now));
            s.place(at_ms(now));
            for (const start_order& o : s.take_starts()) {
                runs[o.worker][o.task] = {o.run, 0};
                ++started[o.worker];
                s.on_start(o, order_verdict::accepted, now, at_ms(now));
            }
            for (const stop_order& o : s.take_stops()) {
                stopped.push_back(o.worker);
                runs[o.worker].erase(o.task);
                s.on_stop(o, order_verdict::accepted, at_ms(now));
            }
            for (auto& w : runs) {
                worker_report report;
                for (auto r = w.second.begin(); r != w.second.end();) {
                    r->second.second += speed[w.first] * 100 * period / 500;
                    const bool ended = r->second.second >= 100;
                    if (ended) {
                        std::vector<ended_task>& worker_ends = ends[w.first];
                        worker_ends.push_back(end_of(worker_ends.size() + 1, r->first,
                                                     r->second.first, end_reason::done));
                    }
                    else {
                        report.running.push_back(
                            {r->first, r->second.first, "", static_cast<int>(r->second.second), 0});
                    }
                    r = ended ? w.second.erase(r) : std::next(r);
                }
                report.ended = ends[w.first];
                poll_worker(s, w.first, report, now);
            }
        }
    }
};

} // namespace

Test(pool_pace, stalled_runs_are_moved_and_their_worker_gets_no_new_runs)
{
    small_pool pool;
    pool.speed["w1"] = 0;
    pool.add_jobs(9);
    pool.advance(6);
    cr_assert_gt(pool.stopped.size(), 0);
    for (const std::string& w : pool.stopped) {
        cr_assert(w == "w1", "%s", w.c_str());
    }
    const int starts_before = pool.started["w1"];
    pool.add_jobs(2);
    pool.advance(4);
    cr_assert_eq(pool.started["w1"], starts_before, "no new starts on w1 for 2 s");
}

Test(pool_pace, a_worker_that_recovers_gets_runs_again)
{
    small_pool pool;
    pool.speed["w1"] = 0;
    pool.add_jobs(12);
    pool.advance(6);
    cr_assert_gt(pool.stopped.size(), 0);
    pool.speed["w1"] = 1;
    const int starts_before = pool.started["w1"];
    pool.advance(12);
    pool.add_jobs(12);
    pool.advance(1);
    cr_assert_gt(pool.started["w1"], starts_before);
}

Test(pool_pace, a_task_longer_than_its_estimate_is_not_moved)
{
    small_pool pool;
    pool.speed["w1"] = 0.15;
    pool.speed["w2"] = 0.15;
    pool.speed["w3"] = 0.15;
    pool.add_jobs(3);
    pool.advance(10);
    cr_assert_eq(pool.stopped.size(), 0);
}

Test(pool_pace, several_slow_runs_of_one_worker_are_moved_to_faster_workers)
{
    small_pool pool;
    pool.speed["w1"] = 0.05;
    pool.add_jobs(12, true);
    pool.advance(8);
    cr_assert_gt(pool.stopped.size(), 0);
    for (const std::string& w : pool.stopped) {
        cr_assert(w == "w1", "%s", w.c_str());
    }
}

Test(pool_pace, no_more_than_a_quarter_of_the_workers_is_avoided)
{
    small_pool pool;
    for (std::pair<const std::string, double>& w : pool.speed) {
        w.second = 0;
    }
    pool.add_jobs(12);
    pool.advance(10);
    int avoided_workers = 0;
    for (const std::pair<const std::string, worker>& w : pool.s.workers()) {
        avoided_workers += w.second.process.health.avoid_until > at_ms(pool.now) ? 1 : 0;
    }
    cr_assert_leq(avoided_workers, 1);
}
