// Workers by quantised free processors, memory and accelerators, so that one with room is found
// without a scan.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "sesamesill/resources.h"
#include "sesamesill/worker.h"

namespace sesamesill {

using pool_id = std::uint32_t;

/// Amounts as whole quanta; the last level of each dimension also takes all that is above it.
struct capacity_level {
    std::int32_t cpu = 0;
    std::int32_t memory = 0;
    std::int32_t accelerators = 0;
};

/// A list of workers with the same free levels.
struct capacity_bucket {
    pool_id pool = 0;
    capacity_level level;
    bool always_fits = false; ///< every worker in it has room, whatever its exact free amount is
};

/// Invariant: a worker is in exactly one bucket, that of its last recorded free amount, or in none.
class capacity_index {
public:
    static constexpr std::int32_t levels = 64;
    static constexpr std::int32_t accelerator_levels = 16;
    static constexpr std::size_t bucket_count = std::size_t{levels} * levels;
    static constexpr worker_id none = UINT32_MAX;

    /// Doubles the quanta until `size` lies within the levels; returns whether they changed, after
    /// which the index is empty.
    bool extend_range(const resources& size);
    pool_id add_pool();

    void put(worker_id w, pool_id pool, const resources& free);
    void remove(worker_id w);

    capacity_level level_of(const resources& free) const;
    const resources& quantum() const { return quantum_; }

    /// Calls `visit(bucket)` for each bucket of the pool whose workers may have room for `need`:
    /// fewest accelerators first, then fewest processors, and only the least memory of each row.
    /// Goes on to more accelerators only while `enough()` is false.
    template<typename Visit, typename Enough>
    void rows(pool_id pool, const resources& need, Visit visit, Enough enough) const;

    /// Calls `visit(bucket)` for every such bucket until it returns false.
    template<typename Visit>
    void buckets(pool_id pool, const resources& need, Visit visit) const;

    worker_id first(const capacity_bucket& bucket) const;
    worker_id next(worker_id w) const { return links_[w].next; }

private:
    struct layer {
        std::uint64_t rows = 0;                      ///< rows with a worker
        std::array<std::uint64_t, levels> columns{}; ///< of each row, columns with a worker
        std::array<worker_id, bucket_count> heads{}; ///< first worker of each bucket
    };

    struct pool_layers {
        std::uint32_t used_levels = 0; ///< accelerator levels with a worker
        std::array<std::unique_ptr<layer>, accelerator_levels> layers;
    };

    struct link {
        worker_id previous = none;
        worker_id next = none;
        pool_id pool = 0;
        std::uint8_t cpu = 0;
        std::uint8_t memory = 0;
        std::uint8_t accelerators = 0;
        bool present = false;
    };

    static std::uint64_t mask_from(std::int32_t level) { return ~std::uint64_t{0} << level; }
    capacity_bucket bucket_at(pool_id pool, const capacity_level& min_level,
                              const capacity_level& at, const resources& need) const;

    resources quantum_{500, 1024, 1};
    std::vector<pool_layers> pools_;
    std::vector<link> links_;
};

inline capacity_bucket capacity_index::bucket_at(pool_id pool, const capacity_level& min_level,
                                                 const capacity_level& at,
                                                 const resources& need) const
{
    const bool cpu = at.cpu > min_level.cpu || at.cpu * quantum_.cpu_millis >= need.cpu_millis;
    const bool memory =
        at.memory > min_level.memory || at.memory * quantum_.memory_mb >= need.memory_mb;
    const bool accelerators = at.accelerators * quantum_.accelerators >= need.accelerators;
    return {pool, at, cpu && memory && accelerators};
}

template<typename Visit, typename Enough>
void capacity_index::rows(pool_id pool, const resources& need, Visit visit, Enough enough) const
{
    const capacity_level min_level = level_of(need);
    const pool_layers& p = pools_[pool];
    for (std::uint32_t remaining = p.used_levels & (UINT32_MAX << min_level.accelerators);
         remaining != 0 && !enough(); remaining &= remaining - 1) {
        const std::int32_t a = __builtin_ctz(remaining);
        const layer& l = *p.layers[static_cast<std::size_t>(a)];
        for (std::uint64_t rows = l.rows & mask_from(min_level.cpu); rows != 0; rows &= rows - 1) {
            const std::int32_t row = __builtin_ctzll(rows);
            const std::uint64_t columns =
                l.columns[static_cast<std::size_t>(row)] & mask_from(min_level.memory);
            if (columns != 0) {
                visit(bucket_at(pool, min_level, {row, __builtin_ctzll(columns), a}, need));
            }
        }
    }
}

template<typename Visit>
void capacity_index::buckets(pool_id pool, const resources& need, Visit visit) const
{
    const capacity_level min_level = level_of(need);
    const pool_layers& p = pools_[pool];
    for (std::uint32_t remaining = p.used_levels & (UINT32_MAX << min_level.accelerators);
         remaining != 0; remaining &= remaining - 1) {
        const std::int32_t a = __builtin_ctz(remaining);
        const layer& l = *p.layers[static_cast<std::size_t>(a)];
        for (std::uint64_t rows = l.rows & mask_from(min_level.cpu); rows != 0; rows &= rows - 1) {
            const std::int32_t row = __builtin_ctzll(rows);
            for (std::uint64_t columns =
                     l.columns[static_cast<std::size_t>(row)] & mask_from(min_level.memory);
                 columns != 0; columns &= columns - 1) {
                if (!visit(bucket_at(pool, min_level, {row, __builtin_ctzll(columns), a}, need))) {
                    return;
                }
            }
        }
    }
}

} // namespace sesamesill
