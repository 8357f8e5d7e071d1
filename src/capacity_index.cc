// Keeps one intrusive list of workers per combination of levels, with bitmaps of the non-empty
// lists.

#include "sesamesill/capacity_index.h"

#include <algorithm>

namespace sesamesill {
namespace {

std::int32_t level(std::int64_t amount, std::int64_t quantum, std::int32_t levels)
{
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(amount / quantum, 0, std::int64_t{levels} - 1));
}

/// Doubles `quantum` until `amount` lies within the levels. Returns whether it changed.
bool extend_quantum(std::int64_t& quantum, std::int64_t amount, std::int64_t levels)
{
    const std::int64_t before = quantum;
    while (amount >= quantum * levels) {
        quantum *= 2;
    }
    return quantum != before;
}

std::size_t bucket_index(std::int32_t row, std::int32_t column)
{
    return static_cast<std::size_t>(row) * capacity_index::levels +
           static_cast<std::size_t>(column);
}

constexpr std::uint64_t bit(std::int32_t position)
{
    return std::uint64_t{1} << position;
}

} // namespace

bool capacity_index::extend_range(const resources& size)
{
    const bool cpu = extend_quantum(quantum_.cpu_millis, size.cpu_millis, levels);
    const bool memory = extend_quantum(quantum_.memory_mb, size.memory_mb, levels);
    const bool accelerators =
        extend_quantum(quantum_.accelerators, size.accelerators, accelerator_levels);
    if (!cpu && !memory && !accelerators) {
        return false;
    }
    for (pool_layers& p : pools_) {
        p = pool_layers{};
    }
    links_.assign(links_.size(), link{});
    return true;
}

pool_id capacity_index::add_pool()
{
    pools_.emplace_back();
    return static_cast<pool_id>(pools_.size() - 1);
}

capacity_level capacity_index::level_of(const resources& free) const
{
    return {level(free.cpu_millis, quantum_.cpu_millis, levels),
            level(free.memory_mb, quantum_.memory_mb, levels),
            level(free.accelerators, quantum_.accelerators, accelerator_levels)};
}

void capacity_index::put(worker_id w, pool_id pool, const resources& free)
{
    if (w >= links_.size()) {
        links_.resize(static_cast<std::size_t>(w) + 1);
    }
    const capacity_level at = level_of(free);
    link& l = links_[w];
    if (l.present && l.pool == pool && l.cpu == at.cpu && l.memory == at.memory &&
        l.accelerators == at.accelerators) {
        return;
    }
    remove(w);
    pool_layers& p = pools_[pool];
    std::unique_ptr<layer>& target = p.layers[static_cast<std::size_t>(at.accelerators)];
    if (!target) {
        target = std::make_unique<layer>();
        target->heads.fill(none);
    }
    worker_id& head = target->heads[bucket_index(at.cpu, at.memory)];
    l = {none,
         head,
         pool,
         static_cast<std::uint8_t>(at.cpu),
         static_cast<std::uint8_t>(at.memory),
         static_cast<std::uint8_t>(at.accelerators),
         true};
    if (head != none) {
        links_[head].previous = w;
    }
    head = w;
    p.used_levels |= 1U << at.accelerators;
    target->rows |= bit(at.cpu);
    target->columns[static_cast<std::size_t>(at.cpu)] |= bit(at.memory);
}

void capacity_index::remove(worker_id w)
{
    if (w >= links_.size() || !links_[w].present) {
        return;
    }
    link& l = links_[w];
    l.present = false;
    if (l.next != none) {
        links_[l.next].previous = l.previous;
    }
    if (l.previous != none) {
        links_[l.previous].next = l.next;
        return;
    }
    pool_layers& p = pools_[l.pool];
    layer& target = *p.layers[l.accelerators];
    target.heads[bucket_index(l.cpu, l.memory)] = l.next;
    if (l.next != none) {
        return;
    }
    target.columns[l.cpu] &= ~bit(l.memory);
    if (target.columns[l.cpu] == 0) {
        target.rows &= ~bit(l.cpu);
    }
    if (target.rows == 0) {
        p.used_levels &= ~(1U << l.accelerators);
    }
}

worker_id capacity_index::first(const capacity_bucket& bucket) const
{
    const std::unique_ptr<layer>& target =
        pools_[bucket.pool].layers[static_cast<std::size_t>(bucket.level.accelerators)];
    return target ? target->heads[bucket_index(bucket.level.cpu, bucket.level.memory)] : none;
}

} // namespace sesamesill
