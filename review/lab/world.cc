// The store, the proxies, the member processes and the clients.

#include "world.h"

#include <algorithm>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../src/evhttp.h"
#include "sesamesill/rpc.h"

namespace lab {
namespace {

std::string bytes_of(std::uint64_t value, std::size_t count)
{
    std::string text;
    for (std::size_t i = count; i-- > 0;) {
        text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
    return text;
}

std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            const bool there = i + k < bytes.size();
            group = group << 8 | (there ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63]);
        }
    }
    return out;
}

std::string query(const http_request& request, const char* key, const char* fallback = "")
{
    const auto known = request.query.find(key);
    return known == request.query.end() ? fallback : known->second;
}

http_reply json(int status, const Json::Value& body)
{
    return {status, to_text(body), {}, "application/json"};
}

std::string client_name(const http_request& request)
{
    const auto known = request.headers.find("x-client");
    return known == request.headers.end() ? "" : known->second;
}

} // namespace

record::record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), began_(boot_clock::now())
{
    if (file_ == nullptr) {
        std::perror(path.c_str());
        std::exit(2);
    }
    fcntl(fileno(file_), F_SETFD, FD_CLOEXEC);
}

record::~record()
{
    std::fclose(file_);
}

std::int64_t record::now_ms() const
{
    return to_millis(boot_clock::now() - began_);
}

