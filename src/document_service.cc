// A document is in force from the first record, in log order, that names the current version as its
// base.

#include "document_service.h"

#include <cstdlib>

#include "replies.h"
#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {

document_service::document_service(journal_service& journal, const node_settings& settings)
    : journal_(journal), settings_(settings)
{
    journal_.on("document", [this](const journal_item& item) { take(item); });
}

void document_service::serve(http_server& server)
{
    server.route(
        "POST", "/v1/document",
        [this](const http_request& r, const http_respond& respond) { publish(r, respond); });
    server.route("GET", "/v1/document",
                 [this](const http_request& r, const http_respond& respond) { show(r, respond); });
}

void document_service::take(const journal_item& item)
{
    const Json::Value& v = item.value;
    if (v["environment"].asString() != settings_.environment || v["base"].asUInt64() != version_) {
        return;
    }
    std::vector<fault> faults;
    std::optional<environment> parsed = parse_environment(v["text"].asString(), faults);
    if (!parsed) {
        log_event(log_level::error, "document_skipped",
                  {{"offset", static_cast<std::int64_t>(item.offset)}});
        return;
    }
    current_ = std::move(parsed);
    version_ = item.offset + 1;
    log_event(log_level::info, "document_in_force",
              {{"version", static_cast<std::int64_t>(version_)}, {"digest", current_->digest}});
    for (const std::function<void()>& action : changed_) {
        action();
    }
}

bool document_service::allowed(const http_request& request) const
{
    const auto found = request.headers.find("authorization");
    return !settings_.operator_token.empty() && found != request.headers.end() &&
           found->second == "Bearer " + settings_.operator_token;
}

void document_service::publish(const http_request& request, const http_respond& respond)
{
    if (!allowed(request)) {
        respond(error_reply(401, {error_code::invalid, step::document, "", "no valid token"}));
        return;
    }
    std::vector<fault> faults;
    if (!parse_environment(request.body, faults)) {
        respond(error_reply(400, {error_code::invalid, step::document, "",
                                  faults.empty() ? "unreadable" : to_string(faults.front())}));
        return;
    }
    const auto base = request.query.find("base");
    Json::Value item;
    item["type"] = "document";
    item["environment"] = settings_.environment;
    item["base"] = static_cast<Json::UInt64>(
        base != request.query.end() ? std::strtoull(base->second.c_str(), nullptr, 10) : version_);
    item["text"] = request.body;
    journal_.append("config", item, [respond](std::uint64_t offset) {
        Json::Value answer;
        answer["version"] = static_cast<Json::UInt64>(offset + 1);
        respond(json_reply(200, answer));
    });
}

void document_service::show(const http_request& /*request*/, const http_respond& respond) const
{
    Json::Value answer;
    answer["version"] = static_cast<Json::UInt64>(version_);
    answer["digest"] = current_ ? current_->digest : "";
    answer["text"] = current_ ? current_->text : "";
    respond(json_reply(200, answer));
}

} // namespace sesamesill
