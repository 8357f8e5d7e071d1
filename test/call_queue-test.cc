// Tests of the call queue: guards against exceeded bounds, unfair order between classes or
// organisations, and calls that stay after their deadline.

#include <map>

#include <criterion/criterion.h>

#include "sesamesill/call_queue.h"

using namespace sesamesill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

call_queue two_classes()
{
    call_queue q;
    q.set_class("hold", priority_band::urgent, 1000);
    q.set_class("place", priority_band::high, 1000);
    return q;
}

} // namespace

Test(call_queue, a_full_class_rejects_calls)
{
    call_queue q;
    q.set_class("hold", priority_band::urgent, 2);
    cr_assert(q.push({1, "a", "hold", at(9)}));
    cr_assert(q.push({2, "a", "hold", at(9)}));
    cr_assert_not(q.push({3, "b", "hold", at(9)}));
    q.pop();
    cr_assert(q.push({3, "b", "hold", at(9)}));
}

Test(call_queue, a_flooding_organisation_does_not_delay_others)
{
    call_queue q = two_classes();
    for (std::uint64_t i = 0; i < 900; ++i) {
        q.push({i, "flood", "hold", at(800)});
    }
    cr_assert_leq(q.calls_ahead_of("hold", "quiet"), 1.0);
    cr_assert_geq(q.calls_ahead_of("hold", "flood"), 900.0);
    q.push({5000, "quiet", "hold", at(800)});
    q.push({5001, "quiet", "hold", at(800)});
    int served = 0;
    int quiet = 0;
    while (quiet < 2) {
        quiet += *q.pop() >= 5000 ? 1 : 0;
        ++served;
    }
    cr_assert_leq(served, 4);
}

Test(call_queue, classes_are_served_by_weight_without_starvation)
{
    call_queue q = two_classes();
    for (std::uint64_t i = 0; i < 500; ++i) {
        q.push({i, "a", "hold", at(800)});
        q.push({1000 + i, "a", "place", at(5000)});
    }
    int holds = 0;
    for (int i = 0; i < 100; ++i) {
        holds += *q.pop() < 1000 ? 1 : 0;
    }
    cr_assert_geq(holds, 78);
    cr_assert_leq(holds, 82);
}

Test(call_queue, expired_calls_are_removed_and_the_others_stay_in_order)
{
    call_queue q = two_classes();
    q.push({1, "a", "hold", at(10)});
    q.push({2, "a", "hold", at(30)});
    q.push({3, "b", "place", at(20)});
    cr_assert_eq(q.take_expired(at(9)).size(), 0);
    const std::vector<std::uint64_t> expired = q.take_expired(at(20));
    cr_assert_eq(expired.size(), 2);
    cr_assert_eq(expired[0], 1);
    cr_assert_eq(*q.pop(), 2);
    cr_assert_not(q.pop());
    cr_assert_eq(q.size(), 0);
}

Test(call_queue, organisations_are_served_by_weight)
{
    call_queue q = two_classes();
    q.set_organisation("big", 3.0);
    std::map<bool, int> served;
    for (std::uint64_t i = 0; i < 400; ++i) {
        q.push({i, "big", "hold", at(800)});
        q.push({1000 + i, "small", "hold", at(800)});
    }
    for (int i = 0; i < 100; ++i) {
        ++served[*q.pop() < 1000];
    }
    cr_assert_geq(served[true], 74);
    cr_assert_leq(served[true], 76);
}
