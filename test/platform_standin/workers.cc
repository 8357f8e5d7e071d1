// Simulates workers that run tasks, and the advisor that approves workers for tasks.

#include "workers.h"

#include <algorithm>
#include <cmath>

#include "../standin/common.h"
#include "sesamesill/names.h"

namespace standin {
namespace {

constexpr millis tick_period{10};
constexpr millis min_late_order_delay{2000};
constexpr millis max_late_order_delay{4000};
constexpr double slowest_clock = 0.98;

constexpr name_table<pool::end_reason, 6> end_names{{{pool::end_reason::done, "done"},
                                                     {pool::end_reason::failed, "failed"},
                                                     {pool::end_reason::stopped, "stopped"},
                                                     {pool::end_reason::lease_expired, "lapsed"},
                                                     {pool::end_reason::gang_broken, "broken"},
                                                     {pool::end_reason::gang_timed_out, "alone"}}};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string ticket_text(const std::string& step, const std::string& worker)
{
    std::string text = step;
    return text.append("/").append(worker);
}

/// Approves every second worker by number, always the same ones for a step. Half of a dozen workers
/// is enough for any step.
bool approves(const std::string& step, const std::string& worker)
{
    const std::size_t number = std::strtoull(worker.c_str() + 1, nullptr, 10);
    return (std::hash<std::string>{}(step) + number) % 2 == 0;
}

} // namespace

fleet_worker::fleet_worker(fleet& owner, std::string id, worker_place place)
    : fleet_(owner), id_(std::move(id)), place_(std::move(place)), server_(owner.loop_),
      started_at_(boot_clock::now()), start_time_ms_(unix_ms()),
      clock_rate_(std::uniform_real_distribution<>(slowest_clock, 1.0)(owner.random_))
{
}

std::int64_t fleet_worker::clock_ms() const
{
    return static_cast<std::int64_t>(
        clock_rate_ * static_cast<double>(to_millis(boot_clock::now() - started_at_)));
}

bool fleet_worker::start(error& why)
{
    server_.route("POST", "/-/run-start", [this](const http_request& r, const http_respond& to) {
        serve_order(r, to, &fleet_worker::start_run);
    });
    server_.route("POST", "/-/run-stop", [this](const http_request& r, const http_respond& to) {
        serve_order(r, to, &fleet_worker::stop_run);
    });
    server_.route("POST", "/-/hold",
                  [this](const http_request& r, const http_respond& to) { poll(r, to); });
    if (!server_.listen(place_.listen, why)) {
        return false;
    }
    fleet_.loop_.after(place_.report_delay, [this, alive = alive_] {
        if (*alive) {
            heartbeat();
        }
    });
    return true;
}

void fleet_worker::heartbeat()
{
    Json::Value entry;
    entry["Service"] = fleet::service_name;
    entry["Addr"] = to_string(place_.advertised);
    entry["Zone"] = "zone-a";
    entry["Version"] = "1";
    entry["Slots"] = 8;
    entry["State"] = draining_ ? "draining" : "ready";
    entry["ColdLeftMs"] = 0;
    entry["Seq"] = static_cast<Json::UInt64>(++seq_);
    entry["Machine"] = place_.machine;
    entry["Labels"].append("plain");
    entry["Labels"].append(place_.rack);
    entry["Capacity"]["Cpu"] = static_cast<Json::Int64>(place_.capacity.cpu_millis);
    entry["Capacity"]["MemMb"] = static_cast<Json::Int64>(place_.capacity.memory_mb);
    entry["Capacity"]["Gpu"] = static_cast<Json::Int64>(place_.capacity.accelerators);
    entry["born"] = static_cast<Json::Int64>(start_time_ms_);
    if (draining_) {
        entry["RemainingMs"] =
            static_cast<Json::Int64>(std::max<std::int64_t>(0, earliest_stop_ms_ - clock_ms()));
    }
    if (!faults_.cut_from_store && !fleet_.store_.is_down()) {
        entry_written_at_ = boot_clock::now();
        fleet_.store_.put("keyed.servers", id_, to_text(entry));
    }
    fleet_.loop_.after(fleet_.bounds_.heartbeat, [this, alive = alive_] {
        if (*alive) {
            heartbeat();
        }
    });
}

void fleet_worker::drain(millis remaining, millis linger)
{
    draining_ = true;
    earliest_stop_ms_ = clock_ms() + remaining.count();
    stops_at_ms_ = earliest_stop_ms_ + linger.count();
    fleet_.observer_.on_draining(id_);
    heartbeat();
}

http_reply fleet_worker::reply(int status, const std::string& reason) const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    if (!reason.empty()) {
        body["Reason"] = reason;
    }
    return json_reply(status, body);
}

