// Starts and monitors the processes of a cell. The commands for scripts are in commands.cc.

#include "testbed.h"

#include <csignal>
#include <cstdio>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace scenario {
namespace {

using namespace sesamesill;

constexpr std::uint16_t ports_per_block = 250;
constexpr int lock_offset = 249;
constexpr int entry_offset = 10;
constexpr int peer_offset = 40;
constexpr int executor_offset = 70;
constexpr int worker_offset = 140;
constexpr int machines_per_rack = 6;
constexpr int data_centers = 4;
constexpr millis check_interval{200};
constexpr millis document_interval{500};
constexpr millis ready_limit{15000};
constexpr std::int64_t journal_delay_us = 1000000; ///< longest delay until a journal line is read

/// Binds a loopback port; returns the open socket, or -1 on failure.
int bind_port(int number)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(number));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(handle, 1) != 0) {
        close(handle);
        return -1;
    }
    return handle;
}

bool block_is_free(int first)
{
    for (int port = first; port < first + lock_offset; ++port) {
        const int handle = bind_port(port);
        if (handle < 0) {
            return false;
        }
        close(handle);
    }
    return true;
}

int number_in(const std::string& name)
{
    return std::atoi(name.c_str() + 1);
}

} // namespace

std::optional<std::uint16_t> reserve_port_block(std::uint16_t from, std::uint16_t until)
{
    const int blocks = (until - from) / ports_per_block;
    for (int i = 0; i < blocks; ++i) {
        const int first = from + (static_cast<int>(getpid()) + i) % blocks * ports_per_block;
        const int lock = bind_port(first + lock_offset);
        if (lock < 0) {
            continue;
        }
        if (block_is_free(first)) {
            return static_cast<std::uint16_t>(first);
        }
        close(lock);
    }
    return std::nullopt;
}

testbed::testbed(testbed_options options)
    : options_(std::move(options)), client_(loop_, "scenario"),
      journal_(options_.directory + "/scenario.jsonl"), start_time_(boot_clock::now())
{
    for (const char* file : {"scenario.jsonl", "vms.jsonl", "executors.jsonl", "workers.jsonl"}) {
        tails_.push_back({path(file), "", 0, ""});
    }
    loop_.every(check_interval, [this] { tick(); });
    loop_.every(document_interval, [this] { poll_documents(); });
    for (const int number : {SIGINT, SIGTERM}) {
        loop_.on_signal(number, [this] {
            interrupted_ = true;
            loop_.stop();
        });
    }
}

std::optional<Json::Value> testbed::run(command action, const Json::Value& arguments,
                                        std::string& why)
{
    if (has_failed(why)) {
        return std::nullopt;
    }
    const std::optional<Json::Value> result = (this->*action)(arguments, why);
    return has_failed(why) ? std::nullopt : result;
}

bool testbed::has_failed(std::string& why) const
{
    if (interrupted_) {
        why = "interrupted";
    }
    else if (!failure_.empty()) {
        why = failure_;
    }
    else if (!checker_.violations().empty()) {
        why = checker_.violations().front().text;
    }
    else {
        return false;
    }
    return true;
}

bool testbed::finish()
{
    collect_exited();
    read_journals();
    checker_.check_all();
    std::string why;
    return !has_failed(why);
}

void testbed::add_to_timeline(const std::string& text)
{
    char line[40];
    std::snprintf(line, sizeof line, "%8.3f s  ",
                  static_cast<double>((boot_clock::now() - start_time_).count()) / 1e6);
    timeline_.push_back(line + text);
}

std::string testbed::timeline() const
{
    std::string text;
    for (const std::string& line : timeline_) {
        text += line + "\n";
    }
    for (const violation& v : checker_.violations()) {
        char line[40];
        std::snprintf(line, sizeof line, "%8.3f s  ",
                      static_cast<double>(v.time_us - start_time_.time_since_epoch().count()) /
                          1e6);
        text += line + ("VIOLATION " + v.text) + "\n";
    }
    return text;
}

std::string testbed::table() const
{
    std::string text = report_.to_text();
    const double seconds = static_cast<double>((boot_clock::now() - start_time_).count()) / 1e6;
    char line[160];
    for (const std::string& name : processes_.names()) {
        if (name[0] == 'e' && number_in(name) > 0) {
            std::snprintf(line, sizeof line, "control %-4s %8.0f ms of processor time in %.0f s\n",
                          name.c_str(), processes_.cpu_ms(name), seconds);
            text += line;
        }
    }
    std::snprintf(line, sizeof line,
                  "invariants: %lld observations, %zu violations; slots exceeded %lld, not_run "
                  "after an open attempt %lld\n",
                  static_cast<long long>(checker_.checked()), checker_.violations().size(),
                  static_cast<long long>(checker_.slots_exceeded()),
                  static_cast<long long>(checker_.open_refusals()));
    return text + line;
}

