// Sends load to running members and executors and measures added latency, throughput and behaviour
// under overload. support/bench_routing.sh starts the processes and passes their addresses.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <unordered_map>

#include <gflags/gflags.h>
#include <unistd.h>

#include "sesamesill/http.h"
#include "sesamesill/rpc.h"

DEFINE_string(mode, "latency", "latency, throughput, overload or control");
DEFINE_string(entries, "", "addresses of the members for callers, comma-separated");
DEFINE_string(executors, "", "addresses of the executors, comma-separated");
DEFINE_string(pids, "", "process ids of the members, comma-separated");
DEFINE_string(journal, "", "path of the executors' journal");
DEFINE_double(rate, 350,
              "requests per second of each stream; for overload, the capacity of the cell");
DEFINE_double(seconds, 5, "length of a measurement");
DEFINE_int32(connections, 64, "concurrent requests for throughput");
DEFINE_int64(deadline_ms, 800, "deadline of a quick check");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

using namespace sesamesill;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<endpoint> endpoints_from(const std::string& text)
{
    std::vector<endpoint> all;
    for (const std::string& part : split(text)) {
        all.push_back(endpoint_from(part).value());
    }
    return all;
}

/// Returns the processor time that a process has used, in seconds.
double cpu_seconds(const std::string& pid)
{
    std::ifstream file("/proc/" + pid + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    constexpr int before_user_time = 11;
    for (int i = 0; i < before_user_time; ++i) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0.0;
    }
    const std::size_t at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

struct sample {
    time_point sent;
    time_point ended;
    int status = 0; ///< 0: no answer
    std::string key;
};

/// Sends quick checks and records the outcome of each.
class load_generator {
public:
    load_generator(event_loop& loop, std::string prefix)
        : loop_(loop), client_(loop, "bench", 2048), prefix_(std::move(prefix)), random_(FLAGS_seed)
    {
    }

    /// Sends one request to a member or, if `direct`, to an executor.
    void send(const endpoint& to, bool direct, const std::function<void()>& then = nullptr)
    {
        const std::string key = prefix_ + std::to_string(sent_++);
        http_call call;
        call.method = "POST";
        call.timeout = millis(FLAGS_deadline_ms + 500);
        if (direct) {
            call.path = "/calls";
            call.headers = {{"X-Request-Id", key}, {"X-Attempt", "1"}, {"X-Organisation", "delta"},
                            {"X-Class", "hold"},   {"X-Key", key},     {"X-Idempotent", "yes"}};
            call.body = "place 7?";
        }
        else {
            call.path = "/v1/calls";
            call.body = R"({"organisation":"delta","class":"hold","key":")" + key +
                        R"(","body":"place 7?","deadline_ms":)" +
                        std::to_string(FLAGS_deadline_ms) + "}";
        }
        const time_point now = boot_clock::now();
        client_.send(
            to, call, [this, now, key, then](const std::optional<http_reply>& reply, const error&) {
                samples_.push_back({now, boot_clock::now(), reply ? reply->status : 0, key});
                if (then) {
                    then();
                }
            });
    }

    /// Starts sending requests to random targets until `until`, as Poisson arrivals at `rate` per
    /// second.
    void begin(const std::vector<endpoint>& targets, bool direct, double rate, time_point until)
    {
        next_ = boot_clock::now();
        arrive(targets, direct, rate, until);
    }

    const std::vector<sample>& samples() const { return samples_; }

private:
    void arrive(const std::vector<endpoint>& targets, bool direct, double rate, time_point until)
    {
        while (next_ <= boot_clock::now()) {
            send(targets[random_() % targets.size()], direct);
            next_ += micros(static_cast<std::int64_t>(
                1e6 * std::exponential_distribution<double>(rate)(random_)));
        }
        if (boot_clock::now() >= until) {
            return;
        }
        const millis wait = std::chrono::duration_cast<millis>(next_ - boot_clock::now());
        loop_.after(wait,
                    [this, targets, direct, rate, until] { arrive(targets, direct, rate, until); });
    }

    event_loop& loop_;
    http_client client_;
    std::string prefix_;
    std::mt19937_64 random_;
    std::vector<sample> samples_;
    std::uint64_t sent_ = 0;
    time_point next_;
};

void run_for(event_loop& loop, double seconds)
{
    loop.after(millis(static_cast<std::int64_t>(seconds * 1e3)), [&loop] { loop.stop(); });
    loop.run();
}

/// Attempts of each key that the executors recorded.
struct journal_view {
    std::unordered_map<std::string, double> work_us; ///< run time of the last attempt that ended
    std::unordered_map<std::string, int> starts;
    int over_slots = 0; ///< number of starts on a full executor
};