bool fleet_worker::passes_fence(const Json::Value& body)
{
    const std::uint64_t fence = body["Fence"].asUInt64();
    fence_ = std::max(fence_, fence);
    return fence >= fence_;
}

void fleet_worker::extend_lease(std::int64_t until_ms)
{
    const std::int64_t latest_end = clock_ms() + fleet_.bounds_.max_lease.count();
    lease_ms_ = std::max(lease_ms_, std::min(until_ms, latest_end));
    has_lease_ = has_lease_ || lease_ms_ > clock_ms();
}

bool fleet_worker::draw_late() const
{
    return faults_.late_orders > 0 &&
           std::uniform_real_distribution<>(0, 1)(fleet_.random_) < faults_.late_orders;
}

void fleet_worker::serve_order(const http_request& request, const http_respond& respond,
                               http_reply (fleet_worker::*order)(const Json::Value&, bool late))
{
    const auto expected_id = request.headers.find("sesamesill-expect-instance");
    if (expected_id != request.headers.end() && expected_id->second != id_) {
        respond(reply(421));
        return;
    }
    const std::optional<Json::Value> body = json_from(request.body);
    if (!body || !body->isObject() || !pool::task_id_from((*body)["Task"].asString())) {
        respond(reply(400));
        return;
    }
    if (draw_late()) {
        fleet_.unanswered_.push_back(respond);
        fleet_.execute_late(id_,
                            [body = *body, order](fleet_worker& w) { (w.*order)(body, true); });
        return;
    }
    respond(faults_.refuses ? reply(503) : (this->*order)(*body, false));
}

http_reply fleet_worker::start_run(const Json::Value& body, bool late)
{
    const std::string name = body["Task"].asString();
    const pool::task_id task = *pool::task_id_from(name);
    const std::int64_t number = body["RunId"].asInt64();
    if (!passes_fence(body)) {
        return reply(409, "fence");
    }
    const auto current = runs_.find(name);
    if (current != runs_.end() && current->second.number == number) {
        return reply(200);
    }
    const std::int64_t until = body["UntilMs"].asInt64();
    if (ended_[name] >= number) {
        extend_lease(until);
        return reply(409, "old");
    }
    if (until <= clock_ms()) {
        return reply(409, "late");
    }
    const std::optional<run_facts> facts = fleet_.observer_.facts_of(task, number);
    if (facts && facts->needs_ticket &&
        !fleet_.ticket_is_valid(body["Ticket"].asString(), step_name(task), id_)) {
        return reply(409, "ticket");
    }
    const std::string checkpoint = body["Checkpoint"].asString();
    fleet_.observer_.on_start({id_, task, number, body["Spec"].asString(), checkpoint, late});
    if (!facts) {
        return reply(200);
    }
    extend_lease(until);
    run r;
    r.task = task;
    r.number = number;
    r.facts = *facts;
    r.present = boot_clock::now();
    r.checkpoint = checkpoint;
    if (!checkpoint.empty()) {
        r.worked_ms = std::atof(checkpoint.c_str());
        r.pause_ms = static_cast<double>(fleet_.bounds_.restore.count());
    }
    r.gang_complete = !facts->step.gang;
    runs_[name] = r;
    return reply(200);
}

http_reply fleet_worker::stop_run(const Json::Value& body, bool /*late*/)
{
    if (!passes_fence(body)) {
        return reply(409, "fence");
    }
    const std::string name = body["Task"].asString();
    const std::int64_t number = body["RunId"].asInt64();
    const auto current = runs_.find(name);
    if (current != runs_.end() && current->second.number <= number) {
        if (!current->second.stop_at) {
            current->second.stop_at = boot_clock::now() + fleet_.bounds_.stop / 2;
        }
        return reply(200);
    }
    ended_[name] = std::max(ended_[name], number);
    return reply(200);
}

