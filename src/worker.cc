// Updates the sum of claims with each start, end and report.

#include "sesamesill/worker.h"

#include <algorithm>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<worker_state, 4> state_names{{{worker_state::unaccounted, "unaccounted"},
                                                   {worker_state::live, "live"},
                                                   {worker_state::leaving, "leaving"},
                                                   {worker_state::out, "out"}}};

} // namespace

std::string_view name_of(worker_state state)
{
    return name_in(state_names, state);
}

resources larger(const resources& a, const resources& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

resources worker::room() const
{
    const bool schedulable = state_ == worker_state::live && limited_tasks_ < start_limit_;
    return schedulable ? size_ - claimed_ : resources{};
}

resources worker::reclaimable_room(priority_band band) const
{
    resources sum = room();
    if (state_ != worker_state::live || limited_tasks_ >= start_limit_) {
        return sum;
    }
    for (const allocated_task& t : tasks_) {
        if (t.preemptible && !t.stopping && t.band < band) {
            sum += t.claim();
        }
    }
    return sum;
}

const allocated_task* worker::find(std::string_view task) const
{
    const auto found = std::find_if(tasks_.begin(), tasks_.end(),
                                    [task](const allocated_task& t) { return t.name == task; });
    return found == tasks_.end() ? nullptr : &*found;
}

std::vector<allocated_task>::iterator worker::position(std::string_view task)
{
    return std::find_if(tasks_.begin(), tasks_.end(),
                        [task](const allocated_task& t) { return t.name == task; });
}

bool worker::start(allocated_task task)
{
    if (!fits(task.claim(), room()) || find(task.name) != nullptr) {
        return false;
    }
    claimed_ += task.claim();
    ++recent_starts_;
    task.counted_in_limit = start_limit_ != INT32_MAX;
    limited_tasks_ += task.counted_in_limit ? 1 : 0;
    tasks_.push_back(std::move(task));
    return true;
}

bool worker::end(std::string_view task)
{
    const auto found = position(task);
    if (found == tasks_.end()) {
        return false;
    }
    claimed_ -= found->claim();
    limited_tasks_ -= found->counted_in_limit ? 1 : 0;
    *found = std::move(tasks_.back());
    tasks_.pop_back();
    return true;
}

void worker::set_start_limit(std::int32_t max_tasks)
{
    start_limit_ = max_tasks;
}

bool worker::mark_stopping(std::string_view task)
{
    const auto found = position(task);
    if (found == tasks_.end()) {
        return false;
    }
    found->stopping = true;
    return true;
}

void worker::count_overuse_action(std::string_view task)
{
    const auto found = position(task);
    if (found != tasks_.end() && found->overuse_actions < UINT8_MAX) {
        ++found->overuse_actions;
    }
}

bool worker::reserve(const resources& size)
{
    if (!fits(size, room())) {
        return false;
    }
    claimed_ += size;
    return true;
}

void worker::reserve_ahead(const resources& size)
{
    claimed_ += size;
}

void worker::release(const resources& size)
{
    claimed_ -= size;
}

void worker::apply_listed(const task_usage& usage, time_point requested_at, report_result& result)
{
    const auto found = position(usage.name);
    if (found != tasks_.end() && usage.attempt < found->attempt) {
        return;
    }
    if (!usage.running) {
        result.ended.push_back(usage.name);
        if (found != tasks_.end()) {
            result.ended_tasks.push_back(*found);
            end(usage.name);
        }
        return;
    }
    if (found == tasks_.end()) {
        allocated_task adopted;
        adopted.name = usage.name;
        adopted.reserved = usage.reserved;
        adopted.used = usage.used;
        adopted.started = requested_at;
        adopted.attempt = usage.attempt;
        adopted.listed = true;
        claimed_ += adopted.claim();
        tasks_.push_back(std::move(adopted));
        result.adopted.push_back(usage.name);
        return;
    }
    claimed_ -= found->claim();
    found->used = usage.used;
    found->peak = larger(found->peak, usage.used);
    found->listed = true;
    claimed_ += found->claim();
    if (!fits(found->used, found->reserved)) {
        result.over_reservation.push_back(usage.name);
    }
}

void worker::find_missing(const std::vector<task_usage>& listed, time_point requested_at,
                          micros grace, report_result& result)
{
    std::vector<std::string_view> names;
    names.reserve(listed.size());
    for (const task_usage& usage : listed) {
        names.emplace_back(usage.name);
    }
    std::sort(names.begin(), names.end());
    for (const allocated_task& t : tasks_) {
        if (t.started + grace < requested_at &&
            !std::binary_search(names.begin(), names.end(), t.name)) {
            result.missing.push_back(t);
        }
    }
}

report_result worker::report(const std::vector<task_usage>& listed, time_point requested_at,
                             micros grace)
{
    report_result result;
    for (const task_usage& usage : listed) {
        apply_listed(usage, requested_at, result);
    }
    find_missing(listed, requested_at, grace, result);
    for (const allocated_task& t : result.missing) {
        end(t.name);
    }
    recent_starts_ = static_cast<std::uint32_t>(std::count_if(
        tasks_.begin(), tasks_.end(), [](const allocated_task& t) { return !t.listed; }));
    if (state_ == worker_state::unaccounted) {
        state_ = worker_state::live;
    }
    return result;
}

} // namespace sesamesill
