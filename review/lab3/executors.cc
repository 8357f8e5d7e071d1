// Executors that follow the users' pages.

#include <algorithm>
#include <chrono>

#include "lab.h"
#include "sesamesill/rpc.h"

namespace lab3 {
namespace {

constexpr millis tick_period{10};
constexpr millis check_in_period{1500};    ///< HeartbeatMs
constexpr int missed_check_ins = 3;        ///< after which an entry is removed
constexpr std::int64_t max_hold_ms = 6000; ///< MaxHoldMs
constexpr millis stop_time{300};           ///< below StopTimeoutMs (900)
constexpr millis startup{200};             ///< of a lasting task, until it is at work
constexpr std::uint16_t port = 8080;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

executors::executors(event_loop& loop, standin::platform_store& store, record& log,
                     std::string network)
    : loop_(loop), store_(store), log_(log), network_(std::move(network))
{
    loop_.every(tick_period, [this] { tick(); });
}

bool executors::add(const place& at, error& why)
{
    std::unique_ptr<life> l = std::make_unique<life>();
    l->at = at;
    l->address = {network_ + std::to_string(100 + lives_.size()), port};
    begin_life(*l);
    life& added = *lives_.emplace(at.id, std::move(l)).first->second;
    return listen(added, why);
}

void executors::begin_life(life& l)
{
    l.up = true;
    l.dark = false;
    l.started = boot_clock::now();
    l.born_ms = unix_ms();
    l.fence = 0;
    l.lease_ms = 0;
    l.seq = 0;
    l.last_end = 0;
    l.next_check_in = l.started;
    l.tasks.clear();
    l.highest_ended.clear();
    l.ends.clear();
    l.polls.clear();
    l.told.clear();
}

bool executors::listen(life& l, error& why)
{
    l.server = std::make_unique<http_server>(loop_);
    l.server->fallback([this, id = l.at.id](const http_request& r, const http_respond& respond) {
        serve(*lives_.at(id), r, respond);
    });
    return l.server->listen(l.address, why);
}

void executors::crash(const std::string& id, bool dark)
{
    life& l = *lives_.at(id);
    log_.line("executor " + id + (dark ? " loses power" : " crashes") + ", " +
              std::to_string(l.tasks.size()) + " runs end with it");
    for (const std::pair<const std::string, active>& t : l.tasks) {
        runs_[t.second.seen].ended_ms = log_.now_ms();
        runs_[t.second.seen].how = "gone with its executor";
    }
    l.tasks.clear();
    l.up = false;
    l.dark = dark;
    l.silent_since = boot_clock::now();
    for (const waiting& w : l.polls) {
        unanswered_.push_back(w.respond);
    }
    l.polls.clear();
    if (!dark) {
        l.server.reset();
    }
}

bool executors::start_again(const std::string& id, const std::string& kind, error& why)
{
    life& l = *lives_.at(id);
    l.server.reset(); // resets the channels of the life before
    begin_life(l);
    l.at.kind = kind;
    log_.line("executor " + id + " starts again, of kind " + kind + ", born " +
              std::to_string(l.born_ms));
    return listen(l, why);
}

void executors::fail_run(const std::string& task)
{
    for (std::pair<const std::string, std::unique_ptr<life>>& named : lives_) {
        if (named.second->up && named.second->tasks.count(task) > 0) {
            end_run(*named.second, task, "failed");
        }
    }
}

std::string executors::executor_of(const std::string& task) const
{
    for (const std::pair<const std::string, std::unique_ptr<life>>& named : lives_) {
        if (named.second->tasks.count(task) > 0) {
            return named.first;
        }
    }
    return {};
}

std::int64_t executors::clock_ms(const life& l) const
{
    return to_millis(boot_clock::now() - l.started);
}

http_reply executors::answer(const life& l, int status, const std::string& reason) const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms(l));
    body["born"] = static_cast<Json::Int64>(l.born_ms);
    if (!reason.empty()) {
        body["Reason"] = reason;
    }
    return {status, to_text(body), {}, "application/json"};
}

