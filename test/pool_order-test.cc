// Guards against ranks that let large or late jobs delay the others, inaccurate run time estimates,
// tasks that fragment free room, and gang plans with a wrong start time, worker or rack.

#include <criterion/criterion.h>

#include "pool_fixture.h"
#include "sesamesill/pool_order.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

rank_inputs typical_inputs()
{
    rank_inputs in;
    in.priority = 1;
    in.job_work = 10;
    in.mean_work = 10;
    in.remaining_work = 10;
    in.remaining_chain_ms = 1000;
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
    c.target = &w;
    c.room = w.room();
    c.fits = count_fitting(need, c.room, 100);
    return c;
}

} // namespace

Test(pool_order, the_smaller_of_two_jobs_that_waited_equally_has_the_higher_rank)
{
    rank_inputs small = typical_inputs();
    small.job_work = 2;
    small.remaining_work = 2;
    cr_assert_gt(rank_of(small), rank_of(typical_inputs()));
}

Test(pool_order, a_step_with_more_slack_has_a_lower_rank)
{
    rank_inputs with_slack = typical_inputs();
    with_slack.objective_ms = 20000;
    cr_assert_lt(rank_of(with_slack), rank_of(typical_inputs()));
}

Test(pool_order, an_interrupted_long_running_step_is_not_overdue_by_its_age)
{
    // Guards against services that are down for seconds after a change of leader, because all other
    // steps are placed before them.
    rank_inputs in = typical_inputs();
    in.waited_ms = 10 * in.objective_ms;
    in.job_work = 1000;
    in.remaining_work = 1000;
    in.interrupted = true;
    cr_assert_gt(rank_of(in), rank_of(typical_inputs()));
}

Test(pool_order, a_job_that_missed_its_objective_ranks_below_one_that_can_meet_it)
{
    rank_inputs late = typical_inputs();
    late.waited_ms = 4500;
    rank_inputs in_time = typical_inputs();
    in_time.waited_ms = 3900;
    cr_assert_lt(rank_of(late), rank_of(in_time));
    rank_inputs overdue = typical_inputs();
    overdue.waited_ms = 15000;
    cr_assert_lt(rank_of(overdue), rank_of(late));
    cr_assert_gt(rank_of(overdue), 0, "an overdue job must still be placed");
}

Test(pool_order, a_nearly_done_job_ranks_above_one_that_has_not_started)
{
    rank_inputs nearly_done = typical_inputs();
    nearly_done.remaining_work = 1;
    cr_assert_gt(rank_of(nearly_done), rank_of(typical_inputs()));
}

Test(pool_order, the_observed_mean_outweighs_an_estimate_that_is_off_by_a_factor)
{
    queue_estimate observed;
    std::uint64_t count = 0;
    for (int i = 0; i < 50; ++i) {
        update_mean(observed.mean_run_ms, observed.runs, 1000);
        ++count;
    }
    const double combined = expected_run_ms(observed, 10000);
    cr_assert_gt(combined, 1000);
    cr_assert_lt(combined, 2500);
    cr_assert_eq(expected_run_ms({}, 700), 700);
}

Test(pool_order, a_task_is_placed_on_the_fullest_worker_with_room)
{
    worker empty = worker_with_room("w1", 16);
    worker partly_used = worker_with_room("w2", 16);
    partly_used.allocated = {10000, 100, 0};
    const resources need{4000, 100, 0};
    const std::vector<candidate> both{candidate_on(empty, need), candidate_on(partly_used, need)};
    cr_assert_eq(pick_candidate(both, need, {}), 1);
    cr_assert_eq(pick_candidate(both, need, {{"w2", 0}}), 0, "the task failed on w2");
    cr_assert_eq(pick_candidate(both, need, {{"w1", 0}, {"w2", 0}}), 1, "no other worker has room");
    cr_assert_eq(pick_candidate(both, need, {{"w2", 7}}), 1, "it failed on w2 before a restart");
}

Test(pool_order, a_gang_is_planned_for_the_earliest_time_at_which_all_members_fit)
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

Test(pool_order, a_same_rack_gang_is_placed_in_one_rack)
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

namespace {

/// Returns the longest wait in ms of a burst's short advice calls, while enough long calls wait to
/// occupy every other member. Short calls come first where a member may choose.
double longest_wait_of_short_calls(const std::vector<bool>& short_only, double calls_a_second)
{
    constexpr double short_ms = 28;
    constexpr double long_ms = 860;
    constexpr double burst_ms = 4000;
    std::vector<double> free_at(short_only.size(), 0);
    for (std::size_t i = 0; i < free_at.size(); ++i) {
        free_at[i] = short_only[i]
                         ? 0
                         : long_ms * static_cast<double>(i) / static_cast<double>(free_at.size());
    }
    double longest = 0;
    const int calls = static_cast<int>(burst_ms * calls_a_second / 1000);
    for (int call = 0; call < calls; ++call) {
        const double now = call * 1000 / calls_a_second;
        for (std::size_t i = 0; i < free_at.size(); ++i) {
            while (!short_only[i] && free_at[i] <= now) {
                free_at[i] += long_ms; // the next long call is always waiting
            }
        }
        const auto first = std::min_element(free_at.begin(), free_at.end());
        const double begin = std::max(now, *first);
        longest = std::max(longest, begin - now);
        *first = begin + short_ms;
    }
    return longest;
}

} // namespace

Test(pool_order, a_burst_of_short_advice_calls_does_not_wait_behind_long_ones)
{
    // Load: place-holds of tabara-comuna-large in a burst of 2.3, on 47 members.
    constexpr double calls_a_second = 260;
    const std::vector<bool> reserved = reserve_for_short_calls(std::vector<double>(47, 0.25));
    cr_assert_lt(longest_wait_of_short_calls(reserved, calls_a_second), 5);
    std::vector<bool> one(47, false);
    one[46] = true;
    cr_assert_gt(longest_wait_of_short_calls(one, calls_a_second), 30, "one is too few");
}

Test(pool_order, the_members_with_most_processor_make_the_short_advice_calls)
{
    cr_assert(reserve_for_short_calls({0.12, 0.5, 0.12, 0.12}) ==
              (std::vector<bool>{false, true, false, false}));
    cr_assert(reserve_for_short_calls({0.5}) == std::vector<bool>{false});
    cr_assert(reserve_for_short_calls({0.5, 0.5}) == (std::vector<bool>{true, false}));
    cr_assert(reserve_for_short_calls({}).empty());
}
