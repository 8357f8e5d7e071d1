// Workers, and the check that no task runs twice.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "sesamesill/pool_job.h"
#include "sesamesill/rpc.h"
#include "world.h"

namespace lab {
namespace {

http_reply json(int status, const Json::Value& body)
{
    return {status, to_text(body), {}, "application/json"};
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void run_watch::on_start(const std::string& worker, const std::string& task, std::int64_t run)
{
    ++starts;
    started_jobs_.insert(task.substr(0, task.find('.')));
    task_state& t = tasks_[task];
    for (const std::pair<const std::string, std::int64_t>& other : t.active) {
        if (other.first != worker) {
            ++overlaps_;
            log_.line("TWICE: %s run %lld starts on %s while run %lld is at work on %s",
                      task.c_str(), static_cast<long long>(run), worker.c_str(),
                      static_cast<long long>(other.second), other.first.c_str());
        }
    }
    t.active[worker] = run;
    t.starts.push_back({task, run, worker, boot_clock::now()});
}

void run_watch::on_end(const std::string& worker, const std::string& task, std::int64_t run,
                       std::uint64_t number, const std::string& how)
{
    ++ends;
    task_state& t = tasks_[task];
    t.active.erase(worker);
    open_ends_[worker][number] = task;
    if (how == "done") {
        ++done;
        if (t.done.empty()) {
            ++done_of[task.substr(0, task.find('.'))];
        }
        t.done.push_back({worker, number, run, boot_clock::now(), false, false});
    }
}

void run_watch::on_taken_note(const std::string& worker, std::uint64_t number)
{
    std::map<std::uint64_t, std::string>& open = open_ends_[worker];
    while (!open.empty() && open.begin()->first <= number) {
        ++ends_taken_note;
        for (ended& e : tasks_[open.begin()->second].done) {
            if (e.worker == worker && e.number == open.begin()->first && !e.lapsed) {
                e.taken = true;
            }
        }
        open.erase(open.begin());
    }
}

void run_watch::on_lapse(const std::string& worker)
{
    for (const std::pair<const std::uint64_t, std::string>& o : open_ends_[worker]) {
        for (ended& e : tasks_[o.second].done) {
            e.lapsed = e.lapsed || (e.worker == worker && !e.taken);
        }
    }
}

int run_watch::count_twice()
{
    int again = 0;
    for (const std::pair<const std::string, task_state>& t : tasks_) {
        for (const run_event& s : t.second.starts) {
            for (const ended& e : t.second.done) {
                if (e.taken && s.at > e.at) {
                    ++again;
                    log_.line("TWICE: %s run %lld was started on %s after run %lld had ended as "
                              "done on %s, an end that was taken note of",
                              t.first.c_str(), static_cast<long long>(s.run), s.worker.c_str(),
                              static_cast<long long>(e.run), e.worker.c_str());
                }
            }
        }
    }
    return overlaps_ + again;
}

worker::worker(fleet& owner, std::string id, std::string machine, std::string rack, endpoint listen,
               endpoint advertised)
    : fleet_(owner), id_(std::move(id)), machine_(std::move(machine)), rack_(std::move(rack)),
      listen_(std::move(listen)), advertised_(std::move(advertised)), server_(owner.loop_),
      born_(boot_clock::now()), born_ms_(unix_ms())
{
}

std::int64_t worker::clock_ms() const
{
    constexpr std::int64_t offset = 100000; // its clock started before its process
    return offset + to_millis(boot_clock::now() - born_);
}

bool worker::start(error& why)
{
    const auto order = [this](http_reply (worker::*handle)(const Json::Value&)) {
        return [this, handle](const http_request& r, const http_respond& to) {
            Json::Value body;
            if (passes(r, to, body)) {
                to((this->*handle)(body));
            }
        };
    };
    server_.route("POST", "/-/run-start", order(&worker::start_run));
    server_.route("POST", "/-/run-stop", order(&worker::stop_run));
    server_.route("POST", "/-/hold", [this](const http_request& r, const http_respond& to) {
        Json::Value body;
        if (passes(r, to, body)) {
            poll(body, to);
        }
    });
    if (!server_.listen(listen_, why)) {
        return false;
    }
    check_in();
    return true;
}

void worker::check_in()
{
    fleet_.loop_.after(fleet::check_in_interval, [this] { check_in(); });
    if (!sends_check_ins) {
        return;
    }
    last_check_in_ = boot_clock::now();
    fleet_.removed_entries_.erase(id_);
    Json::Value e;
    e["Service"] = fleet::service;
    e["Addr"] = to_string(advertised_);
    e["Zone"] = "zone-a";
    e["Version"] = "v1";
    e["Slots"] = 8;
    e["State"] = "ready";
    e["ColdLeftMs"] = 0;
    e["Capacity"]["Cpu"] = static_cast<Json::Int64>(fleet_.cpu_millis);
    e["Capacity"]["MemMb"] = static_cast<Json::Int64>(fleet_.memory_mb);
    e["Capacity"]["Gpu"] = 0;
    e["Labels"].append("a");
    e["Labels"].append(rack_);
    e["Machine"] = machine_;
    e["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    e["Seq"] = static_cast<Json::UInt64>(++seq_);
    e["born"] = static_cast<Json::Int64>(born_ms_);
    fleet_.store_.put("keyed.servers", id_, to_text(e));
}

http_reply worker::reply(int status, const std::string& reason) const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    if (!reason.empty()) {
        body["Reason"] = reason;
    }
    return json(status, body);
}

bool worker::passes(const http_request& request, const http_respond& respond, Json::Value& body)
{
    const auto expected = request.headers.find("sesamesill-expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
        respond(reply(421));
        return false;
    }
    const std::optional<Json::Value> parsed = json_from(request.body);
    if (!parsed || !parsed->isObject()) {
        respond(reply(400));
        return false;
    }
    body = *parsed;
    const std::uint64_t fence = body["Fence"].asUInt64();
    if (fence < fence_) {
        respond(reply(409, "fence"));
        return false;
    }
    fence_ = fence;
    return true;
}

void worker::extend_lease(std::int64_t until)
{
    lease_ms_ = std::max(lease_ms_, std::min(until, clock_ms() + fleet::max_lease.count()));
}

http_reply worker::start_run(const Json::Value& body)
{
    const std::string name = body["Task"].asString();
    const std::int64_t number = body["RunId"].asInt64();
    const std::int64_t until = body["UntilMs"].asInt64();
    const std::optional<pool::task_id> task = pool::task_id_from(name);
    if (!task) {
        return reply(400);
    }
    const auto current = runs_.find(name);
    if (current != runs_.end() && current->second.number == number) {
        return reply(200);
    }
    if (highest_ended_[name] >= number ||
        (current != runs_.end() && current->second.number > number)) {
        extend_lease(until);
        return reply(409, "old");
    }
    if (until <= clock_ms()) {
        return reply(409, "late");
    }
    const auto known = fleet_.jobs_.find(task->job);
    fleet_.log_.line("worker %s: start %s run %lld, fence %llu%s", id_.c_str(), name.c_str(),
                     static_cast<long long>(number), static_cast<unsigned long long>(fence_),
                     known == fleet_.jobs_.end() ? ", a job that nobody handed in" : "");
    fleet_.watch_.on_start(id_, name, number);
    extend_lease(until);
    run r;
    r.number = number;
    r.checkpoint = body["Checkpoint"].asString();
    if (known != fleet_.jobs_.end()) {
        const std::size_t step = static_cast<std::size_t>(task->step);
        r.work = known->second.work[step];
        r.saves = known->second.saves[step];
    }
    if (!r.checkpoint.empty()) {
        r.worked_ms =
            static_cast<double>(std::strtoll(r.checkpoint.substr(0, 8).c_str(), nullptr, 16));
        r.pause_ms = static_cast<double>(fleet::restore.count());
    }
    runs_[name] = r;
    return reply(200);
}

http_reply worker::stop_run(const Json::Value& body)
{
    const std::string name = body["Task"].asString();
    const std::int64_t number = body["RunId"].asInt64();
    const auto current = runs_.find(name);
    if (current != runs_.end() && current->second.number <= number) {
        if (!current->second.stop_at) {
            current->second.stop_at = boot_clock::now() + fleet::stop_time / 2;
        }
        return reply(200);
    }
    highest_ended_[name] = std::max(highest_ended_[name], number);
    return reply(200);
}

void worker::poll(const Json::Value& body, const http_respond& respond)
{
    const std::uint64_t seen = body["LastSeen"].asUInt64();
    while (!ends_.empty() && ends_.front().number <= seen) {
        ends_.pop_front();
    }
    fleet_.watch_.on_taken_note(id_, seen);
    if (body["UntilMs"].isIntegral()) {
        extend_lease(body["UntilMs"].asInt64());
    }
    const millis wait(std::min<std::int64_t>(2000, body["WaitMs"].asInt64()));
    if (!ends_.empty() || wait == millis(0)) {
        respond(report());
        return;
    }
    polls_.push_back({boot_clock::now() + wait, respond});
}

http_reply worker::report() const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    body["born"] = static_cast<Json::Int64>(born_ms_);
    body["Running"] = Json::Value(Json::arrayValue);
    body["EndedRuns"] = Json::Value(Json::arrayValue);
    for (const std::pair<const std::string, run>& r : runs_) {
        Json::Value row;
        row.append(r.first);
        row.append(static_cast<Json::Int64>(r.second.number));
        row.append(r.second.checkpoint);
        const double whole = std::max(1.0, static_cast<double>(r.second.work.count()));
        row.append(static_cast<int>(std::min(99.0, 100 * r.second.worked_ms / whole)));
        row.append(0);
        body["Running"].append(row);
    }
    std::size_t listed = 0;
    for (const listed_end& e : ends_) {
        if (++listed > fleet::ends_a_report) {
            break;
        }
        Json::Value row;
        row.append(static_cast<Json::UInt64>(e.number));
        row.append(e.task);
        row.append(static_cast<Json::Int64>(e.run));
        row.append(e.how);
        row.append(e.checkpoint);
        body["EndedRuns"].append(row);
    }
    return json(200, body);
}

void worker::end(const std::string& task, const std::string& how)
{
    const auto known = runs_.find(task);
    const run r = known->second;
    runs_.erase(known);
    highest_ended_[task] = std::max(highest_ended_[task], r.number);
    ends_.push_back({++last_end_, task, r.number, how, r.saves ? r.checkpoint : ""});
    fleet_.log_.line("worker %s: end %llu, %s run %lld %s", id_.c_str(),
                     static_cast<unsigned long long>(last_end_), task.c_str(),
                     static_cast<long long>(r.number), how.c_str());
    fleet_.watch_.on_end(id_, task, r.number, last_end_, how);
}

void worker::tick(millis period)
{
    const time_point now = boot_clock::now();
    std::vector<std::pair<std::string, std::string>> ended;
    const bool lapsed = clock_ms() > lease_ms_;
    if (lapsed) {
        fleet_.watch_.on_lapse(id_);
    }
    for (std::pair<const std::string, run>& named : runs_) {
        run& r = named.second;
        double spent = static_cast<double>(period.count());
        const double paused = std::min(spent, r.pause_ms);
        r.pause_ms -= paused;
        spent -= paused;
        const double interval = static_cast<double>(fleet::checkpoint_interval.count());
        const bool saves = r.saves && std::floor((r.worked_ms + spent) / interval) >
                                          std::floor(r.worked_ms / interval);
        r.worked_ms += spent;
        if (saves || (r.saves && r.stop_at && now >= *r.stop_at)) {
            char text[17];
            std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(r.worked_ms),
                          static_cast<unsigned>(std::hash<std::string>{}(named.first)));
            r.checkpoint = text;
        }
        if (lapsed) {
            ended.emplace_back(named.first, "lapsed");
        }
        else if (r.stop_at && now >= *r.stop_at) {
            ended.emplace_back(named.first, "stopped");
        }
        else if (r.worked_ms >= static_cast<double>(r.work.count())) {
            ended.emplace_back(named.first, "done");
        }
    }
    for (const std::pair<std::string, std::string>& e : ended) {
        end(e.first, e.second);
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

fleet::fleet(event_loop& loop, store& records, record& log, run_watch& watch,
             std::map<std::string, job>& jobs)
    : loop_(loop), store_(records), log_(log), watch_(watch), jobs_(jobs),
      last_tick_(boot_clock::now())
{
    loop_.every(millis(10), [this] { tick(); });
}

bool fleet::add(const std::string& id, const std::string& rack, const endpoint& listen,
                const endpoint& advertised, error& why)
{
    std::unique_ptr<worker> w =
        std::make_unique<worker>(*this, id, "m-" + id.substr(2), rack, listen, advertised);
    if (!w->start(why)) {
        return false;
    }
    workers_[id] = std::move(w);
    return true;
}

worker* fleet::find(const std::string& id)
{
    const auto known = workers_.find(id);
    return known == workers_.end() ? nullptr : known->second.get();
}

std::vector<worker*> fleet::all()
{
    std::vector<worker*> result;
    for (const std::pair<const std::string, std::unique_ptr<worker>>& w : workers_) {
        result.push_back(w.second.get());
    }
    return result;
}

void fleet::tick()
{
    const time_point now = boot_clock::now();
    const millis period(to_millis(now - last_tick_));
    if (period == millis(0)) {
        return;
    }
    last_tick_ += period;
    for (const std::pair<const std::string, std::unique_ptr<worker>>& w : workers_) {
        w.second->tick(period);
        // The store removes an entry after three check-in intervals of silence.
        if (now - w.second->last_check_in() > 3 * check_in_interval &&
            removed_entries_.insert(w.first).second) {
            log_.line("store: the entry of %s is removed after three intervals of silence",
                      w.first.c_str());
            store_.put("keyed.servers", w.first, "");
        }
    }
}

} // namespace lab
