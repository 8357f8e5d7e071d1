// Checks of a whole document, which reject combinations of values that cannot work.

#pragma once

#include <vector>

#include "ini_text.h"
#include "sesamesill/environment.h"

namespace sesamesill {

/// Adds an error for each rule that the document breaks.
void check_environment(const environment& document, const std::vector<ini_section>& sections,
                       std::vector<fault>& faults);

} // namespace sesamesill
