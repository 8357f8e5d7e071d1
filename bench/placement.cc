// Measures the cost of a placement decision by cell size, and compares how well the strategies pack
// tasks, simple baselines included. Prints one JSON object per line.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <vector>

#include <gflags/gflags.h>

#include "load_cases.h"
#include "sesamesill/placement.h"

DEFINE_string(cases, "sizes,packing,waiting,curve,fairness,black_holes,declarations,cancels",
              "cases to run, comma-separated");
DEFINE_int32(decisions, 20000, "decisions measured at each size");
DEFINE_int32(seconds, 600, "virtual seconds of each case under load");
DEFINE_int32(seeds, 20, "runs of each packing case");

namespace {

using namespace sesamesill;
using bench::workload;

using steady = std::chrono::steady_clock;

constexpr std::uint32_t two_year_workers = 28000;
constexpr std::uint32_t two_year_tasks = 440000;
// 1000 of 3394 workers have 8 accelerators: 66,000 accelerators on 28,000 workers.
constexpr std::uint32_t accelerated_share = 3394;

double micros_since(steady::time_point begin)
{
    return std::chrono::duration<double, std::micro>(steady::now() - begin).count();
}

using bench::quantile;

/// A cell with as many tasks per worker as the two-year cell, and its queue.
class loaded_cell {
public:
    loaded_cell(const workload& s, std::uint32_t workers, strategy placement_strategy)
        : workload_(s), random_(7), place_(cell_, placement_strategy, 0.5, 7),
          initial_placement_(cell_, strategy::best_fit, 0.5, 7),
          queue_(organisations_, placement_policy{}, {400000})
    {
        bench::add_workers(cell_, s, workers, std::min<std::uint32_t>(13, workers / 12),
                           accelerated_share);
        organisations_.set_capacity(cell_.total());
        for (std::uint32_t t = 0; t < two_year_organisations; ++t) {
            organisations_.put({"t" + std::to_string(t), 1.0, bench::no_quota, 0.0});
        }
        const std::uint64_t tasks = std::uint64_t{two_year_tasks} * workers / two_year_workers;
        while (tasks_.size() < tasks && place_one(initial_placement_, draw())) {
        }
    }

    /// Chooses a worker for a random task and starts it, bypassing the queue.
    bool decide() { return place_one(place_, draw()); }

    /// Adds a random task to the queue, then takes the next task from the queue and places it.
    bool decide_queued()
    {
        if (decisions_++ % decisions_per_round == 0) {
            now_ += millis(20);
            queue_.begin_round(now_);
        }
        push();
        const ticket t = queue_.next();
        if (t == 0) {
            return false;
        }
        if (!place_one(place_, *queue_.find(t))) {
            queue_.no_room();
            return false;
        }
        queue_.placed();
        return true;
    }

    void push()
    {
        error why;
        queue_.push(draw(), INT64_MAX, why);
    }

    void end_one()
    {
        const std::size_t i = random_() % tasks_.size();
        cell_.end(tasks_[i].where, tasks_[i].name);
        organisations_.refund(tasks_[i].organisation, tasks_[i].size);
        queue_.share_changed(tasks_[i].organisation);
        std::swap(tasks_[i], tasks_.back());
        tasks_.pop_back();
    }

    std::size_t tasks() const { return tasks_.size(); }
    std::size_t waiting() const { return queue_.size(); }
    std::uint32_t examined() const { return place_.examined(); }

private:
    static constexpr std::uint32_t two_year_organisations = 570;
    /// 11,000 decisions per second in rounds of 20 ms.
    static constexpr std::uint64_t decisions_per_round = 220;

    struct placed {
        std::string name;
        worker_id where = 0;
        organisation_id organisation = 0;
        resources size;
    };

    waiting_work draw()
    {
        waiting_work work;
        work.organisation = static_cast<organisation_id>(random_() % two_year_organisations);
        work.work_class = "batch";
        work.size = bench::random_size(workload_.task_sizes, random_);
        work.size.accelerators = random_() % 16 == 0 ? 1 : 0;
        work.arrived = now_;
        return work;
    }

