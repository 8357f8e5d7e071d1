// Strategies that use the capacity index, and simple scans and random choices as a baseline.

#include "sesamesill/placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr std::uint32_t max_examined = 128;      ///< workers per decision of the indexed strategies
constexpr std::size_t max_buckets = 8;           ///< cheapest buckets to look into
constexpr std::uint32_t max_per_bucket = 4;      ///< workers; twice as many if some may lack room
constexpr std::uint32_t min_samples = 16;        ///< random ids tried by sampling, even after a hit
constexpr std::uint32_t max_random_tries = 1024; ///< random ids tried before giving up
constexpr double recent_start_cost = 1.0 / 16;   ///< waiting cost of each recent start

constexpr name_table<strategy, 10> strategy_names{{{strategy::best_fit, "best_fit"},
                                                   {strategy::alignment, "alignment"},
                                                   {strategy::balance, "balance"},
                                                   {strategy::spread, "spread"},
                                                   {strategy::sampling, "sampling"},
                                                   {strategy::scan, "scan"},
                                                   {strategy::cpu_scan, "cpu_scan"},
                                                   {strategy::first_fit, "first_fit"},
                                                   {strategy::least_loaded, "least_loaded"},
                                                   {strategy::random, "random"}}};

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

resource_shares shares_of(const resources& part, const resources& whole)
{
    return {share(part.cpu_millis, whole.cpu_millis), share(part.memory_mb, whole.memory_mb),
            share(part.accelerators, whole.accelerators)};
}

/// Returns the weighted room that would remain; less is better.
double leftover_cost(const resources& room, const resources& need, const packing_scale& scale)
{
    const resource_shares remaining = shares_of(room - need, scale.size);
    return remaining.cpu * scale.weight.cpu + remaining.memory * scale.weight.memory +
           remaining.accelerators;
}

/// Adds the difference between remaining CPU and memory to leftover_cost().
double uneven_leftover_cost(const resources& room, const resources& need,
                            const packing_scale& scale)
{
    const resource_shares remaining = shares_of(room - need, scale.size);
    return leftover_cost(room, need, scale) + std::abs(remaining.cpu - remaining.memory);
}

/// Returns a cost that falls with the dot product of room and need; spare accelerators add to it.
double misalignment_cost(const resources& room, const resources& need, const packing_scale& scale)
{
    const resource_shares r = shares_of(room, scale.size);
    const resource_shares n = shares_of(need, scale.size);
    return 1.0 - (r.cpu * n.cpu + r.memory * n.memory + r.accelerators * n.accelerators) +
           r.accelerators - n.accelerators;
}

double cpu_leftover_cost(const resources& room, const resources& need, const packing_scale& scale)
{
    return share(room.cpu_millis - need.cpu_millis, scale.size.cpu_millis);
}

double least_loaded_cost(const resources& room, const resources& need, const packing_scale& scale)
{
    return -leftover_cost(room, need, scale);
}

/// Returns weights proportional to the claimed shares of the cell, so that the scarcer of
/// processors and memory counts for more.
resource_shares weights_of(const cell& target_cell)
{
    const resource_shares used = shares_of(target_cell.claimed(), target_cell.total());
    const double sum = used.cpu + used.memory;
    return sum > 0 ? resource_shares{used.cpu / sum, used.memory / sum, 1.0}
                   : resource_shares{0.5, 0.5, 1.0};
}

} // namespace

std::string_view name_of(strategy s)
{
    return name_in(strategy_names, s);
}

std::int32_t job_spread::count(const counts& by_id, std::uint32_t id)
{
    const auto found = by_id.find(id);
    return found == by_id.end() ? 0 : found->second;
}

void job_spread::change(const cell& target_cell, worker_id w, std::int32_t delta)
{
    const auto apply = [delta](counts& by_id, std::uint32_t id) {
        const auto found = by_id.emplace(id, 0).first;
        found->second += delta;
        if (found->second <= 0) {
            by_id.erase(found);
        }
    };
    apply(workers, w);
    apply(racks, target_cell.rack_of(w));
    apply(data_centers, target_cell.data_center_of(w));
}

