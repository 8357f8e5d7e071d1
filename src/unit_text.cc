// Splits a number from its unit.

#include "unit_text.h"

#include <array>
#include <charconv>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

struct measured {
    double number = 0.0;
    std::string_view unit;
};

constexpr double max_number = 1e12;

std::optional<measured> split(std::string_view text)
{
    measured m;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), m.number);
    const bool sane = std::isfinite(m.number) && m.number >= 0.0 && m.number <= max_number;
    if (read.ec != std::errc() || !sane) {
        return std::nullopt;
    }
    m.unit = text.substr(static_cast<std::size_t>(read.ptr - text.data()));
    while (!m.unit.empty() && m.unit.front() == ' ') {
        m.unit.remove_prefix(1);
    }
    return m;
}

struct unit_factor {
    std::string_view unit;
    double factor;
};

template<std::size_t Size>
std::optional<double> scaled_by(std::string_view text, const std::array<unit_factor, Size>& units)
{
    const std::optional<measured> m = split(text);
    if (!m) {
        return std::nullopt;
    }
    for (const unit_factor& u : units) {
        if (u.unit == m->unit) {
            return m->number * u.factor;
        }
    }
    return std::nullopt;
}

std::optional<std::int64_t> rounded(std::optional<double> value)
{
    if (!value || *value > max_number) {
        return std::nullopt;
    }
    return std::llround(*value);
}

constexpr std::array<unit_factor, 4> duration_units{
    {{"ms", 1.0}, {"s", 1000.0}, {"min", 60000.0}, {"h", 3600000.0}}};
constexpr std::array<unit_factor, 3> memory_units{{{"MB", 1.0}, {"GB", 1024.0}, {"TB", 1048576.0}}};
constexpr std::array<unit_factor, 2> core_units{{{"cores", 1000.0}, {"core", 1000.0}}};
constexpr std::array<unit_factor, 2> ratio_units{{{"", 1.0}, {"%", 0.01}}};
constexpr std::array<unit_factor, 1> rate_units{{{"/s", 1.0}}};

} // namespace

std::optional<millis> duration_from(std::string_view text)
{
    const std::optional<std::int64_t> value = rounded(scaled_by(text, duration_units));
    return value ? std::optional<millis>(millis(*value)) : std::nullopt;
}

std::optional<std::int64_t> memory_mb_from(std::string_view text)
{
    return rounded(scaled_by(text, memory_units));
}

std::optional<std::int64_t> cpu_millis_from(std::string_view text)
{
    return rounded(scaled_by(text, core_units));
}

std::optional<double> ratio_from(std::string_view text)
{
    return scaled_by(text, ratio_units);
}

std::optional<double> rate_from(std::string_view text)
{
    return scaled_by(text, rate_units);
}

std::optional<std::int64_t> count_from(std::string_view text)
{
    std::int64_t value = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return whole && value >= 0 ? std::optional<std::int64_t>(value) : std::nullopt;
}

std::optional<bool> flag_from(std::string_view text)
{
    if (text == "yes" || text == "no") {
        return text == "yes";
    }
    return std::nullopt;
}

} // namespace sesamesill
