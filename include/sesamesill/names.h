// Tables that map enumeration values to their names in documents, logs and metrics.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sesamesill {

template<typename Enum>
struct named_value {
    Enum value;
    std::string_view name;
};

template<typename Enum, std::size_t Size>
using name_table = std::array<named_value<Enum>, Size>;

/// Returns the name of `value`, or "unknown" where the table has no entry for it.
template<typename Enum, std::size_t Size>
constexpr std::string_view name_in(const name_table<Enum, Size>& table, Enum value)
{
    for (const named_value<Enum>& entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/// Returns the value named `name`, or nothing where the table has no entry for it.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_in(const name_table<Enum, Size>& table, std::string_view name)
{
    for (const named_value<Enum>& entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace sesamesill
