// Runs the Lua script of a scenario with the commands of a testbed.

#pragma once

#include <string>

#include "testbed.h"

namespace scenario {

/// Runs the script; returns whether it completed. If it did not, sets `why` to the error.
bool run_script(testbed& bed, const std::string& path, std::uint64_t seed, std::string& why);

} // namespace scenario
