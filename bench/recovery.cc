// Measures takeover and handover times, availability during a log outage, false suspicions and the
// cost of heartbeats. Runs the ownership core with the daemon's settings in virtual time and prints
// JSON lines.

#include <ctime>
#include <iostream>

#include <gflags/gflags.h>

#include "../src/cell_messages.h"
#include "../test/ownership_model.h"
#include "sesamesill/rpc.h"

DEFINE_int32(kills, 60, "kills and planned stops to measure");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_int32(seconds, 300, "virtual seconds of each disturbed run except the log outage");
DEFINE_int32(control_members, 0, "measure only the cost of heartbeats, at this size");

namespace {

using namespace sesamesill;
using model::ms;
using model::virtual_time;

// Overhead of one message: the HTTP and JSON-RPC framing that evhttp and rpc.cc write.
constexpr std::uint64_t frame_bytes = 175;
constexpr virtual_time served_limit = 30000 * ms;
constexpr int shard_count = 18;

std::vector<std::string> all_shards()
{
    std::vector<std::string> shards;
    shards.reserve(shard_count);
    for (int i = 0; i < shard_count; ++i) {
        shards.push_back("dc" + std::to_string(i % 4) + "/r" + std::to_string(i));
    }
    return shards;
}

std::uint64_t wire_bytes(const heartbeat& h)
{
    return to_text(to_json(h, "production")).size() + frame_bytes;
}

double seconds_of_processor()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print(const Json::Value& line)
{
    std::cout << to_text(line) << '\n' << std::flush;
}

struct durations {
    std::vector<double> values;

    void add(virtual_time t) { values.push_back(static_cast<double>(t) / ms); }

    double median()
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    double worst() const { return *std::max_element(values.begin(), values.end()); }
};

Json::Value line_of(const std::string& name, std::size_t members)
{
    Json::Value line;
    line["case"] = name;
    line["clock"] = "virtual";
    line["members"] = static_cast<Json::UInt64>(members);
    return line;
}

void measure_takeovers(std::size_t members)
{
    const std::vector<std::string> shards = all_shards();
    durations takeovers;
    durations handovers;
    for (std::uint64_t run = 0; run < static_cast<std::uint64_t>(FLAGS_kills) * 2; ++run) {
        const bool planned = run % 2 == 1;
        model::cell cell(model::fault_free_options(members), FLAGS_seed + run);
        cell.run_until((5000 + static_cast<virtual_time>(run * 137 % 1000)) * ms);
        model::process& victim = *cell.processes()[run / 2 % members];
        const std::vector<std::string> owned = cell.owned_shards(victim, shards);
        if (planned) {
            cell.release(victim);
        }
        else {
            cell.kill(victim, false);
        }
        (planned ? handovers : takeovers).add(cell.time_until_served(owned, served_limit));
    }
    Json::Value line = line_of("takeover", members);
    line["kills"] = FLAGS_kills;
    line["takeover_median_ms"] = takeovers.median();
    line["takeover_worst_ms"] = takeovers.worst();
    line["handover_median_ms"] = handovers.median();
    line["handover_worst_ms"] = handovers.worst();
    print(line);
}

void measure_start(std::size_t members)
{
    model::cell cell(model::fault_free_options(members), FLAGS_seed);
    Json::Value line = line_of("start", members);
    line["ready_ms"] = static_cast<double>(cell.time_until_served(all_shards(), served_limit)) / ms;
    cell.run_until(10000 * ms);
    line["views"] = static_cast<Json::UInt64>(cell.views());
    print(line);
}

/// Runs a cell and calls `disturb` each second. Prints the part of the time in which shards were
/// served and the number of membership view changes.
void measure_disturbed(const std::string& name, int seconds,
                       const std::function<void(model::cell&, int second)>& disturb)
{
    constexpr std::size_t members = 6;
    const std::vector<std::string> shards = all_shards();
    model::cell cell(model::fault_free_options(members), FLAGS_seed);
    cell.run_until(5000 * ms);
    const std::uint64_t views = cell.views();
    std::int64_t served = 0;
    std::int64_t samples = 0;
    for (int second = 0; second < seconds; ++second) {
        disturb(cell, second);
        for (int i = 0; i < 10; ++i) {
            cell.run_until(cell.now() + 100 * ms);
            for (const std::string& shard : shards) {
                served += cell.find_actor(shard) != nullptr ? 1 : 0;
                ++samples;
            }
        }
    }
    Json::Value line = line_of(name, members);
    line["seconds"] = seconds;
    line["served_ratio"] = static_cast<double>(served) / static_cast<double>(samples);
    line["view_changes"] = static_cast<Json::UInt64>(cell.views() - views);
    print(line);
}

void freeze_one(model::cell& cell, int second)
{
    if (second % 5 == 0) {
        cell.freeze(*cell.processes()[static_cast<std::size_t>(second / 5) % 6], 1000 * ms);
    }
}

void measure_disturbances()
{
    constexpr int outage_seconds = 600;
    measure_disturbed("log_outage", outage_seconds,
                      [](model::cell& cell, int) { cell.set_log_down(true); });
    for (const int percent : {0, 5, 20}) {
        const double loss = percent / 100.0;
        measure_disturbed("loss_" + std::to_string(percent), FLAGS_seconds,
                          [loss](model::cell& cell, int) { cell.set_loss(loss); });
        measure_disturbed("log_outage_loss_" + std::to_string(percent), FLAGS_seconds,
                          [loss](model::cell& cell, int) {
                              cell.set_loss(loss);
                              cell.set_log_down(true);
                          });
    }
    measure_disturbed("freeze_1_s", FLAGS_seconds, freeze_one);
}

std::uint64_t bytes_of(model::cell& cell)
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<model::process>& p : cell.processes()) {
        sum += p->bytes;
    }
    return sum;
}

/// Measures the bytes and messages of all members. The processor time includes the ownership core,
/// the message encoding and the model.
void measure_cost(std::size_t members)
{
    const int length_seconds = members < 100 ? 20 : 5;
    model::options o = model::fault_free_options(members);
    o.sample_period = 1000000 * ms;
    std::uint64_t messages = 0;
    o.message_bytes = [&messages](const heartbeat& h) {
        ++messages;
        return wire_bytes(h);
    };
    model::cell cell(o, FLAGS_seed);
    cell.run_until(15000 * ms);
    const std::uint64_t before = bytes_of(cell);
    messages = 0;
    const double began = seconds_of_processor();
    cell.run_until((15000 + length_seconds * 1000) * ms);
    const double used = seconds_of_processor() - began;
    const double member_seconds = static_cast<double>(members) * length_seconds;
    Json::Value line = line_of("control", members);
    line["control_bytes_per_second"] =
        static_cast<double>(bytes_of(cell) - before) / member_seconds;
    line["messages_per_second"] = static_cast<double>(messages) / member_seconds;
    line["core_ratio"] = used / member_seconds;
    line["lease_ms"] =
        static_cast<Json::Int64>(cell.processes()[0]->core->owners().current().lease.count());
    print(line);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_control_members > 0) {
        measure_cost(static_cast<std::size_t>(FLAGS_control_members));
        return 0;
    }
    for (const std::size_t members : {6, 12, 24}) {
        measure_start(members);
        measure_takeovers(members);
    }
    measure_disturbances();
    for (const std::size_t members : {3, 6, 12, 24, 60, 300}) {
        measure_cost(members);
    }
    return 0;
}
