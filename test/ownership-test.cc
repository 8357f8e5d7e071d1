// Tests of views and authority: focused cases, then seeded schedules of faults in virtual time.

#include "sesamesill/ownership.h"

#include <criterion/criterion.h>

#include "ownership_model.h"

using namespace sesamesill;

namespace {

constexpr std::uint64_t seeds_per_test = 1250;

struct tally {
    std::uint64_t violations = 0;
    double served = 0;
};

/// Runs seeds [first, first + count); stops at the first violation where `stop` is set.
tally run_seeds(const model::options& o, std::uint64_t first, std::uint64_t count, bool stop)
{
    tally sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        model::cell cell(o, seed);
        const model::result r = cell.run();
        sum.served += double(r.served) / double(std::max<std::int64_t>(r.samples, 1));
        if (!r.violation.empty()) {
            ++sum.violations;
            if (stop) {
                cr_log_error("seed %llu: %s", static_cast<unsigned long long>(seed),
                             r.violation.c_str());
                return sum;
            }
        }
    }
    sum.served /= double(count);
    return sum;
}

void expect_no_violation(std::uint64_t part)
{
    const tally t =
        run_seeds(model::compressed(), 1 + part * seeds_per_test, seeds_per_test, true);
    cr_assert_eq(t.violations, 0, "a shard had two members that may act");
    // A rule that never lets anybody act would pass as well.
    cr_assert_gt(t.served, 0.3, "shards were served %.2f of the time", t.served);
}

} // namespace

Test(ownership_schedules, part_1) { expect_no_violation(0); }
Test(ownership_schedules, part_2) { expect_no_violation(1); }
Test(ownership_schedules, part_3) { expect_no_violation(2); }
Test(ownership_schedules, part_4) { expect_no_violation(3); }
Test(ownership_schedules, part_5) { expect_no_violation(4); }
Test(ownership_schedules, part_6) { expect_no_violation(5); }
Test(ownership_schedules, part_7) { expect_no_violation(6); }
Test(ownership_schedules, part_8) { expect_no_violation(7); }