struct placement::table_entry {
    strategy name;
    chooser choose;
    packing_cost cost;
};

/// The cheapest buckets in ascending order of cost.
struct placement::shortlist {
    struct item {
        double cost = 0.0;
        capacity_bucket bucket;
    };
    std::array<item, max_buckets> items{};
    std::size_t size = 0;
    bool always_fits = false;

    void add(double cost, const capacity_bucket& bucket)
    {
        always_fits = always_fits || bucket.always_fits;
        if (size == items.size() && cost >= items[size - 1].cost) {
            return;
        }
        std::size_t at = size < items.size() ? size++ : size - 1;
        for (; at > 0 && items[at - 1].cost > cost; --at) {
            items[at] = items[at - 1];
        }
        items[at] = {cost, bucket};
    }
};

const placement::table_entry& placement::entry_of(strategy s)
{
    static const std::array<table_entry, 10> table{{
        {strategy::best_fit, &placement::by_index, leftover_cost},
        {strategy::alignment, &placement::by_index, misalignment_cost},
        {strategy::balance, &placement::by_index, uneven_leftover_cost},
        {strategy::spread, &placement::by_spread, leftover_cost},
        {strategy::sampling, &placement::by_sampling, leftover_cost},
        {strategy::scan, &placement::by_scan, leftover_cost},
        {strategy::cpu_scan, &placement::by_scan, cpu_leftover_cost},
        {strategy::first_fit, &placement::by_first_fit, leftover_cost},
        {strategy::least_loaded, &placement::by_scan, least_loaded_cost},
        {strategy::random, &placement::by_random, leftover_cost},
    }};
    return *std::find_if(table.begin(), table.end(),
                         [s](const table_entry& e) { return e.name == s; });
}

placement::placement(const cell& target_cell, strategy selected, double waiting_weight,
                     std::uint64_t seed)
    : cell_(target_cell), strategy_(entry_of(selected)), waiting_weight_(waiting_weight),
      random_(seed)
{
}

std::optional<placement_choice> placement::choose(const task_need& need)
{
    examined_ = 0;
    rejections_ = {};
    scale_ = {cell_.largest(), weights_of(cell_)};
    return (this->*strategy_.choose)(need);
}

bool placement::pool_matches(const worker_pool& pool, const task_need& need) const
{
    return need.attributes == nullptr || has_attributes(pool.attributes, *need.attributes);
}

bool placement::is_suitable(worker_id w, const task_need& need)
{
    ++examined_;
    if (!fits(need.size, cell_.at(w).room())) {
        ++rejections_.no_room;
        return false;
    }
    const std::uint32_t rack = cell_.rack_of(w);
    if (need.max_per_rack > 0 && need.same_job != nullptr &&
        job_spread::count(need.same_job->racks, rack) >= need.max_per_rack) {
        ++rejections_.rack_full;
        return false;
    }
    if (need.colocate_with != nullptr && job_spread::count(need.colocate_with->racks, rack) == 0) {
        ++rejections_.not_colocated;
        return false;
    }
    if (need.separate_from != nullptr && job_spread::count(need.separate_from->workers, w) > 0) {
        ++rejections_.not_separated;
        return false;
    }
    return true;
}

double placement::cost(worker_id w, const task_need& need) const
{
    const worker& candidate = cell_.at(w);
    const double packing = strategy_.cost(candidate.room(), need.size, scale_);
    const double waiting = recent_start_cost * candidate.recent_starts();
    return (1.0 - waiting_weight_) * packing + waiting_weight_ * waiting;
}

void placement::consider(worker_id w, const task_need& need, std::optional<placement_choice>& best)
{
    if (!is_suitable(w, need)) {
        return;
    }
    const double c = cost(w, need);
    if (!best || c < best->cost) {
        best = placement_choice{w, c};
    }
}