void executors::serve(life& l, const http_request& request, const http_respond& respond)
{
    if (!l.up) {
        unanswered_.push_back(respond); // without power: no answer
        return;
    }
    const auto expected = request.headers.find("sesamesill-expect-instance");
    if (expected != request.headers.end() && expected->second != l.at.id) {
        respond(answer(l, 421));
        return;
    }
    const std::optional<Json::Value> body = json_from(request.body);
    if (!body || !body->isObject()) {
        respond(answer(l, 400));
        return;
    }
    const std::uint64_t fence = (*body)["Fence"].asUInt64();
    if (fence < l.fence) {
        respond(answer(l, 409, "fence"));
        return;
    }
    l.fence = fence;
    const auto sender = request.headers.find("x-client");
    last_sender_ = sender != request.headers.end() ? sender->second : "";
    if (request.path == "/-/run-start") {
        const http_reply reply = start_run(l, *body);
        log_.line(last_sender_ + " starts " + (*body)["Task"].asString() + " run " +
                  std::to_string((*body)["RunId"].asInt64()) + " on " + l.at.id + " (kind " +
                  l.at.kind + ") -> " + std::to_string(reply.status) + " " + reply.body);
        respond(reply);
        return;
    }
    if (request.path == "/-/run-stop") {
        const http_reply reply = stop_run(l, *body);
        log_.line(last_sender_ + " stops " + (*body)["Task"].asString() + " run " +
                  std::to_string((*body)["RunId"].asInt64()) + " on " + l.at.id + " -> " +
                  std::to_string(reply.status));
        respond(reply);
        return;
    }
    if (request.path != "/-/hold") {
        respond(answer(l, 404));
        return;
    }
    const std::uint64_t seen = (*body)["LastSeen"].asUInt64();
    while (!l.ends.empty() && l.ends.front().number <= seen) {
        l.ends.pop_front();
    }
    extend_lease(l, (*body)["UntilMs"]);
    const millis wait((*body)["WaitMs"].asInt64());
    if (wait <= millis(0) || !l.ends.empty()) {
        respond(report(l));
        l.told.insert(last_sender_);
        return;
    }
    l.polls.push_back({boot_clock::now() + wait, last_sender_, respond});
}

void executors::extend_lease(life& l, const Json::Value& until) const
{
    if (until.isIntegral()) {
        const std::int64_t longest = clock_ms(l) + max_hold_ms;
        l.lease_ms = std::max(l.lease_ms, std::min(until.asInt64(), longest));
    }
}

http_reply executors::start_run(life& l, const Json::Value& body)
{
    const std::string task = body["Task"].asString();
    const std::int64_t run = body["RunId"].asInt64();
    const auto current = l.tasks.find(task);
    if (current != l.tasks.end() && current->second.run == run) {
        return answer(l, 200);
    }
    if (current != l.tasks.end() || l.highest_ended[task] >= run) {
        extend_lease(l, body["UntilMs"]);
        return answer(l, 409, "old");
    }
    if (body["UntilMs"].asInt64() <= clock_ms(l)) {
        return answer(l, 409, "late");
    }
    extend_lease(l, body["UntilMs"]);
    active a;
    a.run = run;
    a.began = boot_clock::now();
    a.todo = plan(task);
    a.seen = runs_.size();
    runs_.push_back({l.at.id, l.at.kind, task, run, log_.now_ms(), -1, "", body["Spec"].asString(),
                     l.told.count(last_sender_) > 0});
    l.tasks.emplace(task, a);
    return answer(l, 200);
}

http_reply executors::stop_run(life& l, const Json::Value& body)
{
    const std::string task = body["Task"].asString();
    const std::int64_t run = body["RunId"].asInt64();
    const auto current = l.tasks.find(task);
    if (current != l.tasks.end() && current->second.run == run) {
        if (!current->second.stop_at) {
            current->second.stop_at = boot_clock::now() + stop_time;
        }
        return answer(l, 200);
    }
    l.highest_ended[task] = std::max(l.highest_ended[task], run);
    return answer(l, 200);
}