http_reply fleet_worker::report() const
{
    Json::Value body;
    body["ClockMs"] = static_cast<Json::Int64>(clock_ms());
    body["born"] = static_cast<Json::Int64>(start_time_ms_);
    body["Running"] = Json::Value(Json::arrayValue);
    body["EndedRuns"] = Json::Value(Json::arrayValue);
    for (const std::pair<const std::string, run>& r : runs_) {
        Json::Value row;
        row.append(r.first);
        row.append(static_cast<Json::Int64>(r.second.number));
        row.append(r.second.checkpoint);
        const double share =
            100 * r.second.worked_ms / static_cast<double>(r.second.facts.work.count());
        row.append(static_cast<int>(std::min(99.0, share)));
        row.append(0);
        body["Running"].append(row);
    }
    for (const pool::ended_task& e : ends_) {
        Json::Value row;
        row.append(static_cast<Json::UInt64>(e.number));
        row.append(e.task);
        row.append(static_cast<Json::Int64>(e.run));
        row.append(std::string(name_in(end_names, e.how)));
        row.append(e.checkpoint);
        body["EndedRuns"].append(row);
    }
    return json_reply(200, body);
}

void fleet_worker::poll(const http_request& request, const http_respond& respond)
{
    const auto expected_id = request.headers.find("sesamesill-expect-instance");
    const std::optional<Json::Value> body = json_from(request.body);
    if (expected_id != request.headers.end() && expected_id->second != id_) {
        respond(reply(421));
        return;
    }
    if (!body || !body->isObject()) {
        respond(reply(400));
        return;
    }
    if (draw_late()) {
        fleet_.unanswered_.push_back(respond);
        fleet_.execute_late(id_, [body = *body](fleet_worker& w) { w.apply_poll(body); });
        return;
    }
    if (!apply_poll(*body)) {
        respond(reply(409, "fence"));
        return;
    }
    const millis wait((*body)["WaitMs"].asInt64());
    if (!ends_.empty() || wait == millis(0)) {
        respond(report());
        return;
    }
    polls_.push_back({boot_clock::now() + wait, respond});
}

/// Drops the acknowledged ends and extends the lease. Returns false if the fence is too low.
bool fleet_worker::apply_poll(const Json::Value& body)
{
    if (!passes_fence(body)) {
        return false;
    }
    const std::uint64_t acknowledged = body["LastSeen"].asUInt64();
    while (!ends_.empty() && ends_.front().number <= acknowledged) {
        ends_.pop_front();
    }
    fleet_.observer_.on_ends_acknowledged(id_, std::min(acknowledged, last_end_));
    if (body["UntilMs"].isIntegral()) {
        extend_lease(body["UntilMs"].asInt64());
    }
    return true;
}

void fleet_worker::answer_polls()
{
    const time_point now = boot_clock::now();
    for (auto l = polls_.begin(); l != polls_.end();) {
        if (ends_.empty() && now < l->until) {
            ++l;
            continue;
        }
        const http_respond respond = l->respond;
        l = polls_.erase(l);
        respond(report());
    }
}

void fleet_worker::end_run(const std::string& task, pool::end_reason how)
{
    const auto found = runs_.find(task);
    if (found == runs_.end()) {
        return;
    }
    const run r = found->second;
    runs_.erase(found);
    ended_[task] = std::max(ended_[task], r.number);
    ends_.push_back({++last_end_, task, r.number, how, r.checkpoint});
    fleet_.observer_.on_end({id_, last_end_, r.task, r.number, how, r.checkpoint});
}

void fleet_worker::end_all(pool::end_reason how)
{
    while (!runs_.empty()) {
        const run r = runs_.begin()->second;
        end_run(runs_.begin()->first, how);
        if (r.facts.step.gang) {
            fleet_.end_gang(r.task, r.number, pool::end_reason::gang_broken);
        }
    }
}

void fleet_worker::work(run& r, millis period)
{
    if (faults_.stalled || !r.gang_complete) {
        return;
    }
    double spent = static_cast<double>(period.count()) / faults_.slowness;
    const double paused = std::min(spent, r.pause_ms);
    r.pause_ms -= paused;
    spent -= paused;
    const double step = static_cast<double>(fleet_.bounds_.checkpoint_period.count());
    const bool saves = r.facts.step.saves_progress &&
                       std::floor((r.worked_ms + spent) / step) > std::floor(r.worked_ms / step);
    r.worked_ms += spent;
    if (saves) {
        r.checkpoint = std::to_string(static_cast<int>(r.worked_ms)) + "-" + to_string(r.task);
        fleet_.observer_.on_checkpoint(r.task, r.checkpoint);
    }
}

