// Implements the stand-ins for executors and their advisor.

#include "lab.h"

#include <algorithm>
#include <cstdlib>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sesamesill/rpc.h"

namespace lab {
namespace {

constexpr millis tick_period{10};
constexpr std::size_t max_advised_executors = 100; ///< the pages' limit of a call for advice
constexpr int max_waiting_advice = 32;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

http_reply json_reply(int status, const Json::Value& body)
{
    return {status, to_text(body), {}, "application/json"};
}

std::string ticket_name(const std::string& step, const std::string& executor)
{
    return step + "/" + executor;
}

} // namespace

void record::line(const std::string& text)
{
    out_ << elapsed_ms() << " ms  " << text << '\n' << std::flush;
}

/// Returns the loopback address of this case. It differs between cases that run at the same time,
/// so that they can't take each other's ports.
std::string case_address()
{
    const unsigned id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(1 + id % 250) + ".1";
}

endpoint free_endpoint()
{
    static const std::string address = case_address();
    static std::set<std::uint16_t> given;
    for (;;) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        socklen_t size = sizeof at;
        if (inet_pton(AF_INET, address.c_str(), &at.sin_addr) != 1 ||
            bind(fd, reinterpret_cast<const sockaddr*>(&at), size) != 0) {
            std::abort();
        }
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        close(fd);
        if (given.insert(ntohs(at.sin_port)).second) {
            return {address, ntohs(at.sin_port)};
        }
    }
}

std::string step_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

executor::executor(fleet& owner, executor_settings settings)
    : fleet_(owner), settings_(std::move(settings)), address_(free_endpoint()), born_ms_(unix_ms())
{
}

std::int64_t executor::clock_ms() const
{
    return to_millis(boot_clock::now() - started_);
}

void executor::route(const char* path,
                     const std::function<void(const Json::Value&, const http_respond&)>& handler)
{
    server_->route("POST", path,
                   [this, handler, life = life_](const http_request& r, const http_respond& to) {
                       if (life != life_ || dark_ || boot_clock::now() < cut_from_members_until_) {
                           unanswered_.push_back(to);
                           return;
                       }
                       const auto expected = r.headers.find("sesamesill-expect-instance");
                       if (expected != r.headers.end() && expected->second != settings_.id) {
                           to(reply(421));
                           return;
                       }
                       const std::optional<Json::Value> body = json_from(r.body);
                       if (!body || !body->isObject()) {
                           to(reply(400));
                           return;
                       }
                       handler(*body, to);
                   });
}

bool executor::listen(error& why)
{
    return serve(why);
}

bool executor::serve(error& why)
{
    server_ = std::make_unique<http_server>(fleet_.loop_);
    route("/-/run-start",
          [this](const Json::Value& body, const http_respond& to) { to(start_run(body)); });
    route("/-/run-stop",
          [this](const Json::Value& body, const http_respond& to) { to(stop_run(body)); });
    route("/-/hold", [this](const Json::Value& body, const http_respond& to) { poll(body, to); });
    server_->route("GET", "/healthz", [](const http_request&, const http_respond& to) {
        to(http_reply{200, "", {}, "text/plain"});
    });
    return server_->listen(address_, why);
}

void executor::cut_from_all(time_point until)
{
    cut_until_ = until;
    cut_from_members_until_ = until;
    for (waiting_poll& p : polls_) {
        unanswered_.push_back(p.respond);
    }
    polls_.clear();
    fleet_.record_.line("executor " + settings_.id + " is cut off");
}

void executor::restart(millis dark, millis late)
{
    fleet_.record_.line("executor " + settings_.id + " crashes");
    const Json::Value waiting = polls_.empty() ? Json::Value() : polls_.front().body;
    for (waiting_poll& p : polls_) {
        unanswered_.push_back(p.respond);
    }
    polls_.clear();
    for (const std::pair<const std::string, active_run>& r : runs_) {
        observed_run& seen = fleet_.observed_[r.second.observation];
        seen.ended_ms = fleet_.record_.elapsed_ms();
        seen.how = "crashed";
    }
    runs_.clear();
    ended_.clear();
    ends_.clear();
    last_end_ = 0;
    fence_ = 0;
    lease_ms_ = 0;
    seq_ = 0;
    ++life_;
    dark_ = true;
    server_->stop_listening();
    former_servers_.push_back(std::move(server_));
    fleet_.loop_.after(dark, [this] {
        error why;
        dark_ = false;
        started_ = boot_clock::now();
        born_ms_ = unix_ms();
        const bool serves = serve(why);
        fleet_.record_.line("executor " + settings_.id +
                            (serves ? " is back under its id" : " can't come back: " + why.reason));
        check_in();
    });
    if (waiting.isObject()) {
        fleet_.loop_.after(late, [this, waiting] {
            const bool applied = apply_poll(waiting);
            fleet_.record_.line(
                "executor " + settings_.id + " carries out a late poll with fence " +
                waiting["Fence"].asString() + (applied ? "" : ", which is too low"));
        });
    }
}

