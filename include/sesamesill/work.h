// Defines the kinds of work and the outcomes of requests, and converts both to and from names.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sesamesill {

enum class work_kind : std::uint8_t {
    call,    ///< a request that an executor of a service answers synchronously
    service, ///< long-running tasks that run until they are stopped
    batch,   ///< queued tasks that run to completion
    gang     ///< tasks that all start together or not at all
};

enum class outcome : std::uint8_t {
    pending, ///< has no final outcome yet
    done,    ///< ran and succeeded
    not_run, ///< refused before anything was dispatched
    failed,  ///< ran and failed
    unknown  ///< may have run; resolved when the worker or the log shows what happened
};

/// Returns the name of the kind in JSON.
std::string_view name_of(work_kind kind);
std::string_view name_of(outcome value);
/// Returns the value with this name, or nothing for an unknown name.
std::optional<work_kind> work_kind_from(std::string_view name);
std::optional<outcome> outcome_from(std::string_view name);

} // namespace sesamesill