void fleet_worker::tick(millis period)
{
    const time_point now = boot_clock::now();
    if ((has_lease_ || !runs_.empty()) && clock_ms() > lease_ms_) {
        has_lease_ = false; // also without runs: ends that aren't acknowledged no longer count
        fleet_.observer_.on_lease_expired(id_);
        end_all(pool::end_reason::lease_expired);
    }
    std::vector<std::pair<std::string, pool::end_reason>> ended;
    for (std::pair<const std::string, run>& named : runs_) {
        run& r = named.second;
        if (!r.gang_complete) {
            r.gang_complete = fleet_.gang_is_present(r);
        }
        work(r, period);
        const bool elapsed = r.worked_ms >= static_cast<double>(r.facts.work.count());
        if (r.stop_at && now >= *r.stop_at) {
            ended.emplace_back(named.first, pool::end_reason::stopped);
        }
        else if (!r.gang_complete && now - r.present > fleet_.bounds_.gang_timeout) {
            ended.emplace_back(named.first, pool::end_reason::gang_timed_out);
        }
        else if (elapsed) {
            const bool fails = r.facts.fails || faults_.fails_all;
            ended.emplace_back(named.first,
                               fails ? pool::end_reason::failed : pool::end_reason::done);
        }
    }
    for (const std::pair<std::string, pool::end_reason>& e : ended) {
        const auto found = runs_.find(e.first);
        if (found == runs_.end()) {
            continue; // the end of its gang already ended this run
        }
        const run r = found->second;
        end_run(e.first, e.second);
        if (r.facts.step.gang) {
            const bool gang_complete = e.second == pool::end_reason::done;
            fleet_.end_gang(r.task, r.number,
                            gang_complete ? pool::end_reason::done : pool::end_reason::gang_broken);
        }
    }
    answer_polls();
}

fleet::fleet(event_loop& loop, platform_store& store, run_observer& observer, worker_bounds bounds,
             std::uint64_t seed)
    : loop_(loop), store_(store), observer_(observer), bounds_(bounds), random_(seed)
{
    loop_.every(tick_period, [this] { tick(); });
}

fleet::~fleet()
{
    for (const std::pair<const std::string, std::unique_ptr<fleet_worker>>& w : workers_) {
        *w.second->alive_ = false;
    }
}

std::optional<std::string> fleet::add(const worker_place& place, const std::string& id, error& why)
{
    const std::string name = id.empty() ? "w" + std::to_string(next_id_++) : id;
    std::unique_ptr<fleet_worker> added = std::make_unique<fleet_worker>(*this, name, place);
    if (!added->start(why)) {
        return std::nullopt;
    }
    stale_entries_.erase(name);
    workers_[name] = std::move(added);
    return name;
}

void fleet::crash(const std::string& id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return;
    }
    fleet_worker& w = *found->second;
    *w.alive_ = false;
    const std::map<std::string, fleet_worker::run> runs = w.runs_;
    w.runs_.clear();
    for (const std::pair<const std::string, fleet_worker::run>& r : runs) {
        observer_.on_end(
            {id, 0, r.second.task, r.second.number, pool::end_reason::lease_expired, ""});
        if (r.second.facts.step.gang) {
            end_gang(r.second.task, r.second.number, pool::end_reason::gang_broken);
        }
    }
    workers_.erase(found);
    stale_entries_[id] = boot_clock::now();
}