void executor::check_in()
{
    const time_point now = boot_clock::now();
    next_check_in_ = now + fleet_.settings_.check_in_period;
    if (now < cut_until_) {
        return;
    }
    has_entry_ = true;
    Json::Value entry;
    entry["Service"] = fleet::service;
    entry["Addr"] = to_string(address_);
    entry["Zone"] = "zone-a";
    entry["Version"] = "v1";
    entry["Slots"] = 8;
    entry["State"] = "ready";
    entry["ColdLeftMs"] = 0;
    entry["Machine"] = settings_.machine;
    entry["Labels"].append(settings_.kind);
    entry["Labels"].append(settings_.rack);
    entry["Capacity"]["Cpu"] = static_cast<Json::Int64>(settings_.cpu);
    entry["Capacity"]["MemMb"] = static_cast<Json::Int64>(settings_.memory_mb);
    entry["Capacity"]["Gpu"] = 0;
    entry["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    entry["Seq"] = static_cast<Json::UInt64>(++seq_);
    entry["born"] = static_cast<Json::Int64>(born_ms_);
    checked_in_ = now;
    fleet_.store_.put("keyed.servers", settings_.id, to_text(entry));
}

http_reply executor::reply(int status, const std::string& reason) const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    if (!reason.empty()) {
        body["Reason"] = reason;
    }
    return json_reply(status, body);
}

bool executor::passes_fence(const Json::Value& body)
{
    const std::uint64_t fence = body.get("Fence", 0).asUInt64();
    fence_ = std::max(fence_, fence);
    return fence >= fence_;
}

void executor::extend_lease(std::int64_t until_ms)
{
    lease_ms_ =
        std::max(lease_ms_, std::min(until_ms, clock_ms() + fleet_.settings_.max_hold.count()));
}

http_reply executor::start_run(const Json::Value& body)
{
    const std::string task = body["Task"].asString();
    const std::int64_t number = body["RunId"].asInt64();
    const std::int64_t until = body["UntilMs"].asInt64();
    if (!passes_fence(body)) {
        return reply(409, "fence");
    }
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.number == number) {
        return reply(200);
    }
    const auto ended = ended_.find(task);
    if (current != runs_.end() || (ended != ended_.end() && number <= ended->second)) {
        extend_lease(until);
        return reply(409, "old");
    }
    if (until <= clock_ms()) {
        return reply(409, "late");
    }
    if (fleet_.needs_ticket(task)) {
        const auto ticket = fleet_.tickets_.find(ticket_name(step_of(task), settings_.id));
        if (ticket == fleet_.tickets_.end() || boot_clock::now() >= ticket->second ||
            body["Ticket"].asString() != ticket->first) {
            return reply(409, "ticket");
        }
    }
    extend_lease(until);
    active_run r;
    r.number = number;
    r.began = boot_clock::now();
    r.plan = fleet_.plan(settings_.id, task, number);
    r.gang_size = fleet_.gang_size(task);
    r.works = r.gang_size == 0;
    r.observation = fleet_.observed_.size();
    fleet_.observed_.push_back(
        {settings_.id, task, number, fleet_.record_.elapsed_ms(), -1, "", 0, -1});
    runs_[task] = r;
    fleet_.record_.line("executor " + settings_.id + " starts " + task + " run " +
                        std::to_string(number));
    return reply(200);
}

http_reply executor::stop_run(const Json::Value& body)
{
    if (!passes_fence(body)) {
        return reply(409, "fence");
    }
    const std::string task = body["Task"].asString();
    const std::int64_t number = body["RunId"].asInt64();
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.number <= number) {
        if (!current->second.stopping) {
            current->second.stopping = true;
            current->second.stop_at = boot_clock::now() + fleet_.settings_.stop;
        }
        return reply(200);
    }
    std::int64_t& ended = ended_[task];
    ended = std::max(ended, number);
    return reply(200);
}

