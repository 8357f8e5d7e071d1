// Splits a value into a number and a unit, and scales the number by the unit.

#include "unit_text.h"

#include <array>
#include <charconv>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

struct quantity {
    double number = 0.0;
    std::string_view unit;
};

constexpr double max_number = 1e12;

std::optional<quantity> parse_quantity(std::string_view text)
{
    quantity m;
    const std::from_chars_result parse_result =
        std::from_chars(text.data(), text.data() + text.size(), m.number);
    const bool in_range = std::isfinite(m.number) && m.number >= 0.0 && m.number <= max_number;
    if (parse_result.ec != std::errc() || !in_range) {
        return std::nullopt;
    }
    m.unit = text.substr(static_cast<std::size_t>(parse_result.ptr - text.data()));
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
std::optional<double> parse_scaled(std::string_view text,
                                   const std::array<unit_factor, Size>& units)
{
    const std::optional<quantity> m = parse_quantity(text);
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
    const std::optional<std::int64_t> value = rounded(parse_scaled(text, duration_units));
    return value ? std::optional<millis>(millis(*value)) : std::nullopt;
}

std::optional<std::int64_t> memory_mb_from(std::string_view text)
{
    return rounded(parse_scaled(text, memory_units));
}

std::optional<std::int64_t> cpu_millis_from(std::string_view text)
{
    return rounded(parse_scaled(text, core_units));
}

std::optional<double> ratio_from(std::string_view text)
{
    return parse_scaled(text, ratio_units);
}

std::optional<double> rate_from(std::string_view text)
{
    return parse_scaled(text, rate_units);
}

std::optional<std::int64_t> count_from(std::string_view text)
{
    std::int64_t value = 0;
    const std::from_chars_result parse_result =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool fully_read =
        parse_result.ec == std::errc() && parse_result.ptr == text.data() + text.size();
    return fully_read && value >= 0 ? std::optional<std::int64_t>(value) : std::nullopt;
}

std::optional<bool> flag_from(std::string_view text)
{
    if (text == "yes" || text == "no") {
        return text == "yes";
    }
    return std::nullopt;
}

} // namespace sesamesill
