// Guards, on virtual time, against tasks that start again while a worker that was cut off still
// runs them under a lease that lasts longer than the leader believes.

#include <criterion/criterion.h>

#include "worker_process.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr std::int64_t expiry_of_former_clock = 400'000;
constexpr std::uint64_t former_fence = 1;

poll_order poll_of_former_leader()
{
    poll_order order;
    order.worker = "w1";
    order.fence = former_fence;
    order.until_ms = expiry_of_former_clock;
    return order;
}

/// Returns the time from `ms` on at which a task is started on another worker while the first one
/// is cut off, or 0 if none is within 20 s.
std::int64_t next_start_elsewhere(scheduler& s, std::int64_t ms)
{
    constexpr std::int64_t step = 10;
    constexpr std::int64_t limit = 20'000;
    s.list_worker(worker_of("w2"), at_ms(ms));
    for (std::int64_t t = ms; t < ms + limit; t += step) {
        poll_worker(s, "w2", {}, t);
        if (!place(s, t + 2).empty()) {
            return t + 2;
        }
    }
    return 0;
}

} // namespace

Test(pool_lease, a_lease_granted_before_the_first_answer_to_a_successor_may_be_the_longest_one)
{
    scheduler s(5, {}, at_ms(1000));
    s.configure(config_of(), at_ms(1000));
    std::map<std::string, std::string> store;
    worker_process process(wall_start_ms + 500, 500);
    worker_entry entry = worker_of("w1");
    entry.start_time_ms = process.start_time_ms();
    s.list_worker(entry, at_ms(1000));
    s.finish_restore(at_ms(1000), predecessor_lease_end(at_ms(1000), platform_bounds()));
    s.on_directory_loaded(at_ms(1000) + micros(1));
    process.poll(poll_of_former_leader(), 1000);
    const poll_order first = *s.next_poll("w1", millis(0), at_ms(1001));
    s.on_poll(first, at_ms(1001), process.poll(first, 1001), process.report(1001), at_ms(1002));
    const poll_order second = *s.next_poll("w1", millis(1000), at_ms(1003));
    process.poll(second, 1003);
    add_job(s, store, job_of(first_job, {step_of(1, 1)}), 1400);
    const std::vector<start_order> orders = place(s, 1400);
    cr_assert_eq(orders.size(), 1);
    s.on_start(orders[0], process.start(orders[0], 1401), process.clock_ms(1401), at_ms(1401));
    s.on_poll(second, at_ms(1003), order_verdict::unknown, {}, at_ms(2303)); // cut off at 1900
    const std::int64_t next = next_start_elsewhere(s, 2303);
    cr_assert_neq(next, 0);
    cr_assert_not(process.runs(orders[0].task, next), "two runs of one task at %lld ms",
                  static_cast<long long>(next));
}

Test(pool_lease, inherited_tasks_wait_for_the_longest_lease_of_a_worker_that_does_not_answer)
{
    restarting_cell cell;
    cell.restart(500);
    const start_order order = cell.start_one(first_job, 1000);
    constexpr std::int64_t claimed = 1000;
    scheduler s = successor_of(cell.store, 5, {"w1"}, claimed, config_of());
    s.finish_restore(at_ms(claimed), predecessor_lease_end(at_ms(claimed), platform_bounds()));
    s.on_directory_loaded(at_ms(claimed) + micros(1));
    const std::int64_t last_order = claimed + unconfirmed_order_limit.count();
    start_order last = order;
    last.until_ms = expiry_of_former_clock;
    cr_assert(cell.process.start(last, last_order) == order_verdict::accepted);
    const std::int64_t next = next_start_elsewhere(s, claimed + 10);
    cr_assert_neq(next, 0);
    cr_assert_not(cell.process.runs(order.task, next), "two runs of one task at %lld ms",
                  static_cast<long long>(next));
}

Test(pool_lease, a_start_to_a_process_that_is_not_known_yet_may_grant_the_longest_lease)
{
    for (const bool answered : {true, false}) {
        restarting_cell cell;
        cell.poll(20000);
        const poll_order waiting = *cell.s.next_poll("w1", millis(400), at_ms(20010));
        cell.restart(20050);
        const start_order order = cell.start_one(first_job, 20100);
        cr_assert(cell.process.start(order, 20101) == order_verdict::accepted);
        cell.s.on_start(order, answered ? order_verdict::accepted : order_verdict::unknown,
                        answered ? cell.process.clock_ms(20101) : 0, at_ms(20230));
        cell.s.take_starts(); // cut off at 20200
        cell.s.on_poll(waiting, at_ms(20010), order_verdict::unknown, {}, at_ms(20710));
        const std::int64_t next = next_start_elsewhere(cell.s, 20720);
        cr_assert_neq(next, 0);
        cr_assert_not(cell.process.runs(order.task, next), "two runs of one task at %lld ms",
                      static_cast<long long>(next));
    }
}

