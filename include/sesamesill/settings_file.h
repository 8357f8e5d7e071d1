// Reads settings from a file and prints each error to standard error.

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

/// Exit status of a daemon whose settings are invalid.
constexpr int exit_invalid_settings = 2;

/// Returns the settings that `parse` reads from the file, or nothing if the file is unreadable or
/// invalid.
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
