// Counts what each worker holds: by the starts that were sent and by the worker's own list.

#include "worker_service.h"

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {

worker_service::worker_service(event_loop& loop, http_client& client, cell_service& cell,
                               const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), settings_(settings)
{
    cell_.on_change([this] { update_workers(); });
}

void worker_service::start()
{
    loop_.every(settings_.sync_interval, [this] { sync_all(); });
}

void worker_service::update_workers()
{
    std::map<std::string, worker_state> kept;
    for (const vm& v : cell_.vms()) {
        if (v.role != vm_role::worker || !cell_.may_act(shard_of(v))) {
            continue;
        }
        const auto before = workers_.find(v.name);
        worker_state& w = kept[v.name];
        if (before != workers_.end()) {
            w = std::move(before->second);
        }
        w.target = v;
    }
    workers_.swap(kept);
}

void worker_service::sync_all()
{
    for (std::pair<const std::string, worker_state>& entry : workers_) {
        sync(entry.second);
    }
}

void worker_service::sync(worker_state& w)
{
    Json::Value body;
    body["lease_ms"] = static_cast<Json::Int64>(settings_.task_lease.count());
    body["renew"] = Json::Value(Json::arrayValue);
    body["forget"] = Json::Value(Json::arrayValue);
    for (const std::pair<const std::string, held_task>& entry : w.tasks) {
        if (entry.second.acknowledged) {
            body["forget"].append(entry.first);
        }
        else if (!entry.second.ended) {
            body["renew"].append(entry.first);
        }
    }
    http_call call;
    call.method = "POST";
    call.path = "/sync";
    call.body = to_text(body);
    const std::string name = w.target.name;
    client_.send(w.target.address, std::move(call),
                 [this, name](const std::optional<http_reply>& reply, const error& failure) {
                     const auto found = workers_.find(name);
                     if (found == workers_.end()) {
                         return;
                     }
                     error why = failure;
                     std::optional<worker_report> report;
                     if (reply && reply->status == 200) {
                         report = worker_report_from(json_from(reply->body).value_or(Json::Value()),
                                                     why);
                     }
                     if (!report) {
                         why.peer = name;
                         log_error("worker_sync_failed", why);
                         return;
                     }
                     take_report(found->second, *report);
                 });
}

void worker_service::take_report(worker_state& w, const worker_report& report)
{
    w.accounted = true;
    std::set<std::string> listed;
    for (const task_report& t : report.tasks) {
        listed.insert(t.task);
        const bool fresh = w.tasks.count(t.task) == 0;
        held_task& held = w.tasks[t.task];
        if (fresh) {
            held.size = t.reserved;
            w.held += held.size;
        }
        if (is_ended(t.state) && !held.ended) {
            held.ended = true;
            w.held -= held.size;
        }
        if (held.ended && !held.acknowledged && ended_) {
            const std::string worker = w.target.name;
            const std::string task = t.task;
            ended_(t, [this, worker, task] {
                const auto found = workers_.find(worker);
                if (found != workers_.end() && found->second.tasks.count(task) > 0) {
                    found->second.tasks[task].acknowledged = true;
                }
            });
        }
    }
    for (auto it = w.tasks.begin(); it != w.tasks.end();) {
        const bool forgotten = it->second.acknowledged && listed.count(it->first) == 0;
        it = forgotten ? w.tasks.erase(it) : std::next(it);
    }
}

std::optional<std::string> worker_service::place(const task_spec& task, error& why)
{
    worker_state* best = nullptr;
    std::int64_t best_left = 0;
    for (std::pair<const std::string, worker_state>& entry : workers_) {
        worker_state& w = entry.second;
        const resources room = w.target.size - w.held;
        const std::int64_t left = room.cpu_millis - task.size.cpu_millis;
        if (w.accounted && w.target.state == vm_state::live && fits(task.size, room) &&
            (best == nullptr || left < best_left)) {
            best = &w;
            best_left = left;
        }
    }
    if (best == nullptr) {
        why = {error_code::overload, step::placement, cell_.self(), "no worker has room"};
        return std::nullopt;
    }
    best->tasks[task.task] = {task.size, false, false};
    best->held += task.size;
    Json::Value body;
    body["task"] = task.task;
    body["attempt"] = task.attempt;
    body["epoch"] = 0;
    body["cpu_millis"] = static_cast<Json::Int64>(task.size.cpu_millis);
    body["memory_mb"] = static_cast<Json::Int64>(task.size.memory_mb);
    body["accelerators"] = static_cast<Json::Int64>(task.size.accelerators);
    body["lease_ms"] = static_cast<Json::Int64>(settings_.task_lease.count());
    body["payload"] = task.payload;
    http_call call;
    call.method = "POST";
    call.path = "/tasks";
    call.body = to_text(body);
    const std::string name = best->target.name;
    client_.send(
        best->target.address, std::move(call),
        [name](const std::optional<http_reply>& reply, const error& why_not) {
            if (!reply) {
                log_error("start_unanswered", {why_not.code, step::dispatch, name, why_not.reason});
            }
        });
    return name;
}

resources worker_service::used() const
{
    resources sum;
    for (const std::pair<const std::string, worker_state>& entry : workers_) {
        sum += entry.second.held;
    }
    return sum;
}

resources worker_service::size() const
{
    resources sum;
    for (const std::pair<const std::string, worker_state>& entry : workers_) {
        sum += entry.second.target.size;
    }
    return sum;
}

} // namespace sesamesill
