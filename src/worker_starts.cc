// The part of the worker service that chooses workers for tasks and sends start requests.

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"
#include "worker_service.h"

namespace sesamesill {
namespace {

/// Time that a preempted task has to checkpoint before it is stopped. The limit lets urgent work
/// start within 2 s.
constexpr micros checkpoint_limit = std::chrono::milliseconds(800);
/// A start that waits for preempted tasks fails after this time.
constexpr micros pending_limit = std::chrono::seconds(10);

} // namespace

resources worker_service::reservation_of(const task_spec& task) const
{
    return estimates_.reservation(task.work_class, task.size, size_margin_,
                                  largest_fitting_size(owned_, task.size, task.attributes));
}

task_need worker_service::need_of(const task_spec& task) const
{
    task_need need;
    need.size = reservation_of(task);
    need.attributes = &task.attributes;
    need.max_per_rack = task.max_per_rack;
    const auto same_job = spreads_.find(job_of_task(task.task));
    need.same_job = same_job != spreads_.end() ? &same_job->second : nullptr;
    return need;
}

/// Returns the worker on which the previous attempt of the task ended, so that the next attempt
/// avoids it.
std::optional<worker_id> worker_service::failed_on(const task_spec& task) const
{
    const auto known = places_.find(task.task);
    const bool is_retry =
        known != places_.end() && known->second.ended && known->second.attempt < task.attempt;
    return is_retry && enabled("health") ? owned_.find(known->second.worker) : std::nullopt;
}

std::optional<worker_id> worker_service::choose(const task_spec& task, error& why)
{
    task_need need = need_of(task);
    if (!enabled("overfill_guard")) {
        need.size = {};
    }
    job_spread avoided;
    const std::optional<worker_id> failed = failed_on(task);
    if (failed) {
        avoided.add(owned_, *failed);
        need.separate_from = &avoided;
    }
    placement& chosen_placement = task.kind == work_kind::service ? spreading_ : packing_;
    const std::optional<placement_choice> choice = chosen_placement.choose(need);
    if (!choice) {
        why = {error_code::overload, step::placement, members_.self(),
               "no worker has room for the task"};
        return std::nullopt;
    }
    if (!members_.may_act(shard_of(link_of(choice->worker).target))) {
        why = {error_code::not_owner, step::placement, members_.self(),
               "this member no longer has authority over the worker's shard"};
        return std::nullopt;
    }
    return choice->worker;
}

/// Returns the place of a task that runs, or that ran in this attempt or a later one; null if it
/// has none.
const worker_service::placed_task* worker_service::place_of(const task_spec& task) const
{
    const auto known = places_.find(task.task);
    const bool superseded =
        known != places_.end() && known->second.ended && known->second.attempt < task.attempt;
    return known != places_.end() && !superseded ? &known->second : nullptr;
}

bool worker_service::begin(worker_id w, const task_spec& task)
{
    allocated_task allocated;
    allocated.name = task.task;
    allocated.reserved = enabled("overfill_guard") ? reservation_of(task) : resources{};
    allocated.started = boot_clock::now();
    allocated.attempt = task.attempt;
    allocated.band = task.band;
    allocated.preemptible = task.preemptible;
    if (!owned_.start(w, std::move(allocated))) {
        return false;
    }
    worker_link& link = link_of(w);
    link.finished.erase(task.task);
    link.last_renewal_at = std::max(link.last_renewal_at, boot_clock::now());
    places_[task.task] = {link.target.name, task.work_class, task.size, task.attempt, false};
    if (task.kind == work_kind::service) {
        spreads_[job_of_task(task.task)].add(owned_, w);
    }
    return true;
}

std::optional<std::string> worker_service::place(const task_spec& task, error& why)
{
    const placed_task* known = place_of(task);
    if (known != nullptr) {
        why = {error_code::conflict, step::placement, known->worker,
               "another attempt of the task already has a worker"};
        return known->attempt == task.attempt ? std::optional<std::string>(known->worker)
                                              : std::nullopt;
    }
    const std::optional<worker_id> w = choose(task, why);
    if (!w) {
        return task.may_preempt ? preempt(task, why) : std::nullopt;
    }
    if (!begin(*w, task)) {
        why = {error_code::internal, step::placement, owned_.at(*w).name(),
               "the chosen worker has no room for the task"};
        return std::nullopt;
    }
    send_start(link_of(*w), task);
    return owned_.at(*w).name();
}

std::optional<std::vector<std::string>>
worker_service::place_all(const std::vector<task_spec>& tasks, error& why, bool may_wait)
{
    std::vector<std::string> names;
    if (tasks.empty()) {
        return names;
    }
    const task_spec& first = tasks.front();
    if (place_of(first) != nullptr) {
        for (const task_spec& task : tasks) {
            const placed_task* known = place_of(task);
            names.push_back(known != nullptr ? known->worker : "");
        }
        return names;
    }
    const std::optional<std::vector<worker_id>> places = gangs_.request(
        {job_of_task(first.task), tasks.size(), reservation_of(first), first.attributes, may_wait},
        boot_clock::now());
    why = {error_code::overload, step::placement, members_.self(),
           "no room to start all tasks of the job at once"};
    if (!places) {
        return std::nullopt;
    }
    for (const worker_id w : *places) {
        if (!members_.may_act(shard_of(link_of(w).target))) {
            why.code = error_code::not_owner;
            return std::nullopt;
        }
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (!begin((*places)[i], tasks[i])) {
            for (std::size_t j = 0; j < i; ++j) {
                owned_.end((*places)[j], tasks[j].task);
                places_.erase(tasks[j].task);
            }
            return std::nullopt;
        }
        names.push_back(owned_.at((*places)[i]).name());
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        send_start(link_of((*places)[i]), tasks[i]);
    }
    return names;
}

std::optional<std::string> worker_service::preempt(const task_spec& task, error& why)
{
    const std::optional<eviction> victims =
        choose_victims(owned_, reservation_of(task), task.band, task.attributes);
    if (!victims || !members_.may_act(shard_of(link_of(victims->worker).target))) {
        why = {error_code::overload, step::placement, members_.self(),
               "no worker has room for the task, and preemption would not free enough"};
        return std::nullopt;
    }
    worker_link& link = link_of(victims->worker);
    for (const std::string& victim : victims->tasks) {
        owned_.mark_stopping(link.id, victim);
        send_change(link, victim, "checkpoint");
    }
    const resources allocated = reservation_of(task);
    owned_.reserve_ahead(link.id, allocated);
    link.pending[task.task] = {task, allocated, victims->tasks, boot_clock::now(), false};
    places_[task.task] = {link.target.name, task.work_class, task.size, task.attempt, false};
    return link.target.name;
}

void worker_service::try_pending(worker_link& link)
{
    const time_point now = boot_clock::now();
    for (auto it = link.pending.begin(); it != link.pending.end();) {
        pending_start& p = it->second;
        owned_.release(link.id, p.allocated);
        if (members_.may_act(shard_of(link.target)) && begin(link.id, p.spec)) {
            send_start(link, p.spec);
            it = link.pending.erase(it);
            continue;
        }
        if (now - p.since > pending_limit) {
            task_report lost;
            lost.task = p.spec.task;
            lost.attempt = p.spec.attempt;
            lost.state = task_state::lease_expired;
            lost.result = "no room was made in time; it never started";
            record_end(link, lost, false);
            it = link.pending.erase(it);
            continue;
        }
        owned_.reserve_ahead(link.id, p.allocated);
        if (!p.stopped && now - p.since > checkpoint_limit) {
            p.stopped = true;
            for (const std::string& victim : p.victims) {
                send_change(link, victim, "stop");
            }
        }
        ++it;
    }
}

void worker_service::send_start(worker_link& link, const task_spec& task)
{
    Json::Value body;
    body["task"] = task.task;
    body["attempt"] = task.attempt;
    body["epoch"] = static_cast<Json::UInt64>(members_.epoch());
    body["valid_ms"] = static_cast<Json::Int64>(members_.authority_left().count());
    body["cpu_millis"] = static_cast<Json::Int64>(task.size.cpu_millis);
    body["memory_mb"] = static_cast<Json::Int64>(task.size.memory_mb);
    body["accelerators"] = static_cast<Json::Int64>(task.size.accelerators);
    body["lease_ms"] = static_cast<Json::Int64>(settings_.task_lease.count());
    body["payload"] = task.payload;
    http_call call;
    call.method = "POST";
    call.path = "/tasks";
    call.body = to_text(body);
    const std::string name = link.target.name;
    ++unanswered_starts_;
    client_.send(
        link.target.address, std::move(call),
        [this, name](const std::optional<http_reply>& reply, const error& failure) {
            --unanswered_starts_;
            if (!reply) {
                log_error("start_unanswered", {failure.code, step::dispatch, name, failure.reason});
                return;
            }
            const Json::Value answer = json_from(reply->body).value_or(Json::Value());
            const auto found = links_.find(name);
            if (found != links_.end() && answer.isObject() && answer["state"] == "failed") {
                sync(found->second);
            }
        });
}

void worker_service::send_change(worker_link& link, const std::string& task,
                                 const std::string& change)
{
    Json::Value body;
    body["task"] = task;
    const allocated_task* allocated = owned_.at(link.id).find(task);
    body["attempt"] = allocated != nullptr ? allocated->attempt : 1;
    http_call call;
    call.method = "POST";
    call.path = "/tasks/" + change;
    call.body = to_text(body);
    const std::string name = link.target.name;
    client_.send(link.target.address, std::move(call),
                 [this, name, change](const std::optional<http_reply>& reply, const error& why) {
                     if (!reply) {
                         log_error("task_" + change + "_unanswered", why);
                         return;
                     }
                     const auto found = links_.find(name);
                     if (found != links_.end() && change != "throttle") {
                         sync(found->second);
                     }
                 });
}

explanation worker_service::explain(const task_spec& task) const
{
    const task_need need = need_of(task);
    const auto placed = places_.find(task.task);
    const std::optional<worker_id> w =
        placed != places_.end() ? owned_.find(placed->second.worker) : std::nullopt;
    if (w) {
        return explain_placed(owned_, task.task, *w, need,
                              task.kind == work_kind::service ? strategy::spread
                                                              : strategy::balance);
    }
    explanation e = explain_need(owned_, task.task, need);
    explain_gang(e, gangs_, job_of_task(task.task));
    return e;
}

std::optional<error> worker_service::check_feasible(const task_spec& task, std::int64_t count) const
{
    if (whole_cell_.size() == 0) {
        return std::nullopt;
    }
    std::optional<error> why = sesamesill::check_feasible(whole_cell_, task.size, task.attributes);
    if (why || task.kind != work_kind::gang) {
        return why;
    }
    const std::int64_t max_tasks = max_task_count(whole_cell_, task.size, task.attributes);
    if (count <= max_tasks) {
        return std::nullopt;
    }
    return error{error_code::unfit, step::admission, "",
                 "at the same time, the cell can run at most " + std::to_string(max_tasks) +
                     " tasks of size " + to_string(task.size)};
}

} // namespace sesamesill
