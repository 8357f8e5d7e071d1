// The cases of the third review that can't be put as a day of the bench.

#include <algorithm>
#include <chrono>
#include <csignal>

#include "lab.h"
#include "sesamesill/rpc.h"

namespace lab3 {
namespace {

std::string job_of(const Json::Value& step)
{
    Json::Value job;
    job["Spec"] = "place-hold";
    job["Steps"].append(step);
    return to_text(job);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool add_executors(cell& c, int count, error& why)
{
    for (int i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        if (!c.workers().add(
                {"i-7f3a91c" + number, "m-0a3f" + number, "r1-" + std::to_string(1 + i / 6), "a"},
                why)) {
            return false;
        }
    }
    return true;
}

bool begin(cell& c, int count)
{
    error why;
    if (!c.start(why) || !add_executors(c, count, why)) {
        c.log().line("can't start: " + why.reason);
        return false;
    }
    return true;
}

/// Submits the job until it is accepted, then calls `accepted`.
void submit(cell& c, const std::string& id, const std::string& body,
            const std::function<void()>& accepted)
{
    c.request(
        "POST", cell::prefix + id, body,
        [&c, accepted](int status, const std::string&) {
            if (status == 200) {
                accepted();
                return;
            }
            c.loop().stop();
        },
        10);
}

/// Returns whether a task of the lasting job was without a run for too long. The rule: from 6 s
/// after its last run, it isn't without a run for 3 s, if they and the 4 s before them are calm.
bool had_no_run(cell& c, const std::string& id, int tasks, std::int64_t calm_from)
{
    bool lost = false;
    for (int i = 0; i < tasks; ++i) {
        const std::string task = id + ".0.0." + std::to_string(i);
        std::int64_t ended = -1;
        for (const run_seen& r : c.workers().runs()) {
            if (r.task != task) {
                continue;
            }
            if (ended >= 0) {
                const std::int64_t from = std::max(ended + 6000, calm_from + 4000);
                c.log().line(
                    task + " had no run from " + std::to_string(ended) + " to " +
                    std::to_string(r.began_ms) + " ms; counted from " + std::to_string(from) +
                    " ms: " + std::to_string(std::max<std::int64_t>(0, r.began_ms - from)) +
                    " ms (rule: less than 3000)");
                lost = lost || r.began_ms - from >= 3000;
            }
            ended = r.ended_ms;
        }
        if (ended >= 0) {
            c.log().line(task + " has no run since " + std::to_string(ended) + " ms");
            lost = true;
        }
    }
    return lost;
}

Json::Value step_of_two()
{
    Json::Value step;
    step["Count"] = 2;
    step["Cpu"] = 2800;
    step["MemMb"] = 5200;
    step["EstMs"] = 500;
    return step;
}

/// Returns the body of a job that begins in 5 s and runs `times` times, each minute.
std::string job_each_minute(const Json::Value& step, int times)
{
    Json::Value job;
    job["Spec"] = "place-hold";
    job["Steps"].append(step);
    job["Times"] = times;
    job["StartAtMs"] = static_cast<Json::Int64>(unix_ms() + 5000);
    job["IntervalMs"] = 60000;
    return to_text(job);
}

/// Returns on how many machines the process was over its memory three times or more.
int machines_over_memory(cell& c)
{
    int machines = 0;
    for (const std::pair<const std::string, int>& m : c.over_memory()) {
        c.log().line("FAULT: the process on " + m.first + " was over its memory " +
                     std::to_string(m.second) + " times");
        machines += m.second >= 3 ? 1 : 0;
    }
    return machines;
}

/// Returns whether a job's state couldn't be had; `asked` holds the last answer for each job.
bool has_unanswered(cell& c, const std::map<std::string, int>& asked)
{
    bool lost = false;
    for (const std::pair<const std::string, int>& a : asked) {
        if (a.second != 200) {
            lost = true;
            c.log().line("LOST: the accepted job " + a.first +
                         " was asked for 5 times, last answer " +
                         (a.second == 0 ? "none" : std::to_string(a.second)));
        }
    }
    return lost;
}

/// Returns whether a task began, or was at work, too late after its job's cancelling was
/// acknowledged.
bool has_unasked_run(cell& c, std::int64_t acknowledged_ms, std::int64_t thawed_ms)
{
    constexpr std::int64_t cancel_ms = 3000;
    constexpr std::int64_t stop_timeout_ms = 900;
    constexpr std::int64_t contact_ms = 3000;
    bool unasked = false;
    const std::int64_t gone_by = acknowledged_ms + cancel_ms + stop_timeout_ms;
    const std::int64_t calm_from = thawed_ms + contact_ms;
    for (const run_seen& r : c.workers().runs()) {
        const std::int64_t end = r.ended_ms < 0 ? c.log().now_ms() : r.ended_ms;
        const bool started_late = r.began_ms > acknowledged_ms + cancel_ms;
        const bool runs_on = end > std::max(gone_by, calm_from + cancel_ms + stop_timeout_ms);
        if (started_late || runs_on) {
            unasked = true;
            c.log().line("UNASKED: the cancelling was acknowledged at " +
                         std::to_string(acknowledged_ms) + " ms; " + r.task + " began at " +
                         std::to_string(r.began_ms) + " ms and was at work until " +
                         std::to_string(end) + " ms or longer");
        }
    }
    return unasked;
}

} // namespace

/// A job runs. Another writer puts an entry into the list of executors: it names the machine of an
/// executor, and lacks fields.
int foreign_entry(cell& c, bool trouble)
{
    constexpr int tasks = 8;
    constexpr millis calm{3000};
    constexpr millis length{9000};
    c.workers().plan = [length](const std::string&) { return work{length}; };
    if (!begin(c, 12)) {
        return c.finish(could_not_run);
    }
    const std::string id = "5c0e7a21d94b36f8";
    bool accepted = false;
    Json::Value step;
    step["Count"] = tasks;
    step["Cpu"] = 9000;
    step["MemMb"] = 8000;
    step["EstMs"] = static_cast<Json::Int64>(length.count());
    c.loop().after(millis(4000), [&] {
        submit(c, id, job_of(step), [&] {
            accepted = true;
            c.loop().after(calm, [&] {
                const std::string used = c.workers().executor_of(id + ".0.0.0");
                if (!trouble || used.empty()) {
                    return;
                }
                const std::optional<Json::Value> real = json_from(c.workers().entry_of(used));
                Json::Value entry; // without Zone, Version, Slots, ColdLeftMs, Labels and Seq
                entry["Service"] = executors::service;
                entry["Addr"] = "127.0.0.1:9";
                entry["State"] = "ready";
                entry["Capacity"] = (*real)["Capacity"];
                entry["Machine"] = (*real)["Machine"];
                entry["born"] = (*real)["born"].asInt64() + 5000;
                c.store().put("keyed.servers", "agent-41", to_text(entry));
                c.log().line("another writer puts servers/agent-41: " + to_text(entry) +
                             ", while servers/" + used + " is " + to_text(*real));
            });
            c.loop().after(calm + length, [&] { c.loop().stop(); });
        });
    });
    c.loop().after(millis(60000), [&] { c.loop().stop(); });
    c.loop().run();
    const std::vector<run_seen>& runs = c.workers().runs();
    if (!c.all_run() || !accepted || runs.size() < tasks) {
        return c.finish(could_not_run);
    }
    bool twice = false;
    const std::int64_t now = c.log().now_ms();
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            const std::int64_t end = runs[i].ended_ms < 0 ? now : runs[i].ended_ms;
            if (runs[i].task == runs[k].task && runs[k].began_ms < end) {
                twice = true;
                c.log().line(
                    "TWICE: " + runs[i].task + " run " + std::to_string(runs[i].run) + " on " +
                    runs[i].executor + " from " + std::to_string(runs[i].began_ms) + " to " +
                    std::to_string(end) + " ms, and run " + std::to_string(runs[k].run) + " on " +
                    runs[k].executor + " from " + std::to_string(runs[k].began_ms) + " ms");
            }
        }
    }
    return c.finish(twice ? rule_broken : rule_held);
}

