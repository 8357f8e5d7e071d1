// JSON-RPC 2.0 between members: libjsonrpccpp decodes and validates requests, evhttp transports
// them.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/http.h"

namespace sesamesill {

/// Handles a call. Returns its result, or returns nothing and sets `why`.
using rpc_method = std::function<std::optional<Json::Value>(const Json::Value& params, error& why)>;

class rpc_server {
public:
    rpc_server();
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    rpc_server(rpc_server&&) = delete;
    rpc_server& operator=(rpc_server&&) = delete;

    void add(const std::string& name, rpc_method method);
    /// Handles one JSON-RPC request and returns the response, which holds an error object where the
    /// call failed.
    std::string handle(const std::string& request);

private:
    struct state;
    std::unique_ptr<state> state_;
};

using rpc_done = std::function<void(std::optional<Json::Value>, const error&)>;

/// Calls `method` of the member at `to` with POST /rpc and passes the result or the error to
/// `done`.
void call_rpc(http_client& client, const endpoint& to, const std::string& method,
              const Json::Value& params, millis timeout, rpc_done done);

/// Returns `value` as JSON on one line.
std::string to_text(const Json::Value& value);
/// Returns the parsed value, or nothing where `text` is not JSON.
std::optional<Json::Value> json_from(const std::string& text);

} // namespace sesamesill
