// A scheduled job of 9,000 occurrences, beside small jobs. Without the disruption, the same
// occurrences come as ten jobs.

#include <chrono>

#include "cases.h"

namespace lab {
namespace {

constexpr millis ack_ms{4000};
constexpr int occurrences = 9000;
constexpr int interval_ms = 5;
constexpr millis work{40};
constexpr int cancelled_jobs = 20;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct cancelling {
    job* of = nullptr;
    time_point since;
    bool acknowledged = false;
    bool open = true;
};

struct state {
    explicit state(const arguments& a) : trouble(a.trouble), w(a.root, a.record, {}) {}
    bool trouble;
    world w;
    std::vector<job*> long_jobs;
    std::vector<cancelling> cancels;
    std::size_t small_sent = 0;
    std::size_t late_sent = 0; ///< small jobs handed in in the last 20 s
    std::size_t late_accepted = 0;
    std::size_t ends_before = 0;
    std::size_t noted_before = 0;
    int result = could_not_run;

    void small_job(millis until)
    {
        if (w.log.now_ms() > until.count()) {
            return;
        }
        Json::Value steps;
        steps.append(world::step(2, 500, 500, 300));
        job& j = w.new_job("/plain/", steps, {millis(300), millis(300)});
        const bool late = w.log.now_ms() > until.count() - 20000;
        late_sent += late ? 1 : 0;
        w.submit(j, w.random_member(), [this, late](int status, const std::string&) {
            late_accepted += late && status == 200 ? 1 : 0;
        });
        w.loop.after(millis(200), [this, until] { small_job(until); });
    }

    void hand_in(job& j, int attempts)
    {
        w.submit(j, w.random_member(), [this, &j, attempts](int status, const std::string&) {
            if (status != 200 && attempts > 1) {
                w.loop.after(millis(1000), [this, &j, attempts] { hand_in(j, attempts - 1); });
            }
        });
    }

    /// Repeats the cancel at any member until it is acknowledged.
    void cancel(std::size_t n)
    {
        cancelling& c = cancels[n];
        if (!c.open) {
            return;
        }
        w.cancel(*c.of, w.random_member(), [this, n](int status, const std::string&) {
            cancelling& asked = cancels[n];
            if ((status >= 200 && status < 300) || status == 410) {
                asked.acknowledged = boot_clock::now() - asked.since <= ack_ms;
                asked.open = false;
                return;
            }
            w.loop.after(millis(200), [this, n] { cancel(n); });
        });
    }

    void begin()
    {
        const std::int64_t t0 = w.log.now_ms();
        small_job(millis(t0 + 85000));
        for (int i = 0; i < cancelled_jobs; ++i) {
            Json::Value steps;
            steps.append(world::step(1, 100, 100, 110000));
            long_jobs.push_back(&w.new_job("/plain/", steps, {millis(110000)}));
            hand_in(*long_jobs.back(), 3);
        }
        w.loop.after(millis(4000), [this] {
            const int parts = trouble ? 1 : 10;
            for (int n = 0; n < parts; ++n) {
                Json::Value steps;
                steps.append(world::step(1, 200, 200, work.count()));
                job& j = w.new_job("/plain/", steps, {work});
                j.body["Times"] = occurrences / parts;
                j.body["StartAtMs"] = static_cast<Json::Int64>(unix_ms() + 1000);
                j.body["IntervalMs"] = interval_ms * parts;
                w.log.line("client: job %s has %d occurrences, one each %d ms", j.id.c_str(),
                           occurrences / parts, interval_ms * parts);
                hand_in(j, 4);
            }
        });
        // A stretch of 36 s without any impairment, after the job has come to its limit.
        w.loop.after(millis(50000), [this] {
            ends_before = w.watch.ends;
            noted_before = w.watch.ends_taken_note;
            for (std::size_t i = 0; i < long_jobs.size(); ++i) {
                w.loop.after(millis(1500 * static_cast<std::int64_t>(i)), [this, i] {
                    if (long_jobs[i]->accepted) {
                        cancels.push_back({long_jobs[i], boot_clock::now()});
                        cancel(cancels.size() - 1);
                    }
                });
            }
        });
        w.loop.after(millis(85000), [this] { judge(); });
    }

    void judge()
    {
        std::size_t unanswered = 0;
        for (const cancelling& c : cancels) {
            unanswered += c.acknowledged ? 0 : 1;
        }
        const std::size_t listed = w.watch.ends - ends_before;
        const std::size_t left = w.watch.ends - w.watch.ends_taken_note;
        w.log.line("cancels of accepted jobs: %zu, without an ack within %lld ms: %zu",
                   cancels.size(), static_cast<long long>(ack_ms.count()), unanswered);
        w.log.line("ends in all %zu, of these in the last 36 s %zu; not taken note of: %zu",
                   w.watch.ends, listed, left);
        w.log.line("small jobs of the last 20 s: %zu handed in, %zu accepted", late_sent,
                   late_accepted);
        w.log.line("appends refused for their size: %llu",
                   static_cast<unsigned long long>(w.records.appends_refused_for_size));
        const bool cancels_fail = cancels.size() >= 3 && unanswered * 10 > cancels.size();
        const bool ends_fail = w.watch.ends > 0 && left * 5 > w.watch.ends;
        result = cancels.size() < 3 ? could_not_run : cancels_fail || ends_fail ? broken : held;
        w.log.line("Acks: %s", result == broken ? "broken"
                               : result == held ? "held"
                                                : "not judged");
        w.loop.stop();
    }
};

} // namespace

int large_job(const arguments& a)
{
    return run_case<state>(a);
}

} // namespace lab