Test(pool_lease,
     a_poll_that_was_not_sent_does_not_shorten_the_lease_of_a_start_that_was_answered_late)
{
    restarting_cell cell;
    cell.poll(20000);
    const start_order order = cell.start_one(first_job, 20010);
    const poll_order unsent = *cell.s.next_poll("w1", millis(400), at_ms(20020));
    cell.s.on_start(order, order_verdict::accepted, 0, at_ms(20400));
    cell.s.on_poll(unsent, at_ms(20020), order_verdict::not_sent, {}, at_ms(20500));
    cr_assert(cell.s.workers().at("w1").last_lease().end >=
                  at_ms(20400) + platform_bounds().max_lease,
              "the next process may have executed the start until then");
}

Test(pool_lease, an_unanswered_send_of_a_run_that_was_reported_may_begin_at_the_next_process)
{
    restarting_cell cell;
    cell.poll(20000);
    const start_order late = cell.start_one(first_job, 20010);
    cell.s.on_start(late, order_verdict::unknown, 0, at_ms(20141));
    const std::vector<start_order> repeated = cell.s.take_starts();
    cr_assert_eq(repeated.size(), 1);
    cell.accept(repeated[0], 20143);
    cell.poll(20150);
    const poll_order waiting = *cell.s.next_poll("w1", millis(400), at_ms(20160));
    cell.restart(20200);
    cr_assert(cell.process.start(late, 20250) == order_verdict::accepted); // cut off at once
    cell.s.on_poll(waiting, at_ms(20160), order_verdict::unknown, {}, at_ms(20860));
    const std::int64_t next = next_start_elsewhere(cell.s, 20870);
    cr_assert_neq(next, 0);
    cr_assert_not(cell.process.runs(late.task, next), "two runs of one task at %lld ms",
                  static_cast<long long>(next));
}

Test(pool_lease, a_poll_without_an_answer_may_be_executed_until_its_timeout)
{
    restarting_cell cell;
    cell.poll(20000);
    const poll_order late = *cell.s.next_poll("w1", millis(400), at_ms(20010));
    cell.restart(20050);
    const start_order order = cell.start_one(first_job, 20100);
    cell.accept(order, 20101);
    cr_assert(cell.process.poll(late, 20690) == order_verdict::accepted); // cut off at once
    cell.s.on_poll(late, at_ms(20010), order_verdict::unknown, {}, at_ms(20710));
    const std::int64_t next = next_start_elsewhere(cell.s, 20720);
    cr_assert_neq(next, 0);
    cr_assert_not(cell.process.runs(order.task, next), "two runs of one task at %lld ms",
                  static_cast<long long>(next));
}

Test(pool_lease, a_poll_that_was_not_sent_does_not_shorten_the_lease_of_a_start)
{
    restarting_cell cell;
    cell.poll(20000);
    const poll_order unsent = *cell.s.next_poll("w1", millis(400), at_ms(20010));
    cell.restart(20050);
    const start_order order = cell.start_one(first_job, 20100);
    cr_assert(cell.process.start(order, 20480) == order_verdict::accepted); // cut off at 20495
    cell.s.on_start(order, order_verdict::accepted, cell.process.clock_ms(20480), at_ms(20490));
    cell.s.on_poll(unsent, at_ms(20010), order_verdict::not_sent, {}, at_ms(20500));
    const std::int64_t next = next_start_elsewhere(cell.s, 20510);
    cr_assert_neq(next, 0);
    cr_assert_not(cell.process.runs(order.task, next), "two runs of one task at %lld ms",
                  static_cast<long long>(next));
}

Test(pool_lease, members_remember_a_worker_until_the_longest_lease_of_its_last_poll_has_expired)
{
    // Guards against tasks that start twice: a member that leads after it has forgotten a
    // worker doesn't ask it for its runs.
    constexpr std::int64_t removed_at = 21000;
    constexpr std::int64_t cut_off_at = 23000;
    constexpr std::int64_t lost_at = 32000;
    constexpr millis wait{400};
    constexpr std::int64_t timeout = 700;
    restarting_cell cell;
    cell.poll(20000);
    cell.accept(cell.start_one(first_job, 20010), 20012);
    cell.s.next_poll("w1", wait, at_ms(removed_at - 1));
    cell.s.unlist_worker("w1");
    for (std::int64_t ms = removed_at + timeout; ms < cut_off_at; ms += 200) {
        cell.poll(ms);
    }
    for (std::int64_t ms = cut_off_at; ms < lost_at; ms += timeout + 100) {
        const poll_order order = *cell.s.next_poll("w1", wait, at_ms(ms));
        cell.s.on_poll(order, at_ms(ms), order_verdict::unknown, {}, at_ms(ms + timeout));
    }
    const worker_leases& leases = cell.s.workers().at("w1").leases;
    const time_point forgotten = at_ms(removed_at) + removed_worker_retention;
    cr_assert_leq(to_millis(leases.known.end - forgotten), 0);
    cr_assert_leq(to_millis(leases.restarted.end - forgotten), 0);
}