http_reply executors::report(const life& l) const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms(l));
    body["born"] = static_cast<Json::Int64>(l.born_ms);
    body["Running"] = Json::Value(Json::arrayValue);
    body["EndedRuns"] = Json::Value(Json::arrayValue);
    const time_point now = boot_clock::now();
    for (const std::pair<const std::string, active>& t : l.tasks) {
        const active& a = t.second;
        const std::int64_t worked = to_millis(now - a.began);
        const std::int64_t percent = a.todo.lasting ? (now - a.began > startup ? 100 : 0)
                                                    : worked * 100 / a.todo.length.count();
        Json::Value row;
        row.append(t.first);
        row.append(static_cast<Json::Int64>(a.run));
        row.append("");
        row.append(
            static_cast<Json::Int64>(std::min<std::int64_t>(percent, a.todo.lasting ? 100 : 99)));
        row.append(0);
        body["Running"].append(row);
    }
    for (const ended& e : l.ends) {
        Json::Value row;
        row.append(static_cast<Json::UInt64>(e.number));
        row.append(e.task);
        row.append(static_cast<Json::Int64>(e.run));
        row.append(e.how);
        row.append("");
        body["EndedRuns"].append(row);
    }
    return {200, to_text(body), {}, "application/json"};
}

void executors::end_run(life& l, const std::string& task, const std::string& how)
{
    const auto found = l.tasks.find(task);
    run_seen& seen = runs_[found->second.seen];
    seen.ended_ms = log_.now_ms();
    seen.how = how;
    l.highest_ended[task] = std::max(l.highest_ended[task], found->second.run);
    l.ends.push_back({++l.last_end, task, found->second.run, how});
    log_.line(task + " run " + std::to_string(found->second.run) + " ends on " + l.at.id + ": " +
              how);
    l.tasks.erase(found);
}

std::string executors::entry_of(const std::string& id) const
{
    const life& l = *lives_.at(id);
    Json::Value entry;
    entry["Service"] = service;
    entry["Addr"] = to_string(l.address);
    entry["Zone"] = "ro-centru-a";
    entry["Version"] = "v1";
    entry["Slots"] = 8;
    entry["State"] = "ready";
    entry["ColdLeftMs"] = 0;
    entry["Capacity"]["Cpu"] = 32000;
    entry["Capacity"]["MemMb"] = 65536;
    entry["Capacity"]["Gpu"] = 0;
    entry["Labels"].append(l.at.kind);
    entry["Labels"].append(l.at.rack);
    entry["Machine"] = l.at.machine;
    entry["ClockMs"] = static_cast<Json::Int64>(clock_ms(l));
    entry["Seq"] = static_cast<Json::UInt64>(l.seq);
    entry["born"] = static_cast<Json::Int64>(l.born_ms);
    return to_text(entry);
}

void executors::check_in(life& l)
{
    ++l.seq;
    l.listed = true;
    store_.put("keyed.servers", l.at.id, entry_of(l.at.id));
}

void executors::tick()
{
    const time_point now = boot_clock::now();
    for (std::pair<const std::string, std::unique_ptr<life>>& named : lives_) {
        life& l = *named.second;
        if (!l.up) {
            if (l.listed && now - l.silent_since > missed_check_ins * check_in_period) {
                l.listed = false;
                store_.put("keyed.servers", l.at.id, "");
                log_.line("the entry of " + l.at.id + " is removed");
            }
            continue;
        }
        if (now >= l.next_check_in) {
            l.next_check_in = now + check_in_period;
            check_in(l);
        }
        std::vector<std::pair<std::string, std::string>> ends;
        for (const std::pair<const std::string, active>& t : l.tasks) {
            const active& a = t.second;
            if (clock_ms(l) > l.lease_ms) {
                ends.emplace_back(t.first, "lapsed");
            }
            else if (a.stop_at && now >= *a.stop_at) {
                ends.emplace_back(t.first, "stopped");
            }
            else if (!a.todo.lasting && now - a.began >= a.todo.length) {
                ends.emplace_back(t.first, a.todo.fails ? "failed" : "done");
            }
        }
        for (const std::pair<std::string, std::string>& e : ends) {
            end_run(l, e.first, e.second);
        }
        for (auto w = l.polls.begin(); w != l.polls.end();) {
            if (l.ends.empty() && now < w->until) {
                ++w;
                continue;
            }
            const http_respond respond = w->respond;
            l.told.insert(w->sender);
            w = l.polls.erase(w);
            respond(report(l));
        }
    }
}

} // namespace lab3
