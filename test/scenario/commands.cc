// Implements the commands with which a script controls the cell.

#include <csignal>
#include <sstream>

#include "sesamesill/rpc.h"
#include "testbed.h"

namespace scenario {
namespace {

using namespace sesamesill;

constexpr millis publish_timeout{10000};
constexpr millis post_timeout{8000};
constexpr double load_timeout_seconds = 90;

Json::Value with_defaults(const Json::Value& overrides, const char* defaults)
{
    Json::Value all = json_from(defaults).value_or(Json::Value());
    if (overrides.isObject()) {
        for (const std::string& key : overrides.getMemberNames()) {
            all[key] = overrides[key];
        }
    }
    return all;
}

time_point seconds_from_now(double seconds)
{
    return boot_clock::now() + micros(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

const std::vector<named_command>& testbed::commands()
{
    static const std::vector<named_command> all{{"start", &testbed::start},
                                                {"start_entry", &testbed::start_entry},
                                                {"load", &testbed::load},
                                                {"wait_load", &testbed::wait_load},
                                                {"sleep", &testbed::sleep},
                                                {"kill", &testbed::kill},
                                                {"freeze", &testbed::freeze},
                                                {"thaw", &testbed::thaw},
                                                {"stop", &testbed::stop},
                                                {"wait_exit", &testbed::wait_exit},
                                                {"cut", &testbed::cut},
                                                {"log", &testbed::log},
                                                {"trim", &testbed::trim},
                                                {"vm", &testbed::vm},
                                                {"vms_mode", &testbed::vms_mode},
                                                {"endpoint_mode", &testbed::endpoint_mode},
                                                {"publish", &testbed::publish},
                                                {"get", &testbed::get},
                                                {"post", &testbed::post},
                                                {"post_all", &testbed::post_all},
                                                {"in_force", &testbed::in_force},
                                                {"read_file", &testbed::read_file},
                                                {"figures", &testbed::figures},
                                                {"expect", &testbed::expect},
                                                {"say", &testbed::say}};
    return all;
}

std::optional<Json::Value> testbed::start(const Json::Value& arguments, std::string& why)
{
    const Json::Value options =
        with_defaults(arguments[0], R"({"entries":6,"workers":50,"executors":50,"cpu_millis":32000,
        "memory_mb":65536,"accelerators":0,"service":"registration","work_ms":5,"vm_lag_ms":500,
        "document":"examples/tabara.ini","settings":""})");
    settings_ = options["settings"].asString();
    add_to_timeline("start " + to_text(options));
    if (!start_standins(options, why)) {
        return std::nullopt;
    }
    wait(seconds_from_now(0.3), [] { return false; });
    std::vector<std::string> names;
    for (int i = 1; i <= options["entries"].asInt(); ++i) {
        names.push_back("e" + std::to_string(i));
        if (!launch_entry(names.back(), why)) {
            return std::nullopt;
        }
    }
    wait(seconds_from_now(0.5), [] { return false; });
    Json::Value text(Json::arrayValue);
    text.append(options["document"]);
    Json::Value publish_arguments(Json::arrayValue);
    publish_arguments.append("e1");
    const std::optional<Json::Value> content = read_file(text, why);
    if (!content) {
        return std::nullopt;
    }
    publish_arguments.append(*content);
    publish_arguments.append(0);
    const std::optional<Json::Value> published = publish(publish_arguments, why);
    if (!published || (*published)["status"] != Json::Value(200)) {
        why = "the document was not published: " + (published ? to_text(*published) : why);
        return std::nullopt;
    }
    return wait_ready(names, why) ? published : std::nullopt;
}

std::optional<Json::Value> testbed::start_entry(const Json::Value& arguments, std::string& why)
{
    const std::string name = arguments[0].asString();
    add_to_timeline("start " + name);
    if (processes_.running(name) || !launch_entry(name, why)) {
        why = name + " is already running";
        return std::nullopt;
    }
    Json::Value body = entry_vm(std::atoi(name.c_str() + 1));
    const std::optional<Json::Value> listed = post_json(port(1), "/admin/set", body, why);
    const bool wait_until_ready = arguments.size() < 2 || arguments[1].asBool();
    return listed && (!wait_until_ready || wait_ready({name}, why)) ? listed : std::nullopt;
}

std::optional<Json::Value> testbed::load(const Json::Value& arguments, std::string& why)
{
    const Json::Value options = with_defaults(
        arguments[0], R"({"mix":"tabara","seconds":10,"calls":100,"jobs":2,"entries":6,
        "cancel":0,"organisation":"","only":"","job_limit_ms":25000})");
    const std::string name = "load" + std::to_string(++loads_);
    std::string entries;
    for (int i = 1; i <= options["entries"].asInt(); ++i) {
        entries += (i > 1 ? "," : "") + to_string(*address_of("e" + std::to_string(i)));
    }
    std::vector<std::string> command_line{options_.build + "/standin_caller",
                                          "--entries",
                                          entries,
                                          "--tag",
                                          name,
                                          "--seed",
                                          std::to_string(options_.seed),
                                          "--journal",
                                          path(name + ".jsonl")};
    for (const char* key :
         {"mix", "seconds", "calls", "jobs", "cancel", "organisation", "only", "job_limit_ms"}) {
        command_line.push_back(std::string("--") + key);
        command_line.push_back(options[key].asString());
    }
    add_to_timeline(name + " " + to_text(options));
    tails_.push_back({path(name + ".jsonl"), name, 0, ""});
    load_reports_[name];
    expected_exits_.insert(name);
    if (!processes_.start(name, command_line, path(name + ".log"))) {
        why = "cannot start " + name;
        return std::nullopt;
    }
    return Json::Value(name);
}

std::optional<Json::Value> testbed::wait_load(const Json::Value& /*arguments*/, std::string& why)
{
    const auto finished = [this] {
        for (int i = 1; i <= loads_; ++i) {
            if (processes_.running("load" + std::to_string(i))) {
                return false;
            }
        }
        return true;
    };
    wait(seconds_from_now(load_timeout_seconds), finished);
    if (!finished()) {
        why = "a load did not end in time";
        return std::nullopt;
    }
    read_journals();
    add_to_timeline("load ended");
    return Json::Value(true);
}

std::optional<Json::Value> testbed::sleep(const Json::Value& arguments, std::string& /*why*/)
{
    wait(seconds_from_now(arguments[0].asDouble()), [] { return false; });
    return Json::Value(true);
}

bool testbed::signal(const std::string& name, int number, std::string& why)
{
    if (!processes_.signal(name, number)) {
        why = name + " is not running";
        return false;
    }
    return true;
}

std::optional<Json::Value> testbed::kill(const Json::Value& arguments, std::string& why)
{
    for (const Json::Value& name : arguments) {
        add_to_timeline("kill " + name.asString());
        expected_exits_.insert(name.asString());
        if (!signal(name.asString(), SIGKILL, why)) {
            return std::nullopt;
        }
    }
    return Json::Value(true);
}

std::optional<Json::Value> testbed::freeze(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("freeze " + arguments[0].asString());
    return signal(arguments[0].asString(), SIGSTOP, why) ? std::optional<Json::Value>(true)
                                                         : std::nullopt;
}

std::optional<Json::Value> testbed::thaw(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("thaw " + arguments[0].asString());
    return signal(arguments[0].asString(), SIGCONT, why) ? std::optional<Json::Value>(true)
                                                         : std::nullopt;
}

std::optional<Json::Value> testbed::stop(const Json::Value& arguments, std::string& why)
{
    const std::string name = arguments[0].asString();
    add_to_timeline("stop " + name);
    expected_exits_.insert(name);
    Json::Value line;
    line["entry"] = name;
    journal_.write("stopping", line);
    return signal(name, SIGTERM, why) ? std::optional<Json::Value>(true) : std::nullopt;
}

std::optional<Json::Value> testbed::wait_exit(const Json::Value& arguments, std::string& why)
{
    const std::string name = arguments[0].asString();
    wait(seconds_from_now(arguments[1].asDouble()),
         [this, &name] { return exits_.count(name) > 0; });
    if (exits_.count(name) == 0) {
        why = name + " did not end in time";
        return std::nullopt;
    }
    return Json::Value(exits_[name]);
}

/// cut("e1", {"e2", "e3"}, delay_ms): stops e1 from sending to e2 and e3; an empty list lifts the
/// cut.
std::optional<Json::Value> testbed::cut(const Json::Value& arguments, std::string& why)
{
    const std::string from = arguments[0].asString();
    Json::Value body;
    body["cut_to"] = Json::Value(Json::arrayValue);
    for (const Json::Value& name : arguments[1]) {
        const int index = std::atoi(name.asCString() + 1);
        body["cut_to"].append(to_string(*address_of(name.asString())));
        if (name.asString()[0] == 'e') {
            body["cut_to"].append("127.0.0.1:" + entry_vm(index)["peer_port"].asString());
        }
    }
    body["delay_ms"] = arguments.size() > 2 ? arguments[2].asInt() : 0;
    add_to_timeline("cut " + from + " from " + to_text(arguments[1]));
    return post_json(*address_of(from), "/test/faults", body, why);
}

std::optional<Json::Value> testbed::log(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("log " + to_text(arguments[0]));
    return post_json(port(0), "/admin/mode", arguments[0], why);
}

/// trim("cell", 4000): removes records of the stream that are older than 4000 ms.
std::optional<Json::Value> testbed::trim(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("trim " + to_text(arguments));
    Json::Value body;
    body["stream"] = arguments[0];
    body["older_ms"] = arguments[1];
    return post_json(port(0), "/admin/trim", body, why);
}

std::optional<Json::Value> testbed::vm(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("vm " + to_text(arguments[0]));
    return post_json(port(1), "/admin/set", arguments[0], why);
}

std::optional<Json::Value> testbed::vms_mode(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("vm list " + to_text(arguments[0]));
    return post_json(port(1), "/admin/mode", arguments[0], why);
}

std::optional<Json::Value> testbed::endpoint_mode(const Json::Value& arguments, std::string& why)
{
    add_to_timeline("mode " + to_text(arguments));
    const std::optional<endpoint> to = address_of(arguments[0].asString());
    if (!to) {
        why = "the first argument of endpoint_mode does not name an endpoint";
        return std::nullopt;
    }
    return post_json(*to, "/admin/mode", arguments[1], why);
}

/// publish("e1", text, base, "e2", text, base, ...): publishes all documents at once; returns the
/// answers in order of arrival, or the answer itself if there is one document.
std::optional<Json::Value> testbed::publish(const Json::Value& arguments, std::string& /*why*/)
{
    const std::shared_ptr<Json::Value> answers = std::make_shared<Json::Value>(Json::arrayValue);
    Json::ArrayIndex sent = 0;
    for (Json::ArrayIndex i = 0; i + 2 < arguments.size(); i += 3, ++sent) {
        http_call call;
        call.method = "POST";
        call.path = "/v1/document?base=" + std::to_string(arguments[i + 2].asInt64());
        call.headers["Authorization"] = "Bearer scenario";
        call.body = arguments[i + 1].asString();
        call.timeout = publish_timeout;
        const std::string name = arguments[i].asString();
        client_.send(*address_of(name), std::move(call),
                     [answers, name](const std::optional<http_reply>& reply, const error&) {
                         Json::Value one = reply ? json_from(reply->body).value_or(Json::Value())
                                                 : Json::Value(Json::objectValue);
                         one["status"] = reply ? reply->status : 0;
                         one["entry"] = name;
                         answers->append(one);
                     });
    }
    wait(boot_clock::now() + publish_timeout, [answers, sent] { return answers->size() == sent; });
    add_to_timeline("publish: " + to_text(*answers));
    return sent == 1 && answers->size() == 1 ? (*answers)[0] : *answers;
}

std::optional<Json::Value> testbed::get(const Json::Value& arguments, std::string& /*why*/)
{
    http_call call;
    call.path = arguments[1].asString();
    call.timeout = millis(arguments.size() > 2 ? arguments[2].asInt64() : 2000);
    const std::optional<http_reply> reply =
        send_request(*address_of(arguments[0].asString()), call);
    Json::Value result;
    result["status"] = reply ? reply->status : 0;
    result["text"] = reply ? reply->body : "";
    result["body"] = reply ? json_from(reply->body).value_or(Json::Value()) : Json::Value();
    return result;
}

std::optional<Json::Value> testbed::post(const Json::Value& arguments, std::string& /*why*/)
{
    http_call call;
    call.method = "POST";
    call.path = arguments[1].asString();
    call.headers["Authorization"] = "Bearer scenario";
    call.body = arguments[2].isString() ? arguments[2].asString() : to_text(arguments[2]);
    call.timeout = millis(arguments.size() > 3 ? arguments[3].asInt64() : 8000);
    const std::optional<http_reply> reply =
        send_request(*address_of(arguments[0].asString()), call);
    Json::Value result;
    result["status"] = reply ? reply->status : 0;
    result["text"] = reply ? reply->body : "";
    result["body"] = reply ? json_from(reply->body).value_or(Json::Value()) : Json::Value();
    return result;
}

/// post_all({"e1", "/v1/calls", body}, ...): sends all requests at once; returns the answers in the
/// order of the arguments.
std::optional<Json::Value> testbed::post_all(const Json::Value& arguments, std::string& /*why*/)
{
    const std::shared_ptr<Json::Value> answers = std::make_shared<Json::Value>(Json::arrayValue);
    const std::shared_ptr<Json::ArrayIndex> pending =
        std::make_shared<Json::ArrayIndex>(arguments.size());
    for (Json::ArrayIndex i = 0; i < arguments.size(); ++i) {
        http_call call;
        call.method = "POST";
        call.path = arguments[i][1].asString();
        call.body = to_text(arguments[i][2]);
        call.timeout = post_timeout;
        client_.send(*address_of(arguments[i][0].asString()), std::move(call),
                     [answers, pending, i](const std::optional<http_reply>& reply, const error&) {
                         --*pending;
                         (*answers)[i]["status"] = reply ? reply->status : 0;
                         (*answers)[i]["body"] =
                             reply ? json_from(reply->body).value_or(Json::Value()) : Json::Value();
                     });
    }
    wait(boot_clock::now() + post_timeout, [pending] { return *pending == 0; });
    return *answers;
}

/// in_force(version, seconds): returns whether all entries that are up report this version or a
/// later one within that time. Earlier reports do not count.
std::optional<Json::Value> testbed::in_force(const Json::Value& arguments, std::string& /*why*/)
{
    const std::uint64_t version = arguments[0].asUInt64();
    versions_.clear(); // only reports from now on count
    const auto all = [this, version] {
        for (const std::string& name : entries_) {
            if (versions_[name] < version) {
                return false;
            }
        }
        return true;
    };
    wait(seconds_from_now(arguments[1].asDouble()), all);
    return Json::Value(all());
}

std::optional<Json::Value> testbed::read_file(const Json::Value& arguments, std::string& why)
{
    std::ifstream file(options_.source + "/" + arguments[0].asString());
    if (!file) {
        why = arguments[0].asString() + " cannot be read";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return Json::Value(text.str());
}

/// figures(): returns the figures of the whole run; figures("load2"): those of one load.
std::optional<Json::Value> testbed::figures(const Json::Value& arguments, std::string& /*why*/)
{
    read_journals();
    Json::Value all =
        arguments.empty() ? report_.to_json() : load_reports_[arguments[0].asString()].to_json();
    all["slots_exceeded"] = static_cast<Json::Int64>(checker_.slots_exceeded());
    all["open_refusals"] = static_cast<Json::Int64>(checker_.open_refusals());
    return all;
}

std::optional<Json::Value> testbed::expect(const Json::Value& arguments, std::string& why)
{
    const Json::Value& condition = arguments[0];
    const std::string description = arguments.size() > 1 ? arguments[1].asString() : "";
    if (condition.isNull() || (condition.isBool() && !condition.asBool())) {
        why = "expectation not met: " + description;
        return std::nullopt;
    }
    add_to_timeline("expectation met: " + description);
    return Json::Value(true);
}

std::optional<Json::Value> testbed::say(const Json::Value& arguments, std::string& /*why*/)
{
    std::string text;
    for (const Json::Value& one : arguments) {
        text += one.isString() ? one.asString() : to_text(one);
    }
    add_to_timeline(text);
    return Json::Value(true);
}

} // namespace scenario
