// Benchmark cases for waiting times, fairness, faulty workers, wrong declarations and
// cancellations. All but the cancellations run in virtual time.

#pragma once

#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>

#include "decisions.h"
#include "sesamesill/estimate.h"

namespace bench {

constexpr millis step{20};
constexpr micros warm_up = std::chrono::seconds(120);

inline double quantile(std::vector<double>& values, double q)
{
    if (values.empty()) {
        return 0.0;
    }
    const std::size_t at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

struct load_class {
    std::string name;
    priority_band band;
    double share; ///< part of the arriving processor time
    std::vector<resources> sizes;
    micros min_run_time;
    micros max_run_time;
    bool may_preempt;
};

/// Returns the classes of a workload: quick checks, short batch work and long runs. The workload
/// with the smaller workers has more long runs.
inline std::vector<load_class> classes_of(const workload& s)
{
    if (s.name == "liit") {
        return {{"hold",
                 priority_band::urgent,
                 0.05,
                 {{250, 256, 0}, {500, 512, 0}},
                 millis(100),
                 millis(500),
                 true},
                {"review",
                 priority_band::normal,
                 0.35,
                 {{500, 1024, 0}, {1000, 3072, 0}, {2000, 2048, 0}},
                 std::chrono::seconds(2),
                 std::chrono::seconds(20),
                 false},
                {"cohort",
                 priority_band::normal,
                 0.60,
                 {{4000, 8192, 0}, {6000, 12288, 0}, {12000, 24576, 0}},
                 std::chrono::seconds(20),
                 std::chrono::seconds(90),
                 false}};
    }
    return {{"hold", priority_band::urgent, 0.05, {{500, 512, 0}}, millis(200), millis(1000), true},
            {"review",
             priority_band::normal,
             0.55,
             {{1000, 2048, 0}, {2000, 2048, 0}, {2000, 6144, 0}, {4000, 6144, 0}},
             std::chrono::seconds(5),
             std::chrono::seconds(30),
             false},
            {"cohort",
             priority_band::normal,
             0.40,
             {{8000, 12288, 0}, {16000, 28672, 0}},
             std::chrono::seconds(20),
             std::chrono::seconds(60),
             false}};
}

/// Generates Poisson arrivals of one class. `load` is the demand of all classes as a part of the
/// cell's processors.
class arrival_source {
public:
    arrival_source(load_class c, double load, const resources& total) : class_(std::move(c))
    {
        double cpu = 0.0;
        for (const resources& r : class_.sizes) {
            cpu += static_cast<double>(r.cpu_millis);
        }
        cpu /= static_cast<double>(class_.sizes.size());
        const double run =
            static_cast<double>((class_.min_run_time + class_.max_run_time).count()) / 2e6;
        per_second_ = load * class_.share * static_cast<double>(total.cpu_millis) / (cpu * run);
    }

    void arrive(cell_simulation& into, std::mt19937_64& random, time_point now,
                std::uint32_t organisations, double flood)
    {
        std::poisson_distribution<int> count(per_second_ *
                                             std::chrono::duration<double>(step).count());
        for (int i = count(random); i > 0; --i) {
            arrival a;
            a.organisation = static_cast<organisation_id>(random() % organisations);
            into.arrive(make(a, random), now);
        }
        std::poisson_distribution<int> extra(per_second_ * flood *
                                             std::chrono::duration<double>(step).count());
        for (int i = flood > 0 ? extra(random) : 0; i > 0; --i) {
            into.arrive(make(arrival{}, random), now);
        }
    }

private:
    arrival make(arrival a, std::mt19937_64& random) const
    {
        a.work_class = class_.name;
        a.band = class_.band;
        a.size = random_size(class_.sizes, random);
        const std::uint64_t spread =
            static_cast<std::uint64_t>((class_.max_run_time - class_.min_run_time).count());
        a.run_time = class_.min_run_time + micros(static_cast<std::int64_t>(random() % spread));
        const double factor = std::exp(std::uniform_real_distribution<>(-1.609, 1.609)(random));
        a.declared_run =
            micros(static_cast<std::int64_t>(static_cast<double>(a.run_time.count()) * factor));
        a.preemptible = class_.band < priority_band::urgent;
        a.may_preempt = class_.may_preempt;
        return a;
    }

    load_class class_;
    double per_second_ = 0.0;
};

struct simulation_options {
    workload of;
    strategy placement_strategy = strategy::balance;
    bool fifo = false;
    double load = 0.9;
    double flood = 0.0; ///< extra arrivals of organisation 0, as a multiple of the normal rate
    double waiting_weight = 0.5;
    std::uint32_t organisations = 3;
    int seconds = 600;
    std::uint64_t seed = 1;
};

inline std::unique_ptr<cell_simulation> simulate(const simulation_options& r)
{
    placement_policy policy;
    policy.waiting_weight = r.waiting_weight;
    std::unique_ptr<cell_simulation> run =
        std::make_unique<cell_simulation>(r.of, 50, r.placement_strategy, policy, r.fifo);
    cell_simulation& d = *run;
    for (std::uint32_t t = 0; t < r.organisations; ++t) {
        d.add_organisation("t" + std::to_string(t));
    }
    std::vector<arrival_source> sources;
    for (const load_class& c : classes_of(r.of)) {
        sources.emplace_back(c, r.load, d.where().total());
    }
    std::mt19937_64 random(r.seed);
    const time_point end = time_point(std::chrono::seconds(r.seconds));
    for (time_point now = time_point(); now < end; now += step) {
        if (now == time_point(warm_up)) {
            d.clear_stats();
        }
        for (arrival_source& s : sources) {
            s.arrive(d, random, now, r.organisations, r.flood);
        }
        d.advance(now);
    }
    return run;
}

inline void measure_waiting(const workload& s, double load, strategy placement_strategy, bool fifo,
                            int seconds)
{
    simulation_options r;
    r.of = s;
    r.placement_strategy = placement_strategy;
    r.fifo = fifo;
    r.load = load;
    r.seconds = seconds;
    const std::unique_ptr<cell_simulation> run = simulate(r);
    cell_simulation& d = *run;
    for (std::pair<const std::string, task_stats>& c : d.by_class()) {
        std::vector<double>& waits = c.second.waits_ms;
        std::printf("{\"case\":\"waiting\",\"shape\":\"%s\",\"load\":%.1f,\"baseline\":\"%s\","
                    "\"order\":\"%s\",\"class\":\"%s\",\"started\":%zu,\"p50_ms\":%.0f,"
                    "\"p99_ms\":%.0f,\"worst_ms\":%.0f,\"preempted\":%lld,\"use\":%.4f}\n",
                    s.name.c_str(), load, std::string(name_of(placement_strategy)).c_str(),
                    fifo ? "first_come" : "queue", c.first.c_str(), waits.size(),
                    quantile(waits, 0.5), quantile(waits, 0.99), quantile(waits, 1.0),
                    static_cast<long long>(d.preempted()), d.mean_use());
    }
}

inline void measure_curve(const workload& s, double weight, int seconds)
{
    simulation_options r;
    r.of = s;
    r.load = 1.1;
    r.waiting_weight = weight;
    r.seconds = seconds;
    const std::unique_ptr<cell_simulation> run = simulate(r);
    cell_simulation& d = *run;
    std::vector<double> waits;
    for (const char* name : {"review", "cohort"}) {
        const std::vector<double>& of = d.by_class()[name].waits_ms;
        waits.insert(waits.end(), of.begin(), of.end());
    }
    double sum = 0.0;
    for (const double w : waits) {
        sum += w;
    }
    std::printf(
        "{\"case\":\"curve\",\"shape\":\"%s\",\"waiting_weight\":%.1f,\"mean_wait_ms\":%.0f,"
        "\"p50_ms\":%.0f,\"p99_ms\":%.0f,\"use\":%.4f,\"started\":%zu}\n",
        s.name.c_str(), weight, waits.empty() ? 0.0 : sum / static_cast<double>(waits.size()),
        quantile(waits, 0.5), quantile(waits, 0.99), d.mean_use(), waits.size());
}

inline void measure_fairness(const workload& s, double load, double flood, int seconds)
{
    simulation_options r;
    r.of = s;
    r.load = load;
    r.flood = flood;
    r.organisations = 10;
    r.seconds = seconds;
    const std::unique_ptr<cell_simulation> run = simulate(r);
    cell_simulation& d = *run;
    std::vector<double> received_cpu;
    std::vector<double> p99;
    for (std::size_t t = flood > 0 ? 1 : 0; t < d.by_organisation().size(); ++t) {
        received_cpu.push_back(d.by_organisation()[t].cpu_seconds);
        p99.push_back(quantile(d.by_organisation()[t].waits_ms, 0.99));
    }
    double mean = 0.0;
    for (const double v : p99) {
        mean += v / static_cast<double>(p99.size());
    }
    std::printf("{\"case\":\"fairness\",\"shape\":\"%s\",\"load\":%.1f,\"flood\":%.1f,"
                "\"organisations\":%zu,"
                "\"jain\":%.4f,\"worst_p99_ratio\":%.3f,\"mean_p99_ms\":%.0f}\n",
                s.name.c_str(), load, flood, received_cpu.size(), jain_index(received_cpu),
                *std::max_element(p99.begin(), p99.end()) / mean, mean);
}

/// Measures starts wasted on faulty workers. Every tenth worker fails each task 10 ms after its
/// start, and the owner learns of the failure within one step.
inline void measure_black_holes(bool with_health, int seconds)
{
    constexpr std::uint32_t workers = 500;
    cell where;
    const workload s = tabara();
    add_workers(where, s, workers, 4, 0);
    placement place(where, strategy::balance, 0.5, 3);
    health tracker(health_limits{});
    std::mt19937_64 random(5);
    std::multimap<time_point, std::pair<worker_id, std::string>> ends;
    for (worker_id w = 0; w < workers; ++w) {
        tracker.add(w);
    }
    std::int64_t starts = 0;
    std::int64_t wasted = 0;
    std::uint64_t number = 0;
    const auto update = [&](worker_id w) {
        where.set_state(w, tracker.limit(w) == 0 ? worker_state::out : worker_state::live);
        where.set_start_limit(w, tracker.limit(w));
    };
    for (time_point now = time_point(); now < time_point(std::chrono::seconds(seconds));
         now += step) {
        for (auto it = ends.begin(); it != ends.end() && it->first <= now; it = ends.erase(it)) {
            const worker_id w = it->second.first;
            where.end(w, it->second.second);
            if (with_health &&
                tracker.ended(w, std::stoull(it->second.second) / 20, w % 10 == 0, now)) {
                update(w);
            }
        }
        for (const worker_id w : tracker.due(now)) {
            update(w);
        }
        for (int i = 0; i < 14; ++i) {
            task_need need;
            need.size = random_size(s.task_sizes, random);
            const std::optional<placement_choice> choice = place.choose(need);
            if (!choice) {
                break;
            }
            allocated_task t;
            t.name = std::to_string(++number);
            t.reserved = need.size;
            t.listed = true;
            where.start(choice->worker, t);
            const bool fails = choice->worker % 10 == 0;
            ++starts;
            wasted += fails ? 1 : 0;
            const micros run = fails ? micros(10000) : micros(5000000 + random() % 5000000);
            ends.emplace(now + run, std::make_pair(choice->worker, t.name));
        }
    }
    std::printf("{\"case\":\"black_holes\",\"workers\":%u,\"judged\":%s,\"starts\":%lld,"
                "\"wasted_starts_ratio\":%.4f,\"out_at_end\":%zu}\n",
                workers, with_health ? "true" : "false", static_cast<long long>(starts),
                static_cast<double>(wasted) / static_cast<double>(starts), tracker.out());
}

/// Simulates tasks that use 0.2 to 5 times what they declare, depending on their class. Reports
/// show the use of a task from 5 s after its start.
class wrong_declarations {
public:
    explicit wrong_declarations(bool learning)
        : learning_(learning), place_(cell_, strategy::balance, 0.5, 3), random_(9)
    {
        add_workers(cell_, workload_, workers, 4, 0);
    }

    void run(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            const time_point now = time_point(std::chrono::seconds(second));
            end_due(now);
            report(now);
            for (int i = 0; i < starts_per_second; ++i) {
                start_one(now);
            }
        }
        std::printf("{\"case\":\"declarations\",\"learning\":%s,\"starts\":%lld,\"overfills\":%lld,"
                    "\"worker_seconds_beyond_size_by_true_use\":%.4f}\n",
                    learning_ ? "true" : "false", static_cast<long long>(starts_),
                    static_cast<long long>(overfills_), overused_worker_seconds_ / worker_seconds_);
    }

private:
    static constexpr micros lag = std::chrono::seconds(5);
    static constexpr worker_id workers = 50;
    static constexpr int starts_per_second = 20;
    static constexpr int kinds = 8;

    struct running {
        worker_id where = 0;
        task_usage usage;
        resources declared;
        time_point started;
        std::string work_class;
    };

    void end_due(time_point now)
    {
        for (auto it = tasks_.begin(); it != tasks_.end() && it->first <= now;
             it = tasks_.erase(it)) {
            const running& r = it->second;
            cell_.end(r.where, r.usage.name);
            if (learning_) {
                estimates_.add_peak(r.work_class, r.declared, r.usage.used);
            }
        }
    }

    void report(time_point now)
    {
        std::vector<std::vector<task_usage>> lists(workers);
        std::vector<resources> actual_use(workers);
        for (const std::pair<const time_point, running>& t : tasks_) {
            task_usage u = t.second.usage;
            actual_use[t.second.where] += u.used;
            u.used = now - t.second.started >= lag ? u.used : resources{};
            lists[t.second.where].push_back(u);
        }
        for (worker_id w = 0; w < workers; ++w) {
            cell_.report(w, lists[w], now, std::chrono::seconds(3));
            worker_seconds_ += 1.0;
            overused_worker_seconds_ += fits(actual_use[w], workload_.size) ? 0.0 : 1.0;
        }
    }

    void start_one(time_point now)
    {
        const int kind = static_cast<int>(random_() % kinds);
        const double factor = std::exp(-1.609 + 3.219 * kind / (kinds - 1));
        const resources drawn = random_size(workload_.task_sizes, random_);
        running r;
        r.declared = {drawn.cpu_millis / 2, drawn.memory_mb / 2, 0};
        r.work_class = std::to_string(kind);
        r.started = now;
        task_need need;
        need.size = estimates_.reservation(r.work_class, r.declared, 0.1, workload_.size);
        const std::optional<placement_choice> choice = place_.choose(need);
        if (!choice) {
            return;
        }
        const auto used = [factor](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
        };
        r.where = choice->worker;
        r.usage.name = std::to_string(++starts_);
        r.usage.reserved = need.size;
        r.usage.used = {used(r.declared.cpu_millis), used(r.declared.memory_mb), 0};
        allocated_task t;
        t.name = r.usage.name;
        t.reserved = need.size;
        t.started = now;
        cell_.start(choice->worker, t);
        overfills_ += fits(cell_.at(choice->worker).claimed(), workload_.size) ? 0 : 1;
        tasks_.emplace(now + micros(10000000 + random_() % 50000000), std::move(r));
    }

    bool learning_;
    workload workload_ = tabara();
    cell cell_;
    placement place_;
    estimates estimates_;
    std::mt19937_64 random_;
    std::multimap<time_point, running> tasks_;
    std::int64_t overfills_ = 0;
    std::int64_t starts_ = 0;
    double overused_worker_seconds_ = 0.0;
    double worker_seconds_ = 0.0;
};

inline void measure_cancels()
{
    constexpr std::int64_t waiting = 200000;
    constexpr std::int64_t cancels = 100000;
    constexpr std::int64_t cancels_per_decision = 9;
    fairness organisations;
    organisations.set_capacity({1000000000, 1000000000, 0});
    for (int t = 0; t < 570; ++t) {
        organisations.put({"t" + std::to_string(t), 1.0, no_quota, 0.0});
    }
    work_queue queue(organisations, placement_policy{}, {400000});
    std::mt19937_64 random(2);
    std::vector<ticket> tickets;
    error why;
    for (std::int64_t i = 0; i < waiting; ++i) {
        waiting_work w;
        w.organisation = static_cast<organisation_id>(random() % 570);
        w.work_class = "review";
        w.size = random_size(two_year().task_sizes, random);
        tickets.push_back(*queue.push(w, INT64_MAX, why));
    }
    std::shuffle(tickets.begin(), tickets.end(), random);
    std::vector<double> times;
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    queue.begin_round(time_point());
    for (std::int64_t i = 0; i < cancels; ++i) {
        queue.cancel(tickets[static_cast<std::size_t>(i)]);
        if (i % cancels_per_decision == 0) {
            const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            const ticket t = queue.next();
            const waiting_work w = *queue.find(t);
            organisations.charge(w.organisation, w.size);
            queue.placed();
            times.push_back(
                std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
                    .count());
        }
    }
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::printf("{\"case\":\"cancels\",\"queue\":%lld,\"cancels\":%lld,\"seconds\":%.3f,"
                "\"decisions\":%zu,\"p50_us\":%.2f,\"p99_us\":%.2f,\"worst_us\":%.0f}\n",
                static_cast<long long>(waiting), static_cast<long long>(cancels), seconds,
                times.size(), quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1.0));
}

} // namespace bench
