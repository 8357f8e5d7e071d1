// Serves /v1/environments/{name}[/publish|/promote|/rollback|/check].

#include "document_api.h"

#include <chrono>
#include <cstdlib>

#include "operators.h"
#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis publish_limit{10000};
const std::string environments_path = "/v1/environments/";

std::uint64_t query_number(const http_request& request, const std::string& name,
                           std::uint64_t fallback)
{
    const std::string text = query_text(request, name);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

Json::Value describe(const published_version& v)
{
    Json::Value value;
    value["version"] = static_cast<Json::UInt64>(v.version);
    value["base"] = static_cast<Json::UInt64>(v.record.base);
    value["digest"] = v.record.digest;
    value["operator"] = v.record.operator_name;
    value["when_ms"] = static_cast<Json::Int64>(v.record.when_ms);
    value["origin"] = std::string(name_of(v.record.origin));
    value["was_in_force"] = v.was_in_force;
    return value;
}

Json::Value to_json(const std::vector<environment_change>& changes)
{
    Json::Value list(Json::arrayValue);
    for (const environment_change& c : changes) {
        Json::Value entry;
        entry["section"] = c.section;
        entry["key"] = c.key;
        entry["before"] = c.before;
        entry["after"] = c.after;
        list.append(entry);
    }
    return list;
}

Json::Value to_json(const std::vector<fault>& faults)
{
    Json::Value list(Json::arrayValue);
    for (const fault& f : faults) {
        Json::Value entry;
        entry["line"] = f.line;
        entry["section"] = f.section;
        entry["key"] = f.key;
        entry["reason"] = f.reason;
        entry["nearest"] = f.nearest;
        list.append(entry);
    }
    return list;
}

http_reply faults_reply(const std::vector<fault>& faults)
{
    Json::Value body =
        to_json(error{error_code::invalid, step::document, "",
                      "the document has " + std::to_string(faults.size()) + " errors"});
    body["faults"] = to_json(faults);
    return json_reply(400, body);
}

void refuse(const http_respond& respond, int status, error_code code, const std::string& reason)
{
    respond(error_reply(status, {code, step::document, "", reason}));
}

} // namespace

document_api::document_api(document_service& documents, const node_settings& settings)
    : documents_(documents), settings_(settings)
{
}

void document_api::serve(http_server& server)
{
    const http_handler on_show = [this](const http_request& r, const http_respond& respond) {
        show(r, respond);
    };
    const http_handler on_change = [this](const http_request& r, const http_respond& respond) {
        change(r, respond);
    };
    server.route("GET", environments_path, on_show);
    server.route("POST", environments_path, on_change);
    // Short paths for the environment of this cell.
    server.route("GET", "/v1/document", on_show);
    server.route("POST", "/v1/document", on_change);
}

void document_api::show(const http_request& request, const http_respond& respond) const
{
    const bool has_name = request.path.compare(0, environments_path.size(), environments_path) == 0;
    const std::string name =
        has_name ? request.path.substr(environments_path.size()) : settings_.environment;
    if (name.empty()) {
        Json::Value list(Json::arrayValue);
        for (const std::string& known : documents_.environments()) {
            list.append(known);
        }
        respond(json_reply(200, list));
        return;
    }
    const publication* p = documents_.find(name);
    if (p == nullptr) {
        refuse(respond, 404, error_code::not_found, "unknown environment " + name);
        return;
    }
    Json::Value answer;
    answer["environment"] = name;
    answer["known"] = p->known();
    answer["version"] = static_cast<Json::UInt64>(p->version());
    answer["history"] = Json::Value(Json::arrayValue);
    for (const published_version& v : p->history()) {
        answer["history"].append(describe(v));
    }
    const std::uint64_t requested_version = query_number(request, "version", p->version());
    const published_version* v = p->find(requested_version);
    answer["digest"] = v != nullptr ? v->record.digest : "";
    answer["text"] = v != nullptr ? v->record.text : "";
    respond(json_reply(200, answer));
}

void document_api::change(const http_request& request, const http_respond& respond)
{
    using action = void (document_api::*)(const http_request&, const http_respond&,
                                          const std::string& target, const std::string& who);
    struct named_action {
        std::string_view name;
        action run;
    };
    static const named_action actions[] = {{"publish", &document_api::publish},
                                           {"promote", &document_api::promote},
                                           {"rollback", &document_api::roll_back}};
    std::string target = settings_.environment;
    std::string verb = "publish";
    if (request.path.compare(0, environments_path.size(), environments_path) == 0) {
        const std::string rest = request.path.substr(environments_path.size());
        const std::size_t slash = rest.find('/');
        target = rest.substr(0, slash);
        verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    }
    if (verb == "check") {
        std::vector<fault> faults;
        const bool is_valid = parse_environment(request.body, faults).has_value();
        Json::Value body;
        body["digest"] = digest_of(request.body);
        respond(is_valid ? json_reply(200, body) : faults_reply(faults));
        return;
    }
    const std::optional<std::string> who = operator_of(request, settings_.operators, target);
    if (!who) {
        log_event(log_level::warning, "change_refused",
                  {{"environment", target}, {"peer", request.peer}});
        refuse(respond, 401, error_code::invalid, "no valid token for environment " + target);
        return;
    }
    for (const named_action& a : actions) {
        if (a.name == verb) {
            (this->*a.run)(request, respond, target, *who);
            return;
        }
    }
    refuse(respond, 404, error_code::not_found, "unknown action: " + verb);
}

