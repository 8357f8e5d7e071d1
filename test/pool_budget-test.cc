// Shares of a member's link. Guards against a leader whose starts fill its link, so that its
// records and heartbeats are late and it loses the lead.

#include <criterion/criterion.h>

#include "fake_log.h"
#include "pool_budget.h"
#include "pool_fixture.h"
#include "sesamesill/pool_member.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr double slow_link_mbps = 2;

/// Accepts all orders after a millisecond, and reports no runs.
class prompt_workers : public worker_gateway {
public:
    explicit prompt_workers(event_loop& loop) : loop_(loop) {}

    void start(const start_order&, millis, order_done done) override
    {
        ++starts;
        loop_.after(millis(1), [done = std::move(done)] { done(order_verdict::accepted, 1, {}); });
    }
    void stop(const stop_order&, millis, order_done done) override
    {
        loop_.after(millis(1), [done = std::move(done)] { done(order_verdict::accepted, 1, {}); });
    }
    void poll(const poll_order&, millis, poll_done done) override
    {
        loop_.after(millis(5), [done = std::move(done)] {
            worker_report report;
            report.clock_ms = 1;
            report.start_time_ms = wall_start_ms;
            done(order_verdict::accepted, report, {});
        });
    }

    int starts = 0;

private:
    event_loop& loop_;
};

class no_advisor : public advisor {
public:
    void advise(const std::string&, const std::vector<std::string>&, millis,
                std::function<void(advice_answer)>) override
    {
    }
};

/// Submits 60 jobs of one task with a payload of 3,000 bytes to a leader that has room for all, and
/// returns the number of starts within a second.
int starts_in_a_second(std::uint16_t port, double link_mbps)
{
    constexpr int jobs = 60;
    constexpr millis submitted_at{600};
    simulated_loop loop;
    fake_log log(loop);
    prompt_workers workers(loop);
    no_advisor advice;
    member_settings settings;
    settings.name = "m1";
    settings.peer_listen = settings.peer_address = {"127.0.0.1", port};
    settings.link_mbps = link_mbps;
    member m(loop, settings, log, workers, advice);
    error why;
    cr_assert(m.start(why), "%s", why.reason.c_str());
    m.configure(config_of());
    for (int i = 0; i < jobs; ++i) {
        m.list_worker(worker_of("w" + std::to_string(i)));
    }
    loop.every(millis(100), [&] { m.on_directory_loaded(boot_clock::now()); });
    int accepted = 0;
    loop.after(submitted_at, [&] {
        for (int i = 0; i < jobs; ++i) {
            job_spec job = job_of("job" + std::to_string(i), {step_of(1, 1)});
            job.payload = std::string(3000, 'x');
            m.submit(job, millis(3000), [&](const submit_answer& a) {
                accepted += a.verdict == submit_verdict::accepted ? 1 : 0;
            });
        }
    });
    loop.after(submitted_at + millis(1000), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(accepted, jobs);
    return workers.starts;
}

} // namespace

Test(pool_budget, an_unknown_link_does_not_limit)
{
    byte_budget budget;
    budget.take(1e9);
    cr_assert(budget.allows(at_ms(1)));
    cr_assert_eq(transfer_time(1e9, 0), millis(0));
}

Test(pool_budget, messages_of_any_size_take_no_more_than_their_share_of_a_slow_link)
{
    constexpr double rate = 100; // bytes in a millisecond
    constexpr int duration_ms = 10000;
    for (const double bytes : {50.0, 2800.0, 100000.0}) {
        byte_budget budget(rate);
        double sent = 0;
        for (int ms = 1; ms <= duration_ms; ++ms) {
            if (budget.allows(at_ms(ms))) {
                budget.take(bytes);
                sent += bytes;
            }
        }
        constexpr double kept_bytes = 300 * rate; // of the time before
        cr_assert_leq(sent, rate * duration_ms + kept_bytes + bytes);
        cr_assert_geq(sent, 0.4 * rate * duration_ms, "%g bytes at a time", bytes);
    }
}

Test(pool_budget, an_overdraft_is_paid_before_the_next_message)
{
    byte_budget budget(10);
    cr_assert(budget.allows(at_ms(1000)));
    budget.take(10 * 300 + 1000); // all that was kept, and the rate of 100 ms
    cr_assert_not(budget.allows(at_ms(1099)));
    cr_assert(budget.allows(at_ms(1101)));
}

Test(pool_budget, starts_leave_room_on_a_slow_link_for_records_and_heartbeats)
{
    const int fast = starts_in_a_second(28581, 200);
    const int slow = starts_in_a_second(28582, slow_link_mbps);
    cr_assert_geq(fast, 60, "no share binds: %d starts", fast);
    const double share_bytes = start_share * link_bytes_per_ms(slow_link_mbps) * 1300;
    cr_assert_leq(slow * 3000, share_bytes + 3400, "%d starts", slow);
    cr_assert_geq(slow, 20);
}
