// Reads INI text with Boost.PropertyTree, adds line numbers and finds similar names for misspelt
// ones.

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

/// A key of a settings file and the member that stores its value.
template<typename Member>
struct ini_setting {
    std::string_view section;
    std::string_view key;
    Member member{};
    bool required = false;
};

/// Returns the sections in order, or nothing and the syntax error. A key outside of any section is
/// added to `faults` and skipped.
std::optional<std::vector<ini_section>> read_ini_text(std::string_view text,
                                                      std::vector<fault>& faults);

/// Returns the known name with the smallest edit distance to `name`, or "" if none is similar.
std::string nearest_name(std::string_view name, const std::vector<std::string_view>& known);

} // namespace sesamesill