    bool place_one(placement& place, const waiting_work& work)
    {
        task_need need;
        need.size = work.size;
        const std::optional<placement_choice> choice = place.choose(need);
        if (!choice) {
            return false;
        }
        allocated_task task;
        task.name = bench::task_name(next_++);
        task.reserved = work.size;
        task.listed = true;
        organisations_.charge(work.organisation, work.size);
        tasks_.push_back({task.name, choice->worker, work.organisation, work.size});
        return cell_.start(choice->worker, std::move(task));
    }

    workload workload_;
    cell cell_;
    std::mt19937_64 random_;
    placement place_;
    placement initial_placement_;
    fairness organisations_;
    work_queue queue_;
    std::vector<placed> tasks_;
    std::uint64_t next_ = 1;
    std::uint64_t decisions_ = 0;
    time_point now_;
};

constexpr int initial_queue_length = 5000;

void measure_size(std::uint32_t workers, strategy placement_strategy, bool queued, int decisions)
{
    loaded_cell cell(bench::two_year(), workers, placement_strategy);
    for (int i = 0; queued && i < initial_queue_length; ++i) {
        cell.push();
    }
    std::vector<double> times;
    times.reserve(static_cast<std::size_t>(decisions));
    std::uint64_t examined = 0;
    std::uint32_t most_examined = 0;
    int refused = 0;
    const steady::time_point begin = steady::now();
    for (int i = 0; i < decisions; ++i) {
        cell.end_one();
        const steady::time_point start = steady::now();
        refused += (queued ? cell.decide_queued() : cell.decide()) ? 0 : 1;
        times.push_back(micros_since(start));
        examined += cell.examined();
        most_examined = std::max(most_examined, cell.examined());
    }
    const double seconds = micros_since(begin) / 1e6;
    std::printf(
        "{\"case\":\"sizes\",\"strategy\":\"%s\",\"queued\":%s,\"workers\":%u,\"tasks\":%zu,"
        "\"decisions_per_second\":%.0f,\"p50_us\":%.2f,\"p99_us\":%.2f,"
        "\"workers_examined\":%.1f,\"workers_examined_most\":%u,\"refused\":%d,"
        "\"memory_mb\":%lld}\n",
        std::string(name_of(placement_strategy)).c_str(), queued ? "true" : "false", workers,
        cell.tasks(), decisions / seconds, quantile(times, 0.5), quantile(times, 0.99),
        static_cast<double>(examined) / decisions, most_examined, refused,
        static_cast<long long>(bench::resident_mb()));
    std::fflush(stdout);
}

struct packing {
    double used = 0.0;  ///< use of the fullest dimension at the first refusal
    double bound = 0.0; ///< use of the fullest dimension if tasks were divisible
    double stranded_cpu = 0.0;
    double stranded_memory = 0.0;
};

packing pack_once(const workload& s, strategy placement_strategy, std::uint64_t seed)
{
    cell where;
    bench::add_workers(where, s, 50, 4, 0);
    placement place(where, placement_strategy, 0.0, seed);
    std::mt19937_64 random(seed);
    packing result;
    resources asked;
    bool refused = false;
    for (std::uint64_t i = 0; fits(asked, where.total()); ++i) {
        const resources size = bench::random_size(s.task_sizes, random);
        result.bound = dominant_share(asked, where.total());
        asked += size;
        task_need need;
        need.size = size;
        const std::optional<placement_choice> choice = refused ? std::nullopt : place.choose(need);
        if (!choice && !refused) {
            refused = true;
            const resources claimed = where.claimed();
            result.used = dominant_share(claimed, where.total());
            const resources left = where.total() - claimed;
            result.stranded_cpu = dominant_share({left.cpu_millis, 0, 0}, where.total());
            result.stranded_memory = dominant_share({0, left.memory_mb, 0}, where.total());
        }
        if (choice) {
            allocated_task task;
            task.name = bench::task_name(i);
            task.reserved = size;
            where.start(choice->worker, std::move(task));
        }
    }
    return result;
}

void measure_packing(const workload& s, strategy placement_strategy)
{
    packing sum;
    double worst = 1.0;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        const packing p = pack_once(s, placement_strategy, static_cast<std::uint64_t>(seed));
        sum.used += p.used;
        sum.bound += p.bound;
        sum.stranded_cpu += p.stranded_cpu;
        sum.stranded_memory += p.stranded_memory;
        worst = std::min(worst, p.used / p.bound);
    }
    std::printf("{\"case\":\"packing\",\"shape\":\"%s\",\"workers\":50,\"baseline\":\"%s\","
                "\"packing_ratio\":%.4f,\"worst_packing_ratio\":%.4f,\"stranded_cpu\":%.4f,"
                "\"stranded_memory\":%.4f,\"seeds\":%d}\n",
                s.name.c_str(), std::string(name_of(placement_strategy)).c_str(),
                sum.used / sum.bound, worst, sum.stranded_cpu / FLAGS_seeds,
                sum.stranded_memory / FLAGS_seeds, FLAGS_seeds);
}