void record::line(const char* format, ...)
{
    std::fprintf(file_, "%7lld ", static_cast<long long>(now_ms()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
}

// The store.

store::store(event_loop& loop, record& log)
    : loop_(loop), log_(log), server_(loop, [] {
          http_limits limits;
          limits.max_body_bytes = std::size_t{4} * 1024 * 1024;
          return limits;
      }())
{
    server_.route("POST", "/-/log-append",
                  [this](const http_request& r, const http_respond& to) { append(r, to); });
    server_.route("GET", "/-/log-read",
                  [this](const http_request& r, const http_respond& to) { read(r, to); });
    server_.route("GET", "/-/log-newest",
                  [this](const http_request& r, const http_respond& to) { newest(r, to); });
    loop_.every(millis(5), [this] { tick(); });
}

bool store::listen(const endpoint& at, error& why)
{
    return server_.listen(at, why);
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    add(topics_[topic], key, value);
}

std::string store::value_of(const std::string& topic, const std::string& key) const
{
    const auto log = topics_.find(topic);
    if (log == topics_.end()) {
        return {};
    }
    const auto known = log->second.newest.find(key);
    return known == log->second.newest.end() ? std::string() : known->second.value;
}

void store::add(topic_log& log, const std::string& key, const std::string& value)
{
    const entry added{key, value, log.end++, boot_clock::now()};
    log.records.push_back(added);
    if (value.empty()) {
        log.newest.erase(key);
    }
    else {
        log.newest[key] = added;
    }
}

void store::answer(const http_respond& respond, http_reply reply)
{
    const millis delay(4 + static_cast<std::int64_t>(reply.body.size() / 80000));
    loop_.after(delay, [respond, reply = std::move(reply)] { respond(reply); });
}

void store::append(const http_request& request, const http_respond& respond)
{
    if (down) {
        answer(respond, json(503, Json::Value(Json::objectValue)));
        return;
    }
    const std::string member = client_name(request);
    const bool lost = loses_answer && loses_answer(member, request.body);
    bool stored = false;
    http_reply reply = append_now(request, stored);
    if (stored && on_applied) {
        on_applied(member, request.body);
    }
    if (!lost) {
        answer(respond, std::move(reply));
        return;
    }
    log_.line("store: the answer to an append of %s is lost (%s)", member.c_str(),
              stored ? "stored" : "not stored");
    // The channel returns nothing further: `respond` is kept until the member gives up.
    loop_.after(millis(30000), [respond] { respond(json(503, Json::Value())); });
}

http_reply store::append_now(const http_request& request, bool& stored)
{
    topic_log& log = topics_[query(request, "Topic")];
    const std::int64_t at = std::atoll(query(request, "At", "-1").c_str());
    Json::Value body(Json::objectValue);
    if (at >= 0 && static_cast<std::uint64_t>(at) != log.end) {
        body["End"] = static_cast<Json::UInt64>(log.end);
        return json(412, body);
    }
    const std::string& bytes = request.body;
    std::vector<std::pair<std::string, std::string>> added;
    std::size_t total = 0;
    for (std::size_t i = 0; i + 4 < bytes.size();) {
        std::size_t length = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            length = length << 8 | static_cast<unsigned char>(bytes[i + k]);
        }
        i += 4;
        const std::size_t key = static_cast<unsigned char>(bytes[i]);
        if (length > bytes.size() - i || key >= length) {
            return json(400, body);
        }
        total += length;
        if (length > record_bytes || total > call_bytes) {
            ++appends_refused_for_size;
            log_.line("store: append of %s refused with 400: %s has %zu bytes, the limit is %zu",
                      client_name(request).c_str(), bytes.substr(i + 1, key).c_str(), length,
                      record_bytes);
            return json(400, body);
        }
        added.emplace_back(bytes.substr(i + 1, key), bytes.substr(i + 1 + key, length - 1 - key));
        i += length;
    }
    body["Offset"] = static_cast<Json::UInt64>(log.end);
    for (const std::pair<std::string, std::string>& r : added) {
        add(log, r.first, r.second);
        if (r.first == "leader") {
            log_.line("store: %s claims the lead, fence %llu", client_name(request).c_str(),
                      static_cast<unsigned long long>(log.end));
        }
    }
    body["End"] = static_cast<Json::UInt64>(log.end);
    stored = true;
    ++appends_stored;
    return json(200, body);
}

http_reply store::read_from(const topic_log& log, std::uint64_t from, std::size_t max_bytes)
{
    if (from < log.first) {
        Json::Value body;
        body["First"] = static_cast<Json::UInt64>(log.first);
        return json(410, body);
    }
    http_reply reply;
    reply.content_type = "application/octet-stream";
    reply.body = bytes_of(log.end, 8) + bytes_of(log.first, 8);
    for (std::uint64_t n = from; n < log.end && reply.body.size() < max_bytes; ++n) {
        const entry& r = log.records[n - log.first];
        reply.body += bytes_of(1 + r.key.size() + r.value.size(), 4) + bytes_of(r.key.size(), 1) +
                      r.key + r.value;
    }
    return reply;
}

void store::read(const http_request& request, const http_respond& respond)
{
    if (down) {
        answer(respond, json(503, Json::Value(Json::objectValue)));
        return;
    }
    const std::string topic = query(request, "Topic");
    const std::uint64_t from = std::strtoull(query(request, "From", "0").c_str(), nullptr, 10);
    const millis wait(std::atoll(query(request, "WaitMs", "0").c_str()));
    const std::size_t max_bytes =
        std::strtoull(query(request, "MaxKb", "1024").c_str(), nullptr, 10) * 1024;
    const topic_log& log = topics_[topic];
    if (from != log.end || wait == millis(0)) {
        answer(respond, read_from(log, from, max_bytes));
        return;
    }
    waiting_.push_back({topic, from, max_bytes, boot_clock::now() + wait, respond});
}

void store::newest(const http_request& request, const http_respond& respond)
{
    if (down) {
        answer(respond, json(503, Json::Value(Json::objectValue)));
        return;
    }
    const topic_log& log = topics_[query(request, "Topic")];
    Json::Value body;
    body["End"] = static_cast<Json::UInt64>(log.end);
    body["items"] = Json::Value(Json::arrayValue);
    auto item = log.newest.upper_bound(query(request, "After"));
    std::size_t bytes = 0;
    for (int n = 0; n < 500 && bytes < (1U << 20) && item != log.newest.end(); ++n, ++item) {
        Json::Value row;
        row["Key"] = item->first;
        row["Value"] = base64(item->second.value);
        row["Offset"] = static_cast<Json::UInt64>(item->second.offset);
        bytes += item->second.value.size();
        body["items"].append(row);
    }
    body["HasMore"] = item != log.newest.end();
    answer(respond, json(200, body));
}

void store::tick()
{
    const time_point now = boot_clock::now();
    constexpr millis kept{20000};
    for (std::pair<const std::string, topic_log>& t : topics_) {
        while (!t.second.records.empty() && now - t.second.records.front().at > kept) {
            t.second.records.pop_front();
            ++t.second.first;
        }
    }
    for (auto r = waiting_.begin(); r != waiting_.end();) {
        const topic_log& log = topics_[r->topic];
        const bool due = log.end > r->from || now >= r->until;
        if (due) {
            answer(r->respond, down ? json(503, Json::Value(Json::objectValue))
                                    : read_from(log, r->from, r->max_bytes));
        }
        r = due ? waiting_.erase(r) : std::next(r);
    }
}

// The proxy.

struct proxy::link {
    proxy::state* owner = nullptr;
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
};

struct proxy::state {
    event_loop& loop;
    endpoint listen;
    endpoint to;
    evconnlistener* listener = nullptr;
    bool cut = false;
    std::set<link*> links;
    std::vector<int> fillers;

    void close(link* l, bool reset)
    {
        for (bufferevent* side : {l->client, l->server}) {
            if (side != nullptr) {
                if (reset) {
                    const linger zero{1, 0};
                    setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &zero, sizeof zero);
                }
                bufferevent_free(side);
            }
        }
        links.erase(l);
        delete l;
    }
};

