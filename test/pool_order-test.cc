// Ranks, the choice of workers and plans for gangs. Each case names the load that it stands for.

#include <criterion/criterion.h>

#include "pool_fixture.h"
#include "sesamesill/pool_order.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

rank_inputs usual()
{
    rank_inputs in;
    in.priority = 1;
    in.job_work = 10;
    in.mean_work = 10;
    in.left_work = 10;
    in.left_chain_ms = 1000;
    in.objective_ms = 5000;
    return in;
}

worker worker_with_room(const std::string& id, std::int64_t cores)
{
    worker w;
    w.entry = worker_of(id, cores);
    return w;
}

candidate candidate_on(worker& w, const resources& need)
{
    candidate c;
    c.where = &w;
    c.room = w.room();
    c.fits = fitting(need, c.room, 100);
    return c;
}

} // namespace

Test(pool_order, small_jobs_of_a_class_go_first_when_all_wait_alike)
{
    rank_inputs small = usual();
    small.job_work = 2;
    small.left_work = 2;
    cr_assert_gt(rank_of(small), rank_of(usual()));
}

Test(pool_order, time_to_spare_makes_a_step_yield)
{
    rank_inputs relaxed = usual();
    relaxed.objective_ms = 20000;
    cr_assert_lt(rank_of(relaxed), rank_of(usual()));
}

Test(pool_order, a_job_that_missed_its_objective_yields_to_one_that_can_meet_it)
{
    rank_inputs late = usual();
    late.waited_ms = 4500;
    rank_inputs in_time = usual();
    in_time.waited_ms = 3900;
    cr_assert_lt(rank_of(late), rank_of(in_time));
    rank_inputs hopeless = usual();
    hopeless.waited_ms = 15000;
    cr_assert_lt(rank_of(hopeless), rank_of(late));
    cr_assert_gt(rank_of(hopeless), 0, "it is still owed an end");
}

Test(pool_order, a_job_that_is_nearly_done_goes_before_one_that_has_not_begun)
{
    rank_inputs nearly = usual();
    nearly.left_work = 1;
    cr_assert_gt(rank_of(nearly), rank_of(usual()));
}

Test(pool_order, estimates_off_by_factors_are_pulled_to_what_was_learnt)
{
    class_estimate learnt;
    std::uint64_t count = 0;
    for (int i = 0; i < 50; ++i) {
        learn(learnt.mean_run_ms, learnt.runs, 1000);
        ++count;
    }
    const double wild = expected_run_ms(learnt, 10000);
    cr_assert_gt(wild, 1000);
    cr_assert_lt(wild, 2500);
    cr_assert_eq(expected_run_ms({}, 700), 700);
}

Test(pool_order, a_task_goes_to_the_fullest_worker_that_takes_it)
{
    worker empty = worker_with_room("w1", 16);
    worker part = worker_with_room("w2", 16);
    part.allocated = {10000, 100, 0};
    const resources need{4000, 100, 0};
    const std::vector<candidate> both{candidate_on(empty, need), candidate_on(part, need)};
    cr_assert_eq(pick_for_task(both, need, {}), 1);
    cr_assert_eq(pick_for_task(both, need, {"w2"}), 0, "it failed there");
    cr_assert_eq(pick_for_task(both, need, {"w1", "w2"}), 1, "nothing else is left");
}

Test(pool_order, a_gang_is_planned_for_the_first_moment_at_which_all_members_fit)
{
    worker w1 = worker_with_room("w1", 8);
    worker w2 = worker_with_room("w2", 8);
    const resources need{8000, 100, 0};
    gang_option busy{&w1, {0, 64000, 0}, 4, {{at_ms(900), {8000, 0, 0}}}};
    gang_option busier{
        &w2, {0, 64000, 0}, 4, {{at_ms(300), {2000, 0, 0}}, {at_ms(700), {6000, 0, 0}}}};
    const std::optional<gang_plan> plan = plan_gang({busy, busier}, need, 2, at_ms(100));
    cr_assert(plan.has_value());
    cr_assert(plan->ready == at_ms(900));
    cr_assert_eq(plan->counts[0], 1);
    cr_assert_eq(plan->counts[1], 1);
    cr_assert_not(plan_gang({busy, busier}, need, 3, at_ms(100)).has_value());
}

Test(pool_order, a_gang_of_one_rack_stays_in_one_rack)
{
    worker w1 = worker_with_room("w1", 4);
    worker w2 = worker_with_room("w2", 8);
    w2.entry.rack = "r2-1";
    const resources need{2000, 100, 0};
    const std::vector<int> counts =
        spread_gang({candidate_on(w1, need), candidate_on(w2, need)}, 3, true);
    cr_assert_eq(counts.size(), 2);
    cr_assert_eq(counts[0], 0);
    cr_assert_eq(counts[1], 3);
}
