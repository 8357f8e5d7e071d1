// Implements the members' processes, the requester and the operator.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <event2/http.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lab.h"
#include "sesamesill/rpc.h"

namespace lab {
namespace {

constexpr millis ready_limit{45000};
constexpr int submit_tries = 12;
constexpr millis client_timeout{3000};

} // namespace

member_process::member_process(std::string name, std::string folder)
    : name_(std::move(name)), folder_(std::move(folder)), front_(free_endpoint()),
      ready_(free_endpoint()), peer_(free_endpoint()), metrics_(free_endpoint())
{
}

member_process::~member_process()
{
    if (process_ > 0) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

bool member_process::start(const endpoint& store, const endpoint& advice, double cpu_share)
{
    // The template holds the port range and the metrics port of one machine, which members on one
    // address can't share; the names and the other values are the template's.
    std::map<std::string, std::string> values{{"Node", name_},
                                              {"Zone", "zone-a"},
                                              {"Listen.Front", to_string(front_)},
                                              {"Listen.Ready", to_string(ready_)},
                                              {"Ip", peer_.address},
                                              {"Limits.CpuShare", std::to_string(cpu_share)},
                                              {"Limits.LinkMbps", "1000.0"},
                                              {"platform.Addr", to_string(store)},
                                              {"Advice", to_string(advice)},
                                              {"Bounds.MaxHoldMs", "6000"},
                                              {"Bounds.StopTimeoutMs", "900"},
                                              {"Bounds.GangTimeoutMs", "3000"},
                                              {"Bounds.DrainMs", "2000"},
                                              {"Bounds.status_s", "120"},
                                              {"Bounds.GraceS", "6"},
                                              {"Bounds.ConfigApplyMs", "2000"},
                                              {"Bounds.RollbackSlackMs", "250"},
                                              {"Bounds.RemoteFactor", "2"},
                                              {"Bounds.RestoreMs", "100"}};
    std::ifstream in("platform/member.ini.template");
    std::ostringstream all;
    all << in.rdbuf();
    std::string text = all.str();
    const auto replace = [&text](const std::string& from, const std::string& to) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
            text.replace(at, from.size(), to);
            at += to.size();
        }
    };
    replace("{{Ip}}:{{PortRange.0}}", to_string(peer_));
    replace("{{Ip}}:9464", to_string(metrics_));
    for (const std::pair<const std::string, std::string>& v : values) {
        replace("{{" + v.first + "}}", v.second);
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        std::cerr << "the settings template has a field that the case doesn't know\n";
        return false;
    }
    const std::string path = folder_ + "/" + name_ + ".ini";
    std::ofstream(path) << text;
    const std::string output = folder_ + "/" + name_ + ".log";
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(could_not_run);
        }
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("SESAMESILL_SETTINGS", path.c_str(), 1);
        execl("target/sesamesill-member", "target/sesamesill-member", nullptr);
        _exit(could_not_run);
    }
    return process_ > 0;
}

void member_process::signal(int number) const
{
    kill(process_, number);
}

store_watch::store_watch(event_loop& loop, endpoint store)
    : store_(std::move(store)), address_(free_endpoint()), server_(loop), client_(loop, "watch")
{
    server_.fallback(
        [this](const http_request& request, const http_respond& to) { pass_on(request, to); });
}

bool store_watch::listen(error& why)
{
    return server_.listen(address_, why);
}

void store_watch::pass_on(const http_request& request, const http_respond& respond)
{
    const auto value = [&request](const char* key) {
        const auto known = request.query.find(key);
        return known != request.query.end() ? known->second : std::string();
    };
    if (request.path == "/-/log-newest" && value("Topic") == "keyed.servers" &&
        value("After").empty()) {
        on_directory_read();
    }
    http_call call;
    call.method = request.method;
    call.path = request.path;
    char separator = '?';
    for (const std::pair<const std::string, std::string>& q : request.query) {
        char* const encoded =
            evhttp_uriencode(q.second.data(), static_cast<ev_ssize_t>(q.second.size()), 0);
        call.path += separator + q.first + "=" + encoded;
        std::free(encoded);
        separator = '&';
    }
    call.body = request.body;
    call.timeout = client_timeout;
    // Without an answer of the store, the member gets none either.
    client_.send(store_, call, [respond](const std::optional<http_reply>& reply, const error&) {
        if (reply) {
            http_reply passed;
            passed.status = reply->status;
            passed.body = reply->body;
            respond(passed);
        }
    });
}