namespace {

sockaddr_in address_of(const endpoint& e)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(e.port);
    inet_pton(AF_INET, e.address.c_str(), &a.sin_addr);
    return a;
}

} // namespace

proxy::proxy(event_loop& loop, endpoint listen, endpoint to)
    : state_(new state{loop, std::move(listen), std::move(to), nullptr, false, {}, {}})
{
}

proxy::~proxy()
{
    while (!state_->links.empty()) {
        state_->close(*state_->links.begin(), false);
    }
    for (const int fd : state_->fillers) {
        ::close(fd);
    }
    if (state_->listener != nullptr) {
        evconnlistener_free(state_->listener);
    }
}

bool proxy::start(error& why)
{
    const sockaddr_in at = address_of(state_->listen);
    const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument) {
        state* s = static_cast<state*>(argument);
        event_base* base = s->loop.internals().base;
        link* l = new link;
        l->owner = s;
        l->client = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        l->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        s->links.insert(l);
        const auto on_data = [](bufferevent* from, void* of) {
            link* own = static_cast<link*>(of);
            bufferevent* other = from == own->client ? own->server : own->client;
            bufferevent_write_buffer(other, bufferevent_get_input(from));
        };
        const auto on_event = [](bufferevent* from, short what, void* of) {
            link* own = static_cast<link*>(of);
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
                return;
            }
            bufferevent* other = from == own->client ? own->server : own->client;
            const bool drain = (what & BEV_EVENT_EOF) != 0 &&
                               evbuffer_get_length(bufferevent_get_output(other)) > 0;
            if (drain) { // the bytes that are left are sent first
                state* owner = own->owner;
                bufferevent_disable(from, EV_READ);
                owner->loop.after(millis(20), [owner, own] {
                    if (owner->links.count(own) > 0) {
                        owner->close(own, false);
                    }
                });
                return;
            }
            own->owner->close(own, (what & BEV_EVENT_ERROR) != 0);
        };
        bufferevent_setcb(l->client, on_data, nullptr, on_event, l);
        bufferevent_setcb(l->server, on_data, nullptr, on_event, l);
        const sockaddr_in to = address_of(s->to);
        bufferevent_socket_connect(l->server, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        bufferevent_enable(l->client, EV_READ | EV_WRITE);
        bufferevent_enable(l->server, EV_READ | EV_WRITE);
    };
    state_->listener =
        evconnlistener_new_bind(state_->loop.internals().base, accept, state_.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                1024, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    if (state_->listener == nullptr) {
        why = {error_code::unavailable, step::http, to_string(state_->listen), "cannot listen"};
        return false;
    }
    return true;
}

void proxy::cut()
{
    state_->cut = true;
    for (link* l : state_->links) {
        bufferevent_disable(l->client, EV_READ | EV_WRITE);
        bufferevent_disable(l->server, EV_READ | EV_WRITE);
    }
    // With its queue of new channels full, the kernel drops opening packets.
    evconnlistener_disable(state_->listener);
    const int fd = evconnlistener_get_fd(state_->listener);
    ::listen(fd, 0);
    const sockaddr_in at = address_of(state_->listen);
    for (int i = 0; i < 2; ++i) {
        const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(filler, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
            errno != EINPROGRESS) {
            std::perror("filler");
        }
        state_->fillers.push_back(filler);
    }
}

