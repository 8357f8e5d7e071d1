// Command-line tool for operators: checks, publishes and promotes documents, shows the state of a
// cell and its jobs, and drains members.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <gflags/gflags.h>

#include "sesamesill/control.h"
#include "sesamesill/environment.h"
#include "sesamesill/rpc.h"

DEFINE_string(entries, "", "comma-separated IP:PORT of entries; default: SESAMESILL_ENTRIES");
DEFINE_string(token, "", "operator's token; default: SESAMESILL_TOKEN");
DEFINE_string(environment, "", "environment to change; default: that of the entry");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_int64(base, -1, "version that the change is based on; default: the current version");
DEFINE_string(id, "", "id of the change; reuse it to retry a change whose outcome is unknown");
DEFINE_int32(timeout_s, 30,
             "limit in seconds for one response, and for the wait until a version is in force");
DEFINE_bool(wait, true, "wait until the change is in force on all members");
DEFINE_string(organisation, "", "jobs: show only those of this organisation");
DEFINE_string(job_class, "", "jobs: show only those of this class");
DEFINE_string(outcome, "", "jobs: show only those with this outcome");

namespace {

using namespace sesamesill;
using arguments = std::vector<std::string>;

const char* const usage =
    "queries and changes a sesamesill cell\n"
    "\n"
    "  sesamesillctl check FILE...           check documents without publishing them\n"
    "  sesamesillctl diff FILE [FILE]        show the changes from the first file (or from the\n"
    "                                        document in force) to the last\n"
    "  sesamesillctl publish FILE            publish a document and wait until it is in force\n"
    "  sesamesillctl promote FROM TO         publish the document in force in FROM to TO\n"
    "  sesamesillctl rollback VERSION        publish the content of an earlier version\n"
    "  sesamesillctl history [ENVIRONMENT]   list versions, their publishers and origins\n"
    "  sesamesillctl status                  show members, versions and load\n"
    "  sesamesillctl jobs                    list jobs; filters: --organisation, --job_class,\n"
    "                                        --outcome\n"
    "  sesamesillctl explain JOB             show why a job waits or runs where it does\n"
    "  sesamesillctl cancel JOB              cancel a job\n"
    "  sesamesillctl drain MEMBER            stop one member gracefully\n"
    "  sesamesillctl completion              print a completion script for bash\n"
    "\n"
    "Exit status: 0 success, 1 failure, 2 invalid input, 3 conflict with another change,\n"
    "4 outcome unknown (repeat with the same --id), 5 accepted, not yet in force on all members.";

std::string from_environment(const std::string& flag, const char* name)
{
    const char* value = std::getenv(name);
    return flag.empty() && value != nullptr ? value : flag;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot open file\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

control_exit fail(const error& why)
{
    std::cerr << to_string(why) << '\n';
    return control_exit::failed;
}

control_exit exit_for(const http_reply& reply)
{
    const Json::Value body = json_from(reply.body).value_or(Json::Value(Json::objectValue));
    if (reply.status < 300) {
        return control_exit::ok;
    }
    std::cerr << (body.isObject() && body["reason"].isString() ? body["reason"].asString()
                                                               : reply.body)
              << '\n';
    if (reply.status == 400) {
        return control_exit::invalid;
    }
    if (reply.status == 409) {
        return control_exit::conflict;
    }
    const bool unknown = body.isObject() && body["outcome"].asString() == "unknown";
    return unknown ? control_exit::unknown : control_exit::failed;
}

void print(const Json::Value& json, const std::vector<std::vector<std::string>>& rows)
{
    if (FLAGS_output == "json") {
        std::cout << to_text(json) << '\n';
        return;
    }
    std::cout << table_text(rows);
}

std::string new_id()
{
    std::random_device random;
    std::ostringstream id;
    id << std::hex << random() << random() << random() << random();
    return id.str();
}

std::string environment_path(const std::string& name)
{
    return name.empty() ? "/v1/document" : "/v1/environments/" + name;
}

control_exit check(control&, const arguments& files)
{
    control_exit result = files.empty() ? control_exit::invalid : control_exit::ok;
    for (const std::string& path : files) {
        const std::optional<std::string> text = read_file(path);
        std::vector<fault> faults;
        if (text && parse_environment(*text, faults)) {
            std::cout << path << ": good, digest " << digest_of(*text) << '\n';
            continue;
        }
        result = control_exit::invalid;
        for (const fault& f : faults) {
            std::cerr << path << ": " << to_string(f) << '\n';
        }
    }
    return result;
}

std::optional<Json::Value> document_of(control& c, const std::string& name, error& why)
{
    const std::optional<http_reply> reply = c.request_any("GET", environment_path(name), "", why);
    if (!reply) {
        return std::nullopt;
    }
    std::optional<Json::Value> body = json_from(reply->body);
    if (reply->status != 200 || !body || !(*body)["text"].isString()) {
        why = {error_code::not_found, step::document, name, reply->body};
        return std::nullopt;
    }
    return body;
}

void print_changes(const std::vector<environment_change>& changes)
{
    Json::Value json(Json::arrayValue);
    std::vector<std::vector<std::string>> rows{{"SECTION", "KEY", "BEFORE", "AFTER"}};
    for (const environment_change& change : changes) {
        rows.push_back({change.section, change.key, change.before, change.after});
        Json::Value entry;
        entry["section"] = change.section;
        entry["key"] = change.key;
        entry["before"] = change.before;
        entry["after"] = change.after;
        json.append(entry);
    }
    print(json, rows);
}

control_exit diff(control& c, const arguments& files)
{
    if (files.empty() || files.size() > 2) {
        std::cerr << "diff requires one or two files\n";
        return control_exit::invalid;
    }
    std::optional<std::string> before;
    if (files.size() == 2) {
        before = read_file(files[0]);
    }
    else {
        error why;
        const std::optional<Json::Value> document = document_of(c, FLAGS_environment, why);
        if (!document) {
            return fail(why);
        }
        before = (*document)["text"].asString();
    }
    const std::optional<std::string> after = read_file(files.back());
    if (!before || !after) {
        return control_exit::invalid;
    }
    print_changes(diff_environments(*before, *after));
    return control_exit::ok;
}

control_exit wait_in_force(control& c, std::uint64_t version)
{
    constexpr millis poll_interval{100};
    const time_point deadline = boot_clock::now() + c.settings().timeout;
    std::size_t last_shown = 0;
    in_force_count count;
    while (boot_clock::now() < deadline) {
        error why;
        const std::optional<Json::Value> status = c.status(why);
        if (status) {
            count = count_in_force(*status, version);
            if (count.in_force != last_shown) {
                std::cerr << "in force on " << count.in_force << " of " << count.members << '\n';
                last_shown = count.in_force;
            }
            if (count.in_force == count.members) {
                return control_exit::ok;
            }
        }
        c.pause(poll_interval);
    }
    std::cerr << "members without version " << version << ':';
    for (const std::string& name : count.lagging) {
        std::cerr << ' ' << name;
    }
    std::cerr << '\n';
    return control_exit::lagging;
}

/// Sends a change to one entry after another, under the same id, until its outcome is known.
control_exit change(control& c, const std::string& path, const std::string& body, bool own_cell)
{
    const std::string id = FLAGS_id.empty() ? new_id() : FLAGS_id;
    std::string full_path = path + (path.find('?') == std::string::npos ? "?" : "&") + "id=" + id;
    if (FLAGS_base >= 0) {
        full_path += "&base=" + std::to_string(FLAGS_base);
    }
    error why;
    const std::optional<http_reply> reply = c.request_any("POST", full_path, body, why);
    if (!reply) {
        std::cerr << to_string(why) << "\noutcome unknown; repeat with --id " << id << '\n';
        return control_exit::unknown;
    }
    const Json::Value answer = json_from(reply->body).value_or(Json::Value(Json::objectValue));
    const control_exit result = exit_for(*reply);
    if (result == control_exit::conflict && answer["winner"].isObject()) {
        const Json::Value& winner = answer["winner"];
        std::cerr << "version " << winner["version"].asUInt64() << " by "
                  << winner["operator"].asString()
                  << " was published first; changes from it to yours:\n";
        std::cout << to_text(answer["difference"]) << '\n';
    }
    for (const Json::Value& f : answer["faults"]) {
        std::cerr << "line " << f["line"].asInt() << ": [" << f["section"].asString() << "] "
                  << f["key"].asString() << ": " << f["reason"].asString() << '\n';
    }
    if (result != control_exit::ok) {
        return result;
    }
    const std::uint64_t version = answer["version"].asUInt64();
    std::cerr << "version " << version << ", digest " << answer["digest"].asString() << '\n';
    return FLAGS_wait && own_cell ? wait_in_force(c, version) : control_exit::ok;
}

control_exit publish(control& c, const arguments& files)
{
    if (files.size() != 1) {
        std::cerr << "publish requires exactly one file\n";
        return control_exit::invalid;
    }
    const std::optional<std::string> text = read_file(files[0]);
    if (!text || check(c, files) != control_exit::ok) {
        return control_exit::invalid;
    }
    const std::string path = FLAGS_environment.empty()
                                 ? "/v1/document"
                                 : environment_path(FLAGS_environment) + "/publish";
    return change(c, path, *text, FLAGS_environment.empty());
}

control_exit promote(control& c, const arguments& names)
{
    if (names.size() != 2) {
        std::cerr << "promote requires FROM and TO\n";
        return control_exit::invalid;
    }
    error why;
    const std::optional<Json::Value> source = document_of(c, names[0], why);
    if (!source) {
        return fail(why);
    }
    const std::optional<Json::Value> status = c.status(why);
    const bool own_cell = status && (*status)["environment"].asString() == names[1];
    return change(c,
                  environment_path(names[1]) + "/promote?from=" + names[0] +
                      "&digest=" + (*source)["digest"].asString(),
                  "", own_cell);
}

std::string own_environment(control& c, error& why)
{
    if (!FLAGS_environment.empty()) {
        return FLAGS_environment;
    }
    const std::optional<Json::Value> status = c.status(why);
    return status ? (*status)["environment"].asString() : "";
}

control_exit rollback(control& c, const arguments& versions)
{
    if (versions.size() != 1) {
        std::cerr << "rollback requires exactly one version\n";
        return control_exit::invalid;
    }
    error why;
    const std::string name = own_environment(c, why);
    if (name.empty()) {
        return fail(why);
    }
    return change(c, environment_path(name) + "/rollback?to=" + versions[0], "",
                  FLAGS_environment.empty());
}

control_exit history(control& c, const arguments& names)
{
    error why;
    const std::optional<Json::Value> document =
        document_of(c, names.empty() ? FLAGS_environment : names[0], why);
    if (!document) {
        return fail(why);
    }
    std::vector<std::vector<std::string>> rows{
        {"VERSION", "BASE", "ORIGIN", "OPERATOR", "IN FORCE", "DIGEST"}};
    for (const Json::Value& v : (*document)["history"]) {
        rows.push_back({v["version"].asString(), v["base"].asString(), v["origin"].asString(),
                        v["operator"].asString(), v["was_in_force"].asBool() ? "yes" : "-",
                        v["digest"].asString()});
    }
    print((*document)["history"], rows);
    return control_exit::ok;
}

control_exit status(control& c, const arguments&)
{
    error why;
    const std::optional<Json::Value> status = c.status(why);
    if (!status) {
        return fail(why);
    }
    std::vector<std::vector<std::string>> rows{
        {"MEMBER", "DATA CENTRE", "VERSION", "FOR", "DIGEST", "CALLS", "CORES", "STATE"}};
    for (const Json::Value& m : (*status)["members"]) {
        if (m.isMember("error")) {
            rows.push_back({m["name"].asString(), "", "", "", "", "", "",
                            "no response: " + m["error"]["reason"].asString()});
            continue;
        }
        const std::string reason = m["not_ready"].asString();
        rows.push_back({m["name"].asString(), m["data_center"].asString(),
                        m["document"]["version"].asString(),
                        std::to_string(m["document"]["age_ms"].asInt64() / 1000) + " s",
                        m["document"]["digest"].asString().substr(0, 8),
                        m["load"]["calls_in_flight"].asString(),
                        std::to_string(m["load"]["used_cpu_millis"].asInt64() / 1000) + "/" +
                            std::to_string(m["load"]["size_cpu_millis"].asInt64() / 1000),
                        reason.empty() ? "ready" : reason});
    }
    print(*status, rows);
    return control_exit::ok;
}

control_exit jobs(control& c, const arguments&)
{
    std::string path = "/v1/jobs?";
    for (const std::pair<const char*, std::string>& filter :
         {std::make_pair("organisation", FLAGS_organisation),
          std::make_pair("class", FLAGS_job_class), std::make_pair("outcome", FLAGS_outcome)}) {
        path += filter.second.empty() ? "" : std::string(filter.first) + "=" + filter.second + "&";
    }
    path.pop_back();
    error why;
    const std::optional<http_reply> reply = c.request_any("GET", path, "", why);
    if (!reply) {
        return fail(why);
    }
    const Json::Value body = json_from(reply->body).value_or(Json::Value());
    std::vector<std::vector<std::string>> rows{
        {"JOB", "ORGANISATION", "CLASS", "OUTCOME", "TASKS", "RUNNING", "DONE"}};
    for (const Json::Value& j : body["jobs"]) {
        rows.push_back({j["job"].asString(), j["organisation"].asString(), j["class"].asString(),
                        j["outcome"].asString(), j["tasks"].asString(), j["running"].asString(),
                        j["done"].asString()});
    }
    print(body, rows);
    return exit_for(*reply);
}

control_exit ask_job(control& c, const arguments& names, const std::string& method,
                     const std::string& suffix)
{
    if (names.size() != 1) {
        std::cerr << "exactly one job id is required\n";
        return control_exit::invalid;
    }
    error why;
    const std::optional<http_reply> reply =
        c.request_any(method, "/v1/jobs/" + names[0] + suffix, "", why);
    if (!reply) {
        return fail(why);
    }
    std::cout << reply->body << '\n';
    return exit_for(*reply);
}

control_exit explain(control& c, const arguments& names)
{
    return ask_job(c, names, "GET", "/explain");
}

control_exit cancel(control& c, const arguments& names)
{
    return ask_job(c, names, "DELETE", "");
}

control_exit drain(control& c, const arguments& names)
{
    error why;
    const std::optional<Json::Value> status = c.status(why);
    if (!status || names.size() != 1) {
        return status ? control_exit::invalid : fail(why);
    }
    for (const Json::Value& m : (*status)["members"]) {
        const std::optional<endpoint> entry = endpoint_from(m["address"].asString());
        if (m["name"].asString() == names[0] && entry) {
            const std::optional<http_reply> reply =
                c.request_from(*entry, "POST", "/v1/drain", "", why);
            return reply ? exit_for(*reply) : fail(why);
        }
    }
    std::cerr << "unknown member: " << names[0] << '\n';
    return control_exit::invalid;
}

struct command {
    std::string_view name;
    control_exit (*run)(control& c, const arguments& rest);
    bool needs_entries;
};

control_exit completion(control& c, const arguments& rest);

constexpr command commands[] = {
    {"check", check, false},    {"diff", diff, false},        {"publish", publish, true},
    {"promote", promote, true}, {"rollback", rollback, true}, {"history", history, true},
    {"status", status, true},   {"jobs", jobs, true},         {"explain", explain, true},
    {"cancel", cancel, true},   {"drain", drain, true},       {"completion", completion, false},
};

control_exit completion(control&, const arguments&)
{
    std::cout << "complete -o default -W \"";
    for (const command& candidate : commands) {
        std::cout << candidate.name << ' ';
    }
    std::cout << "\" sesamesillctl\n";
    return control_exit::ok;
}

std::optional<control_settings> settings_from_flags()
{
    control_settings settings;
    settings.token = from_environment(FLAGS_token, "SESAMESILL_TOKEN");
    settings.timeout = std::chrono::seconds(FLAGS_timeout_s);
    std::istringstream list(from_environment(FLAGS_entries, "SESAMESILL_ENTRIES"));
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const std::optional<endpoint> parsed = endpoint_from(entry);
        if (!parsed) {
            std::cerr << entry << ": entry must be an IPv4 address and a port\n";
            return std::nullopt;
        }
        settings.entries.push_back(*parsed);
    }
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(SESAMESILL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const arguments positional(argv + 1, argv + argc);
    const std::optional<control_settings> settings = settings_from_flags();
    if (positional.empty() || !settings || (FLAGS_output != "table" && FLAGS_output != "json")) {
        std::cerr << usage << '\n';
        return static_cast<int>(control_exit::invalid);
    }
    for (const command& candidate : commands) {
        if (candidate.name != positional[0]) {
            continue;
        }
        if (candidate.needs_entries && settings->entries.empty()) {
            std::cerr << "--entries or SESAMESILL_ENTRIES is required\n";
            return static_cast<int>(control_exit::invalid);
        }
        control c(*settings);
        return static_cast<int>(
            candidate.run(c, arguments(positional.begin() + 1, positional.end())));
    }
    std::cerr << positional[0] << ": unknown command\n" << usage << '\n';
    return static_cast<int>(control_exit::invalid);
}
