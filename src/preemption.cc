// Selects victims from the lowest band first, and the largest ones first within a band.

#include "sesamesill/preemption.h"

#include <algorithm>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

/// Workers that one search examines, which bounds its time.
constexpr int max_examined = 32;

constexpr name_table<overuse_action, 3> overuse_action_names{
    {{overuse_action::throttle, "throttle"},
     {overuse_action::checkpoint, "checkpoint"},
     {overuse_action::stop, "stop"}}};

double dominant_part(const resources& r, const resources& scale)
{
    return dominant_share(r, scale);
}

/// Returns the tasks to evict from one worker, or none if that doesn't make enough room. Adds what
/// the tasks occupy to `lost`.
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
                  return dominant_part(a->claim(), w.size()) > dominant_part(b->claim(), w.size());
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

std::string_view name_of(overuse_action r)
{
    return name_in(overuse_action_names, r);
}

std::optional<eviction> choose_victims(const cell& where, const resources& size, priority_band band,
                                       const attribute_map& required)
{
    std::optional<eviction> best;
    double least_cost = 0.0;
    int remaining = max_examined;
    for (pool_id p = 0; p < where.pools().size() && remaining > 0; ++p) {
        if (!has_attributes(where.pools()[p].attributes, required)) {
            continue;
        }
        const capacity_index& index = where.reclaimable();
        index.buckets(p, size, [&](const capacity_bucket& b) {
            for (worker_id w = index.first(b); w != capacity_index::none && remaining > 0;
                 w = index.next(w), --remaining) {
                resources lost;
                std::vector<std::string> names = victims_on(where.at(w), size, band, lost);
                const double cost = dominant_part(lost, where.largest());
                if (!names.empty() && (!best || cost < least_cost)) {
                    best = eviction{w, std::move(names)};
                    least_cost = cost;
                }
            }
            return remaining > 0;
        });
    }
    return best;
}

std::vector<overuse_response> choose_overuse_responses(const worker& w)
{
    std::vector<overuse_response> result;
    resources excess = w.claimed() - w.size();
    if (excess.cpu_millis <= 0 && excess.memory_mb <= 0 && excess.accelerators <= 0) {
        return result;
    }
    std::vector<const allocated_task*> overusing;
    for (const allocated_task& t : w.tasks()) {
        if (!fits(t.used, t.reserved)) {
            overusing.push_back(&t);
        }
    }
    std::sort(overusing.begin(), overusing.end(),
              [&w](const allocated_task* a, const allocated_task* b) {
                  return dominant_part(a->used - a->reserved, w.size()) >
                         dominant_part(b->used - b->reserved, w.size());
              });
    for (const allocated_task* t : overusing) {
        if (excess.cpu_millis <= 0 && excess.memory_mb <= 0 && excess.accelerators <= 0) {
            break;
        }
        const std::uint32_t action_index = std::min<std::uint32_t>(t->overuse_actions, 2);
        result.push_back({t->name, static_cast<overuse_action>(action_index)});
        excess -= t->claim();
    }
    return result;
}

} // namespace sesamesill