cell::cell(const std::string& record_path, std::string folder, fleet_settings settings)
    : log(record_path), store(loop, 1), executors(loop, store, log, settings),
      folder_(std::move(folder)), store_server_(loop), store_address_(free_endpoint()),
      client_(loop, "requester")
{
}

bool cell::add_executors(int count, std::int64_t cpu, const std::string& kind)
{
    constexpr int per_rack = 6;
    const int first = static_cast<int>(executors.executors().size());
    for (int i = first; i < first + count; ++i) {
        executor_settings s;
        s.id = "i-" + std::to_string(1000 + i);
        s.machine = "m-" + std::to_string(1000 + i);
        s.rack = "r1-" + std::to_string(i / per_rack);
        s.kind = kind;
        s.cpu = cpu;
        error why;
        if (!executors.add(s, why)) {
            std::cerr << why.reason << '\n';
            return false;
        }
    }
    return true;
}

bool cell::serve_platform()
{
    store.serve(store_server_);
    error why;
    if (!store_server_.listen(store_address_, why) || !executors.serve_advice(why)) {
        std::cerr << why.reason << '\n';
        return false;
    }
    return true;
}

bool cell::start_member(double cpu_share)
{
    const std::size_t number = members_.size();
    const auto watch = watches_.find(number);
    members_.push_back(
        std::make_unique<member_process>("member-" + std::to_string(number), folder_));
    return members_.back()->start(watch != watches_.end() ? watch->second->address()
                                                          : store_address_,
                                  executors.advice_address(), cpu_share);
}

bool cell::start_watched_member(double cpu_share)
{
    std::unique_ptr<store_watch>& watch = watches_[members_.size()];
    watch = std::make_unique<store_watch>(loop, store_address_);
    error why;
    return watch->listen(why) && start_member(cpu_share);
}

bool cell::start_members(int count)
{
    constexpr double cpu_share = 0.25;
    bool started = serve_platform();
    for (int i = 0; started && i < count; ++i) {
        started = start_member(cpu_share);
    }
    return started;
}

void cell::when_ready(const std::function<void()>& ready)
{
    wait_for_members(boot_clock::now() + ready_limit, ready);
}

void cell::wait_for_members(time_point until, const std::function<void()>& ready)
{
    if (boot_clock::now() > until) {
        finish(could_not_run, "the members weren't ready in time");
        return;
    }
    const std::shared_ptr<std::size_t> answers = std::make_shared<std::size_t>(0);
    const std::shared_ptr<std::size_t> good = std::make_shared<std::size_t>(0);
    for (const std::unique_ptr<member_process>& m : members_) {
        http_call call;
        call.path = "/-/readyz";
        client_.send(m->ready(), call,
                     [this, answers, good, until, ready](const std::optional<http_reply>& reply,
                                                         const error&) {
                         *good += reply && reply->status == 200 ? 1 : 0;
                         if (++*answers < members_.size()) {
                             return;
                         }
                         if (*good == members_.size()) {
                             log.line("all members are ready");
                             loop.after(millis(1000), ready);
                             return;
                         }
                         loop.after(millis(200),
                                    [this, until, ready] { wait_for_members(until, ready); });
                     });
    }
}

Json::Value make_route(const std::string& name, const std::string& prefix, int max_attempts)
{
    Json::Value route;
    route["Name"] = name;
    route["Host"] = cell::host;
    route["PathPrefix"] = prefix;
    route["Kind"] = "non_idempotent";
    route["TimeoutMs"] = 3000;
    route["TargetLatencyMs"] = 3000;
    route["Priority"] = 1;
    route["Service"] = fleet::service;
    route["MaxAttempts"] = max_attempts;
    route["Stretch"] = 4.0;
    return route;
}