void proxy::heal()
{
    state_->cut = false;
    for (const int fd : state_->fillers) {
        ::close(fd);
    }
    state_->fillers.clear();
    while (!state_->links.empty()) {
        state_->close(*state_->links.begin(), true);
    }
    ::listen(evconnlistener_get_fd(state_->listener), 1024);
    evconnlistener_enable(state_->listener);
}

// The member processes.

members::members(event_loop& loop, record& log, std::string root, std::string run_dir)
    : loop_(loop), log_(log), root_(std::move(root)), run_dir_(std::move(run_dir))
{
    loop_.every(millis(20), [this] { collect(); });
}

members::~members()
{
    for (const place& p : places_) {
        if (p.pid > 0) {
            ::kill(p.pid, SIGKILL);
            ::waitpid(p.pid, nullptr, 0);
        }
    }
}

void members::add(place p)
{
    places_.push_back(std::move(p));
}

endpoint members::front(const place& p) const
{
    return {p.ip, 8161};
}

namespace {

/// Fills the project's template as the platform does.
std::string settings_of(const members::place& p, const std::string& root)
{
    const std::map<std::string, std::string> fields{
        {"Node", p.name},
        {"Zone", "zone-a"},
        {"Ip", p.ip},
        {"Listen.Front", p.ip + ":8161"},
        {"Listen.Ready", p.ip + ":8167"},
        {"PortRange.0", "7720"},
        {"Limits.CpuShare", "0.25"},
        {"Limits.LinkMbps", "1000.0"},
        {"platform.Addr", p.store},
        {"Advice", p.store},
        {"Bounds.MaxHoldMs", "6000"},
        {"Bounds.StopTimeoutMs", "200"},
        {"Bounds.GangTimeoutMs", "3000"},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.status_s", "120"},
        {"Bounds.GraceS", "6"},
        {"Bounds.RemoteFactor", "3"},
        {"Bounds.RestoreMs", "100"},
    };
    std::ifstream in(root + "/platform/member.ini.template");
    std::string text;
    std::string line;
    while (std::getline(in, line)) {
        text += line + "\n";
        if (line.compare(0, 11, "peer_listen") == 0 && !p.peer_address.empty()) {
            text += "peer_address = " + p.peer_address + "\n";
        }
    }
    for (const std::pair<const std::string, std::string>& f : fields) {
        const std::string token = "{{" + f.first + "}}";
        for (std::size_t at = text.find(token); at != std::string::npos; at = text.find(token)) {
            text.replace(at, token.size(), f.second);
        }
    }
    return text;
}

/// Starts the program of the deploy file in the repository's root, with `settings` as its settings.
pid_t start_process(const std::string& root, const std::string& settings, const std::string& out)
{
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        const int fd = open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        for (int other = 3; other < 4096; ++other) {
            close(other);
        }
        if (chdir(root.c_str()) != 0) {
            _exit(127);
        }
        const std::string variable = "SESAMESILL_SETTINGS=" + settings;
        const char* arguments[] = {"target/sesamesill-member", nullptr};
        const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                                     nullptr};
        execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }
    return pid;
}

} // namespace

bool members::start(place& p, error& why)
{
    const std::string text = settings_of(p, root_);
    const std::string path = run_dir_ + "/" + p.name + ".ini";
    std::ofstream(path) << text;
    const std::string program = root_ + "/target/sesamesill-member";
    if (text.empty() || text.find("{{") != std::string::npos ||
        access(program.c_str(), X_OK) != 0) {
        why = {error_code::unavailable, step::settings, program, "no program, or no settings"};
        return false;
    }
    const std::string out = run_dir_ + "/" + p.name + ".log";
    const pid_t pid = start_process(root_, path, out);
    p.pid = pid;
    log_.line("member %s starts, pid %d", p.name.c_str(), static_cast<int>(pid));
    return pid > 0;
}

bool members::start_all(error& why)
{
    for (place& p : places_) {
        if (!start(p, why)) {
            return false;
        }
    }
    return true;
}

void members::signal(place& p, int number)
{
    if (p.pid > 0) {
        log_.line("signal %d to %s", number, p.name.c_str());
        if (number == SIGKILL || number == SIGTERM) {
            signalled_.insert(p.pid);
        }
        ::kill(p.pid, number);
    }
}

