// Name tables of kinds and endings.

#include "sesamesill/work.h"

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<work_kind, 4> kind_names{{{work_kind::call, "call"},
                                               {work_kind::service, "service"},
                                               {work_kind::batch, "batch"},
                                               {work_kind::gang, "gang"}}};

constexpr name_table<outcome, 5> outcome_names{{{outcome::pending, "pending"},
                                                {outcome::done, "done"},
                                                {outcome::not_run, "not_run"},
                                                {outcome::failed, "failed"},
                                                {outcome::unknown, "unknown"}}};

} // namespace

std::string_view name_of(work_kind kind)
{
    return name_in(kind_names, kind);
}

std::string_view name_of(outcome final_outcome)
{
    return name_in(outcome_names, final_outcome);
}

std::optional<work_kind> work_kind_from(std::string_view name)
{
    return value_in(kind_names, name);
}

std::optional<outcome> outcome_from(std::string_view name)
{
    return value_in(outcome_names, name);
}

} // namespace sesamesill
