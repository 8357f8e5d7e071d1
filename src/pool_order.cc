// Ranks steps by the value of their job per core-second of remaining work, and chooses workers.

#include "sesamesill/pool_order.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamesill::pool {
namespace {

constexpr double mean_window = 200;      ///< a new value has a weight of at least 1 / `mean_window`
constexpr double estimate_weight = 0.25; ///< estimates vary about twice as much as run times
constexpr double fixed_share = 0.3;      ///< share of a job's value that doesn't depend on its size
constexpr double missed_factor = 0.2;    ///< rank factor of a job that misses its objective
constexpr double overdue_factor = 0.01;  ///< rank factor beyond `overdue_after`; not 0, because the
                                         ///< job must still end
constexpr double overdue_after = 3;     ///< multiple of the objective; a later end has little value
constexpr double urgent_factor = 3;     ///< rank factor of queues with priority 0
constexpr double interrupted_rank = 3;  ///< that of an urgent job of mean size without slack
constexpr double slack_scale_ms = 5000; ///< slack beyond this makes a step wait for others; about
                                        ///< the run time of a task

} // namespace

void update_mean(double& mean, std::uint64_t& count, double value)
{
    ++count;
    mean += (value - mean) / std::min(static_cast<double>(count), mean_window);
}

double expected_run_ms(const queue_estimate& observed, double estimate_ms)
{
    if (observed.runs == 0 || estimate_ms <= 0) {
        return std::max(estimate_ms, observed.mean_run_ms);
    }
    return std::exp(estimate_weight * std::log(estimate_ms) +
                    (1 - estimate_weight) * std::log(std::max(1.0, observed.mean_run_ms)));
}

double objective_ms(const queue_policy& queue, const job_size& size)
{
    return queue.stretch * size.chain_ms + static_cast<double>(queue.latency_target.count());
}

double rank_of(const rank_inputs& in)
{
    if (in.interrupted) { // it never ends, so its age doesn't make it overdue
        return interrupted_rank;
    }
    const double mean = in.mean_work > 0 ? in.mean_work : std::max(in.job_work, 0.001);
    const double value = fixed_share * mean + (1 - fixed_share) * std::min(in.job_work, 4 * mean);
    double rank = value / std::max(in.remaining_work, 0.001);
    if (in.priority == 0) {
        rank *= urgent_factor;
    }
    const double end_ms = in.waited_ms + in.remaining_chain_ms;
    if (end_ms > overdue_after * in.objective_ms) {
        return rank * overdue_factor;
    }
    if (end_ms > in.objective_ms) {
        return rank * missed_factor;
    }
    // Apparent tardiness cost: the rank falls exponentially with the slack.
    return rank * std::exp(-(in.objective_ms - end_ms) / slack_scale_ms);
}

std::vector<bool> reserve_for_short_calls(const std::vector<double>& shares)
{
    constexpr std::size_t reserved_divisor = 4;
    std::vector<std::size_t> order(shares.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return shares[a] > shares[b]; });
    std::vector<bool> reserved(shares.size(), false);
    const std::size_t count =
        shares.size() > 1 ? std::max<std::size_t>(1, shares.size() / reserved_divisor) : 0;
    for (std::size_t i = 0; i < count; ++i) {
        reserved[order[i]] = true;
    }
    return reserved;
}

bool may_run(const worker_entry& entry, const step_spec& step, const queue_policy& queue)
{
    const bool has_label =
        step.required_label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                                 step.required_label) != entry.labels.end();
    return has_label && entry.service == queue.service && fits(step.need, entry.capacity);
}

int count_fitting(const resources& need, const resources& room, int limit)
{
    std::int64_t count = limit;
    if (need.cpu_millis > 0) {
        count = std::min(count, room.cpu_millis / need.cpu_millis);
    }
    if (need.memory_mb > 0) {
        count = std::min(count, room.memory_mb / need.memory_mb);
    }
    if (need.accelerators > 0) {
        count = std::min(count, room.accelerators / need.accelerators);
    }
    return static_cast<int>(std::max<std::int64_t>(0, count));
}

