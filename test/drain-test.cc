// Tests of the signs of leaving and of the steps of a planned stop.

#include <criterion/criterion.h>

#include "sesamesill/drain.h"

using namespace sesamesill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

} // namespace

Test(drain, first_sign_of_either_source_counts)
{
    leaving_endpoints l;
    cr_assert(l.on_leaving_notice("x1", leaving_source::endpoint, at(0)));
    cr_assert(l.is_leaving("x1"));
    l.on_listed_live("x1"); // the list lags
    cr_assert(l.is_leaving("x1"));
    cr_assert_not(l.on_leaving_notice("x1", leaving_source::vm_list, at(5)));
    l.on_healthy("x1");
    cr_assert(l.is_leaving("x1"), "the list's own sign stands");
    l.on_listed_live("x1");
    cr_assert_not(l.is_leaving("x1"));
}

Test(drain, an_endpoint_that_called_itself_leaving_is_asked_again)
{
    leaving_endpoints l;
    l.on_leaving_notice("x1", leaving_source::endpoint, at(0));
    cr_assert_not(l.wants_probe("x1", at(1999)));
    cr_assert(l.wants_probe("x1", at(2000)));
    l.on_probe_sent("x1", at(2000));
    cr_assert_not(l.wants_probe("x1", at(2001)));
    l.on_leaving_notice("x2", leaving_source::vm_list, at(0));
    cr_assert_not(l.wants_probe("x2", at(9000)));
}

Test(drain, a_stop_announces_finishes_and_ends)
{
    stop_plan p;
    cr_assert(p.phase(at(0), 0) == stop_phase::running);
    p.begin(at(0), millis(1000), millis(5000));
    cr_assert(p.phase(at(10), 0) == stop_phase::announced);
    cr_assert(p.phase(at(1000), 3) == stop_phase::finishing);
    cr_assert(p.phase(at(1000), 0) == stop_phase::stopped);
    cr_assert(p.phase(at(6000), 3) == stop_phase::stopped);
    p.stop_now(at(1500));
    cr_assert(p.phase(at(1500), 3) == stop_phase::stopped);
}
