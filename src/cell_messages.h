// JSON of views, marks and heartbeats, in the log and between members.

#pragma once

#include <optional>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/ownership.h"

namespace sesamesill {

Json::Value to_json(const membership_view& v);
/// Returns the view, its epoch 0 where none is given, or nothing and the reason.
std::optional<membership_view> view_from(const Json::Value& value, error& why);

Json::Value to_json(const view_checkpoint& mark);
std::optional<view_checkpoint> view_checkpoint_from(const Json::Value& value, error& why);

/// `cell` keeps members of other cells out: they share no log.
Json::Value to_json(const heartbeat& h, const std::string& cell);
std::optional<heartbeat> heartbeat_from(const Json::Value& value, const std::string& cell,
                                        error& why);

} // namespace sesamesill