members::place* members::find(const std::string& name)
{
    const auto known = std::find_if(places_.begin(), places_.end(),
                                    [&](const place& p) { return p.name == name; });
    return known == places_.end() ? nullptr : &*known;
}

void members::collect()
{
    for (place& p : places_) {
        int status = 0;
        if (p.pid <= 0 || ::waitpid(p.pid, &status, WNOHANG) != p.pid) {
            continue;
        }
        log_.line("member %s ended, status %d", p.name.c_str(), status);
        if (signalled_.erase(p.pid) == 0) {
            last_exit = p.name;
        }
        p.pid = 0;
        if (!p.stays_down) {
            const std::string name = p.name;
            loop_.after(restart_delay, [this, name] {
                place* again = find(name);
                error why;
                if (again != nullptr && again->pid == 0 && !again->stays_down) {
                    start(*again, why);
                }
            });
        }
    }
}

// The world.

world::world(const std::string& root, const std::string& record_path, const options& o)
    : log(record_path), records(loop, log), watch(log), workers(loop, records, log, watch, jobs),
      options_(o), client_(loop, "client", 64), random_(88172645463325252ULL)
{
    char path[] = "/tmp/sesamesill-review.XXXXXX";
    if (mkdtemp(path) == nullptr) {
        std::perror("mkdtemp");
        std::exit(2);
    }
    run_dir_ = path;
    const int pid = static_cast<int>(getpid());
    net_ = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + ".";
    processes = std::make_unique<members>(loop, log, root, run_dir_);
}

world::~world()
{
    processes.reset();
    const char* keep = std::getenv("KEEP");
    if (keep != nullptr) {
        std::fprintf(stderr, "logs: %s\n", run_dir_.c_str());
        return;
    }
    for (int m = 1; m <= options_.members; ++m) {
        const std::string base = run_dir_ + "/front-" + std::to_string(m);
        unlink((base + ".ini").c_str());
        unlink((base + ".log").c_str());
    }
    rmdir(run_dir_.c_str());
}

bool world::start(error& why)
{
    const endpoint store_at{net_ + "200", 8169};
    if (!records.listen(store_at, why)) {
        return false;
    }
    publish({"plain"});
    for (int i = 0; i < options_.workers; ++i) {
        const endpoint listen{net_ + "100", static_cast<std::uint16_t>(7000 + i)};
        endpoint advertised = listen;
        if (options_.proxied_workers) {
            advertised = {net_ + "101", listen.port};
            worker_proxies.push_back(std::make_unique<proxy>(loop, advertised, listen));
            if (!worker_proxies.back()->start(why)) {
                return false;
            }
        }
        // Workers start at different times, so their check-ins spread.
        if (!workers.add("i-" + std::to_string(100 + i), "r1-" + std::to_string(i / 6), listen,
                         advertised, why)) {
            return false;
        }
    }
    for (int m = 1; m <= options_.members; ++m) {
        members::place p;
        p.name = "front-" + std::to_string(m);
        p.ip = net_ + std::to_string(m);
        p.store = to_string(store_at);
        if (options_.proxied_members) {
            const endpoint to_store{net_ + std::to_string(20 + m), 8169};
            const endpoint to_peer{net_ + std::to_string(20 + m), 7720};
            proxies_.push_back(std::make_unique<proxy>(loop, to_store, store_at));
            member_proxies[p.name].push_back(proxies_.back().get());
            proxies_.push_back(std::make_unique<proxy>(loop, to_peer, endpoint{p.ip, 7720}));
            member_proxies[p.name].push_back(proxies_.back().get());
            p.store = to_string(to_store);
            p.peer_address = to_string(to_peer);
        }
        processes->add(p);
    }
    for (const std::unique_ptr<proxy>& p : proxies_) {
        if (!p->start(why)) {
            return false;
        }
    }
    return processes->start_all(why);
}

