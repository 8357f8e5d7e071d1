// Settings from a file, with each fault printed to standard error.

#pragma once

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/environment.h"

namespace sesamesill {

constexpr int exit_invalid_settings = 2;

/// Returns what `parse` makes of the file, or nothing where it can't be read or has faults.
template<typename Settings>
std::optional<Settings> read_settings_file(const std::string& path,
                                           std::optional<Settings> (*parse)(std::string_view,
                                                                            std::vector<fault>&))
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    std::vector<fault> faults;
    std::optional<Settings> settings = parse(text.str(), faults);
    for (const fault& f : faults) {
        std::cerr << path << ": " << to_string(f) << '\n';
    }
    return settings;
}

} // namespace sesamesill