/// A job that lasts runs. One executor loses power for good, and the member that gives the orders
/// is killed a second later.
int late_successor(cell& c, bool trouble)
{
    constexpr int tasks = 12;
    c.workers().plan = [](const std::string&) { return work{millis(0), true}; };
    if (!begin(c, 12)) {
        return c.finish(could_not_run);
    }
    const std::string id = "5c0e7a21d94b36f8";
    bool accepted = false;
    std::int64_t killed_ms = 0;
    std::string gone;
    Json::Value step;
    step["Count"] = tasks;
    step["Cpu"] = 9000;
    step["MemMb"] = 8000;
    step["EstMs"] = 1000;
    step["LongRunning"] = true;
    step["AntiAffinity"] = 2;
    c.loop().after(millis(4000), [&] {
        submit(c, id, job_of(step), [&] {
            accepted = true;
            c.loop().after(millis(5000), [&] {
                gone = c.workers().executor_of(id + ".0.0.0");
                c.workers().crash(gone, true);
                c.loop().after(millis(1000), [&] {
                    killed_ms = c.log().now_ms();
                    if (trouble) {
                        c.kill_member(c.workers().last_sender(), millis(700));
                    }
                });
                c.loop().after(millis(20000), [&] { c.loop().stop(); });
            });
        });
    });
    c.loop().after(millis(90000), [&] { c.loop().stop(); });
    c.loop().run();
    if (!c.all_run() || !accepted || gone.empty()) {
        return c.finish(could_not_run);
    }
    const bool lost = had_no_run(c, id, tasks, killed_ms + 700);
    return c.finish(lost ? rule_broken : rule_held);
}

