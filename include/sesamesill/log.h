// Structured logging with Boost.Log: each line is one JSON object.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sesamesill/error.h"

namespace sesamesill {

enum class log_level : std::uint8_t { debug, info, warning, error };

struct log_field {
    std::string_view key;
    std::variant<std::string, std::int64_t, double> value;
};

/// Logs to standard error from now on; each line contains `process`.
void start_log(std::string_view process, log_level lowest);

/// Logs to standard output from now on through a bounded buffer, without waiting for a reader.
/// Lines of one event beyond `max_lines_a_second` are dropped and counted. Lines below the level
/// `warning` are buffered until the next warning or error or the next call of `flush_log`.
void start_bounded_log(std::string_view process, log_level lowest);
/// Writes buffered lines as far as standard output accepts them without blocking.
void flush_log();

/// Limit for one event. It exceeds the task starts per second of the busiest day.
constexpr int max_lines_a_second = 1000;

/// Writes one line with the time, the level, the event and `fields`.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});
void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields);

/// Writes one warning with the step, code, peer and reason of `e`.
void log_error(std::string_view event, const error& e);

} // namespace sesamesill
