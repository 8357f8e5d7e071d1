// The part of the job service that handles the ends of tasks and, after a change of members or a
// lost answer, collects the states of tasks from the owners of the workers' shards.

#include <algorithm>

#include "job_service.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis rpc_timeout{500};
constexpr micros answer_limit = std::chrono::seconds(1);
/// Added to the lease of tasks before the tasks of an unreachable worker count as ended.
constexpr millis lease_margin{2000};

} // namespace

void job_service::on_cell_change()
{
    std::set<std::string> names;
    for (const vm& v : cell_.vms()) {
        if (v.role == vm_role::worker) {
            names.insert(v.name);
        }
    }
    const bool worker_removed =
        !std::includes(names.begin(), names.end(), worker_names_.begin(), worker_names_.end());
    worker_removed_at_ = worker_removed ? boot_clock::now() : worker_removed_at_;
    worker_names_.swap(names);
    if (worker_removed || cell_.epoch() != recheck_epoch_) {
        recheck_epoch_ = cell_.epoch();
        table_.recheck_running();
    }
    table_.update_ownership([this](const std::string& id) { return cell_.may_act(id); });
}

/// Asks every member for the tasks of the unresolved jobs that this member owns. A task that no
/// member reports is not running: its worker is accounted for, or its lease has expired.
void job_service::recover()
{
    const time_point now = boot_clock::now();
    if (table_.recovering()) {
        if (now - table_.recovery_begun() > answer_limit) {
            table_.abandon_recovery();
        }
        return;
    }
    const micros lease_end_delay = settings_.task_lease + lease_margin;
    const bool too_early =
        now - started_ < lease_end_delay || now - worker_removed_at_ < lease_end_delay;
    if (too_early || !journal_.caught_up()) {
        return;
    }
    std::set<std::string> shards;
    for (const vm& v : cell_.vms()) {
        if (v.role == vm_role::worker) {
            shards.insert(shard_of(v));
        }
    }
    recovery_request request;
    request.owner = cell_.self();
    request.jobs = table_.begin_recovery(std::move(shards), now);
    if (request.jobs.empty()) {
        return;
    }
    request.round = ++recovery_round_;
    for (const member& m : cell_.members()) {
        if (m.name == cell_.self()) {
            execute(table_.handle_answer(answer_of(request), now));
        }
        else {
            request_tasks(m, request);
        }
    }
}

void job_service::request_tasks(const member& to, const recovery_request& request)
{
    const std::uint64_t round = request.round;
    const std::string name = to.name;
    call_rpc(client_, to.peer_address, "tasks_of", to_json(request), rpc_timeout,
             [this, round, name](const std::optional<Json::Value>& result, const error& why) {
                 const std::optional<recovery_answer> answer =
                     result ? recovery_answer_from(*result) : std::nullopt;
                 if (!answer) {
                     log_error("recovery_unanswered", {why.code, step::recovery, name, why.reason});
                     return;
                 }
                 if (round == recovery_round_) {
                     execute(table_.handle_answer(*answer, boot_clock::now()));
                 }
             });
}

std::optional<Json::Value> job_service::rpc_tasks_of(const Json::Value& params, error& why)
{
    const std::optional<recovery_request> request = recovery_request_from(params);
    if (!request) {
        why = {error_code::invalid, step::recovery, cell_.self(),
               "params: must be a recovery request"};
        return std::nullopt;
    }
    return to_json(answer_of(*request));
}

recovery_answer job_service::answer_of(const recovery_request& request)
{
    std::uint64_t& fence = fences_[request.owner];
    fence = std::max(fence, request.round);
    recovery_answer answer;
    answer.member = cell_.self();
    answer.uptime = boot_clock::now() - started_;
    answer.shards = workers_.accounted_shards(settings_.task_lease + lease_margin);
    answer.tasks =
        workers_.tasks_of(std::set<std::string>(request.jobs.begin(), request.jobs.end()));
    return answer;
}

void job_service::task_end(const task_report& report, const std::function<void()>& acknowledge)
{
    const std::optional<member> owner = cell_.owner_of(job_of(report.task));
    if (!owner) {
        return;
    }
    const listed_task end{report.task, report.attempt, report.state, "", report.result};
    if (owner->name == cell_.self()) {
        if (handle_end(end)) {
            acknowledge();
        }
        return;
    }
    call_rpc(client_, owner->peer_address, "ended", to_json(end), rpc_timeout,
             [acknowledge](const std::optional<Json::Value>& result, const error&) {
                 if (result && result->isBool() && result->asBool()) {
                     acknowledge();
                 }
             });
}

std::optional<Json::Value> job_service::rpc_ended(const Json::Value& params, error& why)
{
    const std::optional<listed_task> end = listed_task_from(params);
    if (!end) {
        why = {error_code::invalid, step::answer, cell_.self(),
               "params: must be a report of the end of a task"};
        return std::nullopt;
    }
    return Json::Value(handle_end(*end));
}

/// Returns whether the worker may forget the task.
bool job_service::handle_end(const listed_task& report)
{
    if (table_.find(job_of(report.task)) == nullptr) {
        return journal_.complete("cell");
    }
    const end_result result = table_.ended(report, boot_clock::now());
    execute(result.actions);
    return result.acknowledge;
}

/// Asks the owners of the workers' shards to stop the running tasks of cancelled jobs. Repeats this
/// until all tasks have ended.
void job_service::stop_cancelled()
{
    for (auto it = cancelled_.begin(); it != cancelled_.end();) {
        const job* const j = table_.find(*it);
        if (j == nullptr || j->final_outcome != outcome::pending || !j->owner) {
            it = cancelled_.erase(it);
            continue;
        }
        for (std::size_t i = 0; i < j->tasks.size(); ++i) {
            if (j->tasks[i].phase == task_phase::running) {
                stop(task_name(j->id, i), j->tasks[i].worker);
            }
        }
        ++it;
    }
}

void job_service::stop(const std::string& task, const std::string& worker)
{
    const std::vector<vm>& vms = cell_.vms();
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&worker](const vm& v) { return v.name == worker; });
    const std::optional<member> owner =
        found != vms.end() ? cell_.owner_of(shard_of(*found)) : std::nullopt;
    if (!owner) {
        return;
    }
    if (owner->name == cell_.self()) {
        workers_.stop(task);
        return;
    }
    Json::Value params;
    params["task"] = task;
    call_rpc(client_, owner->peer_address, "stop", params, rpc_timeout,
             [](const std::optional<Json::Value>&, const error&) {});
}

std::optional<Json::Value> job_service::rpc_stop(const Json::Value& params, error& why)
{
    if (!params.isObject() || !params["task"].isString()) {
        why = {error_code::invalid, step::dispatch, cell_.self(),
               "params: \"task\" must be the name of a task"};
        return std::nullopt;
    }
    workers_.stop(params["task"].asString());
    return Json::Value(true);
}

} // namespace sesamesill