journal_view read_journal(const std::string& path)
{
    journal_view view;
    std::unordered_map<std::string, std::int64_t> started;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        const std::optional<Json::Value> entry = json_from(line);
        if (!entry || !entry->isObject()) {
            continue;
        }
        const std::string key = (*entry)["key"].asString();
        const std::int64_t time = (*entry)["time_us"].asInt64();
        const std::string event = (*entry)["event"].asString();
        if (event == "start") {
            started[key] = time;
            ++view.starts[key];
            view.over_slots += (*entry)["busy"].asInt() > (*entry)["slots"].asInt() ? 1 : 0;
        }
        else if (event == "end") {
            view.work_us[key] = static_cast<double>(time - started[key]);
        }
    }
    return view;
}

/// Returns the latency of each successful request minus the executor's run time, in microseconds.
std::vector<double> overheads(const std::vector<sample>& samples,
                              const journal_view& executor_journal)
{
    std::vector<double> all;
    for (const sample& s : samples) {
        const auto work = executor_journal.work_us.find(s.key);
        if (s.status == 200 && work != executor_journal.work_us.end()) {
            all.push_back(static_cast<double>((s.ended - s.sent).count()) - work->second);
        }
    }
    return all;
}

void print(const std::string& name, Json::Value line)
{
    line["case"] = name;
    std::cout << to_text(line) << std::endl;
}

void compare(const std::string& name, const std::vector<double>& with,
             const std::vector<double>& direct)
{
    Json::Value line;
    line["added_p50_us"] = quantile(with, 0.5) - quantile(direct, 0.5);
    line["added_p99_us"] = quantile(with, 0.99) - quantile(direct, 0.99);
    line["requests"] = static_cast<Json::UInt64>(with.size());
    line["endpoints"] = static_cast<Json::UInt64>(split(FLAGS_executors).size());
    line["members"] = static_cast<Json::UInt64>(split(FLAGS_entries).size());
    print(name, line);
}

/// Measures the latency that a member adds. Of two members with one shard, the one with the lower
/// median is taken as the owner; the other forwards every request.
int measure_latency()
{
    event_loop loop;
    const std::vector<endpoint> entries = endpoints_from(FLAGS_entries);
    const std::vector<endpoint> executors = endpoints_from(FLAGS_executors);
    load_generator direct(loop, "d");
    load_generator first(loop, "a");
    load_generator second(loop, "b");
    const time_point until =
        boot_clock::now() + micros(static_cast<std::int64_t>(FLAGS_seconds * 1e6));
    direct.begin(executors, true, FLAGS_rate, until);
    first.begin({entries[0]}, false, FLAGS_rate, until);
    second.begin({entries[1]}, false, FLAGS_rate, until);
    run_for(loop, FLAGS_seconds + 1.0);
    const journal_view executor_journal = read_journal(FLAGS_journal);
    const std::vector<double> base = overheads(direct.samples(), executor_journal);
    std::vector<double> owner = overheads(first.samples(), executor_journal);
    std::vector<double> other = overheads(second.samples(), executor_journal);
    if (quantile(other, 0.5) < quantile(owner, 0.5)) {
        owner.swap(other);
    }
    compare("one_entry", owner, base);
    compare("forward", other, base);
    return 0;
}

int measure_throughput()
{
    event_loop loop;
    const endpoint entry = endpoints_from(FLAGS_entries)[0];
    const std::string pid = split(FLAGS_pids)[0];
    load_generator all(loop, "t");
    bool running = true;
    std::function<void()> send_next = [&] {
        if (running) {
            all.send(entry, false, send_next);
        }
    };
    for (int i = 0; i < FLAGS_connections; ++i) {
        send_next();
    }
    run_for(loop, 1.0);
    const std::size_t before = all.samples().size();
    const double cpu_before = cpu_seconds(pid);
    const time_point begun = boot_clock::now();
    run_for(loop, FLAGS_seconds);
    const double seconds = static_cast<double>((boot_clock::now() - begun).count()) / 1e6;
    const double cpu = cpu_seconds(pid) - cpu_before;
    std::size_t successes = 0;
    for (std::size_t i = before; i < all.samples().size(); ++i) {
        successes += all.samples()[i].status == 200 ? 1 : 0;
    }
    running = false;
    Json::Value line;
    line["requests_per_second"] = static_cast<double>(successes) / seconds;
    line["requests_per_core_second"] = static_cast<double>(successes) / std::max(cpu, 1e-3);
    line["core_ratio"] = cpu / seconds;
    line["failed"] = static_cast<Json::UInt64>(all.samples().size() - before - successes);
    print("one_core", line);
    return 0;
}

