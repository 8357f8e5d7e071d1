// HTTP replies to callers and operators. An error is a JSON body with code, step, peer and reason.

#pragma once

#include <string>

#include <json/json.h>

#include "sesamesill/error.h"
#include "sesamesill/http.h"
#include "sesamesill/rpc.h"
#include "sesamesill/work.h"

namespace sesamesill {

/// Returns the query parameter `name`, or "" if it is absent.
inline std::string query_text(const http_request& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

inline http_reply json_reply(int status, const Json::Value& body)
{
    return {status, to_text(body), {}, "application/json"};
}

inline Json::Value to_json(const error& e)
{
    Json::Value body;
    body["code"] = std::string(name_of(e.code));
    body["step"] = std::string(name_of(e.where));
    body["peer"] = e.peer;
    body["reason"] = e.reason;
    return body;
}

inline http_reply error_reply(int status, const error& e)
{
    return json_reply(status, to_json(e));
}

/// Returns the reply for a request that ended with `final_outcome` because of `e`.
inline http_reply outcome_reply(outcome final_outcome, const error& e)
{
    Json::Value body = to_json(e);
    body["outcome"] = std::string(name_of(final_outcome));
    return json_reply(final_outcome == outcome::not_run ? 503 : 504, body);
}

} // namespace sesamesill
