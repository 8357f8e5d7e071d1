// Guards against tasks that start again although they were done on a worker that was about to
// leave.

#include <criterion/criterion.h>

#include <map>
#include <set>

#include "fake_log.h"
#include "pool_fixture.h"
#include "sesamesill/pool_member.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* leaving_id = "leaving";
constexpr const char* staying_id = "staying";

/// Workers that run all that they are sent, for as long as they are there. What runs on the leaving
/// one at its end is done just then, and the answer that says so is lost.
class leaving_workers : public worker_gateway {
public:
    explicit leaving_workers(event_loop& loop) : loop_(loop) {}

    void start(const start_order& order, millis /*timeout*/, order_done done) override
    {
        started.emplace_back(order.worker, order.task);
        workers_[order.worker].running.push_back({order.task, order.run, "", 10, 0});
        answer(order.worker, std::move(done));
    }
    void stop(const stop_order& order, millis /*timeout*/, order_done done) override
    {
        state& w = workers_[order.worker];
        for (auto run = w.running.begin(); run != w.running.end(); ++run) {
            if (run->task == order.task && run->run == order.run) {
                w.ended.push_back({++w.ends, run->task, run->run, end_reason::stopped, "saved"});
                w.running.erase(run);
                stopped_at.push_back(boot_clock::now());
                break;
            }
        }
        answer(order.worker, std::move(done));
    }
    void poll(const poll_order& order, millis timeout, poll_done done) override
    {
        if (gone && order.worker == leaving_id) {
            loop_.after(timeout,
                        [done = std::move(done)] { done(order_verdict::unknown, {}, {}); });
            return;
        }
        loop_.after(millis(5), [this, order, done = std::move(done)] {
            const state& w = workers_[order.worker];
            worker_report report;
            report.running = w.running;
            for (const ended_task& e : w.ended) {
                if (e.number > order.acknowledged_end) {
                    report.ended.push_back(e);
                }
            }
            report.clock_ms = to_millis(boot_clock::now().time_since_epoch());
            report.start_time_ms = wall_start_ms;
            done(order_verdict::accepted, report, {});
        });
    }

    void leave()
    {
        gone = true;
        for (const running_task& run : workers_[leaving_id].running) {
            done_unseen.insert(run.task);
        }
    }

    bool gone = false;
    std::vector<std::pair<std::string, std::string>> started; ///< worker and task, in order
    std::vector<time_point> stopped_at;
    std::set<std::string> done_unseen; ///< tasks whose end no leader can learn of

private:
    struct state {
        std::vector<running_task> running;
        std::vector<ended_task> ended;
        std::uint64_t ends = 0;
    };

    void answer(const std::string& worker, order_done done)
    {
        const order_verdict verdict =
            gone && worker == leaving_id ? order_verdict::unknown : order_verdict::accepted;
        loop_.after(millis(1), [verdict, done = std::move(done)] { done(verdict, 1, {}); });
    }

    event_loop& loop_;
    std::map<std::string, state> workers_;
};

class no_advisor : public advisor {
public:
    void advise(const std::string&, const std::vector<std::string>&, millis,
                std::function<void(advice_answer)>) override
    {
    }
};

/// A leader with a job of three tasks on a worker that drains, with a notice of four seconds.
struct draining_cell {
    static constexpr millis drains{2000};
    static constexpr millis notice{4000};
    static constexpr millis read_pause{300}; ///< between two reads of the directory

    simulated_loop loop;
    fake_log log{loop};
    leaving_workers workers{loop};
    no_advisor advice;
    member m;
    time_point leaves_at = boot_clock::now() + drains + notice;

    explicit draining_cell(std::uint16_t port) : m(loop, settings(port), log, workers, advice)
    {
        error why;
        cr_assert(m.start(why), "%s", why.reason.c_str());
        m.configure(config_of());
        loop.every(read_pause, [this] { m.on_directory_loaded(boot_clock::now()); });
        loop.after(millis(500), [this] {
            cr_assert(m.is_leader());
            m.list_worker(worker_of(leaving_id));
            step_spec step = step_of(3, 1);
            step.saves_progress = true;
            m.submit(job_of("00000000000000aa", {step}), millis(1000), [](const submit_answer&) {});
        });
        loop.after(drains + read_pause, [this] { // the read that brings the entry
            worker_entry entry = worker_of(leaving_id);
            entry.draining = true;
            entry.remaining = notice;
            entry.revision = 2;
            m.list_worker(entry);
            m.list_worker(worker_of(staying_id));
        });
        loop.after(drains + notice, [this] { workers.leave(); });
    }

    static member_settings settings(std::uint16_t port)
    {
        const endpoint address{"127.0.0.1", port};
        return {"m1", "d1", address, address, 1, {}};
    }

    void run(millis duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

Test(pool_leaving, no_task_is_started_again_that_was_done_as_its_worker_left)
{
    // Guards against TWICE of the users' day "unanswered": the last answer of a worker is lost.
    draining_cell cell(28851);
    cell.run(draining_cell::drains + draining_cell::notice + millis(9000));
    std::map<std::string, int> starts;
    for (const std::pair<std::string, std::string>& s : cell.workers.started) {
        ++starts[s.second];
    }
    cr_assert_eq(starts.size(), 3);
    for (const std::pair<const std::string, int>& s : starts) {
        cr_assert(cell.workers.done_unseen.count(s.first) == 0 || s.second == 1,
                  "%s was done and is started again", s.first.c_str());
        cr_assert_eq(s.second, 2, "%s goes on elsewhere", s.first.c_str());
    }
}

Test(pool_leaving, runs_are_stopped_no_earlier_than_their_report_needs)
{
    draining_cell cell(28861);
    cell.run(draining_cell::drains + draining_cell::notice + millis(1000));
    cr_assert_eq(cell.workers.stopped_at.size(), 3);
    const platform_bounds bounds;
    for (const time_point at : cell.workers.stopped_at) {
        const millis left(to_millis(cell.leaves_at - at));
        cr_assert_geq(left.count(), bounds.stop_timeout.count(), "the stop may take that long");
        constexpr millis detection{draining_cell::read_pause + millis(300)};
        cr_assert_leq(left.count(), (bounds.stop_timeout + detection).count());
    }
}
