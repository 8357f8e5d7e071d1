// Randomised simulations of requests and jobs under faults, by seed. Guards against requests and
// tasks that run twice, wrong outcomes, and callers or jobs that get none. Also checks that
// work runs twice once a safeguard is switched off.

#include <cstdio>
#include <cstdlib>

#include <criterion/criterion.h>

#include "recovery_model.h"
#include "request_model.h"

using namespace sesamesill;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t seeds_per_test = 250; // sanitizers slow the runs down tenfold
#else
constexpr std::uint64_t seeds_per_test = 2500;
#endif

struct totals {
    std::int64_t double_runs = 0;
    std::int64_t runs = 0;
    std::int64_t refused = 0;
    std::int64_t replays = 0;
    std::int64_t restored = 0;
};

int violations(const model::verdicts& v)
{
    return v.double_runs + v.false_not_run + v.wrong_answers + v.unanswered;
}

/// Runs `count` seeds and fails at the first that violates an invariant.
totals check_seeds(std::uint64_t first, std::uint64_t count, bool trim_unsafely)
{
    totals sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        model::options o;
        o.seed = seed;
        o.trim_unsafely = trim_unsafely;
        const model::verdicts v = model::world(o).run();
        cr_assert(violations(v) == 0,
                  "seed %llu: double runs %d, false not_run %d, wrong answers %d, unanswered %d",
                  static_cast<unsigned long long>(seed), v.double_runs, v.false_not_run,
                  v.wrong_answers, v.unanswered);
        sum.runs += v.runs;
        sum.refused += v.refused;
        sum.replays += v.replays;
        sum.restored += v.restored;
    }
    return sum;
}

/// Checks that the runs exercised each kind of answer and snapshots often enough.
void check_coverage(const totals& sum)
{
    cr_assert(sum.runs > 1000);
    cr_assert(sum.refused > 100);
    cr_assert(sum.replays > 100);
    cr_assert(sum.restored > 100);
}

std::int64_t double_runs(bool intent_first, bool remember)
{
    std::int64_t sum = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        model::options o;
        o.seed = seed;
        o.intent_first = intent_first;
        o.remember = remember;
        sum += model::world(o).run().double_runs;
    }
    return sum;
}

job_model::verdicts run_job_seeds(std::uint64_t first, std::uint64_t count, job_model::options o)
{
    job_model::verdicts sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        o.seed = seed;
        const job_model::verdicts v = job_model::world(o).run();
        const bool all_safeguards = o.intent_first && o.resolve_first && o.fence;
        cr_assert(!all_safeguards ||
                      v.concurrent_runs + v.started_twice + v.wrong_outcomes + v.open_jobs == 0,
                  "seed %llu: two places %d, started twice %d, false endings %d, open jobs %d",
                  static_cast<unsigned long long>(seed), v.concurrent_runs, v.started_twice,
                  v.wrong_outcomes, v.open_jobs);
        sum.concurrent_runs += v.concurrent_runs;
        sum.started_twice += v.started_twice;
        sum.done += v.done;
        sum.unknown += v.unknown;
    }
    return sum;
}

} // namespace

Test(state, seeds_1_to_2500_violate_no_invariant)
{
    check_coverage(check_seeds(1, seeds_per_test, false));
}

Test(state, seeds_2501_to_5000_violate_no_invariant)
{
    check_coverage(check_seeds(1 + seeds_per_test, seeds_per_test, false));
}

Test(state, seeds_5001_to_7500_violate_no_invariant)
{
    check_coverage(check_seeds(1 + 2 * seeds_per_test, seeds_per_test, false));
}

Test(state, seeds_7501_to_10000_violate_no_invariant)
{
    check_coverage(check_seeds(1 + 3 * seeds_per_test, seeds_per_test, false));
}

Test(state, a_log_that_loses_records_gives_no_double_run)
{
    check_seeds(20001, 500, true);
}

Test(state, without_the_intent_requests_run_twice)
{
    cr_assert(double_runs(false, true) > 0);
}

Test(state, without_remembered_keys_requests_run_twice)
{
    cr_assert(double_runs(true, false) > 0);
}

Test(state, jobs_run_once_and_end_under_faults)
{
    const job_model::verdicts sum = run_job_seeds(1, 1000, {});
    cr_assert(sum.done > 1000);
    cr_assert(sum.unknown > 10);
}

Test(state, an_owner_that_does_not_ask_first_runs_tasks_in_two_places)
{
    job_model::options o;
    o.resolve_first = false;
    const job_model::verdicts sum = run_job_seeds(1, 200, o);
    cr_assert(sum.concurrent_runs > 0);
}

Test(state, without_the_intent_tasks_start_twice)
{
    job_model::options o;
    o.intent_first = false;
    const job_model::verdicts sum = run_job_seeds(1, 200, o);
    cr_assert(sum.started_twice > 0);
}

Test(state, without_the_fence_late_starts_run_twice)
{
    job_model::options o;
    o.fence = false;
    const job_model::verdicts sum = run_job_seeds(1, 1000, o);
    cr_assert(sum.concurrent_runs + sum.started_twice > 0);
}
