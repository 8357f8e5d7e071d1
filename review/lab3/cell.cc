// Starts the members with the command of the deploy file, and sends the requests of requesters.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>

#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../src/evhttp.h"
#include "lab.h"
#include "sesamesill/rpc.h"

namespace lab3 {
namespace {

constexpr const char* program = "target/sesamesill-member"; ///< `run` of deploy/system.toml
constexpr std::uint16_t front_port = 8161;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t peer_port = 7720;
constexpr std::uint16_t store_port = 8169;
constexpr std::int64_t client_timeout_ms = 3000;

/// Fills the placeholders of the project's template with the settings of a small deployment.
std::string fill(std::string text, const std::map<std::string, std::string>& fields)
{
    for (const std::pair<const std::string, std::string>& f : fields) {
        const std::string name = "{{" + f.first + "}}";
        for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name)) {
            text.replace(at, name.size(), f.second);
        }
    }
    return text;
}

/// Returns the resident memory of a process that this case started.
long resident_mb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::atol(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

struct call {
    evhttp_connection* connection = nullptr;
    std::function<void(int, const std::string&)> done;
};

void on_reply(evhttp_request* raw, void* argument)
{
    std::unique_ptr<call> c(static_cast<call*>(argument));
    const int status = raw != nullptr ? evhttp_request_get_response_code(raw) : 0;
    const std::string body =
        raw != nullptr ? detail::read_all(evhttp_request_get_input_buffer(raw)) : "";
    c->done(status, body);
}

} // namespace

cell::cell(record& log, int members) : log_(log), store_(loop_, 1), store_server_(loop_)
{
    std::random_device random;
    network_ = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(1 + random() % 250) + ".";
    workers_ = std::make_unique<executors>(loop_, store_, log_, network_);
    for (int m = 0; m < members; ++m) {
        members_.push_back({"front-ro-centru-" + std::string(1, static_cast<char>('a' + m % 4)) +
                                "-" + std::to_string(1 + m / 4),
                            network_ + std::to_string(10 + m), 0, false});
    }
}

cell::~cell()
{
    for (const member& m : members_) {
        if (m.process > 0) {
            kill(m.process, SIGKILL);
            waitpid(m.process, nullptr, 0);
        }
    }
    if (!folder_.empty()) {
        for (const member& m : members_) {
            unlink((folder_ + "/" + m.name + ".ini").c_str());
            unlink((folder_ + "/" + m.name + ".log").c_str());
        }
        rmdir(folder_.c_str());
    }
}

bool cell::write_settings(const member& m, error& why) const
{
    std::ifstream source("platform/member.ini.template");
    std::stringstream text;
    text << source.rdbuf();
    const std::string store = network_ + "2:" + std::to_string(store_port);
    std::ofstream out(folder_ + "/" + m.name + ".ini");
    out << fill(text.str(), {{"Node", m.name},
                             {"Zone", "ro-centru-a"},
                             {"Ip", m.ip},
                             {"Listen.Front", m.ip + ":" + std::to_string(front_port)},
                             {"Listen.Ready", m.ip + ":" + std::to_string(ready_port)},
                             {"Listen.Control", m.ip + ":" + std::to_string(control_port)},
                             {"PortRange.0", std::to_string(peer_port)},
                             {"Limits.CpuShare", "0.25"},
                             {"Limits.LinkMbps", "1000.0"},
                             {"platform.Addr", store},
                             {"Advice", network_ + "3:8169"},
                             {"Bounds.MaxHoldMs", "6000"},
                             {"Bounds.StopTimeoutMs", "900"},
                             {"Bounds.GangTimeoutMs", "3000"},
                             {"Bounds.DrainMs", "2000"},
                             {"Bounds.status_s", "120"},
                             {"Bounds.GraceS", "6"},
                             {"Bounds.ConfigApplyMs", "2000"},
                             {"Bounds.RollbackSlackMs", "250"},
                             {"Bounds.RemoteFactor", "2"},
                             {"Bounds.RestoreMs", "100"}});
    if (!source || !out) {
        why.reason = "the settings of " + m.name + " can't be written";
        return false;
    }
    return true;
}

bool cell::start(error& why)
{
    store_.serve(store_server_);
    if (!store_server_.listen({network_ + "2", store_port}, why)) {
        return false;
    }
    publish();
    std::string name = "/tmp/sesamesill-lab3-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        why.reason = "no temporary folder";
        return false;
    }
    folder_ = name;
    for (member& m : members_) {
        if (!write_settings(m, why)) {
            return false;
        }
        start_member(m);
    }
    return true;
}

void cell::start_member(member& m)
{
    const std::string settings = folder_ + "/" + m.name + ".ini";
    const std::string output = folder_ + "/" + m.name + ".log";
    const pid_t parent = getpid();
    m.process = fork();
    if (m.process != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process in any case
    if (getppid() != parent) {
        _exit(1);
    }
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) {
        close(fd);
    }
    setenv("SESAMESILL_SETTINGS", settings.c_str(), 1);
    execl(program, program, static_cast<char*>(nullptr));
    _exit(127);
}

void cell::kill_member(const std::string& name, millis down)
{
    for (member& m : members_) {
        if (m.name == name && m.process > 0) {
            log_.line("SIGKILL to " + name);
            kill(m.process, SIGKILL);
            waitpid(m.process, nullptr, 0);
            m.process = 0;
            loop_.after(down, [this, &m] {
                log_.line(m.name + " starts again");
                start_member(m);
            });
        }
    }
}