struct interval_result {
    std::size_t sent = 0;
    std::size_t successes = 0;
    std::vector<double> latencies_ms;
    std::map<int, int> by_status; ///< number of requests by HTTP status, 0 without an answer
};

/// Returns the outcomes of the requests sent between two times.
interval_result between(const std::vector<sample>& samples, time_point from, time_point to)
{
    interval_result w;
    for (const sample& s : samples) {
        if (s.sent < from || s.sent >= to) {
            continue;
        }
        const double ms = static_cast<double>((s.ended - s.sent).count()) / 1e3;
        ++w.sent;
        ++w.by_status[s.status];
        if (s.status == 200 && ms <= static_cast<double>(FLAGS_deadline_ms)) {
            ++w.successes;
        }
        if (s.status == 200) {
            w.latencies_ms.push_back(ms);
        }
    }
    return w;
}

/// Returns the time from the end of the burst until an interval in which 99% of the requests
/// succeed within the deadline.
double recovery_ms(const std::vector<sample>& samples, time_point from, time_point to)
{
    constexpr millis step{100};
    for (time_point at = from; at + step <= to; at += step) {
        const interval_result w = between(samples, at, at + step);
        if (w.sent > 0 && static_cast<double>(w.successes) >= 0.99 * static_cast<double>(w.sent)) {
            return static_cast<double>((at - from).count()) / 1e3;
        }
    }
    return static_cast<double>((to - from).count()) / 1e3;
}

int measure_overload()
{
    event_loop loop;
    const std::vector<endpoint> entries = endpoints_from(FLAGS_entries);
    load_generator all(loop, "o");
    const double phases[] = {0.5, 1.0, 2.0, 5.0, 0.5};
    std::vector<time_point> begins;
    for (const double times : phases) {
        begins.push_back(boot_clock::now());
        const time_point until =
            boot_clock::now() + micros(static_cast<std::int64_t>(FLAGS_seconds * 1e6));
        all.begin(entries, false, FLAGS_rate * times, until);
        run_for(loop, FLAGS_seconds);
    }
    begins.push_back(boot_clock::now());
    run_for(loop, 2.0);
    const journal_view executor_journal = read_journal(FLAGS_journal);
    double starts = 0.0;
    for (const std::pair<const std::string, int>& s : executor_journal.starts) {
        starts += s.second;
    }
    const double peak = static_cast<double>(between(all.samples(), begins[1], begins[2]).successes);
    for (std::size_t i = 0; i < 5; ++i) {
        const interval_result w = between(all.samples(), begins[i], begins[i + 1]);
        Json::Value line;
        line["load"] = phases[i];
        line["offered_per_second"] = static_cast<double>(w.sent) / FLAGS_seconds;
        for (const std::pair<const int, int>& answers : w.by_status) {
            line["answers"][std::to_string(answers.first)] = answers.second;
        }
        line["goodput_per_second"] = static_cast<double>(w.successes) / FLAGS_seconds;
        line["goodput_ratio"] =
            static_cast<double>(w.successes) / std::min(peak, static_cast<double>(w.sent));
        line["hold_p99_ms"] = quantile(w.latencies_ms, 0.99);
        line["attempts_per_request"] =
            starts / std::max<double>(1.0, static_cast<double>(executor_journal.starts.size()));
        line["over_slots"] = executor_journal.over_slots;
        line["members"] = static_cast<Json::UInt64>(entries.size());
        if (i == 4) {
            line["recovery_ms"] = recovery_ms(all.samples(), begins[4], begins[5]);
        }
        print("overload", line);
    }
    return 0;
}

int measure_control()
{
    event_loop loop;
    const std::vector<std::string> pids = split(FLAGS_pids);
    std::vector<double> before;
    before.reserve(pids.size());
    for (const std::string& pid : pids) {
        before.push_back(cpu_seconds(pid));
    }
    run_for(loop, FLAGS_seconds);
    double max_ratio = 0.0;
    for (std::size_t i = 0; i < pids.size(); ++i) {
        max_ratio = std::max(max_ratio, (cpu_seconds(pids[i]) - before[i]) / FLAGS_seconds);
    }
    Json::Value line;
    line["control_core_ratio"] = max_ratio;
    line["members"] = static_cast<Json::UInt64>(pids.size());
    line["endpoints"] = static_cast<Json::UInt64>(split(FLAGS_executors).size());
    print("control", line);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_mode == "latency") {
        return measure_latency();
    }
    if (FLAGS_mode == "throughput") {
        return measure_throughput();
    }
    if (FLAGS_mode == "overload") {
        return measure_overload();
    }
    return measure_control();
}