endpoint testbed::port(int offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(options_.first_port + offset)};
}

std::optional<endpoint> testbed::address_of(const std::string& name) const
{
    struct role {
        char prefix;
        int offset;
    };
    static constexpr role roles[] = {
        {'e', entry_offset}, {'x', executor_offset - 1}, {'w', worker_offset - 1}};
    if (name == "log" || name == "vms") {
        return port(name == "log" ? 0 : 1);
    }
    for (const role& r : roles) {
        if (!name.empty() && name[0] == r.prefix && number_in(name) > 0) {
            return port(r.offset + number_in(name));
        }
    }
    return std::nullopt;
}

Json::Value testbed::entry_vm(int index) const
{
    Json::Value vm;
    vm["name"] = "e" + std::to_string(index);
    vm["role"] = "entry";
    vm["address"] = "127.0.0.1";
    vm["port"] = port(entry_offset + index).port;
    vm["peer_port"] = port(peer_offset + index).port;
    vm["state"] = "live";
    vm["data_center"] = "dc" + std::to_string(index % data_centers);
    vm["rack"] = "r0";
    return vm;
}

Json::Value testbed::vm_list(const Json::Value& options) const
{
    Json::Value all(Json::arrayValue);
    for (int i = 1; i <= options["entries"].asInt(); ++i) {
        all.append(entry_vm(i));
    }
    const int workers = options["workers"].asInt();
    for (int i = 1; i <= workers + options["executors"].asInt(); ++i) {
        const bool is_worker = i <= workers;
        const int number = is_worker ? i : i - workers;
        const int rack = (number - 1) / machines_per_rack;
        Json::Value vm;
        vm["name"] = (is_worker ? "w" : "x") + std::to_string(number);
        vm["role"] = is_worker ? "worker" : "executor";
        vm["address"] = "127.0.0.1";
        vm["port"] = port((is_worker ? worker_offset : executor_offset) - 1 + number).port;
        vm["state"] = "live";
        vm["data_center"] = "dc" + std::to_string(rack % data_centers);
        vm["rack"] = (is_worker ? "r" : "x") + std::to_string(rack);
        vm["cpu_millis"] = is_worker ? options["cpu_millis"] : Json::Value(0);
        vm["memory_mb"] = is_worker ? options["memory_mb"] : Json::Value(0);
        vm["accelerators"] = is_worker ? options["accelerators"] : Json::Value(0);
        if (!is_worker) {
            vm["service"] = options["service"];
            vm["slots"] = 8;
            vm["connections"] = 60;
        }
        all.append(vm);
    }
    Json::Value list;
    list["vms"] = all;
    return list;
}

bool testbed::start_standins(const Json::Value& options, std::string& why)
{
    std::ofstream(path("vms.json")) << to_text(vm_list(options));
    const auto text = [&options](const char* key) {
        return std::to_string(options[key].asInt64());
    };
    const auto first = [this](int offset) { return std::to_string(port(offset).port); };
    const std::string seed = std::to_string(options_.seed);
    const std::string standin = options_.build + "/standin_";
    const std::vector<std::vector<std::string>> all{
        {"log", standin + "log", "--listen", to_string(port(0)), "--journal", path("log.jsonl"),
         "--seed", seed},
        {"vms", standin + "vms", "--listen", to_string(port(1)), "--vms", path("vms.json"),
         "--lag_ms", text("vm_lag_ms"), "--journal", path("vms.jsonl")},
        {"executors", standin + "executor", "--first_port", first(executor_offset), "--count",
         text("executors"), "--work_ms", text("work_ms"), "--journal", path("executors.jsonl"),
         "--seed", seed},
        {"workers", standin + "worker", "--first_port", first(worker_offset), "--count",
         text("workers"), "--cpu_millis", text("cpu_millis"), "--memory_mb", text("memory_mb"),
         "--accelerators", text("accelerators"), "--journal", path("workers.jsonl")}};
    for (const std::vector<std::string>& one : all) {
        const std::vector<std::string> arguments(one.begin() + 1, one.end());
        if (!processes_.start(one.front(), arguments, path(one.front() + ".log"))) {
            why = "cannot start " + one.front();
            return false;
        }
    }
    return true;
}

bool testbed::launch_entry(const std::string& name, std::string& why)
{
    const int index = number_in(name);
    const std::string file = path(name + ".ini");
    std::ofstream(file) << "[node]\nname = " << name << "\ndata_center = dc" << index % data_centers
                        << "\nenvironment = production\nlisten = "
                        << to_string(port(entry_offset + index))
                        << "\npeer_listen = " << to_string(port(peer_offset + index))
                        << "\n[platform]\nlog = " << to_string(port(0))
                        << "\nvm_list = " << to_string(port(1))
                        << "\n[operators]\ntoken = scenario\n[test]\nfaults = yes\n"
                        << (options_.disable.empty() ? "" : "disable = " + options_.disable + "\n")
                        << settings_;
    if (!processes_.start(name, {options_.build + "/sesamesilld", "--settings", file},
                          path(name + ".log"))) {
        why = "cannot start " + name;
        return false;
    }
    expected_exits_.erase(name);
    exits_.erase(name);
    entries_.insert(name);
    Json::Value line;
    line["entry"] = name;
    journal_.write("launched", line);
    return true;
}