void cell::limit_memory(int mb)
{
    loop_.every(millis(100), [this, mb] {
        for (member& m : members_) {
            if (m.process <= 0) {
                continue;
            }
            const long used = resident_mb(m.process);
            if (used >= largest_mb_[m.name] + 20) {
                largest_mb_[m.name] = used;
                log_.line(m.name + " uses " + std::to_string(used) + " MB");
            }
            if (used > mb) {
                log_.line(m.name + " uses " + std::to_string(used) + " MB, more than " +
                          std::to_string(mb));
                ++over_memory_[m.name];
                largest_mb_[m.name] = 0;
                kill_member(m.name, millis(500));
            }
        }
    });
}

bool cell::all_run()
{
    for (member& m : members_) {
        int status = 0;
        if (m.process > 0 && waitpid(m.process, &status, WNOHANG) == m.process) {
            log_.line(m.name + " has ended by itself, wait status " + std::to_string(status));
            m.process = 0;
            return false;
        }
    }
    return true;
}

void cell::publish()
{
    Json::Value config;
    config["Version"] = 7;
    Json::Value route;
    route["Name"] = "r-wrr6x73";
    route["Host"] = host;
    route["PathPrefix"] = prefix;
    route["Kind"] = "non_idempotent";
    route["TimeoutMs"] = 3000;
    route["TargetLatencyMs"] = 1000;
    route["Priority"] = 1;
    route["Service"] = executors::service;
    route["MaxAttempts"] = 4;
    route["Stretch"] = 2.2;
    config["Routes"].append(route);
    route["Name"] = "r-73hh2b9";
    route["PathPrefix"] = other_prefix;
    config["Routes"].append(route);
    Json::Value service;
    service["Name"] = executors::service;
    service["AdmissionCheck"] = false;
    service["Standby"] = false;
    config["Services"].append(service);
    store_.put("keyed.op", "config", to_text(config));
}

void cell::send(std::size_t to, const std::string& method, const std::string& path,
                const std::string& body, millis patience,
                const std::function<void(int, const std::string&)>& done)
{
    std::unique_ptr<call> c = std::make_unique<call>();
    c->done = done;
    c->connection = evhttp_connection_base_new(loop_.internals().base, nullptr,
                                               members_[to].ip.c_str(), front_port);
    const timeval limit = detail::to_timeval(patience);
    evhttp_connection_set_timeout_tv(c->connection, &limit);
    evhttp_connection* connection = c->connection;
    evhttp_request* raw = evhttp_request_new(on_reply, c.release());
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Sesamesill-Timeout-Ms", std::to_string(client_timeout_ms).c_str());
    if (!body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(raw), body.data(), body.size());
    }
    evhttp_connection_free_on_completion(connection);
    evhttp_make_request(connection, raw, detail::command_of(method), path.c_str());
}

void cell::request(const std::string& method, const std::string& path, const std::string& body,
                   const std::function<void(int, const std::string&)>& done, int tries)
{
    const std::size_t to = next_member_++ % members_.size();
    log_.line("requester sends " + method + " " + path + " to " + members_[to].name);
    send(to, method, path, body, millis(client_timeout_ms),
         [this, method, path, body, done, tries,
          name = members_[to].name](int status, const std::string& answer) {
             log_.line(name + " answers " + method + " " + path + ": " + std::to_string(status) +
                       " " + answer);
             const bool again = status == 0 || status >= 500 || status == 429;
             if (!again || tries <= 1) {
                 done(status, answer);
                 return;
             }
             loop_.after(millis(status == 0 ? 100 : 1000), [this, method, path, body, done, tries] {
                 request(method, path, body, done, tries - 1);
             });
         });
}

void cell::request_at(const std::string& member, const std::string& method, const std::string& path,
                      const std::string& body, millis patience,
                      const std::function<void(int, const std::string&)>& done)
{
    const auto to = std::find_if(members_.begin(), members_.end(),
                                 [&member](const auto& m) { return m.name == member; });
    if (to == members_.end()) {
        return;
    }
    log_.line("requester sends " + method + " " + path + " to " + member);
    send(static_cast<std::size_t>(to - members_.begin()), method, path, body, patience,
         [this, member, method, path, done](int status, const std::string& answer) {
             log_.line(status == 0 ? "no answer to " + method + " " + path + " from " + member +
                                         "; the requester leaves"
                                   : member + " answers " + method + " " + path + ": " +
                                         std::to_string(status) + " " + answer);
             done(status, answer);
         });
}

std::vector<std::string> cell::member_names() const
{
    std::vector<std::string> names;
    for (const member& m : members_) {
        names.push_back(m.name);
    }
    return names;
}

void cell::signal_member(const std::string& name, int signal)
{
    for (const member& m : members_) {
        if (m.name == name && m.process > 0) {
            log_.line("signal " + std::to_string(signal) + " to " + name);
            kill(m.process, signal);
        }
    }
}

int cell::finish(verdict v)
{
    log_.line(v == rule_broken ? "VERDICT: the rule was broken"
              : v == rule_held ? "VERDICT: the rule held"
                               : "VERDICT: the case could not run");
    return v;
}

} // namespace lab3