/// Jobs need executors of kind "a". One of these is started again under its id, of kind "b".
int other_kind(cell& c, bool trouble)
{
    c.workers().plan = [](const std::string&) { return work{millis(400)}; };
    if (!begin(c, 8)) {
        return c.finish(could_not_run);
    }
    int sent = 0;
    int accepted = 0;
    Json::Value step;
    step["Count"] = 6;
    step["Cpu"] = 9000;
    step["MemMb"] = 8000;
    step["EstMs"] = 400;
    step["Requires"] = "a";
    const std::string body = job_of(step);
    std::function<void()> next = [&] {
        std::string id = std::to_string(++sent);
        id.insert(0, 16 - id.size(), '0');
        c.request("POST", cell::prefix + id, body,
                  [&](int status, const std::string&) { accepted += status == 200 ? 1 : 0; });
        if (sent < 200) {
            c.loop().after(millis(100), next);
        }
    };
    c.loop().after(millis(4000), next);
    for (int n = 0; n < 4; ++n) {
        const std::string id = "i-7f3a91c" + std::to_string(n);
        c.loop().after(millis(7000 + 3000 * n), [&c, id] { c.workers().crash(id, false); });
        c.loop().after(millis(7300 + 3000 * n), [&c, id, trouble] {
            error why;
            c.workers().start_again(id, trouble ? "b" : "a", why);
        });
    }
    c.loop().after(millis(30000), [&] { c.loop().stop(); });
    c.loop().run();
    if (!c.all_run() || accepted < sent / 2) {
        return c.finish(could_not_run);
    }
    bool wrong = false;
    for (const run_seen& r : c.workers().runs()) {
        if (r.kind != "a") {
            // A start that was sent before any answer of the new life is left out: its sender may
            // not have known of the crash.
            wrong = wrong || r.told_birth;
            c.log().line("ROUTE: " + r.task + " run " + std::to_string(r.run) + " began at " +
                         std::to_string(r.began_ms) + " ms on " + r.executor + " of kind " +
                         r.kind +
                         (r.told_birth ? ", its sender knew of the new life" : ", not counted"));
        }
    }
    return c.finish(wrong ? rule_broken : rule_held);
}

/// Requesters hand in jobs that run each minute of a day, at about half the rate of the small
/// deployment's `place-hold`. The platform ends a process that needs more memory than its machine
/// has, and starts it again.
int daily_jobs(cell& c, bool trouble)
{
    constexpr int jobs = 600;
    constexpr int minutes_of_a_day = 1440;
    c.workers().plan = [](const std::string&) { return work{millis(500)}; };
    if (!begin(c, 12)) {
        return c.finish(could_not_run);
    }
    c.limit_memory(260);
    std::map<std::string, int> asked; // the last answer for each accepted job
    const std::string plain = "00000000000000aa";
    int sent = 0;
    int accepted = 0;
    const Json::Value step = step_of_two();
    std::function<void()> next = [&] {
        std::string id = std::to_string(++sent);
        id.insert(0, 16 - id.size(), '0');
        c.request("POST", cell::prefix + id, job_each_minute(step, trouble ? minutes_of_a_day : 8),
                  [&, id](int status, const std::string&) {
                      accepted += status == 200 ? 1 : 0;
                      if (status == 200 && accepted % 20 == 1) { // each twentieth is asked for
                          asked[id] = 0;
                      }
                  });
        if (sent < jobs) {
            c.loop().after(millis(50), next);
            return;
        }
        c.loop().after(millis(14000), [&] { // finish_s
            for (std::pair<const std::string, int>& a : asked) {
                c.request("GET", cell::prefix + a.first, "",
                          [&a](int status, const std::string&) { a.second = status; });
            }
        });
        c.loop().after(millis(14000 + 16000), [&] { c.loop().stop(); });
    };
    c.loop().after(millis(4000), [&] {
        submit(c, plain, job_of(step), [&] {
            asked[plain] = 0;
            next();
        });
    });
    c.loop().after(millis(100000), [&] { c.loop().stop(); });
    c.loop().run();
    c.log().line(std::to_string(accepted) + " of " + std::to_string(sent) + " jobs accepted");
    if (!c.all_run() || accepted == 0) {
        return c.finish(could_not_run);
    }
    const int machines = machines_over_memory(c);
    const bool lost = has_unanswered(c, asked);
    c.log().line(std::to_string(machines) +
                 " machines whose process was over its memory three times or more");
    if (lost) {
        c.log().line("LOST is broken, too");
    }
    return c.finish(machines >= 2 ? rule_broken : rule_held);
}