publication_record document_api::new_record(const http_request& request, const std::string& target,
                                            const std::string& who) const
{
    publication_record record;
    record.environment = target;
    record.operator_name = who;
    record.when_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const publication* p = documents_.find(target);
    record.base = query_number(request, "base", p != nullptr ? p->version() : 0);
    record.id = query_text(request, "id");
    if (record.id.empty()) {
        record.id =
            settings_.name + "-" + std::to_string(boot_clock::now().time_since_epoch().count());
    }
    return record;
}

void document_api::publish(const http_request& request, const http_respond& respond,
                           const std::string& target, const std::string& who)
{
    std::vector<fault> faults;
    if (!parse_environment(request.body, faults)) {
        respond(faults_reply(faults));
        return;
    }
    publication_record record = new_record(request, target, who);
    record.text = request.body;
    record.digest = digest_of(record.text);
    submit(record, respond);
}

void document_api::promote(const http_request& request, const http_respond& respond,
                           const std::string& target, const std::string& who)
{
    const std::string from = query_text(request, "from");
    const publication* source = documents_.find(from);
    const published_version* v = source != nullptr ? source->current() : nullptr;
    if (v == nullptr || from == target) {
        refuse(respond, 404, error_code::not_found,
               "from: no document that can be promoted from environment " + from);
        return;
    }
    const std::string digest = query_text(request, "digest");
    if (!digest.empty() && digest != v->record.digest) {
        refuse(respond, 409, error_code::conflict,
               "digest: the current document of " + from + " has digest " + v->record.digest);
        return;
    }
    if (!v->was_in_force) {
        refuse(respond, 409, error_code::conflict,
               "version " + std::to_string(v->version) + " of " + from +
                   " was never in force on all its members");
        return;
    }
    publication_record record = new_record(request, target, who);
    record.origin = publication_origin::promote;
    record.text = v->record.text;
    record.digest = v->record.digest;
    submit(record, respond);
}

void document_api::roll_back(const http_request& request, const http_respond& respond,
                             const std::string& target, const std::string& who)
{
    const publication* p = documents_.find(target);
    const published_version* v = p != nullptr ? p->find(query_number(request, "to", 0)) : nullptr;
    if (v == nullptr) {
        refuse(respond, 404, error_code::not_found, "to: the version is not in the history");
        return;
    }
    publication_record record = new_record(request, target, who);
    record.origin = publication_origin::rollback;
    record.text = v->record.text;
    record.digest = v->record.digest;
    submit(record, respond);
}

void document_api::submit(const publication_record& record, const http_respond& respond)
{
    log_event(log_level::info, "audit",
              {{"operator", record.operator_name},
               {"environment", record.environment},
               {"origin", std::string(name_of(record.origin))},
               {"base", static_cast<std::int64_t>(record.base)},
               {"digest", record.digest},
               {"id", record.id}});
    documents_.publish(
        record, publish_limit,
        [this, record, respond](std::optional<publication_verdict> verdict, const error& why) {
            answer(record, verdict, why, respond);
        });
}

void document_api::answer(const publication_record& record,
                          std::optional<publication_verdict> verdict, const error& why,
                          const http_respond& respond) const
{
    if (!verdict) {
        respond(outcome_reply(never_sent(why.code) ? outcome::not_run : outcome::unknown, why));
        return;
    }
    const publication* p = documents_.find(record.environment);
    Json::Value body;
    body["verdict"] = std::string(name_of(*verdict));
    body["id"] = record.id;
    if (*verdict == publication_verdict::accepted) {
        for (const published_version& v : p->history()) {
            if (v.record.id == record.id) {
                body["version"] = static_cast<Json::UInt64>(v.version);
                body["digest"] = v.record.digest;
            }
        }
        respond(json_reply(200, body));
        return;
    }
    const published_version* winner = p->current();
    if (winner != nullptr) {
        body["winner"] = describe(*winner);
        body["difference"] = to_json(diff_environments(winner->record.text, record.text));
    }
    respond(json_reply(409, body));
}

} // namespace sesamesill
