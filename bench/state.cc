// Measures the cost of durable state: appends at a given load in virtual time, memory and snapshot
// bytes per key, memory per task, and the speed of a replay. Prints JSON lines.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <vector>

#include <gflags/gflags.h>

#include "sesamesill/journal.h"
#include "sesamesill/recovery.h"
#include "sesamesill/request.h"

DEFINE_int32(placements, 3000, "placements per second, half of them non-idempotent");
DEFINE_int32(seconds, 20, "virtual seconds of each append case");
DEFINE_int32(keys, 200000, "keys in the request table");
DEFINE_int32(tasks, 200000, "running tasks");

namespace {

using namespace sesamesill;

constexpr std::size_t body_bytes = 64;
constexpr micros tick{100};

time_point at(micros t)
{
    return time_point(micros(1000000) + t);
}

std::string id_of(std::uint64_t n)
{
    return to_string(request_key{n * 0x9e3779b97f4a7c15ULL, n + 1});
}

struct append_case {
    const char* name;
    std::size_t members;
    micros latency;      ///< time that an append takes
    micros slow_latency; ///< time that an append of the first third of the members takes
};

struct committing_member {
    commit_pacer pacer{append_budget{}};
    std::deque<micros> waiting; ///< arrival time of each item
    std::vector<micros> in_flight;
    micros done{0};
};

/// Measures the appends of all members and how long intents and outcomes wait for them.
void run_appends(const append_case& c)
{
    std::vector<committing_member> members(c.members);
    for (committing_member& m : members) {
        m.pacer.set_member_count(c.members);
    }
    const micros end = std::chrono::seconds(FLAGS_seconds);
    // Half of the placements write two items each: an intent and an outcome.
    const std::int64_t per_tick = FLAGS_placements * tick.count();
    constexpr std::int64_t one_item = 1000000;
    std::int64_t due = 0;
    std::size_t next_member = 0;
    std::int64_t appends = 0;
    std::int64_t items = 0;
    std::vector<micros> waits;
    for (micros now{0}; now < end; now += tick) {
        for (due += per_tick; due >= one_item; due -= one_item) {
            members[next_member++ % c.members].waiting.push_back(now);
            ++items;
        }
        for (std::size_t i = 0; i < c.members; ++i) {
            committing_member& m = members[i];
            if (!m.in_flight.empty() && m.done <= now) {
                for (const micros arrived : m.in_flight) {
                    waits.push_back(now - arrived);
                }
                m.in_flight.clear();
            }
            if (m.in_flight.empty() && !m.waiting.empty() && m.pacer.next() <= at(now)) {
                m.in_flight.assign(m.waiting.begin(), m.waiting.end());
                m.waiting.clear();
                m.pacer.sent(at(now));
                m.done = now + (i < c.members / 3 ? c.slow_latency : c.latency);
                ++appends;
            }
        }
    }
    std::sort(waits.begin(), waits.end());
    std::printf("{\"bench\":\"state\",\"case\":\"%s\",\"members\":%zu,\"placements_per_second\":%d,"
                "\"appends_per_second\":%.1f,\"items_per_second\":%.1f,\"wait_p50_ms\":%.1f,"
                "\"wait_p99_ms\":%.1f}\n",
                c.name, c.members, FLAGS_placements, static_cast<double>(appends) / FLAGS_seconds,
                static_cast<double>(items) / FLAGS_seconds,
                static_cast<double>(waits[waits.size() / 2].count()) / 1e3,
                static_cast<double>(waits[waits.size() * 99 / 100].count()) / 1e3);
}

std::int64_t heap()
{
    return static_cast<std::int64_t>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

std::size_t snapshot_bytes(const std::vector<journal_item>& items)
{
    std::size_t bytes = 0;
    for (const Json::Value& part : snapshot_parts("e1#1:1", 1, {}, items)) {
        log_record record{"e1#1", 1, Json::Value(Json::arrayValue)};
        record.items.append(part);
        bytes += encode(record).size();
    }
    return bytes;
}

void run_keys()
{
    const std::int64_t before = heap();
    request_table table("e1#1", request_limits{});
    for (int n = 0; n < FLAGS_keys; ++n) {
        table.outcome_read(id_of(n), "e2#1", outcome::done, std::string(body_bytes, 'x'), at({}));
    }
    const double each = static_cast<double>(heap() - before) / FLAGS_keys;
    std::vector<journal_item> items;
    table.for_each([&items](const std::string& id, const std::string& writer, outcome final_outcome,
                            const std::string& body) {
        if (items.size() < 10000) {
            Json::Value value;
            value["type"] = "ending";
            value["id"] = id;
            value["outcome"] = std::string(name_of(final_outcome));
            value["body"] = body;
            items.push_back({"ending", writer, 0, value});
        }
    });
    std::printf("{\"bench\":\"state\",\"case\":\"keys\",\"keys\":%d,\"body_bytes\":%zu,"
                "\"bytes_per_key\":%.1f,\"snapshot_bytes_per_key\":%.1f}\n",
                FLAGS_keys, body_bytes, each,
                static_cast<double>(snapshot_bytes(items)) / static_cast<double>(items.size()));
}

/// Returns the heap bytes of `jobs` jobs with `each` running tasks each.
double bytes_of_jobs(int jobs, int each)
{
    const std::int64_t before = heap();
    job_table table("e1#1");
    submission spec;
    spec.organisation = "seaside";
    spec.work_class = "review";
    spec.key = "key-0000000001";
    spec.kind = work_kind::batch;
    spec.tasks = each;
    spec.payload["run_ms"] = 300;
    for (int n = 0; n < jobs; ++n) {
        job& j = *table.accept_read(id_of(n), spec, 3, "e1#1", 1, true, at({}));
        for (int i = 0; i < each; ++i) {
            const std::size_t index = static_cast<std::size_t>(i);
            table.placed(j.id, index, table.sent(j, index, "e1"), "w12345");
        }
    }
    return static_cast<double>(heap() - before);
}

void run_tasks()
{
    const int jobs = 1000;
    const int extra_tasks = FLAGS_tasks / jobs;
    const double single_task_bytes = bytes_of_jobs(jobs, 1);
    const double many_task_bytes = bytes_of_jobs(jobs, 1 + extra_tasks);
    const double each =
        (many_task_bytes - single_task_bytes) / (static_cast<double>(jobs) * extra_tasks);
    std::printf("{\"bench\":\"state\",\"case\":\"tasks\",\"tasks\":%d,\"bytes_per_running_task\":"
                "%.1f,\"bytes_per_job\":%.1f}\n",
                FLAGS_tasks, each, single_task_bytes / jobs - each);
}

void run_replay()
{
    constexpr std::size_t records = 5000;
    constexpr int items_each = 20;
    std::vector<raw_record> log;
    std::uint64_t n = 0;
    for (std::size_t r = 0; r < records; ++r) {
        log_record record{"e1#1", r + 1, Json::Value(Json::arrayValue)};
        for (int i = 0; i < items_each; ++i) {
            Json::Value item;
            item["type"] = i % 2 == 0 ? "intent" : "ending";
            item["id"] = id_of(n / 2);
            item["outcome"] = "done";
            item["body"] = i % 2 == 0 ? std::string() : std::string(body_bytes, 'x');
            record.items.append(item);
            ++n;
        }
        log.push_back({r, encode(record)});
    }
    const std::chrono::steady_clock::time_point begun = std::chrono::steady_clock::now();
    stream_reader reader;
    request_table table("e2#1", request_limits{});
    const request_view view;
    for (const reader_event& e : reader.process(0, records, log)) {
        const std::string id = e.item.value["id"].asString();
        if (e.item.type == "intent") {
            table.intent_read(id, e.item.writer, view, false, at({}));
        }
        else if (e.item.type == "ending") {
            table.outcome_read(id, e.item.writer, outcome::done, e.item.value["body"].asString(),
                               at({}));
        }
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begun;
    std::printf("{\"bench\":\"state\",\"case\":\"replay\",\"records_per_second\":%.0f,"
                "\"items_per_second\":%.0f,\"items_per_record\":%d}\n",
                static_cast<double>(records) / elapsed.count(),
                static_cast<double>(n) / elapsed.count(), items_each);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    run_appends({"appends", 6, std::chrono::milliseconds(3), std::chrono::milliseconds(3)});
    run_appends(
        {"appends_two_slow", 6, std::chrono::milliseconds(3), std::chrono::milliseconds(300)});
    run_appends(
        {"appends_all_slow", 6, std::chrono::milliseconds(150), std::chrono::milliseconds(150)});
    run_appends(
        {"appends_60_members", 60, std::chrono::milliseconds(3), std::chrono::milliseconds(3)});
    run_keys();
    run_tasks();
    run_replay();
    return 0;
}
