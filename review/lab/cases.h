// The cases by their names.

#pragma once

#include <map>
#include <string>

#include "world.h"

namespace lab {

struct arguments {
    std::string root;
    std::string record;
    bool trouble = true;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

const std::map<std::string, int (*)(const arguments&)>& cases();

/// Calls `then` once a job was accepted, or `failed` if none is within 15 s.
void when_served(world& w, const std::function<void()>& then, const std::function<void()>& failed);

/// Starts the world of a case, begins it once jobs are served, and returns its result.
template<typename State>
int run_case(const arguments& a)
{
    State s(a);
    error why;
    if (!s.w.start(why)) {
        s.w.log.line("cannot start: %s", to_string(why).c_str());
        return could_not_run;
    }
    when_served(
        s.w, [&s] { s.begin(); }, [&s] { s.w.loop.stop(); });
    s.w.loop.run();
    return s.result;
}

int large_job(const arguments& a);
int lone_survivor(const arguments& a);
int cut_worker(const arguments& a);

} // namespace lab