http_reply executor::report() const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    body["born"] = static_cast<Json::Int64>(born_ms_);
    body["Running"] = Json::Value(Json::arrayValue);
    body["EndedRuns"] = Json::Value(Json::arrayValue);
    const time_point now = boot_clock::now();
    for (const std::pair<const std::string, active_run>& r : runs_) {
        const std::int64_t worked = r.second.works ? to_millis(now - r.second.began) : 0;
        Json::Value row;
        row.append(r.first);
        row.append(static_cast<Json::Int64>(r.second.number));
        row.append("");
        row.append(static_cast<Json::Int64>(
            std::min<std::int64_t>(99, 100 * worked / r.second.plan.work.count())));
        row.append(0);
        body["Running"].append(row);
    }
    constexpr std::size_t max_ends = 500; ///< the pages' limit of one answer
    for (std::size_t i = 0; i < std::min(max_ends, ends_.size()); ++i) {
        const observed_run& end = fleet_.observed_[ends_[i]];
        Json::Value row;
        row.append(static_cast<Json::UInt64>(end.end_number));
        row.append(end.task);
        row.append(static_cast<Json::Int64>(end.run));
        row.append(end.how);
        row.append("");
        body["EndedRuns"].append(row);
    }
    return json_reply(200, body);
}

bool executor::apply_poll(const Json::Value& body)
{
    if (!passes_fence(body)) {
        return false;
    }
    const std::uint64_t seen = body.get("LastSeen", 0).asUInt64();
    while (!ends_.empty() && fleet_.observed_[ends_.front()].end_number <= seen) {
        fleet_.observed_[ends_.front()].noted_ms = fleet_.record_.elapsed_ms();
        ends_.pop_front();
    }
    if (body.isMember("UntilMs")) {
        extend_lease(body["UntilMs"].asInt64());
    }
    return true;
}

void executor::poll(const Json::Value& body, const http_respond& respond)
{
    if (!apply_poll(body)) {
        respond(reply(409, "fence"));
        return;
    }
    const millis wait(body.get("WaitMs", 0).asInt64());
    if (!ends_.empty() || wait == millis(0)) {
        respond(report());
        return;
    }
    polls_.push_back({boot_clock::now() + wait, respond, body});
}

void executor::end_run(const std::string& task, const std::string& how)
{
    const auto found = runs_.find(task);
    if (found == runs_.end()) {
        return;
    }
    const active_run ended = found->second;
    runs_.erase(found);
    std::int64_t& highest = ended_[task];
    highest = std::max(highest, ended.number);
    observed_run& seen = fleet_.observed_[ended.observation];
    seen.ended_ms = fleet_.record_.elapsed_ms();
    seen.how = how;
    seen.end_number = ++last_end_;
    ends_.push_back(ended.observation);
    fleet_.record_.line("executor " + settings_.id + " ends " + task + " run " +
                        std::to_string(ended.number) + ": " + how);
    if (ended.gang_size > 0) {
        fleet_.end_gang(task, ended.number, how == "done" ? "done" : "broken");
    }
}

