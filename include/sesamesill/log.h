// Structured logs: one JSON object a line, through Boost.Log.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "sesamesill/error.h"

namespace sesamesill {

enum class log_level : std::uint8_t { debug, info, warning, error };

struct log_field {
    std::string_view key;
    std::variant<std::string, std::int64_t, double> value;
};

/// Sets up the sink on standard error; `process` goes into each line.
void start_log(std::string_view process, log_level lowest);

/// Sets up a bounded sink on standard output that never waits for a reader. Lines of one event
/// beyond `max_lines_a_second` are left out and counted. Lines below a warning are written by
/// `flush_log`.
void start_bounded_log(std::string_view process, log_level lowest);
void flush_log();

constexpr int max_lines_a_second = 1000; ///< of one event: above the busiest day's task starts

/// Writes one line with time, level, event and the fields.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

/// Writes one line with the step, peer and reason of `e`.
void log_error(std::string_view event, const error& e);

} // namespace sesamesill
