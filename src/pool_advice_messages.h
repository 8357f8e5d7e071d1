// Messages between the leader and a member that calls the advisor for it.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

struct advice_request {
    std::string step;
    std::vector<std::string> workers;
    millis timeout{0}; ///< of the call to the advisor
};

std::string encode(const advice_request& request);
/// Returns the request, or nothing and the reason in `why` if it's malformed.
std::optional<advice_request> decode_advice_request(const std::string& text, error& why);

std::string encode(const advice_answer& answer);
/// Returns the answer; a malformed one is a failed call, with the reason.
advice_answer decode_advice_answer(const std::string& text);

} // namespace sesamesill::pool
