// Holds the workers of a cell by data centre, rack and attributes, with indexes of their free room.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamesill/capacity_index.h"
#include "sesamesill/worker.h"

namespace sesamesill {

using attribute_map = std::map<std::string, std::string>;

/// Description of a worker in the VM list.
struct worker_entry {
    std::string name;
    resources size;
    std::string data_center;
    std::string rack;
    attribute_map attributes;
};

/// Workers of one data centre with the same attributes.
struct worker_pool {
    std::uint32_t data_center = 0;
    attribute_map attributes;
    std::vector<std::pair<resources, std::int64_t>> sizes; ///< sizes with worker counts
};

/// Returns whether `attributes` contains every entry of `required`.
bool has_attributes(const attribute_map& attributes, const attribute_map& required);

/// Invariant: free() holds each worker with free CPU and memory under its present free room;
/// reclaimable() holds the same under the room that preemption could free. Every change of a worker
/// therefore goes through this class.
class cell {
public:
    /// Adds a worker in the state unaccounted, or updates the size and location of a known one.
    worker_id put(const worker_entry& entry);
    void remove(worker_id w);

    std::optional<worker_id> find(std::string_view name) const;
    const worker& at(worker_id w) const { return slots_[w].state; }
    bool has(worker_id w) const { return w < slots_.size() && slots_[w].present; }
    std::uint32_t rack_of(worker_id w) const { return slots_[w].rack; }
    std::uint32_t data_center_of(worker_id w) const { return slots_[w].data_center; }
    const attribute_map& attributes_of(worker_id w) const
    {
        return pools_[slots_[w].pool].attributes;
    }
    const std::string& rack_name(std::uint32_t rack) const { return racks_.names[rack]; }
    const std::string& data_center_name(std::uint32_t dc) const { return data_centers_.names[dc]; }
    std::size_t data_centers() const { return data_centers_.names.size(); }
    /// Returns the exclusive upper bound of the ids; some below it may be unused.
    worker_id id_limit() const { return static_cast<worker_id>(slots_.size()); }
    std::size_t size() const { return by_name_.size(); }
    const std::vector<worker_pool>& pools() const { return pools_; }

    /// Returns the index of workers by free room.
    const capacity_index& free() const { return free_; }
    /// Returns the index of workers by the free room they would have without the
    /// preemptible tasks below the band urgent.
    const capacity_index& reclaimable() const { return reclaimable_; }
    /// Returns the largest amount of each dimension that any worker has had.
    const resources& largest() const { return largest_; }
    const resources& total() const { return total_; }
    const resources& claimed() const { return claimed_; }

    // The functions below forward to `worker` and keep the indexes and sums up to date.

    bool start(worker_id w, allocated_task task);
    bool end(worker_id w, std::string_view task);
    bool mark_stopping(worker_id w, std::string_view task);
    void count_overuse_action(worker_id w, std::string_view task)
    {
        slots_[w].state.count_overuse_action(task);
    }
    bool reserve(worker_id w, const resources& size);
    void reserve_ahead(worker_id w, const resources& size);
    void release(worker_id w, const resources& size);
    void set_state(worker_id w, worker_state state);
    void set_start_limit(worker_id w, std::int32_t max_tasks);
    report_result report(worker_id w, const std::vector<task_usage>& listed,
                         time_point requested_at, micros grace);

private:
    struct slot {
        worker state;
        pool_id pool = 0;
        std::uint32_t rack = 0;
        std::uint32_t data_center = 0;
        bool present = false;
    };

    struct name_ids {
        std::vector<std::string> names;
        std::unordered_map<std::string, std::uint32_t> ids;

        std::uint32_t id(const std::string& name);
    };

    pool_id pool_of(std::uint32_t data_center, const attribute_map& attributes);
    void change_size_count(pool_id pool, const resources& size, std::int64_t change);
    void extend_range(const resources& size);
    void update_index(worker_id w);
    template<typename Change>
    void change(worker_id w, Change apply);

    std::vector<slot> slots_;
    std::vector<worker_id> unused_ids_; ///< ids of removed workers, for reuse
    std::unordered_map<std::string, worker_id> by_name_;
    name_ids racks_;
    name_ids data_centers_;
    std::vector<worker_pool> pools_;
    capacity_index free_;
    capacity_index reclaimable_;
    resources largest_;
    resources total_;
    resources claimed_; ///< sum of claimed() over the workers
};

} // namespace sesamesill