/// A member stands still while a requester hands a job in there. The requester leaves without an
/// answer and cancels the job at another member.
int overtaken_cancel(cell& c, bool trouble)
{
    constexpr millis freeze{3500};
    constexpr millis patience{900};
    constexpr millis length{20000};
    c.workers().plan = [length](const std::string&) { return work{length}; };
    if (!begin(c, 12)) {
        return c.finish(could_not_run);
    }
    const std::string path = std::string(cell::prefix) + "5c0e7a21d94b36f8";
    std::int64_t acknowledged_ms = -1;
    std::int64_t thawed_ms = 0;
    std::string frozen;
    std::string other;
    Json::Value step;
    step["Count"] = 2;
    step["Cpu"] = 2800;
    step["MemMb"] = 5200;
    step["EstMs"] = static_cast<Json::Int64>(length.count());
    c.loop().after(millis(5000), [&] {
        for (const std::string& name : c.member_names()) { // not the one that gives the orders
            if (name != c.workers().last_sender()) {
                (frozen.empty() ? frozen : other) = name;
            }
        }
        if (trouble) {
            c.signal_member(frozen, SIGSTOP);
            c.loop().after(freeze, [&] {
                thawed_ms = c.log().now_ms();
                c.signal_member(frozen, SIGCONT);
            });
        }
        c.loop().after(millis(100), [&] {
            c.request_at(frozen, "POST", path, job_of(step), patience,
                         [&](int, const std::string&) {
                             c.request_at(other, "DELETE", path, "", millis(3000),
                                          [&](int status, const std::string&) {
                                              if (status == 200 || status == 410) {
                                                  acknowledged_ms = c.log().now_ms();
                                              }
                                          });
                         });
        });
    });
    c.loop().after(millis(20000),
                   [&] { c.request("GET", path, "", [](int, const std::string&) {}); });
    c.loop().after(millis(22000), [&] { c.loop().stop(); });
    c.loop().run();
    if (!c.all_run() || acknowledged_ms < 0) {
        return c.finish(could_not_run);
    }
    const bool unasked = has_unasked_run(c, acknowledged_ms, thawed_ms);
    return c.finish(unasked ? rule_broken : rule_held);
}

/// Requesters of two queues choose the same id for their jobs. (With TROUBLE=0: two ids.)
int same_id(cell& c, bool trouble)
{
    c.workers().plan = [](const std::string&) { return work{millis(6000)}; };
    if (!begin(c, 12)) {
        return c.finish(could_not_run);
    }
    const std::string first = std::string(cell::prefix) + "00000000000000aa";
    const std::string second =
        std::string(cell::other_prefix) + (trouble ? "00000000000000aa" : "00000000000000ab");
    const auto job = [](const char* spec, int tasks) {
        Json::Value step;
        step["Count"] = tasks;
        step["Cpu"] = 2800;
        step["MemMb"] = 5200;
        step["EstMs"] = 6000;
        Json::Value value;
        value["Spec"] = spec;
        value["Steps"].append(step);
        return to_text(value);
    };
    bool accepted = false;
    bool cancelled = false;
    const auto nothing = [](int, const std::string&) {};
    c.loop().after(millis(4000), [&] { c.request("POST", first, job("first", 1), nothing); });
    c.loop().after(millis(5000), [&] {
        c.request("POST", second, job("second", 3),
                  [&](int status, const std::string&) { accepted = status == 200; });
    });
    c.loop().after(millis(6000), [&] { c.request("GET", second, "", nothing); });
    c.loop().after(millis(7000), [&] { c.request("DELETE", second, "", nothing); });
    c.loop().after(millis(8000), [&] {
        c.request("GET", first, "", [&](int, const std::string& body) {
            cancelled = body.find("cancelled") != std::string::npos;
        });
    });
    c.loop().after(millis(20000), [&] { c.loop().stop(); });
    c.loop().run();
    if (!c.all_run() || !accepted) {
        return c.finish(could_not_run);
    }
    const bool ran = std::any_of(c.workers().runs().begin(), c.workers().runs().end(),
                                 [](const run_seen& r) { return r.spec == "second"; });
    if (!ran) {
        c.log().line("LOST: the second requester's job was accepted and never ran");
    }
    if (cancelled) {
        c.log().line("LOST: the first requester's job is shown as cancelled, which it didn't ask");
    }
    return c.finish(!ran || cancelled ? rule_broken : rule_held);
}

} // namespace lab3
