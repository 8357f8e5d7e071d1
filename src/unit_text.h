// Parses values with units, as used in documents and settings.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sesamesill/clock.h"

namespace sesamesill {

/// These functions return nothing if the text is not such a value. Spaces before a unit are
/// allowed.
std::optional<millis> duration_from(std::string_view text); ///< "800 ms", "5 s", "2 min", "1 h"
std::optional<std::int64_t> memory_mb_from(std::string_view text);  ///< "512 MB", "64 GB", "2 TB"
std::optional<std::int64_t> cpu_millis_from(std::string_view text); ///< "16 cores", "0.5 cores"
std::optional<double> ratio_from(std::string_view text);            ///< "0.25", "25%"
std::optional<double> rate_from(std::string_view text);             ///< "200/s"
std::optional<std::int64_t> count_from(std::string_view text);      ///< "64"
std::optional<bool> flag_from(std::string_view text);               ///< "yes", "no"

} // namespace sesamesill