fleet_worker* fleet::find(const std::string& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

std::vector<std::string> fleet::ids() const
{
    std::vector<std::string> all;
    for (const std::pair<const std::string, std::unique_ptr<fleet_worker>>& w : workers_) {
        all.push_back(w.first);
    }
    return all;
}

void fleet::tick()
{
    const time_point now = boot_clock::now();
    for (const std::pair<const std::string, std::unique_ptr<fleet_worker>>& w : workers_) {
        w.second->tick(tick_period);
    }
    for (const std::string& id : ids()) {
        const fleet_worker& w = *workers_[id];
        if (w.draining_ && w.clock_ms() >= w.stops_at_ms_) {
            crash(id);
            stale_entries_.erase(id);
            store_.put("keyed.servers", id, "");
        }
    }
    for (const std::pair<const std::string, std::unique_ptr<fleet_worker>>& w : workers_) {
        const bool cut = w.second->faults_.cut_from_store;
        if (cut && now - w.second->entry_written_at_ > bounds_.entry_lifetime &&
            !store_.value_of("keyed.servers", w.first).empty()) {
            store_.put("keyed.servers", w.first, "");
        }
    }
    for (auto e = stale_entries_.begin(); e != stale_entries_.end();) {
        const bool elapsed = now - e->second > bounds_.entry_lifetime;
        if (elapsed) {
            store_.put("keyed.servers", e->first, "");
        }
        e = elapsed ? stale_entries_.erase(e) : std::next(e);
    }
}

void fleet::execute_late(const std::string& id, std::function<void(fleet_worker&)> order)
{
    std::uniform_int_distribution<std::int64_t> delay(min_late_order_delay.count(),
                                                      max_late_order_delay.count());
    loop_.after(millis(delay(random_)), [this, id, order = std::move(order)] {
        fleet_worker* w = find(id);
        if (w != nullptr) {
            order(*w);
        }
    });
}

void fleet::expire_entries()
{
    for (const std::string& id : ids()) {
        store_.put("keyed.servers", id, "");
    }
}

bool fleet::gang_is_present(const fleet_worker::run& r) const
{
    int present = 0;
    pool::task_id member = r.task;
    for (member.index = 0; member.index < r.facts.step.tasks; ++member.index) {
        const std::string name = to_string(member);
        present += std::any_of(workers_.begin(), workers_.end(), [&](const auto& w) {
            const auto found = w.second->runs_.find(name);
            return found != w.second->runs_.end() && found->second.number == r.number;
        });
    }
    return present == r.facts.step.tasks;
}

void fleet::end_gang(const pool::task_id& member, std::int64_t run, pool::end_reason how)
{
    const std::string step = step_name(member) + ".";
    for (const std::pair<const std::string, std::unique_ptr<fleet_worker>>& w : workers_) {
        std::vector<std::string> tasks;
        for (const std::pair<const std::string, fleet_worker::run>& r : w.second->runs_) {
            if (r.first.compare(0, step.size(), step) == 0 && r.second.number == run &&
                r.second.gang_complete) {
                tasks.push_back(r.first);
            }
        }
        for (const std::string& task : tasks) {
            w.second->end_run(task, how);
        }
    }
}

void fleet::set_advice(millis base, double per_worker_ms, millis valid)
{
    advice_base_ = base;
    advice_per_worker_ms_ = per_worker_ms;
    advice_valid_ = valid;
}

void fleet::serve_advice(http_server& server)
{
    server.route("POST", "/-/advise",
                 [this](const http_request& r, const http_respond& to) { advise(r, to); });
}

void fleet::advise(const http_request& request, const http_respond& respond)
{
    const std::optional<Json::Value> body = json_from(request.body);
    if (!body || !body->isObject()) {
        respond(error_reply(400, "unreadable"));
        return;
    }
    const std::string step = (*body)["Step"].asString();
    Json::Value approved(Json::arrayValue);
    for (const Json::Value& named : (*body)["Workers"]) {
        const std::string worker = named.asString();
        const std::string text = ticket_text(step, worker);
        if (!approves(step, worker)) {
            continue;
        }
        tickets_[text] = boot_clock::now() + advice_valid_;
        Json::Value row;
        row.append(worker);
        row.append(text);
        approved.append(row);
    }
    Json::Value answer;
    answer["Approved"] = approved;
    answer["ValidMs"] = static_cast<Json::Int64>(advice_valid_.count());
    const double duration_ms = static_cast<double>(advice_base_.count()) +
                               advice_per_worker_ms_ * (*body)["Workers"].size();
    const time_point now = boot_clock::now();
    advisor_free_ = std::max(advisor_free_, now) + millis(static_cast<std::int64_t>(duration_ms));
    loop_.after(millis(to_millis(advisor_free_ - now)),
                [respond, answer] { respond(json_reply(200, answer)); });
}

bool fleet::ticket_is_valid(const std::string& text, const std::string& step,
                            const std::string& worker) const
{
    const auto known = tickets_.find(text);
    return text == ticket_text(step, worker) && known != tickets_.end() &&
           boot_clock::now() < known->second;
}

} // namespace standin
