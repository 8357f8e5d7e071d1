// Converts views, view checkpoints and heartbeats to and from JSON, for the log and for messages
// between members.

#pragma once

#include <optional>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/ownership.h"

namespace sesamesill {

Json::Value to_json(const membership_view& v);
/// Returns the view, with epoch 0 if `value` has none, or nothing and sets `why`.
std::optional<membership_view> view_from(const Json::Value& value, error& why);

Json::Value to_json(const view_checkpoint& checkpoint);
std::optional<view_checkpoint> view_checkpoint_from(const Json::Value& value, error& why);

/// Adds `cell` to the message. Members reject heartbeats of other cells, because these use another
/// log.
Json::Value to_json(const heartbeat& h, const std::string& cell);
std::optional<heartbeat> heartbeat_from(const Json::Value& value, const std::string& cell,
                                        error& why);

} // namespace sesamesill
