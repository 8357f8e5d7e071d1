// JSON-RPC 2.0 between the members: libjsonrpccpp decodes and checks, evhttp carries.

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

/// Returns the result, or nothing and the reason.
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
    /// Returns the answer to one JSON-RPC request, an error object included.
    std::string handle(const std::string& request);

private:
    struct state;
    std::unique_ptr<state> state_;
};

using rpc_done = std::function<void(std::optional<Json::Value>, const error&)>;

/// Calls `method` of the member at `to` by POST /rpc.
void call_rpc(http_client& client, const endpoint& to, const std::string& method,
              const Json::Value& params, millis timeout, rpc_done done);

/// Returns `value` without line breaks.
std::string to_text(const Json::Value& value);
/// Returns the parsed value, or nothing where `text` is not JSON.
std::optional<Json::Value> json_from(const std::string& text);

} // namespace sesamesill