std::optional<placement_choice> placement::by_index(const task_need& need)
{
    shortlist cheapest;
    const resources quantum = cell_.free().quantum();
    const std::vector<worker_pool>& pools = cell_.pools();
    for (pool_id p = 0; p < pools.size(); ++p) {
        if (!pool_matches(pools[p], need)) {
            ++rejections_.lacking_attributes;
            continue;
        }
        bool found = false;
        cell_.free().rows(
            p, need.size,
            [&](const capacity_bucket& b) {
                const resources room{b.level.cpu * quantum.cpu_millis,
                                     b.level.memory * quantum.memory_mb,
                                     b.level.accelerators * quantum.accelerators};
                cheapest.add(strategy_.cost(larger(room, need.size), need.size, scale_), b);
                found = found || b.always_fits;
            },
            [&found] { return found; });
    }
    std::optional<placement_choice> best;
    for (std::size_t i = 0; i < cheapest.size && !(best && i >= 2); ++i) {
        const capacity_bucket& bucket = cheapest.items[i].bucket;
        std::uint32_t remaining = bucket.always_fits ? max_per_bucket : 2 * max_per_bucket;
        for (worker_id w = cell_.free().first(bucket); w != capacity_index::none && remaining > 0;
             w = cell_.free().next(w), --remaining) {
            consider(w, need, best);
        }
    }
    return best ? best : first_by_index(need);
}

std::optional<placement_choice> placement::first_by_index(const task_need& need)
{
    std::optional<placement_choice> best;
    const std::vector<worker_pool>& pools = cell_.pools();
    for (pool_id p = 0; p < pools.size() && !best; ++p) {
        if (!pool_matches(pools[p], need)) {
            continue;
        }
        cell_.free().buckets(p, need.size, [&](const capacity_bucket& b) {
            for (worker_id w = cell_.free().first(b);
                 w != capacity_index::none && examined_ < max_examined && !best;
                 w = cell_.free().next(w)) {
                consider(w, need, best);
            }
            return examined_ < max_examined && !best;
        });
    }
    return best;
}

std::optional<placement_choice> placement::by_spread(const task_need& need)
{
    std::optional<placement_choice> best;
    const std::vector<worker_pool>& pools = cell_.pools();
    const std::uint32_t max_per_pool =
        std::max<std::uint32_t>(2, max_examined / std::max<std::uint32_t>(1, pools.size()));
    for (pool_id p = 0; p < pools.size(); ++p) {
        if (!pool_matches(pools[p], need)) {
            ++rejections_.lacking_attributes;
            continue;
        }
        const double in_data_center =
            need.same_job ? job_spread::count(need.same_job->data_centers, pools[p].data_center)
                          : 0;
        std::uint32_t remaining = max_per_pool;
        cell_.free().buckets(p, need.size, [&](const capacity_bucket& b) {
            for (worker_id w = cell_.free().first(b); w != capacity_index::none && remaining > 0;
                 w = cell_.free().next(w), --remaining) {
                if (!is_suitable(w, need)) {
                    continue;
                }
                const double in_rack =
                    need.same_job ? job_spread::count(need.same_job->racks, cell_.rack_of(w)) : 0;
                const double on_worker =
                    need.same_job ? job_spread::count(need.same_job->workers, w) : 0;
                const double c =
                    1e6 * in_data_center + 1e3 * in_rack + 10 * on_worker + cost(w, need);
                if (!best || c < best->cost) {
                    best = placement_choice{w, c};
                }
            }
            return remaining > 0;
        });
    }
    return best ? best : first_by_index(need);
}

std::optional<placement_choice> placement::by_sampling(const task_need& need)
{
    std::optional<placement_choice> best;
    for (std::uint32_t i = 0; i < max_random_tries && cell_.id_limit() > 0; ++i) {
        const worker_id w = static_cast<worker_id>(random_() % cell_.id_limit());
        if (cell_.has(w)) {
            consider(w, need, best);
        }
        if (best && i + 1 >= min_samples) {
            break;
        }
    }
    return best;
}

