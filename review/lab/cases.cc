// The table of the cases, and their common begin.

#include "cases.h"

namespace lab {

const std::map<std::string, int (*)(const arguments&)>& cases()
{
    static const std::map<std::string, int (*)(const arguments&)> known{
        {"large_job", large_job},
        {"lone_survivor", lone_survivor},
        {"cut_worker", cut_worker},
    };
    return known;
}

void when_served(world& w, const std::function<void()>& then, const std::function<void()>& failed)
{
    w.loop.after(millis(400), [&w, then, failed] {
        if (w.log.now_ms() > 15000) {
            w.log.line("no member served a job within 15 s");
            failed();
            return;
        }
        if (w.leader() == nullptr) {
            when_served(w, then, failed);
            return;
        }
        job& first = w.new_job("/plain/",
                               [] {
                                   Json::Value steps;
                                   steps.append(world::step(1, 100, 100, 100));
                                   return steps;
                               }(),
                               {millis(100)});
        w.submit(first, w.random_member(), [&w, then, failed](int status, const std::string&) {
            if (status == 200) {
                then();
            }
            else {
                when_served(w, then, failed);
            }
        });
    });
}

} // namespace lab
