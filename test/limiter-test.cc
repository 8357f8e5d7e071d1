// Tests of admission: guards against limits that are exceeded or left unused when six members share
// them, and against calls that can't end before their deadline.

#include <cmath>
#include <random>

#include <criterion/criterion.h>

#include "sesamesill/limiter.h"

using namespace sesamesill;

namespace {

constexpr std::size_t members = 6;
constexpr millis report_interval{500};

/// Six limiters that exchange their demands every 500 ms.
struct entries {
    rate_limiter limiters[members];
    std::map<std::string, double> reported[members];

    explicit entries(double limit)
    {
        for (rate_limiter& l : limiters) {
            l.set_limit("a", limit);
            l.set_peer_demand(members, {}, time_point());
        }
    }

    void report(time_point now)
    {
        for (std::size_t i = 0; i < members; ++i) {
            reported[i] = limiters[i].demand(now);
        }
        for (std::size_t i = 0; i < members; ++i) {
            std::map<std::string, double> peer_demand;
            for (std::size_t j = 0; j < members; ++j) {
                if (j != i && reported[j].count("a") > 0) {
                    peer_demand["a"] += reported[j]["a"];
                }
            }
            limiters[i].set_peer_demand(members, peer_demand, now);
        }
    }
};

/// Returns the admitted calls per second in the last 10 of 15 seconds with `rate` arrivals per
/// second, spread over `active_members`.
double admitted_per_second(entries& e, double rate, std::size_t active_members)
{
    std::mt19937_64 random(3);
    std::exponential_distribution<double> gap(rate);
    double now = 0.0;
    double next_report = 0.0;
    std::int64_t admitted = 0;
    while (now < 15.0) {
        now += gap(random);
        const time_point t{micros(static_cast<std::int64_t>(now * 1e6))};
        if (now >= next_report) {
            e.report(t);
            next_report += static_cast<double>(report_interval.count()) / 1e3;
        }
        const bool is_admitted = !e.limiters[random() % active_members].admit("a", t);
        admitted += is_admitted && now > 5.0 ? 1 : 0;
    }
    return static_cast<double>(admitted) / 10.0;
}

} // namespace

Test(limiter, a_limit_holds_over_all_members_together)
{
    entries e(300.0);
    const double rate = admitted_per_second(e, 3000.0, members);
    cr_assert_leq(rate, 300.0 * 1.05, "%f", rate);
    cr_assert_geq(rate, 300.0 * 0.9, "%f", rate);
}

Test(limiter, unused_shares_go_to_the_member_with_demand)
{
    entries e(300.0);
    const double rate = admitted_per_second(e, 3000.0, 1);
    cr_assert_leq(rate, 300.0 * 1.05, "%f", rate);
    cr_assert_geq(rate, 300.0 * 0.85, "%f", rate);
}

Test(limiter, shares_add_up_to_the_limit)
{
    const double demand[] = {5.0, 0.0, 100.0, 33.0, 1.0, 7.0};
    double sum = 0.0;
    for (const double d : demand) {
        sum += share_of(60.0, d, 146.0, members);
    }
    cr_assert_float_eq(sum, 60.0, 1e-6);
}

Test(limiter, a_refusal_returns_the_time_until_a_retry_is_admitted)
{
    rate_limiter l;
    l.set_limit("a", 10.0);
    const time_point start{millis(1000)};
    std::optional<micros> wait;
    int admitted = 0;
    while (!(wait = l.admit("a", start))) {
        ++admitted;
    }
    cr_assert_eq(admitted, 10);
    cr_assert_eq(to_millis(*wait), 100);
    cr_assert_not(l.admit("a", start + *wait));
    cr_assert_not(l.admit("b", start), "b has no limit");
}

Test(limiter, calls_whose_wait_exceeds_the_deadline_are_refused)
{
    const micros wait = expected_wait(80, 8, millis(20));
    cr_assert_eq(to_millis(wait), 200);
    cr_assert_not(refuse_for_wait(wait, millis(50), millis(450)));
    cr_assert(refuse_for_wait(wait, millis(50), millis(440)));
    cr_assert(refuse_for_wait(expected_wait(0, 0, millis(5)), millis(5), millis(800)));
    cr_assert(retry_after(millis(1)) == "1");
    cr_assert(retry_after(millis(2500)) == "3");
}