bool testbed::wait_ready(const std::vector<std::string>& names, std::string& why)
{
    for (const std::string& name : names) {
        bool ready = false;
        const time_point until = boot_clock::now() + ready_limit;
        while (!ready && boot_clock::now() < until && !has_failed(why)) {
            http_call call;
            call.path = "/readyz";
            const std::optional<http_reply> reply = send_request(*address_of(name), call);
            ready = reply && reply->status == 200;
            wait(boot_clock::now() + millis(ready ? 0 : 50), [] { return false; });
        }
        if (!ready) {
            why = name + " did not become ready in time";
            return false;
        }
    }
    return true;
}

std::optional<http_reply> testbed::send_request(const endpoint& to, http_call call)
{
    std::shared_ptr<std::optional<http_reply>> answer =
        std::make_shared<std::optional<http_reply>>();
    std::shared_ptr<bool> finished = std::make_shared<bool>(false);
    const time_point until = boot_clock::now() + call.timeout + millis(500);
    client_.send(to, std::move(call),
                 [this, answer, finished](const std::optional<http_reply>& reply, const error&) {
                     *answer = reply;
                     *finished = true;
                     loop_.stop();
                 });
    wait(until, [finished] { return *finished; });
    return *answer;
}

std::optional<Json::Value> testbed::post_json(const endpoint& to, const std::string& at,
                                              const Json::Value& body, std::string& why)
{
    http_call call;
    call.method = "POST";
    call.path = at;
    call.body = to_text(body);
    const std::optional<http_reply> reply = send_request(to, std::move(call));
    if (!reply || reply->status != 200) {
        why = to_string(to) + at + ": " + (reply ? reply->body : "no answer");
        return std::nullopt;
    }
    return Json::Value(true);
}

void testbed::wait(time_point until, const std::function<bool()>& finished)
{
    std::string why;
    while (!finished() && boot_clock::now() < until && !has_failed(why)) {
        const micros left = until - boot_clock::now();
        loop_.after(std::min(millis(to_millis(left) + 1), check_interval),
                    [this] { loop_.stop(); });
        loop_.run();
    }
}

void testbed::tick()
{
    collect_exited();
    processes_.sample_cpu();
    read_journals();
    checker_.check_until(boot_clock::now().time_since_epoch().count() - journal_delay_us);
}

void testbed::poll_documents()
{
    for (const std::string& name : entries_) {
        http_call call;
        call.path = "/v1/document";
        client_.send(*address_of(name), std::move(call),
                     [this, name](const std::optional<http_reply>& reply, const error&) {
                         const Json::Value answer =
                             reply && reply->status == 200
                                 ? json_from(reply->body).value_or(Json::Value())
                                 : Json::Value();
                         if (!answer.isObject()) {
                             return;
                         }
                         versions_[name] = answer["version"].asUInt64();
                         Json::Value line;
                         line["entry"] = name;
                         line["version"] = answer["version"];
                         line["digest"] = answer["digest"];
                         journal_.write("document", line);
                     });
    }
}

void testbed::collect_exited()
{
    for (const std::pair<std::string, int>& ended : processes_.collect_exited()) {
        exits_[ended.first] = ended.second;
        entries_.erase(ended.first);
        Json::Value line;
        line["entry"] = ended.first;
        line["status"] = ended.second;
        journal_.write("exited", line);
        add_to_timeline(ended.first + " ended with status " + std::to_string(ended.second));
        if (expected_exits_.count(ended.first) == 0) {
            failure_ =
                ended.first + " ended unexpectedly with status " + std::to_string(ended.second);
        }
    }
}

void testbed::record(const tail& from, const std::string& line)
{
    const std::optional<observation> seen = observation_from(line);
    if (!seen) {
        return;
    }
    checker_.record(*seen);
    report_.record(*seen);
    for (std::pair<const std::string, run_report>& one : load_reports_) {
        if (from.load.empty() || from.load == one.first) {
            one.second.record(*seen);
        }
    }
}

void testbed::read_journals()
{
    for (tail& t : tails_) {
        std::ifstream file(t.path);
        file.seekg(t.offset);
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        t.offset += static_cast<std::streamoff>(text.size());
        text.insert(0, t.partial);
        std::size_t begin = 0;
        for (std::size_t end = text.find('\n'); end != std::string::npos;
             end = text.find('\n', begin)) {
            record(t, text.substr(begin, end - begin));
            begin = end + 1;
        }
        t.partial = text.substr(begin);
    }
}

} // namespace scenario