namespace {

/// Fills the candidates in the given order. Returns an empty list if they don't hold all tasks.
std::vector<int> fill(const std::vector<candidate>& candidates,
                      const std::vector<std::size_t>& order, int tasks)
{
    std::vector<int> counts(candidates.size(), 0);
    for (const std::size_t i : order) {
        const int placed = std::min(tasks, candidates[i].fits);
        counts[i] = placed;
        tasks -= placed;
    }
    return tasks > 0 ? std::vector<int>{} : counts;
}

} // namespace

std::vector<int> spread_gang(const std::vector<candidate>& candidates, int tasks, bool same_rack)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    // Workers with a valid ticket come first, so that the gang starts without another advice call.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const candidate& x = candidates[a];
        const candidate& y = candidates[b];
        if (x.preferred != y.preferred) {
            return x.preferred;
        }
        if (x.ticket_valid != y.ticket_valid) {
            return x.ticket_valid;
        }
        return x.fits < y.fits; // use up small amounts of room first
    });
    if (same_rack) {
        std::map<std::string, std::vector<std::size_t>> racks;
        for (const std::size_t i : order) {
            racks[candidates[i].target->entry.rack].push_back(i);
        }
        for (const std::pair<const std::string, std::vector<std::size_t>>& rack : racks) {
            std::vector<int> counts = fill(candidates, rack.second, tasks);
            if (!counts.empty()) {
                return counts;
            }
        }
    }
    return fill(candidates, order, tasks);
}

std::optional<gang_plan> plan_gang(const std::vector<gang_option>& options, const resources& need,
                                   int tasks, time_point now)
{
    struct slot {
        time_point free_at;
        std::size_t option;
    };
    std::vector<slot> slots;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const gang_option& o = options[i];
        resources room = o.room;
        int fits_so_far = count_fitting(need, room, o.limit);
        slots.insert(slots.end(), static_cast<std::size_t>(fits_so_far), {now, i});
        for (const std::pair<time_point, resources>& freed : o.releases) {
            room += freed.second;
            const int fits_then = count_fitting(need, room, o.limit);
            for (; fits_so_far < fits_then; ++fits_so_far) {
                slots.push_back({std::max(now, freed.first), i});
            }
        }
    }
    if (static_cast<int>(slots.size()) < tasks) {
        return std::nullopt;
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [](const slot& a, const slot& b) { return a.free_at < b.free_at; });
    gang_plan plan;
    plan.counts.assign(options.size(), 0);
    for (int i = 0; i < tasks; ++i) {
        const slot& s = slots[static_cast<std::size_t>(i)];
        ++plan.counts[s.option];
        plan.ready = s.free_at;
    }
    return plan;
}

int pick_candidate(const std::vector<candidate>& candidates, const resources& need,
                   const std::set<process_id>& avoid)
{
    int best = -1;
    double best_score = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const candidate& c = candidates[i];
        if (c.fits <= 0) {
            continue;
        }
        const resources left = c.room - need;
        const resources& capacity_of_worker = c.target->entry.capacity;
        const double cpu_left = static_cast<double>(left.cpu_millis) /
                                std::max(1.0, static_cast<double>(capacity_of_worker.cpu_millis));
        const double memory_left = static_cast<double>(left.memory_mb) /
                                   std::max(1.0, static_cast<double>(capacity_of_worker.memory_mb));
        const double score = (avoid.count(c.target->id()) > 0 ? -100 : 0) + (c.preferred ? 10 : 0) +
                             (c.ticket_valid ? 4 : 0) + 2 - std::max(cpu_left, memory_left);
        if (best < 0 || score > best_score) {
            best = static_cast<int>(i);
            best_score = score;
        }
    }
    return best;
}

} // namespace sesamesill::pool
