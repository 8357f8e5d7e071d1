// Chooses a worker for a task. A strategy selects the candidates and the packing cost; the final
// cost weighs tight packing against the wait behind other starts.

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
    best_fit,     ///< smallest remainder, by the index
    alignment,    ///< largest dot product of free room and need, by the index
    balance,      ///< smallest and most even remainder of CPU and memory, by the index
    spread,       ///< fewest tasks of the job in the data centre, then in the rack
    sampling,     ///< best fit among a few random workers
    scan,         ///< best fit over all workers
    cpu_scan,     ///< fewest processors left, over all workers
    first_fit,    ///< worker with the lowest id that has room
    least_loaded, ///< most free room, over all workers
    random        ///< random worker with room
};

std::string_view name_of(strategy s);

/// Numbers of tasks of one job by worker, rack and data centre, under the ids of the cell.
struct job_spread {
    using counts = std::map<std::uint32_t, std::int32_t>;
    counts workers;
    counts racks;
    counts data_centers;

    void add(const cell& target_cell, worker_id w) { change(target_cell, w, 1); }
    void remove(const cell& target_cell, worker_id w) { change(target_cell, w, -1); }
    static std::int32_t count(const counts& by_id, std::uint32_t id);

private:
    void change(const cell& target_cell, worker_id w, std::int32_t delta);
};

/// Requirements of a task on a worker. Pointers may be null; what they point to must outlive the
/// decision.
struct task_need {
    resources size;
    const attribute_map* attributes = nullptr;
    const job_spread* same_job = nullptr;      ///< where tasks of the same job run
    const job_spread* colocate_with = nullptr; ///< if set, only racks with tasks of this job
    const job_spread* separate_from = nullptr; ///< if set, only workers without tasks of this job
    std::int64_t max_per_rack = 0;             ///< tasks of the same job; 0 for no limit
};

/// Numbers of workers that were examined and rejected, by reason.
struct rejection_counts {
    std::uint32_t no_room = 0;
    std::uint32_t rack_full = 0;
    std::uint32_t not_colocated = 0;
    std::uint32_t not_separated = 0;
    std::uint32_t lacking_attributes = 0; ///< counts pools instead of workers
};

/// Fractions of a total, one for each dimension.
struct resource_shares {
    double cpu = 0.0;
    double memory = 0.0;
    double accelerators = 0.0;
};

/// Normalisation of a packing cost: amounts are divided by `size` and weighted by dimension.
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
    /// Constructs a placement over a cell. A `waiting_weight` of 0 packs as tightly as possible; 1
    /// only avoids workers with recent starts, where a new task would wait.
    placement(const cell& target_cell, strategy selected, double waiting_weight,
              std::uint64_t seed);

    void set_waiting_weight(double weight) { waiting_weight_ = weight; }

    /// Returns the worker for a task, or nothing if no examined worker is suitable.
    std::optional<placement_choice> choose(const task_need& need);

    /// Returns the number of workers that the last call of choose() examined.
    std::uint32_t examined() const { return examined_; }
    /// Returns why the last call of choose() rejected workers.
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

/// Returns an error if no worker could hold the task even when empty. The error names the nearest
/// size that would fit.
std::optional<error> check_feasible(const cell& target_cell, const resources& size,
                                    const attribute_map& required);

/// Returns the size of the largest worker that could hold `size` when empty, or `size` if there is
/// none.
resources largest_fitting_size(const cell& target_cell, const resources& size,
                               const attribute_map& required);

/// Returns how many tasks of `size` the whole cell could hold if it were empty.
std::int64_t max_task_count(const cell& target_cell, const resources& size,
                            const attribute_map& required);

} // namespace sesamesill
