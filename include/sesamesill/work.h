// The kinds of work and the three ways in which a request can end.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sesamesill {

enum class work_kind : std::uint8_t {
    call,    ///< a request to a service's executors, answered at once
    service, ///< tasks that run until they are stopped
    batch,   ///< queued tasks that run to their end
    gang     ///< tasks that start all at once or not at all
};

enum class outcome : std::uint8_t {
    pending,
    done,
    not_run, ///< refused, and nothing was ever dispatched
    failed,  ///< ran and failed
    unknown  ///< may have run; resolved once the worker or the log can tell
};

std::string_view name_of(work_kind kind);
std::string_view name_of(outcome final_outcome);
std::optional<work_kind> work_kind_from(std::string_view name);
std::optional<outcome> outcome_from(std::string_view name);

} // namespace sesamesill
