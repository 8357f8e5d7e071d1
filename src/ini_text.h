// INI texts with line numbers: Boost.PropertyTree reads, this adds lines and near names.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/environment.h"

namespace sesamesill {

struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

struct ini_section {
    std::string title;
    int line = 0;
    std::vector<ini_entry> entries;
};

/// A setting of a file, and the member that takes it.
template<typename Member>
struct ini_setting {
    std::string_view section;
    std::string_view key;
    Member member{};
    bool required = false;
};

/// Returns the sections in order, or nothing and the fault at which reading ended.
std::optional<std::vector<ini_section>> read_ini_text(std::string_view text,
                                                      std::vector<fault>& faults);

/// Returns the known name that takes the fewest edits to reach, or "" where none is near.
std::string nearest_name(std::string_view name, const std::vector<std::string_view>& known);

} // namespace sesamesill
