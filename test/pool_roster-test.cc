// Guards against a successor that doesn't know of a worker which its predecessor gave tasks to.

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>

#include "fake_log.h"
#include "pool_fixture.h"
#include "sesamesill/pool_member.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* job = "00000000000000aa";

/// Workers that run all that they are sent, each with runs of its own.
class running_workers : public worker_gateway {
public:
    explicit running_workers(event_loop& loop) : loop_(loop) {}

    void start(const start_order& order, millis /*timeout*/, order_done done) override
    {
        started_on.push_back(order.worker);
        runs_[order.worker].push_back({order.task, order.run, "", 10, 0});
        loop_.after(millis(1), [done = std::move(done)] { done(order_verdict::accepted, 1, {}); });
    }
    void stop(const stop_order&, millis, order_done) override {}
    void poll(const poll_order& order, millis /*timeout*/, poll_done done) override
    {
        loop_.after(std::max(millis(1), order.wait / 10),
                    [this, id = order.worker, done = std::move(done)] {
                        worker_report report;
                        report.running = runs_[id];
                        report.clock_ms = to_millis(boot_clock::now().time_since_epoch());
                        report.start_time_ms = wall_start_ms;
                        done(order_verdict::accepted, report, {});
                    });
    }

    std::vector<std::string> started_on; ///< worker of each start, in order

private:
    event_loop& loop_;
    std::map<std::string, std::vector<running_task>> runs_;
};

class no_advisor : public advisor {
public:
    void advise(const std::string&, const std::vector<std::string>&, millis,
                std::function<void(advice_answer)>) override
    {
    }
};

/// A member's way to a shared log, which may be cut.
class log_path : public record_log {
public:
    log_path(event_loop& loop, fake_log& log) : loop_(loop), log_(log) {}

    void append(const std::vector<keyed_record>& records, std::uint64_t at, millis timeout,
                std::function<void(append_result)> done) override
    {
        if (cut) {
            loop_.after(timeout, [done = std::move(done)] { done({}); });
            return;
        }
        log_.append(records, at, timeout, std::move(done));
    }
    void read(std::uint64_t from, std::size_t max_bytes, millis wait, millis timeout,
              std::function<void(read_result)> done) override
    {
        if (cut) {
            loop_.after(timeout, [done = std::move(done)] { done({}); });
            return;
        }
        log_.read(from, max_bytes, wait, timeout, std::move(done));
    }
    void newest(const std::string& after, millis timeout,
                std::function<void(newest_result)> done) override
    {
        log_.newest(after, timeout, std::move(done));
    }

    bool cut = false;

private:
    event_loop& loop_;
    fake_log& log_;
};

/// A leader and a standby that share a log and read the directory at times of their own.
struct two_members {
    simulated_loop loop;
    fake_log log{loop};
    log_path leader_log{loop, log};
    running_workers workers{loop};
    no_advisor advice;
    std::unique_ptr<member> leader;
    std::unique_ptr<member> standby;
    std::uint16_t port;

    explicit two_members(std::uint16_t first_port) : port(first_port)
    {
        leader = started("m1", port, leader_log);
        loop.after(millis(500), [this] {
            cr_assert(leader->is_leader());
            standby = started("m2", static_cast<std::uint16_t>(port + 1), log);
        });
    }

    std::unique_ptr<member> started(const std::string& name, std::uint16_t at, record_log& records)
    {
        const endpoint address{"127.0.0.1", at};
        const member_settings settings{name, "d1", address, address, 1, {}};
        std::unique_ptr<member> m =
            std::make_unique<member>(loop, settings, records, workers, advice);
        error why;
        cr_assert(m->start(why), "%s", why.reason.c_str());
        m->configure(config_of());
        return m;
    }

    void run(millis duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }
};

enum class end_of_lead { planned, store_lost };

/// Counts the starts of a task whose worker joined, and lost its directory entry, between two reads
/// of the directory by the standby that succeeds the leader. `store_away` cuts the standby off from
/// the directory meanwhile.
std::size_t starts_of_task(std::uint16_t port, end_of_lead how, bool store_away)
{
    constexpr millis joins{13000}; ///< later than the leases of workers from before the start
    constexpr millis entry_expires = joins + millis(4500);
    constexpr millis lead_ends = entry_expires + millis(200);
    two_members f(port);
    f.loop.every(millis(100), [&f] {
        for (const std::unique_ptr<member>& m : {std::ref(f.leader), std::ref(f.standby)}) {
            if (m && m->is_leader()) {
                m->on_directory_loaded(boot_clock::now());
            }
        }
    });
    f.loop.after(millis(600), [&f] { f.standby->on_directory_loaded(boot_clock::now()); });
    f.loop.after(joins - millis(100), [&f, store_away] {
        f.standby->on_directory_loaded(boot_clock::now());
        if (store_away) {
            f.standby->on_directory_lost();
        }
    });
    f.loop.after(joins, [&f] {
        f.leader->list_worker(worker_of("unseen"));
        f.leader->submit(job_of(job, {step_of(1, 1)}), millis(1500), [](const submit_answer& a) {
            cr_assert(a.verdict == submit_verdict::accepted, "%s", a.reason.c_str());
        });
    });
    f.loop.after(entry_expires, [&f] {
        f.leader->unlist_worker("unseen");
        f.leader->list_worker(worker_of("other"));
        f.standby->list_worker(worker_of("other"));
        f.standby->on_directory_loaded(boot_clock::now());
    });
    f.loop.after(lead_ends, [&f, how] {
        if (how == end_of_lead::planned) {
            f.leader->leave();
        }
        else {
            f.leader_log.cut = true;
        }
    });
    f.run(lead_ends + millis(4000));
    cr_assert(f.standby->is_leader());
    cr_assert_eq(f.workers.started_on.at(0), "unseen");
    return f.workers.started_on.size();
}

} // namespace

Test(pool_roster, a_successor_asks_a_worker_that_came_and_went_between_its_directory_reads)
{
    // Guards against TWICE of review case 7: the worker runs on, as it has lost only its entry.
    cr_assert_eq(starts_of_task(28801, end_of_lead::planned, false), 1);
    cr_assert_eq(starts_of_task(28811, end_of_lead::store_lost, false), 1);
}

Test(pool_roster, a_successor_asks_a_worker_that_came_and_went_while_the_store_was_away_for_it)
{
    // Guards against the same with few members, which read the directory often.
    cr_assert_eq(starts_of_task(28821, end_of_lead::planned, true), 1);
    cr_assert_eq(starts_of_task(28831, end_of_lead::store_lost, true), 1);
}