void world::publish(const std::set<std::string>& routes)
{
    version_ += 3;
    Json::Value config;
    config["Version"] = version_;
    std::string names;
    for (const std::string& name : routes) {
        Json::Value row;
        row["Name"] = name;
        row["Host"] = host;
        row["PathPrefix"] = "/" + name + "/";
        row["Kind"] = "non_idempotent";
        row["Service"] = fleet::service;
        row["MaxAttempts"] = 3;
        row["Stretch"] = 4;
        row["TargetLatencyMs"] = 60000; // no job is refused for a long queue
        row["TimeoutMs"] = 3000;
        row["Priority"] = 1;
        config["Routes"].append(row);
        names += " " + name;
    }
    Json::Value service;
    service["Name"] = fleet::service;
    service["AdmissionCheck"] = false;
    config["Services"].append(service);
    records.put("keyed.op", "config", to_text(config));
    log.line("operator: version %d with the routes%s is acknowledged", version_, names.c_str());
}

members::place* world::leader()
{
    const std::optional<Json::Value> claim = json_from(records.value_of("keyed.pool", "leader"));
    return claim && claim->isObject() ? processes->find((*claim)["name"].asString()) : nullptr;
}

Json::Value world::step(int count, std::int64_t cpu, std::int64_t memory, std::int64_t est_ms,
                        bool saves)
{
    Json::Value s;
    s["Count"] = count;
    s["Cpu"] = static_cast<Json::Int64>(cpu);
    s["MemMb"] = static_cast<Json::Int64>(memory);
    s["EstMs"] = static_cast<Json::Int64>(est_ms);
    if (saves) {
        s["SavesProgress"] = true;
    }
    return s;
}

job& world::new_job(const std::string& prefix, Json::Value steps, std::vector<millis> work,
                    std::vector<bool> saves)
{
    job j;
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>((++next_job_) * 0x9e3779b97f4a7c15ULL));
    j.id = id;
    j.prefix = prefix;
    j.body["Spec"] = std::string("run ") + id;
    for (const Json::Value& s : steps) {
        j.total_tasks += s["Count"].asInt();
    }
    j.body["Steps"] = std::move(steps);
    saves.resize(work.size(), false);
    j.work = std::move(work);
    j.saves = std::move(saves);
    return jobs.emplace(j.id, std::move(j)).first->second;
}

void world::call(const char* method, const members::place& at, const std::string& path,
                 const Json::Value* body, answered done, millis timeout)
{
    http_call c;
    c.method = method;
    c.path = path;
    c.headers["Host"] = host;
    c.headers["Sesamesill-Timeout-Ms"] = std::to_string(timeout.count());
    if (body != nullptr) {
        c.headers["Content-Type"] = "application/json";
        c.body = to_text(*body);
    }
    c.timeout = timeout;
    client_.send(processes->front(at), std::move(c),
                 [done = std::move(done)](const std::optional<http_reply>& reply, const error&) {
                     done(reply ? reply->status : 0, reply ? reply->body : std::string());
                 });
}

void world::submit(job& j, const members::place& at, answered done)
{
    call("POST", at, j.prefix + j.id, &j.body,
         [this, &j, name = at.name, done = std::move(done)](int status, const std::string& body) {
             log.line("client: job %s handed in to %s, answer %d %s", j.id.c_str(), name.c_str(),
                      status, body.c_str());
             if (status >= 200 && status < 300 && !j.accepted) {
                 j.accepted = true;
                 j.accepted_at = boot_clock::now();
             }
             done(status, body);
         });
}

void world::ask(job& j, const members::place& at, answered done)
{
    call("GET", at, j.prefix + j.id, nullptr,
         [this, &j, name = at.name, done = std::move(done)](int status, const std::string& body) {
             const std::optional<Json::Value> state = json_from(body);
             if (status == 200 && state && state->isObject()) {
                 j.shown = (*state)["State"].asString();
             }
             log.line("client: state of %s from %s: %d %s", j.id.c_str(), name.c_str(), status,
                      body.c_str());
             done(status, body);
         });
}

void world::cancel(job& j, const members::place& at, answered done)
{
    j.cancel_sent = true;
    call("DELETE", at, j.prefix + j.id, nullptr,
         [this, &j, name = at.name, done = std::move(done)](int status, const std::string& body) {
             log.line("client: cancel of %s at %s: %d %s", j.id.c_str(), name.c_str(), status,
                      body.c_str());
             done(status, body);
         });
}

members::place& world::random_member()
{
    std::vector<members::place*> up;
    for (members::place& p : processes->all()) {
        if (p.pid > 0) {
            up.push_back(&p);
        }
    }
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return up.empty() ? processes->all().front() : *up[random_ % up.size()];
}

} // namespace lab
