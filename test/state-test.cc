// Randomised runs of the request table and the stream reader under faults, by seed.

#include <cstdio>
#include <cstdlib>

#include <criterion/criterion.h>

#include "request_model.h"

using namespace sesamesill;

namespace {

constexpr std::uint64_t seeds_per_test = 2500;

struct totals {
    std::int64_t double_runs = 0;
    std::int64_t runs = 0;
    std::int64_t refused = 0;
    std::int64_t replays = 0;
    std::int64_t restored = 0;
};

int faults_of(const model::verdicts& v)
{
    return v.double_runs + v.false_not_run + v.foreign_answers + v.unanswered;
}

/// Runs `count` seeds and fails at the first that breaks a rule.
totals hold_for(std::uint64_t first, std::uint64_t count, bool trim_unsafely)
{
    totals sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        model::options o;
        o.seed = seed;
        o.trim_unsafely = trim_unsafely;
        const model::verdicts v = model::world(o).run();
        cr_assert(faults_of(v) == 0,
                  "seed %llu: double runs %d, false not_run %d, foreign answers %d, unanswered %d",
                  static_cast<unsigned long long>(seed), v.double_runs, v.false_not_run,
                  v.foreign_answers, v.unanswered);
        sum.runs += v.runs;
        sum.refused += v.refused;
        sum.replays += v.replays;
        sum.restored += v.restored;
    }
    return sum;
}

void expect_use(const totals& sum)
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

} // namespace

Test(state, seeds_1_to_2500_keep_the_rules)
{
    expect_use(hold_for(1, seeds_per_test, false));
}

Test(state, seeds_2501_to_5000_keep_the_rules)
{
    expect_use(hold_for(1 + seeds_per_test, seeds_per_test, false));
}

Test(state, seeds_5001_to_7500_keep_the_rules)
{
    expect_use(hold_for(1 + 2 * seeds_per_test, seeds_per_test, false));
}

Test(state, seeds_7501_to_10000_keep_the_rules)
{
    expect_use(hold_for(1 + 3 * seeds_per_test, seeds_per_test, false));
}

Test(state, a_log_that_loses_records_gives_no_double_run)
{
    hold_for(20001, 500, true);
}

Test(state, without_the_intent_requests_run_twice)
{
    cr_assert(double_runs(false, true) > 0);
}

Test(state, without_remembered_keys_requests_run_twice)
{
    cr_assert(double_runs(true, false) > 0);
}
