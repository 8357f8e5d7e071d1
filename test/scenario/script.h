// Runs a scenario's Lua script over the commands of a testbed.

#pragma once

#include <string>

#include "testbed.h"

namespace scenario {

/// Returns whether the script ran to its end; `why` says where it did not.
bool run_script(testbed& bed, const std::string& path, std::uint64_t seed, std::string& why);

} // namespace scenario
