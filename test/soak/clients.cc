// Draws random jobs, submits them and polls the state of each until it has ended.

#include "clients.h"

#include <cstdio>

#include <json/json.h>

#include "cell.h"
#include "sesamesill/rpc.h"

namespace soak {
namespace {

constexpr int max_attempts = 6;
constexpr millis client_timeout{3000};
constexpr millis retry_delay{300};
constexpr millis status_poll_gap{500};
constexpr millis due_check_period{50};
constexpr millis repeat_delay{2000};
constexpr millis shortest_work{50}; ///< may end before a leader learns of its worker's restart
constexpr millis long_work{8000}; ///< longer than a lease: at work while a cut worker's run lapses
constexpr double cancelled_share = 0.08;
constexpr double repeated_share = 0.05;       ///< jobs submitted a second time after `repeat_delay`
constexpr double always_failing_share = 0.02; ///< steps whose first task fails in every run

Json::Value body_of(const pool::job_spec& spec)
{
    Json::Value body;
    body["Spec"] = spec.payload;
    for (const pool::step_spec& s : spec.steps) {
        Json::Value step;
        step["Count"] = s.tasks;
        step["Cpu"] = static_cast<Json::Int64>(s.need.cpu_millis);
        step["MemMb"] = static_cast<Json::Int64>(s.need.memory_mb);
        step["EstMs"] = static_cast<Json::Int64>(s.estimate.count());
        for (const int earlier : s.after) {
            step["After"].append(earlier);
        }
        if (s.gang) {
            step["Gang"] = true;
        }
        if (s.saves_progress) {
            step["SavesProgress"] = true;
        }
        body["Steps"].append(step);
    }
    return body;
}

pool::step_spec step_of(int tasks, std::int64_t cpu_millis, millis estimate)
{
    pool::step_spec step;
    step.tasks = tasks;
    step.need = {cpu_millis, 100, 0};
    step.estimate = estimate;
    return step;
}

} // namespace

clients::clients(event_loop& loop, std::vector<endpoint> entries, promises& checks,
                 std::uint64_t seed, std::function<bool()> may_lack_plain_route)
    : loop_(loop), client_(loop, "soak"), entries_(std::move(entries)), checks_(checks),
      may_lack_plain_route_(std::move(may_lack_plain_route)), random_(seed)
{
    loop_.every(due_check_period, [this] { poll_due_jobs(); });
}

void clients::start(millis gap, int long_percent)
{
    long_percent_ = long_percent;
    submit_next(gap);
}

/// Draws a short job of one step, a chain of two steps, a gang, a job of tasks that save their
/// progress, or one of long tasks that don't.
pool::job_spec clients::draw(std::vector<millis>& work, std::vector<int>& runs_fail)
{
    std::uniform_int_distribution<int> percent(0, 99);
    pool::job_spec spec;
    char id[17];
    const std::uint64_t number = random_();
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
    spec.id = id;
    spec.queue = percent(random_) < 50 ? "plain" : "placed";
    spec.payload = "payload of " + spec.id;
    const int kind = percent(random_);
    if (long_percent_ > 0 && percent(random_) < long_percent_) {
        spec.steps = {step_of(2, 1000, long_work)};
        work = {long_work};
    }
    else if (kind < 60) {
        spec.steps = {step_of(2, 1000, millis(300))};
        work = {shortest_work + millis(number % 200)};
    }
    else if (kind < 80) {
        spec.steps = {step_of(4, 1000, millis(500)), step_of(3, 2000, millis(400))};
        spec.steps[1].after = {0};
        work = {millis(500), millis(300)};
    }
    else if (kind < 92) {
        spec.steps = {step_of(5, 2000, millis(900))};
        spec.steps[0].gang = true;
        spec.steps[0].saves_progress = percent(random_) < 50;
        work = {millis(1000)};
    }
    else {
        spec.steps = {step_of(2, 1000, millis(2500))};
        spec.steps[0].saves_progress = true;
        work = {millis(2500)};
    }
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const int draw = percent(random_);
        runs_fail.push_back(draw < 100 * always_failing_share ? 1000 : draw < 10 ? 1 : 0);
    }
    return spec;
}

void clients::submit_next(millis gap)
{
    if (stopped_) {
        return;
    }
    std::vector<millis> work;
    std::vector<int> runs_fail;
    job j;
    j.spec = draw(work, runs_fail);
    j.path = (j.spec.queue == "plain" ? cell::plain_prefix : cell::advised_prefix) + j.spec.id;
    checks_.declare(j.spec, work, runs_fail, j.spec.queue != "plain");
    const std::string id = j.spec.id;
    jobs_.emplace(id, std::move(j));
    ++counts_.sent;
    submit(id);
    std::exponential_distribution<> pause(1.0 / static_cast<double>(gap.count()));
    loop_.after(millis(static_cast<std::int64_t>(pause(random_))),
                [this, gap] { submit_next(gap); });
}

