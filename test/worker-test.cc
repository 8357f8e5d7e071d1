// Guards against starts beyond the room of a worker by declared or reported use, and against
// reports that drop tasks that are still starting or belong to another attempt.

#include <criterion/criterion.h>

#include "sesamesill/worker.h"

using namespace sesamesill;

namespace {

constexpr micros grace = std::chrono::seconds(3);

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

allocated_task task(const std::string& name, const resources& size, int started = 0)
{
    allocated_task t;
    t.name = name;
    t.reserved = size;
    t.started = at(started);
    return t;
}

worker live_worker()
{
    worker w("w1", {4000, 8192, 1});
    w.report({}, at(0), grace);
    return w;
}

} // namespace

Test(worker, has_no_room_before_the_first_report)
{
    worker w("w1", {4000, 8192, 0});
    cr_assert_not(w.start(task("a", {1, 1, 0})));
    w.report({{"old", {3000, 1024, 0}, {}, true}}, at(1), grace);
    cr_assert(w.room() == (resources{1000, 7168, 0}));
}

Test(worker, refuses_tasks_that_exceed_a_dimension_or_are_already_there)
{
    worker w = live_worker();
    cr_assert(w.start(task("a", {3000, 1024, 1})));
    cr_assert_not(w.start(task("a", {1, 1, 0})));
    cr_assert_not(w.start(task("b", {1001, 1, 0})));
    cr_assert_not(w.start(task("b", {1, 1, 1})));
    cr_assert(w.start(task("b", {1000, 7168, 0})));
}

Test(worker, reported_use_above_the_declaration_reduces_the_room)
{
    worker w = live_worker();
    w.start(task("a", {1000, 1024, 0}));
    const report_result r = w.report({{"a", {1000, 1024, 0}, {2500, 512, 0}, true}}, at(1), grace);
    cr_assert(r.over_reservation == std::vector<std::string>{"a"});
    cr_assert(w.room() == (resources{1500, 7168, 1}));
    cr_assert_not(w.start(task("b", {2000, 1, 0})));
}

Test(worker, start_within_the_grace_of_a_report_is_not_missing)
{
    worker w = live_worker();
    w.start(task("a", {1000, 1024, 0}, 10));
    report_result r = w.report({}, at(9), grace);
    cr_assert(r.missing.empty());
    r = w.report({}, at(12), grace);
    cr_assert(r.missing.empty());
    cr_assert(w.claimed() == (resources{1000, 1024, 0}));
    r = w.report({}, at(14), grace);
    cr_assert_eq(r.missing.size(), 1U);
    cr_assert(r.missing[0].name == "a");
    cr_assert(w.claimed() == resources{});
}

Test(worker, report_of_an_earlier_attempt_does_not_end_the_current_one)
{
    worker w = live_worker();
    allocated_task t = task("a", {1000, 1024, 0}, 10);
    t.attempt = 2;
    w.start(t);
    const report_result r = w.report({{"a", {}, {}, false, 1}}, at(10), grace);
    cr_assert(r.ended.empty());
    cr_assert(w.claimed() == (resources{1000, 1024, 0}));
}

Test(worker, stopping_task_keeps_its_claim_until_reported_as_ended)
{
    worker w = live_worker();
    allocated_task t = task("a", {4000, 8192, 0});
    t.preemptible = true;
    w.start(t);
    cr_assert(w.reclaimable_room(priority_band::urgent) == (resources{4000, 8192, 1}));
    w.mark_stopping("a");
    w.reserve_ahead({1000, 1024, 0});
    cr_assert_not(w.start(task("b", {1, 1, 0})));
    w.report({{"a", {}, {}, false}}, at(1), grace);
    cr_assert(w.room() == (resources{3000, 7168, 1}));
}

Test(worker, worker_that_is_leaving_or_out_refuses_starts)
{
    worker w = live_worker();
    for (const worker_state s : {worker_state::leaving, worker_state::out}) {
        w.set_state(s);
        cr_assert_not(w.start(task("a", {1, 1, 0})));
    }
}
