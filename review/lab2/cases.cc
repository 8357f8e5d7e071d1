// Runs one case: `lab CASE RECORD FOLDER`. TROUBLE=0 leaves the disruption out.

#include "cases.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "sesamesill/rpc.h"

namespace lab {

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Json::Value make_step(int count, std::int64_t cpu, millis estimate)
{
    Json::Value step;
    step["Count"] = count;
    step["Cpu"] = static_cast<Json::Int64>(cpu);
    step["MemMb"] = 1024;
    step["EstMs"] = static_cast<Json::Int64>(estimate.count());
    return step;
}

std::string make_job(const std::vector<Json::Value>& steps)
{
    Json::Value job;
    job["Spec"] = "work";
    for (const Json::Value& s : steps) {
        job["Steps"].append(s);
    }
    return to_text(job);
}

test_case::test_case(const std::string& record_path, const std::string& folder)
    : cell_(record_path, folder)
{
}

int test_case::run()
{
    constexpr millis watch_period{20};
    if (!set_up()) {
        return could_not_run;
    }
    cell_.loop.every(watch_period, [this] { watch(); });
    cell_.when_ready([this] { begin(); });
    return cell_.run();
}

void test_case::submit(const std::string& path, const std::string& body)
{
    cell_.submit(path, body, [this, path](int status) {
        if (status != 200) {
            cell_.finish(could_not_run, path + " wasn't accepted");
            return;
        }
        accepted_at_ = cell_.log.elapsed_ms();
    });
}

std::int64_t test_case::idle_for(bool idle)
{
    const std::int64_t now = cell_.log.elapsed_ms();
    if (!idle) {
        idle_since_ = -1;
        return -1;
    }
    idle_since_ = idle_since_ < 0 ? now : idle_since_;
    return now - idle_since_;
}

void test_case::judge_overlaps()
{
    const auto pairs = cell_.executors.overlaps();
    if (pairs.empty()) {
        cell_.finish(rule_held, "no task ran twice at the same time");
        return;
    }
    const observed_run& first = pairs.front().first;
    const observed_run& second = pairs.front().second;
    const std::int64_t until = first.ended_ms < 0 ? cell_.log.elapsed_ms() : first.ended_ms;
    cell_.finish(rule_broken,
                 "TWICE: " + first.task + " ran as run " + std::to_string(first.run) + " at " +
                     first.executor + " and as run " + std::to_string(second.run) + " at " +
                     second.executor + " at the same time, for " +
                     std::to_string(until - second.began_ms) +
                     " ms; tasks with two runs at once: " + std::to_string(pairs.size()));
}

std::int64_t test_case::count_ends(const std::string& how) const
{
    const std::vector<observed_run>& seen = cell_.executors.observed();
    return std::count_if(seen.begin(), seen.end(),
                         [&how](const observed_run& r) { return r.how == how; });
}

namespace {

struct named_case {
    const char* name;
    case_maker make;
};

constexpr named_case cases[] = {
    {"foreign_entry", make_foreign_entry},   {"unseen_executor", make_unseen_executor},
    {"late_poll", make_late_poll},           {"early_failure", make_early_failure},
    {"restored_route", make_restored_route}, {"dropped_route", make_dropped_route},
    {"wide_gang", make_wide_gang},           {"gang_apart", make_gang_apart},
    {"late_submit", make_late_submit}};

} // namespace
} // namespace lab

int main(int argc, char** argv)
{
    constexpr int expected_arguments = 4;
    if (argc != expected_arguments) {
        std::cerr << "lab CASE RECORD FOLDER\n";
        return lab::could_not_run;
    }
    for (const lab::named_case& c : lab::cases) {
        if (std::string(argv[1]) == c.name) {
            return c.make(argv[2], argv[3])->run();
        }
    }
    std::cerr << "no such case: " << argv[1] << '\n';
    return lab::could_not_run;
}
