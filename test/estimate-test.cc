// Guards against estimates that miss the quantile, fall below the declaration or never forget old
// values.

#include <algorithm>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "sesamesill/estimate.h"

using namespace sesamesill;

namespace {

const resources declared{1000, 1000, 1};
const resources largest{32000, 65536, 8};

void add_peaks(estimates& e, double factor, int times)
{
    for (int i = 0; i < times; ++i) {
        e.add_peak("c", declared,
                   {static_cast<std::int64_t>(1000 * factor), static_cast<std::int64_t>(1000), 0});
    }
}

} // namespace

Test(estimate, quantile_is_close_to_that_of_the_sorted_values)
{
    std::mt19937_64 random(1);
    std::vector<double> values;
    recent_quantile q(0.95);
    for (int i = 0; i < 400; ++i) {
        values.push_back(static_cast<double>(random() % 1000));
        q.add(values.back());
    }
    std::sort(values.begin(), values.end());
    cr_assert_float_eq(q.value(), values[380], 50.0);
}

Test(estimate, underdeclared_class_reserves_its_peak_plus_a_margin)
{
    estimates e;
    cr_assert(e.reservation("c", declared, 0.1, largest) == declared);
    add_peaks(e, 3.0, 50);
    const resources r = e.reservation("c", declared, 0.1, largest);
    cr_assert_geq(r.cpu_millis, 3299);
    cr_assert_leq(r.cpu_millis, 3301);
    cr_assert_leq(r.memory_mb, 1101);
    cr_assert_eq(r.accelerators, 1);
    cr_assert_eq(e.reservation("c", declared, 0.1, {2000, 2000, 1}).cpu_millis, 2000);
}

Test(estimate, reservation_is_never_below_the_declaration)
{
    estimates e;
    add_peaks(e, 0.2, 50);
    cr_assert_geq(e.reservation("c", declared, 0.1, largest).cpu_millis, declared.cpu_millis);
    cr_assert_geq(e.reservation("c", {64000, 1, 0}, 0.1, largest).cpu_millis, 64000);
}

Test(estimate, newer_values_replace_older_ones)
{
    estimates e;
    add_peaks(e, 4.0, 1000);
    add_peaks(e, 1.0, 1100);
    cr_assert_leq(e.reservation("c", declared, 0.1, largest).cpu_millis, 1101);
}

Test(estimate, run_time_estimate_follows_the_actual_run_times)
{
    estimates e;
    const micros second = std::chrono::seconds(1);
    cr_assert(e.run_time("c", second) == second);
    for (int i = 0; i < 50; ++i) {
        e.add_run_time("c", second, second * 4);
    }
    cr_assert(e.run_time("c", second * 10) == second * 40);
    cr_assert(e.run_time("c", micros(0)) == second * 4);
}