void executor::tick(time_point now)
{
    if (!dark_ && now >= next_check_in_) {
        check_in();
    }
    if (has_entry_ &&
        now - checked_in_ >= fleet_.settings_.missed_check_ins * fleet_.settings_.check_in_period) {
        has_entry_ = false;
        fleet_.store_.put("keyed.servers", settings_.id, "");
        fleet_.record_.line("the entry of executor " + settings_.id + " expires");
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (std::pair<const std::string, active_run>& named : runs_) {
        active_run& r = named.second;
        if (!r.works && fleet_.gang_is_present(named.first, r.number, r.gang_size)) {
            r.works = true;
            r.began = now;
        }
        if (clock_ms() > lease_ms_) {
            ends.emplace_back(named.first, "lapsed");
        }
        else if (r.stopping && now >= r.stop_at) {
            ends.emplace_back(named.first, "stopped");
        }
        else if (!r.works && now - r.began > fleet_.settings_.gang_timeout) {
            ends.emplace_back(named.first, "alone");
        }
        else if (r.works && now - r.began >= r.plan.work) {
            ends.emplace_back(named.first, r.plan.fails ? "failed" : "done");
        }
    }
    for (const std::pair<std::string, std::string>& e : ends) {
        end_run(e.first, e.second);
    }
    for (auto p = polls_.begin(); p != polls_.end();) {
        if (ends_.empty() && now < p->until) {
            ++p;
            continue;
        }
        const http_respond respond = p->respond;
        p = polls_.erase(p);
        respond(report());
    }
}

std::int64_t executor::used_cpu() const
{
    return runs_.empty() ? 0 : settings_.cpu; // of the cases here, a run takes most of an executor
}

fleet::fleet(event_loop& loop, standin::platform_store& store, record& log, fleet_settings settings)
    : loop_(loop), store_(store), record_(log), settings_(settings), advice_server_(loop),
      advice_address_(free_endpoint())
{
    loop_.every(tick_period, [this] {
        const time_point now = boot_clock::now();
        for (const std::unique_ptr<executor>& e : executors_) {
            e->tick(now);
        }
    });
}

bool fleet::add(const executor_settings& settings, error& why)
{
    executors_.push_back(std::make_unique<executor>(*this, settings));
    if (!executors_.back()->listen(why)) {
        return false;
    }
    executors_.back()->check_in();
    return true;
}

bool fleet::serve_advice(error& why)
{
    advice_server_.route("POST", "/-/advise",
                         [this](const http_request& r, const http_respond& to) { advise(r, to); });
    return advice_server_.listen(advice_address_, why);
}

/// Serves the calls of one machine in turn. The machine is known by its name, as all members of a
/// case share one address.
void fleet::advise(const http_request& request, const http_respond& respond)
{
    const std::optional<Json::Value> body = json_from(request.body);
    if (!body || !body->isObject() || !(*body)["Workers"].isArray()) {
        respond(json_reply(400, Json::Value(Json::objectValue)));
        return;
    }
    const std::size_t named = (*body)["Workers"].size();
    if (named > max_advised_executors) {
        ++rejected_advice_calls_;
        record_.line("advisor rejects a call that names " + std::to_string(named) + " executors");
        respond(json_reply(400, Json::Value(Json::objectValue)));
        return;
    }
    const auto name = request.headers.find("x-client");
    const std::string caller = name != request.headers.end() ? name->second : request.peer;
    if (advice_waiting_[caller] >= max_waiting_advice) {
        respond(json_reply(429, Json::Value(Json::objectValue)));
        return;
    }
    ++advice_waiting_[caller];
    const time_point now = boot_clock::now();
    time_point& free = advisor_free_[caller];
    free = std::max(free, now) +
           millis(settings_.decide_ms +
                  static_cast<std::int64_t>(settings_.per_worker_ms * static_cast<double>(named)));
    loop_.after(millis(to_millis(free - now)), [this, caller, body = *body, respond] {
        --advice_waiting_[caller];
        answer_advice(caller, body, respond);
    });
}

void fleet::answer_advice(const std::string& caller, const Json::Value& body,
                          const http_respond& respond)
{
    const std::string step = body["Step"].asString();
    Json::Value answer;
    answer["Approved"] = Json::Value(Json::arrayValue);
    answer["ValidMs"] = static_cast<Json::Int64>(settings_.ticket_valid.count());
    for (const Json::Value& named : body["Workers"]) {
        const std::string id = named.asString();
        if (!allows(step, id)) {
            continue;
        }
        tickets_[ticket_name(step, id)] = boot_clock::now() + settings_.ticket_valid;
        Json::Value row;
        row.append(id);
        row.append(ticket_name(step, id));
        answer["Approved"].append(row);
    }
    record_.line("advisor approves " + std::to_string(answer["Approved"].size()) + " of " +
                 std::to_string(body["Workers"].size()) + " executors for " + step + " to " +
                 caller);
    respond(json_reply(200, answer));
}

bool fleet::gang_is_present(const std::string& task, std::int64_t run, int size) const
{
    const std::string prefix = step_of(task) + ".";
    int present = 0;
    for (const std::unique_ptr<executor>& e : executors_) {
        for (const auto& r : e->runs_) {
            present += r.second.number == run && r.first.compare(0, prefix.size(), prefix) == 0;
        }
    }
    return present == size;
}

void fleet::end_gang(const std::string& task, std::int64_t run, const std::string& how)
{
    const std::string prefix = step_of(task) + ".";
    for (const std::unique_ptr<executor>& e : executors_) {
        std::vector<std::string> members;
        for (const auto& r : e->runs_) {
            if (r.second.number == run && r.second.works &&
                r.first.compare(0, prefix.size(), prefix) == 0) {
                members.push_back(r.first);
            }
        }
        for (const std::string& m : members) {
            e->runs_.at(m).gang_size = 0; // the end of this member ends no others
            e->end_run(m, how);
        }
    }
}

std::vector<std::pair<observed_run, observed_run>> fleet::overlaps() const
{
    std::vector<std::pair<observed_run, observed_run>> found;
    for (std::size_t i = 0; i < observed_.size(); ++i) {
        for (std::size_t j = i + 1; j < observed_.size(); ++j) {
            const observed_run& a = observed_[i];
            const observed_run& b = observed_[j];
            const bool same_time = a.ended_ms < 0 || b.began_ms < a.ended_ms;
            if (a.task == b.task && same_time) {
                found.emplace_back(a, b);
            }
        }
    }
    return found;
}

int fleet::at_work(const std::string& job) const
{
    return static_cast<int>(
        std::count_if(observed_.begin(), observed_.end(), [&](const observed_run& r) {
            return r.ended_ms < 0 && job_of(r.task) == job;
        }));
}

double fleet::used_share() const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const std::unique_ptr<executor>& e : executors_) {
        used += e->used_cpu();
        all += e->settings().cpu;
    }
    return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

} // namespace lab
