// Guards against wrong fits and shares of resources, and wrong texts and names of errors, work
// kinds and outcomes.

#include <criterion/criterion.h>

#include "sesamesill/error.h"
#include "sesamesill/resources.h"
#include "sesamesill/work.h"

using namespace sesamesill;

Test(resources, fits_only_if_every_dimension_fits)
{
    const resources room{4000, 8192, 1};
    cr_assert(fits({4000, 8192, 1}, room));
    cr_assert_not(fits({4001, 1, 0}, room));
    cr_assert_not(fits({1, 8193, 0}, room));
    cr_assert_not(fits({1, 1, 2}, room));
}

Test(resources, dominant_share_is_the_largest_of_all_dimensions)
{
    cr_assert_float_eq(dominant_share({1000, 4096, 0}, {4000, 8192, 0}), 0.5, 1e-9);
    cr_assert_float_eq(dominant_share({1, 1, 1}, {}), 0.0, 1e-9);
}

Test(error, text_contains_step_and_peer)
{
    const error e{error_code::timeout, step::dispatch, "w3", "no first byte in 500 ms"};
    cr_assert(to_string(e) == "dispatch: timeout: no first byte in 500 ms (w3)");
}

Test(work, names_convert_back_to_values)
{
    cr_assert(work_kind_from(name_of(work_kind::gang)) == work_kind::gang);
    cr_assert_not(outcome_from("nonsense").has_value());
}