bool is_selected(const std::string& name)
{
    return ("," + FLAGS_cases + ",").find("," + name + ",") != std::string::npos;
}

void measure_load()
{
    for (const workload& s : {bench::tabara(), bench::liit()}) {
        for (const double load : {0.7, 0.9, 1.1}) {
            if (is_selected("waiting")) {
                bench::measure_waiting(s, load, strategy::balance, false, FLAGS_seconds);
                for (const strategy placement_strategy :
                     {strategy::cpu_scan, strategy::first_fit, strategy::least_loaded,
                      strategy::random}) {
                    bench::measure_waiting(s, load, placement_strategy, true, FLAGS_seconds);
                }
            }
        }
        for (int tenths = 0; is_selected("curve") && tenths <= 10; ++tenths) {
            bench::measure_curve(s, tenths / 10.0, FLAGS_seconds);
        }
        if (is_selected("fairness")) {
            bench::measure_fairness(s, 1.1, 0.0, FLAGS_seconds);
            bench::measure_fairness(s, 0.9, 0.5, FLAGS_seconds);
        }
    }
}

void measure_faults()
{
    for (const bool on : {false, true}) {
        if (is_selected("black_holes")) {
            bench::measure_black_holes(on, FLAGS_seconds);
        }
        if (is_selected("declarations")) {
            bench::wrong_declarations(on).run(FLAGS_seconds);
        }
    }
    if (is_selected("cancels")) {
        bench::measure_cancels();
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (is_selected("sizes")) {
        for (const std::uint32_t workers : {50U, 500U, 5000U, two_year_workers}) {
            measure_size(workers, strategy::balance, true, FLAGS_decisions);
        }
        for (const strategy placement_strategy :
             {strategy::balance, strategy::best_fit, strategy::alignment, strategy::spread,
              strategy::sampling, strategy::scan}) {
            for (const std::uint32_t workers : {50U, 500U, 5000U, two_year_workers}) {
                measure_size(workers, placement_strategy, false,
                             placement_strategy == strategy::scan ? FLAGS_decisions / 100
                                                                  : FLAGS_decisions);
            }
        }
    }
    if (is_selected("packing")) {
        for (const workload& s : {bench::tabara(), bench::liit(), bench::uneven()}) {
            for (const strategy placement_strategy :
                 {strategy::best_fit, strategy::balance, strategy::alignment, strategy::sampling,
                  strategy::scan, strategy::cpu_scan, strategy::first_fit, strategy::least_loaded,
                  strategy::random}) {
                measure_packing(s, placement_strategy);
            }
        }
    }
    measure_load();
    measure_faults();
    return 0;
}
