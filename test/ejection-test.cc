// Tests of ejection: guards against calls to failing endpoints, too many ejected endpoints, and
// full load on an endpoint that has just recovered.

#include <criterion/criterion.h>

#include "sesamesill/ejection.h"

using namespace sesamesill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

void fail(ejection& e, const std::string& name, int times)
{
    for (int i = 0; i < times; ++i) {
        e.on_failure(name, at(0));
    }
}

} // namespace

Test(ejection, consecutive_failures_eject_an_endpoint)
{
    ejection e;
    e.add("x1");
    e.add("x2");
    fail(e, "x1", 4);
    e.on_success("x1");
    fail(e, "x1", 4);
    cr_assert_not(e.is_ejected("x1"));
    fail(e, "x1", 1);
    cr_assert(e.is_ejected("x1"));
    cr_assert_float_eq(e.weight("x1", at(0)), 0.0, 1e-9);
}

Test(ejection, at_most_the_allowed_ratio_is_ejected)
{
    ejection e;
    for (int i = 0; i < 20; ++i) {
        e.add("x" + std::to_string(i));
    }
    for (int i = 0; i < 20; ++i) {
        fail(e, "x" + std::to_string(i), 10);
    }
    cr_assert_eq(e.ejected(), 4);
    e.remove("x0");
    cr_assert_eq(e.ejected(), 3);
}

Test(ejection, weight_ramps_up_after_a_passed_probe)
{
    ejection e;
    e.add("x1");
    fail(e, "x1", 5);
    cr_assert_not(e.wants_probe("x1", at(1999)));
    cr_assert(e.wants_probe("x1", at(2000)));
    e.on_probe("x1", false, at(2000));
    cr_assert_not(e.wants_probe("x1", at(5999)));
    e.on_probe("x1", true, at(6000));
    cr_assert_float_eq(e.weight("x1", at(6000)), 0.125, 1e-9);
    cr_assert_float_eq(e.weight("x1", at(8500)), 0.5, 1e-9);
    cr_assert_float_eq(e.weight("x1", at(11000)), 1.0, 1e-9);
}
