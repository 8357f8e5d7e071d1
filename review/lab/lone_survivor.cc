// All members but one are lost for good while the store loses a share of its answers. The check:
// accepted jobs are still known to callers, long after the store is sound again.

#include <csignal>

#include "cases.h"

namespace lab {
namespace {

constexpr millis lossy{4500};  ///< how long the store loses answers: the dose of the site file
constexpr int lost_one_in = 3; ///< a share of 0.33; the dose of the site file is 0.35
constexpr millis recovery{12000};

struct state {
    explicit state(const arguments& a) : trouble(a.trouble), w(a.root, a.record, {}) {}
    bool trouble;
    world w;
    bool losing = false;
    int appends = 0;
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t late_sent = 0;
    std::size_t late_served = 0;
    int result = could_not_run;

    void plain_job(std::int64_t until, bool late)
    {
        if (w.log.now_ms() > until) {
            return;
        }
        Json::Value steps;
        steps.append(world::step(2, 500, 500, 300));
        job& j = w.new_job("/plain/", steps, {millis(300)});
        late_sent += late ? 1 : 0;
        w.submit(j, w.random_member(), [this, late](int status, const std::string&) {
            late_served += late && status == 200 ? 1 : 0;
        });
        w.loop.after(millis(200), [this, until, late] { plain_job(until, late); });
    }

    void begin()
    {
        w.records.loses_answer = [this](const std::string&, const std::string&) {
            return losing && appends++ % lost_one_in == 0;
        };
        plain_job(w.log.now_ms() + 5000, false);
        w.loop.after(millis(6000), [this] {
            lose_members();
            losing = trouble;
            w.log.line("the store %s",
                       trouble ? "loses the answers of one append in three" : "is sound");
        });
        w.loop.after(millis(6000) + lossy, [this] {
            losing = false;
            w.log.line("the store is sound");
        });
        w.loop.after(millis(6000) + lossy + recovery, [this] {
            plain_job(w.log.now_ms() + 20000, true);
            for (std::pair<const std::string, job>& j : w.jobs) {
                if (j.second.accepted && asked < 20) {
                    ++asked;
                    w.ask(j.second, w.random_member(), [this](int status, const std::string&) {
                        answered += status == 200 ? 1 : 0;
                    });
                }
            }
        });
        w.loop.after(millis(6000) + lossy + recovery + millis(24000), [this] { judge(); });
    }

    /// Ends the leader and all others but one.
    void lose_members()
    {
        bool one_left = false;
        for (members::place& p : w.processes->all()) {
            if (&p != w.leader() && !one_left) {
                one_left = true;
                w.log.line("%s is left", p.name.c_str());
                continue;
            }
            p.stays_down = true;
            w.processes->signal(p, SIGKILL);
        }
    }

    void judge()
    {
        w.log.line("accepted jobs asked for %zu, answered %zu", asked, answered);
        w.log.line("jobs handed in later than %lld ms after the disruption: %zu, accepted %zu",
                   static_cast<long long>(recovery.count()), late_sent, late_served);
        result = asked < 3 ? could_not_run : answered < asked ? broken : held;
        w.loop.stop();
    }
};

} // namespace

int lone_survivor(const arguments& a)
{
    return run_case<state>(a);
}

} // namespace lab
