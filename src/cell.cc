// Applies every change of a worker and then updates the sums and the capacity indexes.

#include "sesamesill/cell.h"

#include <algorithm>

namespace sesamesill {
namespace {

bool has_cpu_and_memory(const resources& room)
{
    return room.cpu_millis > 0 && room.memory_mb > 0;
}

} // namespace

bool has_attributes(const attribute_map& attributes, const attribute_map& required)
{
    return std::all_of(required.begin(), required.end(),
                       [&attributes](const attribute_map::value_type& attribute) {
                           const auto found = attributes.find(attribute.first);
                           return found != attributes.end() && found->second == attribute.second;
                       });
}

std::uint32_t cell::name_ids::id(const std::string& name)
{
    const auto added = ids.emplace(name, static_cast<std::uint32_t>(names.size()));
    if (added.second) {
        names.push_back(name);
    }
    return added.first->second;
}

pool_id cell::pool_of(std::uint32_t data_center, const attribute_map& attributes)
{
    for (pool_id p = 0; p < pools_.size(); ++p) {
        if (pools_[p].data_center == data_center && pools_[p].attributes == attributes) {
            return p;
        }
    }
    pools_.push_back({data_center, attributes, {}});
    free_.add_pool();
    return reclaimable_.add_pool();
}

void cell::change_size_count(pool_id pool, const resources& size, std::int64_t change)
{
    total_ += scaled(size, change);
    std::vector<std::pair<resources, std::int64_t>>& sizes = pools_[pool].sizes;
    const auto found = std::find_if(
        sizes.begin(), sizes.end(),
        [&size](const std::pair<resources, std::int64_t>& s) { return s.first == size; });
    if (found == sizes.end()) {
        sizes.emplace_back(size, change);
        return;
    }
    found->second += change;
    if (found->second == 0) {
        sizes.erase(found);
    }
}

void cell::extend_range(const resources& size)
{
    largest_ = larger(largest_, size);
    if (!free_.extend_range(size)) {
        return;
    }
    reclaimable_.extend_range(size);
    for (worker_id w = 0; w < slots_.size(); ++w) {
        if (slots_[w].present) {
            update_index(w);
        }
    }
}

worker_id cell::put(const worker_entry& entry)
{
    const auto known = by_name_.find(entry.name);
    worker_id w = 0;
    if (known != by_name_.end()) {
        w = known->second;
        change_size_count(slots_[w].pool, slots_[w].state.size(), -1);
        slots_[w].state.set_size(entry.size);
    }
    else if (!unused_ids_.empty()) {
        w = unused_ids_.back();
        unused_ids_.pop_back();
        slots_[w].state = worker(entry.name, entry.size);
    }
    else {
        w = static_cast<worker_id>(slots_.size());
        slots_.push_back({worker(entry.name, entry.size), 0, 0, 0, false});
    }
    by_name_[entry.name] = w;
    slot& s = slots_[w];
    s.present = true;
    s.data_center = data_centers_.id(entry.data_center);
    s.rack = racks_.id(entry.data_center + "/" + entry.rack);
    s.pool = pool_of(s.data_center, entry.attributes);
    change_size_count(s.pool, entry.size, 1);
    extend_range(entry.size);
    update_index(w);
    return w;
}

void cell::remove(worker_id w)
{
    slot& s = slots_[w];
    free_.remove(w);
    reclaimable_.remove(w);
    change_size_count(s.pool, s.state.size(), -1);
    claimed_ -= s.state.claimed();
    by_name_.erase(s.state.name());
    s.state = worker("", {});
    s.present = false;
    unused_ids_.push_back(w);
}

std::optional<worker_id> cell::find(std::string_view name) const
{
    const auto found = by_name_.find(std::string(name));
    return found == by_name_.end() ? std::nullopt : std::optional<worker_id>(found->second);
}

void cell::update_index(worker_id w)
{
    const slot& s = slots_[w];
    const resources room = s.state.room();
    if (has_cpu_and_memory(room)) {
        free_.put(w, s.pool, room);
    }
    else {
        free_.remove(w);
    }
    const resources reclaimable = s.state.reclaimable_room(priority_band::urgent);
    if (has_cpu_and_memory(reclaimable)) {
        reclaimable_.put(w, s.pool, reclaimable);
    }
    else {
        reclaimable_.remove(w);
    }
}

template<typename Change>
void cell::change(worker_id w, Change apply)
{
    worker& target = slots_[w].state;
    claimed_ -= target.claimed();
    apply(target);
    claimed_ += target.claimed();
    update_index(w);
}

bool cell::start(worker_id w, allocated_task task)
{
    bool started = false;
    change(w, [&](worker& target) { started = target.start(std::move(task)); });
    return started;
}

bool cell::end(worker_id w, std::string_view task)
{
    bool found = false;
    change(w, [&](worker& target) { found = target.end(task); });
    return found;
}

bool cell::mark_stopping(worker_id w, std::string_view task)
{
    bool found = false;
    change(w, [&](worker& target) { found = target.mark_stopping(task); });
    return found;
}

bool cell::reserve(worker_id w, const resources& size)
{
    bool found = false;
    change(w, [&](worker& target) { found = target.reserve(size); });
    return found;
}

void cell::reserve_ahead(worker_id w, const resources& size)
{
    change(w, [&size](worker& target) { target.reserve_ahead(size); });
}

void cell::release(worker_id w, const resources& size)
{
    change(w, [&size](worker& target) { target.release(size); });
}

void cell::set_state(worker_id w, worker_state state)
{
    change(w, [state](worker& target) { target.set_state(state); });
}

void cell::set_start_limit(worker_id w, std::int32_t max_tasks)
{
    change(w, [max_tasks](worker& target) { target.set_start_limit(max_tasks); });
}

report_result cell::report(worker_id w, const std::vector<task_usage>& listed,
                           time_point requested_at, micros grace)
{
    report_result result;
    change(w, [&](worker& target) { result = target.report(listed, requested_at, grace); });
    return result;
}

} // namespace sesamesill
