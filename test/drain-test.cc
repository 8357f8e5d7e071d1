// Tests of leaving notices and of the phases of a planned stop: guards against calls to a leaving
// endpoint and against a stop that skips a phase or never ends.

#include <criterion/criterion.h>

#include "sesamesill/drain.h"

using namespace sesamesill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

} // namespace

Test(drain, a_notice_from_either_source_is_enough)
{
    leaving_endpoints l;
    cr_assert(l.on_leaving_notice("x1", leaving_source::endpoint, at(0)));
    cr_assert(l.is_leaving("x1"));
    l.on_listed_live("x1"); // the VM list lags behind
    cr_assert(l.is_leaving("x1"));
    cr_assert_not(l.on_leaving_notice("x1", leaving_source::vm_list, at(5)));
    l.on_healthy("x1", at(6));
    cr_assert(l.is_leaving("x1"), "the notice of the VM list still holds");
    l.on_listed_live("x1");
    cr_assert_not(l.is_leaving("x1"));
}

Test(drain, a_health_check_sent_before_the_notice_does_not_withdraw_it)
{
    leaving_endpoints l;
    l.on_leaving_notice("x1", leaving_source::endpoint, at(100));
    l.on_healthy("x1", at(99));
    cr_assert(l.is_leaving("x1"));
    l.on_healthy("x1", at(2100));
    cr_assert_not(l.is_leaving("x1"));
}

Test(drain, an_endpoint_that_reported_itself_as_leaving_is_probed)
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

Test(drain, a_stop_passes_through_its_phases)
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