std::optional<placement_choice> placement::by_scan(const task_need& need)
{
    std::optional<placement_choice> best;
    for (worker_id w = 0; w < cell_.id_limit(); ++w) {
        if (cell_.has(w)) {
            consider(w, need, best);
        }
    }
    return best;
}

std::optional<placement_choice> placement::by_first_fit(const task_need& need)
{
    for (worker_id w = 0; w < cell_.id_limit(); ++w) {
        if (cell_.has(w) && is_suitable(w, need)) {
            return placement_choice{w, 0.0};
        }
    }
    return std::nullopt;
}

std::optional<placement_choice> placement::by_random(const task_need& need)
{
    for (std::uint32_t i = 0; i < max_random_tries && cell_.id_limit() > 0; ++i) {
        const worker_id w = static_cast<worker_id>(random_() % cell_.id_limit());
        if (cell_.has(w) && is_suitable(w, need)) {
            return placement_choice{w, 0.0};
        }
    }
    return by_first_fit(need);
}

std::optional<error> check_feasible(const cell& target_cell, const resources& size,
                                    const attribute_map& required)
{
    resources nearest;
    double least_distance = 0.0;
    bool found_size = false;
    for (const worker_pool& pool : target_cell.pools()) {
        if (pool.sizes.empty() || !has_attributes(pool.attributes, required)) {
            continue;
        }
        for (const std::pair<resources, std::int64_t>& pool_size : pool.sizes) {
            if (fits(size, pool_size.first)) {
                return std::nullopt;
            }
            const resources fitting{std::min(size.cpu_millis, pool_size.first.cpu_millis),
                                    std::min(size.memory_mb, pool_size.first.memory_mb),
                                    std::min(size.accelerators, pool_size.first.accelerators)};
            const resource_shares shortfall = shares_of(size - fitting, larger(size, {1, 1, 1}));
            const double distance = shortfall.cpu + shortfall.memory + shortfall.accelerators;
            if (!found_size || distance < least_distance) {
                nearest = fitting;
                least_distance = distance;
                found_size = true;
            }
        }
    }
    if (!found_size) {
        return error{error_code::unfit, step::admission, "",
                     "no worker has the required attributes"};
    }
    return error{error_code::unfit, step::admission, "",
                 "no worker can hold " + to_string(size) + "; the nearest size that fits is " +
                     to_string(nearest)};
}

resources largest_fitting_size(const cell& target_cell, const resources& size,
                               const attribute_map& required)
{
    resources best = size;
    double best_share = 0.0;
    for (const worker_pool& pool : target_cell.pools()) {
        if (!has_attributes(pool.attributes, required)) {
            continue;
        }
        for (const std::pair<resources, std::int64_t>& pool_size : pool.sizes) {
            const resource_shares s = shares_of(pool_size.first, target_cell.largest());
            if (fits(size, pool_size.first) && s.cpu + s.memory > best_share) {
                best = pool_size.first;
                best_share = s.cpu + s.memory;
            }
        }
    }
    return best;
}

std::int64_t max_task_count(const cell& target_cell, const resources& size,
                            const attribute_map& required)
{
    std::int64_t sum = 0;
    for (const worker_pool& pool : target_cell.pools()) {
        if (!has_attributes(pool.attributes, required)) {
            continue;
        }
        for (const std::pair<resources, std::int64_t>& pool_size : pool.sizes) {
            std::int64_t tasks_per_worker = INT64_MAX;
            const auto bound = [&tasks_per_worker](std::int64_t need, std::int64_t have) {
                tasks_per_worker =
                    need > 0 ? std::min(tasks_per_worker, have / need) : tasks_per_worker;
            };
            bound(size.cpu_millis, pool_size.first.cpu_millis);
            bound(size.memory_mb, pool_size.first.memory_mb);
            bound(size.accelerators, pool_size.first.accelerators);
            sum += tasks_per_worker == INT64_MAX ? 0 : tasks_per_worker * pool_size.second;
        }
    }
    return sum;
}

} // namespace sesamesill
