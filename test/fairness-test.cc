// Guards against shares that ignore the weight or the work on other members, and against quotas
// that are exceeded.

#include <criterion/criterion.h>

#include "sesamesill/fairness.h"

using namespace sesamesill;

Test(fairness, share_is_dominant_and_weighted)
{
    fairness f;
    f.set_capacity({10000, 10000, 0});
    const organisation_id a = f.put({"a", 1.0, {10000, 10000, 0}, 0.0});
    const organisation_id b = f.put({"b", 2.0, {10000, 10000, 0}, 0.0});
    f.charge(a, {1000, 4000, 0});
    f.charge(b, {4000, 1000, 0});
    cr_assert_float_eq(f.share(a), 0.4, 1e-9);
    cr_assert_float_eq(f.share(b), 0.2, 1e-9);
}

Test(fairness, quota_is_a_hard_cap)
{
    fairness f;
    const organisation_id a = f.put({"a", 1.0, {2000, 4096, 0}, 0.0});
    cr_assert(f.charge(a, {1500, 1024, 0}));
    cr_assert_not(f.charge(a, {501, 1, 0}));
    f.refund(a, {1500, 1024, 0});
    cr_assert(f.charge(a, {2000, 4096, 0}));
    const std::optional<error> why = check_against_quota(f, a, {3000, 1024, 0}, 1);
    cr_assert(why && why->code == error_code::unfit);
    cr_assert(why->reason.find("2 cores, 1024 MB") != std::string::npos);
    cr_assert_not(check_against_quota(f, a, {500, 512, 0}, 4).has_value());
    const std::optional<error> gang_error = check_against_quota(f, a, {500, 512, 0}, 7);
    cr_assert(gang_error && gang_error->reason.find("allows 4 tasks") != std::string::npos);
}

Test(fairness, work_elsewhere_counts_for_share_and_quota)
{
    fairness f;
    f.set_capacity({10000, 10000, 0});
    const organisation_id a = f.put({"a", 1.0, {4000, 4096, 0}, 0.0});
    f.set_running_elsewhere(a, {3000, 1024, 0});
    cr_assert_not(f.charge(a, {1500, 1024, 0}));
    cr_assert(f.charge(a, {1000, 1024, 0}));
    cr_assert_float_eq(f.share(a), 0.4, 1e-9);
}

Test(fairness, jain_index_is_one_for_equal_values)
{
    cr_assert_float_eq(jain_index({2.0, 2.0, 2.0}), 1.0, 1e-9);
    cr_assert_float_eq(jain_index({1.0, 0.0}), 0.5, 1e-9);
}
