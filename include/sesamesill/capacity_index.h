// Indexes workers by quantised free processors, memory and accelerators, so that a worker with
// enough room is found without a scan of all workers.

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

/// Amounts in whole quanta. The last level of each dimension also includes all larger amounts.
struct capacity_level {
    std::int32_t cpu = 0;
    std::int32_t memory = 0;
    std::int32_t accelerators = 0;
};

/// Identifies the list of workers of one pool with the same free levels.
struct capacity_bucket {
    pool_id pool = 0;
    capacity_level level;
    bool always_fits = false; ///< every worker in the bucket has room, whatever its exact amount
};

/// Invariant: a worker is in at most one bucket, that of its last recorded free amount.
class capacity_index {
public:
    static constexpr std::int32_t levels = 64;
    static constexpr std::int32_t accelerator_levels = 16;
    static constexpr std::size_t bucket_count = std::size_t{levels} * levels;
    static constexpr worker_id none = UINT32_MAX;

    /// Doubles the quanta until `size` lies within the levels. Returns whether a quantum changed;
    /// if so, the index is empty afterwards and the caller adds the workers again.
    bool extend_range(const resources& size);
    pool_id add_pool();

    /// Adds a worker, or moves it to the bucket of its present free amount.
    void put(worker_id w, pool_id pool, const resources& free);
    void remove(worker_id w);

    capacity_level level_of(const resources& free) const;
    const resources& quantum() const { return quantum_; }

    /// Calls `visit(bucket)` for the buckets of the pool whose workers may have room for `need`, in
    /// the order of accelerators, then processors. Of each row, which is one level of processors,
    /// it visits only the bucket with the least sufficient memory. Continues with the next level of
    /// accelerators only while `enough()` is false.
    template<typename Visit, typename Enough>
    void rows(pool_id pool, const resources& need, Visit visit, Enough enough) const;

    /// Calls `visit(bucket)` for every bucket of the pool whose workers may have room for `need`,
    /// in the order of accelerators, processors and memory, until `visit` returns false.
    template<typename Visit>
    void buckets(pool_id pool, const resources& need, Visit visit) const;

    /// Returns the first worker of a bucket, or `none`.
    worker_id first(const capacity_bucket& bucket) const;
    /// Returns the next worker of the same bucket, or `none`.
    worker_id next(worker_id w) const { return links_[w].next; }

private:
    struct layer {
        std::uint64_t rows = 0;                      ///< bitmap of CPU levels with a worker
        std::array<std::uint64_t, levels> columns{}; ///< per row, memory levels with a worker
        std::array<worker_id, bucket_count> heads{}; ///< first worker of each bucket
    };

    struct pool_layers {
        std::uint32_t used_levels = 0; ///< bitmap of accelerator levels with a worker
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
