// Victims are taken from the lowest band first, and the largest first within it.

#include "sesamesill/preemption.h"

#include <algorithm>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr int max_examined = 32;

constexpr name_table<remedy, 3> remedy_names{
    {{remedy::throttle, "throttle"}, {remedy::checkpoint, "checkpoint"}, {remedy::stop, "stop"}}};

double weight(const resources& r, const resources& scale)
{
    return dominant_share(r, scale);
}

/// Returns the tasks that make room on one worker, or none where they cannot; `lost` is their sum.
std::vector<std::string> victims_on(const worker& w, const resources& size, priority_band band,
                                    resources& lost)
{
    std::vector<const allocated_task*> candidates;
    for (const allocated_task& t : w.tasks()) {
        if (t.preemptible && !t.stopping && t.band < band) {
            candidates.push_back(&t);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [&w](const allocated_task* a, const allocated_task* b) {
                  if (a->band != b->band) {
                      return a->band < b->band;
                  }
                  return weight(a->claim(), w.size()) > weight(b->claim(), w.size());
              });
    resources room = w.room();
    std::vector<std::string> names;
    for (const allocated_task* t : candidates) {
        if (fits(size, room)) {
            break;
        }
        room += t->claim();
        lost += t->claim();
        names.push_back(t->name);
    }
    return fits(size, room) ? names : std::vector<std::string>{};
}

} // namespace

std::string_view name_of(remedy r)
{
    return name_in(remedy_names, r);
}

std::optional<eviction> choose_victims(const cell& where, const resources& size, priority_band band,
                                       const attribute_map& required)
{
    std::optional<eviction> best;
    double least = 0.0;
    int left = max_examined;
    for (pool_id p = 0; p < where.pools().size() && left > 0; ++p) {
        if (!has_attributes(where.pools()[p].attributes, required)) {
            continue;
        }
        const capacity_index& index = where.reclaimable();
        index.buckets(p, size, [&](const capacity_bucket& b) {
            for (worker_id w = index.first(b); w != capacity_index::none && left > 0;
                 w = index.next(w), --left) {
                resources lost;
                std::vector<std::string> names = victims_on(where.at(w), size, band, lost);
                const double cost = weight(lost, where.largest());
                if (!names.empty() && (!best || cost < least)) {
                    best = eviction{w, std::move(names)};
                    least = cost;
                }
            }
            return left > 0;
        });
    }
    return best;
}

std::vector<relief> choose_relief(const worker& w)
{
    std::vector<relief> result;
    resources excess = w.claimed() - w.size();
    if (excess.cpu_millis <= 0 && excess.memory_mb <= 0 && excess.accelerators <= 0) {
        return result;
    }
    std::vector<const allocated_task*> over;
    for (const allocated_task& t : w.tasks()) {
        if (!fits(t.used, t.reserved)) {
            over.push_back(&t);
        }
    }
    std::sort(over.begin(), over.end(), [&w](const allocated_task* a, const allocated_task* b) {
        return weight(a->used - a->reserved, w.size()) > weight(b->used - b->reserved, w.size());
    });
    for (const allocated_task* t : over) {
        if (excess.cpu_millis <= 0 && excess.memory_mb <= 0 && excess.accelerators <= 0) {
            break;
        }
        const std::uint32_t steps = std::min<std::uint32_t>(t->overuse_actions, 2);
        result.push_back({t->name, static_cast<remedy>(steps)});
        excess -= t->claim();
    }
    return result;
}

} // namespace sesamesill
