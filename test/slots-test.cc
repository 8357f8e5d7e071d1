// Tests of slot accounting: guards against more calls than slots on an executor after lost calls or
// a change of its owner, and against slots that never become free.

#include <criterion/criterion.h>

#include "sesamesill/slots.h"

using namespace sesamesill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

} // namespace

Test(slots, a_new_owner_sends_no_calls_before_the_first_probe)
{
    slot_account a(8, at(0), millis(200));
    cr_assert_eq(a.free(at(0)), 0);
    cr_assert_not(a.wants_probe(at(199)));
    cr_assert(a.wants_probe(at(200)));
    a.on_probe_sent(at(200));
    a.on_probe(3, at(201));
    cr_assert_eq(a.free(at(201)), 5);
    a.on_probe_sent(at(301));
    a.on_probe(0, at(302));
    cr_assert_eq(a.free(at(302)), 8);
    cr_assert_not(a.wants_probe(at(9999)));
}

Test(slots, a_lost_call_keeps_its_slot)
{
    slot_account a(2, at(0), millis(0));
    a.on_probe_sent(at(0));
    a.on_probe(0, at(0));
    a.on_sent();
    a.on_sent();
    a.on_lost(at(800));
    cr_assert_eq(a.free(at(10)), 0);
    a.on_ended();
    cr_assert_eq(a.free(at(20)), 1);
    a.on_probe_sent(at(100));
    a.on_probe(1, at(101));
    cr_assert_eq(a.free(at(101)), 1, "the lost call still runs");
}

Test(slots, a_slot_kept_because_of_an_own_call_is_freed_later)
{
    slot_account a(2, at(0), millis(0));
    a.on_probe_sent(at(0));
    a.on_probe(0, at(0));
    a.on_sent();
    a.on_lost(at(800));
    a.on_sent();
    a.on_probe_sent(at(100));
    a.on_probe(1, at(101)); // either the lost or the open call may be the one that runs
    cr_assert_eq(a.unconfirmed(), 1);
    cr_assert_eq(a.free(at(800)), 0, "the owner waits for its own calls to end");
    a.on_ended();
    a.on_probe_sent(at(900));
    a.on_probe(0, at(901));
    cr_assert_eq(a.free(at(901)), 2);
}

Test(slots, a_call_during_a_probe_makes_the_count_inexact)
{
    slot_account a(2, at(0), millis(0));
    a.on_probe_sent(at(0));
    a.on_probe(1, at(0));
    a.on_probe_sent(at(100));
    a.on_sent();
    a.on_ended();
    a.on_probe(2, at(101));
    cr_assert_eq(a.unconfirmed(), 1);
}