http_call clients::call_for(const job& j, const char* method) const
{
    http_call call;
    call.method = method;
    call.path = j.path;
    call.headers["Host"] = cell::host;
    call.headers["Sesamesill-Timeout-Ms"] = std::to_string(client_timeout.count());
    call.timeout = client_timeout;
    return call;
}

const endpoint& clients::random_entry()
{
    return entries_[random_() % entries_.size()];
}

void clients::submit(const std::string& id)
{
    job& j = jobs_.at(id);
    ++j.attempts;
    http_call call = call_for(j, "POST");
    call.headers["Content-Type"] = "application/json";
    call.body = to_text(body_of(j.spec));
    client_.send(random_entry(), std::move(call),
                 [this, id](const std::optional<http_reply>& reply, const error& why) {
                     on_submitted(id, reply, why);
                 });
}

void clients::on_submitted(const std::string& id, const std::optional<http_reply>& reply,
                           const error& why)
{
    job& j = jobs_.at(id);
    if (reply && reply->status == 200) {
        on_accepted(j);
        return;
    }
    const bool undeclared =
        reply && reply->status == 404 && j.spec.queue == "plain" && may_lack_plain_route_();
    const bool refused =
        reply ? reply->status == 503 || reply->status == 429 || undeclared : never_sent(why.code);
    if (reply && !refused && reply->status != 504 && reply->status != 502) {
        ++counts_.invalid;
        checks_.report("answers",
                       id + " got status " + std::to_string(reply->status) + " " + reply->body);
    }
    j.maybe_accepted = j.maybe_accepted || !refused;
    if (j.accepted) {
        return; // a repeated submission; the first was accepted
    }
    if (j.attempts < max_attempts) {
        loop_.after(retry_delay, [this, id] { submit(id); });
        return;
    }
    if (j.maybe_accepted) {
        ++counts_.unknown;
        return;
    }
    ++counts_.refused;
    checks_.on_submitted(id, submission::refused);
}

void clients::on_accepted(job& j)
{
    if (j.accepted) {
        return;
    }
    j.accepted = true;
    ++counts_.accepted;
    checks_.on_submitted(j.spec.id, submission::accepted);
    j.next_poll = boot_clock::now() + status_poll_gap;
    std::uniform_real_distribution<> share(0, 1);
    const std::string id = j.spec.id;
    if (share(random_) < cancelled_share) {
        loop_.after(millis(random_() % 1000), [this, id] { cancel(id, 0); });
    }
    else if (share(random_) < repeated_share) {
        loop_.after(repeat_delay, [this, id] { submit(id); });
    }
}

void clients::cancel(const std::string& id, int attempts)
{
    if (attempts == 0) {
        checks_.on_cancel_sent(id);
    }
    client_.send(random_entry(), call_for(jobs_.at(id), "DELETE"),
                 [this, id, attempts](const std::optional<http_reply>& reply, const error&) {
                     if (reply && (reply->status == 200 || reply->status == 410)) {
                         checks_.on_cancelled(id);
                     }
                     else if (attempts < max_attempts) {
                         loop_.after(retry_delay,
                                     [this, id, attempts] { cancel(id, attempts + 1); });
                     }
                 });
}

void clients::poll_due_jobs()
{
    const time_point now = boot_clock::now();
    for (std::pair<const std::string, job>& named : jobs_) {
        job& j = named.second;
        if (j.accepted && !j.ended && now >= j.next_poll) {
            j.next_poll = now + client_timeout +
                          status_poll_gap; // prevents a second poll while this one is pending
            poll_status(named.first);
        }
    }
}

void clients::poll_status(const std::string& id)
{
    client_.send(random_entry(), call_for(jobs_.at(id), "GET"),
                 [this, id](const std::optional<http_reply>& reply, const error&) {
                     job& j = jobs_.at(id);
                     j.next_poll = boot_clock::now() + status_poll_gap;
                     if (!reply) {
                         return; // the next poll asks for the state
                     }
                     if (reply->status == 410) {
                         checks_.on_gone(id);
                         return;
                     }
                     const std::optional<Json::Value> body = json_from(reply->body);
                     const std::optional<pool::job_state> state =
                         reply->status == 200 && body && body->isObject()
                             ? pool::job_state_from((*body)["State"].asString())
                             : std::nullopt;
                     if (state) {
                         checks_.on_shown(id, *state);
                         j.ended = is_final(*state);
                     }
                 });
}

} // namespace soak
