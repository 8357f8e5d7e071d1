// The part of the worker service that lists tasks for the owners of their jobs and stops tasks.

#include "worker_service.h"

namespace sesamesill {

std::vector<listed_task> worker_service::tasks_of(const std::set<std::string>& jobs) const
{
    std::vector<listed_task> result;
    for (const std::pair<const std::string, worker_link>& entry : links_) {
        const worker_link& link = entry.second;
        for (const allocated_task& t : owned_.at(link.id).tasks()) {
            if (jobs.count(job_of_task(t.name)) > 0) {
                result.push_back({t.name, t.attempt, task_state::running, entry.first, ""});
            }
        }
        for (const std::pair<const std::string, pending_start>& start : link.pending) {
            if (jobs.count(job_of_task(start.first)) > 0) {
                result.push_back(
                    {start.first, start.second.spec.attempt, task_state::running, entry.first, ""});
            }
        }
        for (const std::pair<const std::string, finished_task>& ended : link.finished) {
            const task_report& r = ended.second.report;
            if (jobs.count(job_of_task(r.task)) > 0) {
                result.push_back({r.task, r.attempt, r.state, entry.first, r.result});
            }
        }
    }
    return result;
}

std::vector<std::string> worker_service::accounted_shards(micros lease_limit) const
{
    const time_point now = boot_clock::now();
    std::map<std::string, bool> accounted;
    for (const vm& v : members_.vms()) {
        const std::string shard = shard_of(v);
        if (v.role != vm_role::worker || !members_.may_act(shard)) {
            continue;
        }
        const auto link = links_.find(v.name);
        const bool known = link != links_.end() &&
                           (link->second.accounted || now - link->second.since > lease_limit);
        accounted[shard] = (accounted.count(shard) == 0 || accounted[shard]) && known;
    }
    std::vector<std::string> result;
    for (const std::pair<const std::string, bool>& entry : accounted) {
        if (entry.second) {
            result.push_back(entry.first);
        }
    }
    return result;
}

void worker_service::stop(const std::string& task)
{
    for (std::pair<const std::string, worker_link>& entry : links_) {
        if (owned_.at(entry.second.id).find(task) != nullptr) {
            send_change(entry.second, task, "stop");
        }
    }
}

} // namespace sesamesill
