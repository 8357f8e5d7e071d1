// Authorises operators by the keys in the settings.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

/// Returns whether both texts are equal. The time depends only on their lengths, so that it does
/// not reveal how much of a token matches.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// Returns the name of the operator whose bearer token the request carries, or nothing if the token
/// is unknown or the operator may not change `environment`.
std::optional<std::string> operator_of(const http_request& request,
                                       const std::vector<operator_key>& keys,
                                       const std::string& environment);

} // namespace sesamesill
