// Follows the VM list, exchanges reports and lease renewals with the workers, and reports the ends
// of tasks to the owners of their jobs.

#include "worker_service.h"

#include <set>

#include <xxhash.h>

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {
namespace {

/// A task that was started less than this before a report was requested may be absent from it.
constexpr micros start_grace = std::chrono::seconds(3);
/// A worker gets no new tasks when it has not answered for this many sync intervals.
constexpr int max_missed_syncs = 3;
/// Time past the lease before the tasks of a worker that does not answer count as ended.
constexpr millis lease_margin{2000};
constexpr std::uint64_t placement_seed = 1;

worker_entry entry_of(const vm& v)
{
    return {v.name, v.size, v.data_center, v.rack, v.attributes};
}

bool holds(task_state state)
{
    return state == task_state::running || state == task_state::throttled;
}

std::vector<task_usage> usages_of(const worker_report& report)
{
    std::vector<task_usage> result;
    result.reserve(report.tasks.size());
    for (const task_report& t : report.tasks) {
        result.push_back({t.task, t.reserved, t.used, holds(t.state), t.attempt});
    }
    return result;
}

} // namespace

worker_service::worker_service(event_loop& loop, http_client& client, cell_service& members,
                               const node_settings& settings)
    : loop_(loop), client_(client), members_(members), settings_(settings),
      packing_(owned_, strategy::balance, placement_policy{}.waiting_weight, placement_seed),
      spreading_(owned_, strategy::spread, placement_policy{}.waiting_weight, placement_seed),
      gangs_(owned_, packing_), health_(health_limits{})
{
    members_.on_change([this] { update_workers(); });
    members_.add_drained_check([this] { return unanswered_starts_ == 0; });
}

void worker_service::start()
{
    loop_.every(settings_.sync_interval, [this] { tick(); });
}

void worker_service::set_policy(const placement_policy& policy)
{
    packing_.set_waiting_weight(policy.waiting_weight);
    spreading_.set_waiting_weight(policy.waiting_weight);
    size_margin_ = policy.size_margin;
    gangs_.set_max_reservation(policy.reservation);
    health_.set_max_out_ratio(policy.max_out_ratio);
}

bool worker_service::enabled(std::string_view mechanism) const
{
    return !is_disabled(settings_, mechanism);
}

void worker_service::update_workers()
{
    std::set<std::string> listed;
    for (const vm& v : members_.vms()) {
        if (v.role == vm_role::worker) {
            listed.insert(v.name);
            whole_cell_.put(entry_of(v));
            if (members_.may_act(shard_of(v))) {
                update_worker(v);
            }
        }
    }
    for (worker_id w = 0; w < whole_cell_.id_limit(); ++w) {
        if (whole_cell_.has(w) && listed.count(whole_cell_.at(w).name()) == 0) {
            whole_cell_.remove(w);
        }
    }
    std::vector<std::string> dropped_workers;
    for (std::pair<const std::string, worker_link>& entry : links_) {
        worker_link& link = entry.second;
        link.listed = listed.count(entry.first) > 0;
        const bool idle = owned_.at(link.id).tasks().empty() && link.finished.empty();
        if (!members_.may_act(shard_of(link.target)) || (!link.listed && idle)) {
            dropped_workers.push_back(entry.first);
        }
        else {
            update_state(link);
        }
    }
    for (const std::string& name : dropped_workers) {
        drop_worker(name);
    }
}

void worker_service::update_worker(const vm& v)
{
    const bool is_new = links_.count(v.name) == 0;
    worker_link& link = links_[v.name];
    link.since = is_new ? boot_clock::now() : link.since;
    link.target = v;
    link.id = owned_.put(entry_of(v));
    health_.add(link.id);
}

void worker_service::drop_worker(const std::string& name)
{
    const worker_link& link = links_.at(name);
    for (const allocated_task& t : owned_.at(link.id).tasks()) {
        places_.erase(t.name);
        const auto spread = spreads_.find(job_of_task(t.name));
        if (spread != spreads_.end()) {
            spread->second.remove(owned_, link.id);
        }
    }
    for (const std::pair<const std::string, finished_task>& entry : link.finished) {
        const auto place = places_.find(entry.first);
        if (place != places_.end() && place->second.worker == name) {
            places_.erase(place);
        }
    }
    for (const std::pair<const std::string, pending_start>& entry : link.pending) {
        places_.erase(entry.first);
    }
    gangs_.remove_worker(link.id);
    health_.remove(link.id);
    owned_.remove(link.id);
    links_.erase(name);
}

void worker_service::update_state(worker_link& link)
{
    const time_point now = boot_clock::now();
    worker_state state = worker_state::live;
    if (!link.accounted || now - link.last_answer_at > settings_.sync_interval * max_missed_syncs) {
        state = worker_state::unaccounted;
    }
    else if (!link.listed || link.target.state == vm_state::leaving) {
        state = worker_state::leaving;
    }
    else if (health_.limit(link.id) == 0) {
        state = worker_state::out;
    }
    if (owned_.at(link.id).state() != state) {
        log_event(log_level::info, "worker_state",
                  {{"worker", link.target.name}, {"state", std::string(name_of(state))}});
        owned_.set_state(link.id, state);
    }
    owned_.set_start_limit(link.id, health_.limit(link.id));
}

void worker_service::tick()
{
    const time_point now = boot_clock::now();
    health_.due(now);
    for (std::pair<const std::string, worker_link>& entry : links_) {
        worker_link& link = entry.second;
        update_state(link);
        if (link.accounted && now - link.last_renewal_at > settings_.task_lease + lease_margin) {
            expire_tasks(link);
        }
        sync(link);
    }
    gangs_.advance(now);
}

Json::Value worker_service::sync_body(worker_link& link, time_point now) const
{
    Json::Value body;
    body["lease_ms"] = static_cast<Json::Int64>(settings_.task_lease.count());
    body["renew"] = Json::Value(Json::arrayValue);
    body["forget"] = Json::Value(Json::arrayValue);
    for (const std::pair<const std::string, finished_task>& entry : link.finished) {
        if (entry.second.acknowledged && entry.second.listed) {
            body["forget"].append(entry.first);
        }
    }
    // The leases of a worker that has stopped answering are not renewed, so that it ends its tasks
    // when they expire.
    if (!link.accounted || now - link.last_answer_at < settings_.task_lease / 2) {
        for (const allocated_task& t : owned_.at(link.id).tasks()) {
            body["renew"].append(t.name);
        }
        link.last_renewal_at = now;
    }
    return body;
}

void worker_service::sync(worker_link& link)
{
    if (link.syncing) {
        return;
    }
    link.syncing = true;
    const time_point asked_at = boot_clock::now();
    http_call call;
    call.method = "POST";
    call.path = "/sync";
    call.body = to_text(sync_body(link, asked_at));
    const std::string name = link.target.name;
    client_.send(
        link.target.address, std::move(call),
        [this, name, asked_at](const std::optional<http_reply>& reply, const error& failure) {
            const auto found = links_.find(name);
            if (found == links_.end()) {
                return;
            }
            found->second.syncing = false;
            error why = failure;
            std::optional<worker_report> report;
            if (reply && reply->status == 200) {
                report = worker_report_from(json_from(reply->body).value_or(Json::Value()), why);
            }
            if (!report) {
                why.peer = name;
                log_error("worker_sync_failed", why);
                return;
            }
            handle_report(found->second, *report, asked_at);
        });
}

void worker_service::handle_report(worker_link& link, const worker_report& report,
                                   time_point asked_at)
{
    if (link.accounted && asked_at < link.last_report_asked_at) {
        return;
    }
    link.last_report_asked_at = asked_at;
    link.last_answer_at = boot_clock::now();
    link.accounted = true;
    const report_result changes = owned_.report(link.id, usages_of(report), asked_at, start_grace);
    for (const std::string& task : changes.adopted) {
        const auto known = link.finished.find(task);
        if (known != link.finished.end()) {
            send_change(link, task, "stop");
        }
        else {
            places_[task] = {
                link.target.name, "", {}, owned_.at(link.id).find(task)->attempt, false};
        }
    }
    for (const allocated_task& task : changes.ended_tasks) {
        record_peak(task);
    }
    for (const task_report& t : report.tasks) {
        if (!holds(t.state)) {
            handle_end(link, t);
        }
    }
    for (const allocated_task& task : changes.missing) {
        task_report lost;
        lost.task = task.name;
        lost.attempt = task.attempt;
        lost.state = task_state::lease_expired;
        lost.result = "the worker does not list it";
        record_end(link, lost, false);
    }
    remove_forgotten_ends(link, report);
    report_ends(link);
    update_state(link);
    respond_to_overuse(link);
    try_pending(link);
}

void worker_service::handle_end(worker_link& link, const task_report& report)
{
    if (owned_.at(link.id).find(report.task) != nullptr || link.finished.count(report.task) > 0) {
        return;
    }
    update_health(link, report);
    record_end(link, report, true);
}

void worker_service::record_peak(const allocated_task& task)
{
    const auto placed = places_.find(task.name);
    if (placed != places_.end() && !placed->second.work_class.empty()) {
        estimates_.add_peak(placed->second.work_class, placed->second.declared, task.peak);
    }
}

void worker_service::update_health(worker_link& link, const task_report& report)
{
    if (report.state != task_state::done && report.state != task_state::failed) {
        return;
    }
    const std::string job = job_of_task(report.task);
    if (enabled("health")) {
        health_.ended(link.id, XXH3_64bits(job.data(), job.size()),
                      report.state == task_state::failed, boot_clock::now());
    }
}

void worker_service::record_end(worker_link& link, task_report report, bool listed)
{
    const auto place = places_.find(report.task);
    if (place != places_.end() && place->second.worker == link.target.name) {
        place->second.ended = true;
    }
    const auto spread = spreads_.find(job_of_task(report.task));
    if (spread != spreads_.end()) {
        spread->second.remove(owned_, link.id);
        if (spread->second.workers.empty()) {
            spreads_.erase(spread);
        }
    }
    const std::string task = report.task;
    link.finished[task] = {std::move(report), listed, false};
}

void worker_service::report_ends(worker_link& link)
{
    if (!end_handler_) {
        return;
    }
    std::vector<task_report> unreported;
    for (const std::pair<const std::string, finished_task>& entry : link.finished) {
        if (!entry.second.acknowledged) {
            unreported.push_back(entry.second.report);
        }
    }
    const std::string name = link.target.name;
    for (const task_report& t : unreported) {
        const std::string task = t.task;
        const std::int32_t attempt = t.attempt;
        end_handler_(t, [this, name, task, attempt] {
            const auto found = links_.find(name);
            if (found == links_.end()) {
                return;
            }
            const auto ended = found->second.finished.find(task);
            if (ended != found->second.finished.end() && ended->second.report.attempt == attempt) {
                ended->second.acknowledged = true;
            }
        });
    }
}

void worker_service::remove_forgotten_ends(worker_link& link, const worker_report& report)
{
    std::set<std::string> listed;
    for (const task_report& t : report.tasks) {
        listed.insert(t.task);
    }
    for (auto it = link.finished.begin(); it != link.finished.end();) {
        it->second.listed = listed.count(it->first) > 0;
        if (!it->second.acknowledged || it->second.listed) {
            ++it;
            continue;
        }
        const auto place = places_.find(it->first);
        if (place != places_.end() && place->second.ended &&
            place->second.worker == link.target.name) {
            places_.erase(place);
        }
        it = link.finished.erase(it);
    }
}

void worker_service::expire_tasks(worker_link& link)
{
    const std::vector<allocated_task> tasks = owned_.at(link.id).tasks();
    for (const allocated_task& t : tasks) {
        owned_.end(link.id, t.name);
        task_report lost;
        lost.task = t.name;
        lost.attempt = t.attempt;
        lost.state = task_state::lease_expired;
        lost.result = "the worker did not answer until its lease was over";
        record_end(link, lost, false);
    }
    report_ends(link);
}

void worker_service::respond_to_overuse(worker_link& link)
{
    for (const overuse_response& response : choose_overuse_responses(owned_.at(link.id))) {
        log_event(log_level::warning, "task_over_its_size",
                  {{"task", response.task},
                   {"worker", link.target.name},
                   {"action", std::string(name_of(response.action))}});
        owned_.count_overuse_action(link.id, response.task);
        send_change(link, response.task, std::string(name_of(response.action)));
    }
}

} // namespace sesamesill