void cell::declare(const Json::Value& routes)
{
    version_ += 2;
    Json::Value service;
    service["Name"] = fleet::service;
    service["HealthPath"] = "/healthz";
    service["MaxConns"] = 64;
    service["Protocol"] = "h1";
    service["Tls"] = false;
    service["AdmissionCheck"] = false;
    service["Standby"] = false;
    Json::Value manifest;
    manifest["Version"] = version_;
    manifest["Routes"] = routes;
    manifest["Services"].append(service);
    manifest["Limits"]["MaxBodyBytes"] = 262144;
    store.put("keyed.op", "config", to_text(manifest));
    std::string names;
    for (const Json::Value& r : routes) {
        names += " " + r["Name"].asString();
    }
    log.line("operator: version " + std::to_string(version_) + " is acknowledged, routes:" + names);
}

void cell::submit(const std::string& path, const std::string& body,
                  const std::function<void(int status)>& done)
{
    submit_at(next_member_++, 1, path, body, done);
}

void cell::submit_at(std::size_t member, int tries, const std::string& path,
                     const std::string& body, const std::function<void(int status)>& done)
{
    send(member, "POST", path, body, [this, member, tries, path, body, done](int status) {
        const bool clear = status == 200 || status == 400 || status == 404;
        if (clear || tries >= submit_tries) {
            done(status);
            return;
        }
        loop.after(millis(1000), [this, member, tries, path, body, done] {
            submit_at(member + 1, tries + 1, path, body, done);
        });
    });
}

void cell::send(std::size_t member, const std::string& method, const std::string& path,
                const std::string& body, const std::function<void(int status)>& done)
{
    const std::size_t number = member % members_.size();
    http_call call;
    call.method = method;
    call.path = path;
    call.headers["Host"] = host;
    call.headers["Content-Type"] = "application/json";
    call.headers["Sesamesill-Timeout-Ms"] = std::to_string(client_timeout.count());
    call.body = body;
    call.timeout = client_timeout;
    const std::string name = "requester: " + method + " " + path;
    log.line(name + " at member " + std::to_string(number));
    client_.send(members_[number]->front(), call,
                 [this, name, done](const std::optional<http_reply>& reply, const error& why) {
                     const int status = reply ? reply->status : 0;
                     log.line(name + " answered " + std::to_string(status) + " " +
                              (reply ? reply->body : why.reason));
                     done(status);
                 });
}

std::size_t cell::leader() const
{
    const std::optional<Json::Value> claim = json_from(store.value_of("keyed.pool", "leader"));
    const std::string name =
        claim && claim->isObject() ? (*claim)["name"].asString() : std::string();
    std::size_t i = 0;
    while (i < members_.size() && members_[i]->name() != name) {
        ++i;
    }
    return i;
}

void cell::ask(const std::string& path,
               const std::function<void(int status, const std::string&)>& done)
{
    http_call call;
    call.path = path;
    call.headers["Host"] = host;
    call.headers["Sesamesill-Timeout-Ms"] = std::to_string(client_timeout.count());
    call.timeout = client_timeout;
    client_.send(members_[next_member_++ % members_.size()]->front(), call,
                 [this, path, done](const std::optional<http_reply>& reply, const error&) {
                     const int status = reply ? reply->status : 0;
                     const std::string body = reply ? reply->body : "";
                     log.line("requester: GET " + path + " answered " + std::to_string(status) +
                              " " + body);
                     done(status, body);
                 });
}

void cell::finish(int result, const std::string& why)
{
    result_ = result;
    log.line("result " + std::to_string(result) + ": " + why);
    std::cout << why << '\n';
    loop.stop();
}

int cell::run()
{
    constexpr millis longest{110000};
    loop.after(longest, [this] { finish(could_not_run, "the case took too long"); });
    loop.run();
    return result_;
}

} // namespace lab
