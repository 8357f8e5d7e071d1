// Where a task goes: strategies behind one table, one cost that weighs waiting against packing.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>

#include "sesamesill/cell.h"
#include "sesamesill/environment.h"
#include "sesamesill/error.h"

namespace sesamesill {

enum class strategy : std::uint8_t {
    best_fit,     ///< least left over, by the index
    alignment,    ///< room most like the need, by the index
    balance,      ///< least left over and that evenly, by the index
    spread,       ///< fewest of the job in the data centre, then in the rack
    sampling,     ///< best of a few at random
    scan,         ///< best fit over all workers
    cpu_scan,     ///< fewest processors left over, over all workers
    first_fit,    ///< first in order of ids
    least_loaded, ///< most room
    random        ///< any with room
};

std::string_view name_of(strategy s);

/// Where the tasks of one job run, by ids of the cell.
struct job_spread {
    using counts = std::map<std::uint32_t, std::int32_t>;
    counts workers;
    counts racks;
    counts data_centers;

    void add(const cell& where, worker_id w) { change(where, w, 1); }
    void remove(const cell& where, worker_id w) { change(where, w, -1); }
    static std::int32_t count(const counts& of, std::uint32_t id);

private:
    void change(const cell& where, worker_id w, std::int32_t by);
};

/// What a task asks of a worker. Pointers may be null and outlive the decision.
struct task_need {
    resources size;
    const attribute_map* attributes = nullptr;
    const job_spread* same_job = nullptr;      ///< tasks of the same job
    const job_spread* colocate_with = nullptr; ///< only in racks of this job
    const job_spread* separate_from = nullptr; ///< only on workers without tasks of this job
    std::int64_t max_per_rack = 0;             ///< 0 for no limit
};

/// Why workers that were examined were passed over.
struct rejection_counts {
    std::uint32_t no_room = 0;
    std::uint32_t rack_full = 0;
    std::uint32_t not_colocated = 0;
    std::uint32_t not_separated = 0;
    std::uint32_t lacking_attributes = 0; ///< whole pools
};

/// Shares of a whole, one for each dimension.
struct resource_shares {
    double cpu = 0.0;
    double memory = 0.0;
    double accelerators = 0.0;
};

/// What amounts are measured by, and how much each dimension counts.
struct packing_scale {
    resources size;
    resource_shares weight;
};

struct placement_choice {
    worker_id worker = 0;
    double cost = 0.0;
};

class placement {
public:
    /// `waiting_weight` 0 packs as tightly as it can; 1 avoids workers with starts under way.
    placement(const cell& where, strategy selected, double waiting_weight, std::uint64_t seed);

    void set_waiting_weight(double weight) { waiting_weight_ = weight; }

    /// Returns the worker for a task, or nothing where none that was examined has room.
    std::optional<placement_choice> choose(const task_need& need);

    /// Workers examined by the last choice.
    std::uint32_t examined() const { return examined_; }
    const rejection_counts& rejections() const { return rejections_; }

private:
    using chooser = std::optional<placement_choice> (placement::*)(const task_need& need);
    using packing_cost = double (*)(const resources& room, const resources& need,
                                    const packing_scale& scale);
    struct table_entry;
    struct shortlist;

    static const table_entry& entry_of(strategy s);

    std::optional<placement_choice> by_index(const task_need& need);
    std::optional<placement_choice> by_spread(const task_need& need);
    std::optional<placement_choice> by_sampling(const task_need& need);
    std::optional<placement_choice> by_scan(const task_need& need);
    std::optional<placement_choice> by_first_fit(const task_need& need);
    std::optional<placement_choice> by_random(const task_need& need);
    std::optional<placement_choice> first_by_index(const task_need& need);

    bool pool_matches(const worker_pool& pool, const task_need& need) const;
    bool is_suitable(worker_id w, const task_need& need);
    double cost(worker_id w, const task_need& need) const;
    void consider(worker_id w, const task_need& need, std::optional<placement_choice>& best);

    const cell& cell_;
    const table_entry& strategy_;
    double waiting_weight_;
    std::mt19937_64 random_;
    std::uint32_t examined_ = 0;
    rejection_counts rejections_;
    packing_scale scale_;
};

/// Returns nothing where a worker exists that could hold the task when empty; else the reason and
/// the nearest size that would fit.
std::optional<error> check_feasible(const cell& where, const resources& size,
                                    const attribute_map& required);

/// Returns the largest worker that could hold `size` when empty, or `size` where there is none.
resources largest_fitting_size(const cell& where, const resources& size,
                               const attribute_map& required);

/// Returns how many tasks of `size` the whole cell could hold if it were empty.
std::int64_t max_task_count(const cell& where, const resources& size,
                            const attribute_map& required);

} // namespace sesamesill
