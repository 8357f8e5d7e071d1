// Connects the work queue and the fair shares of organisations to jobs and the document.

#include "job_queue.h"

#include <algorithm>
#include <vector>

namespace sesamesill {
namespace {

/// An admitted job that has to wait again is not refused because the queue is full.
constexpr std::int64_t no_class_limit = INT64_MAX;
constexpr std::int64_t max_tasks_per_offer = 16;

Json::Value to_json(const resources& r)
{
    Json::Value value(Json::arrayValue);
    value.append(static_cast<Json::Int64>(r.cpu_millis));
    value.append(static_cast<Json::Int64>(r.memory_mb));
    value.append(static_cast<Json::Int64>(r.accelerators));
    return value;
}

std::optional<resources> resources_from(const Json::Value& value)
{
    if (!value.isArray() || value.size() != 3 || !value[0].isInt64() || !value[1].isInt64() ||
        !value[2].isInt64()) {
        return std::nullopt;
    }
    return resources{value[0].asInt64(), value[1].asInt64(), value[2].asInt64()};
}

} // namespace

job_queue::job_queue() : queue_(organisations_, placement_policy{}, queue_limits{}) {}

void job_queue::set_document(const environment& document)
{
    for (const std::pair<const std::string, organisation_policy>& t : document.organisations) {
        organisations_.put(t.second);
    }
    classes_ = document.classes;
    queue_.set_policy(document.placement);
}

organisation_id job_queue::organisation_of(const submission& what) const
{
    return organisations_.find(what.organisation).value_or(0);
}

std::optional<error> job_queue::refusal(const submission& what) const
{
    const auto policy = classes_.find(what.work_class);
    if (!organisations_.find(what.organisation) || policy == classes_.end()) {
        return error{error_code::invalid, step::admission, "", "unknown organisation or class"};
    }
    std::optional<error> over_quota =
        check_against_quota(organisations_, organisation_of(what), what.size,
                            what.kind == work_kind::gang ? what.tasks : 1);
    if (over_quota) {
        return over_quota;
    }
    const std::int64_t limit = policy->second.queue_limit;
    if (limit > 0 && queue_.waiting_in_class(what.work_class) >= limit) {
        return error{error_code::overload, step::queueing, "",
                     "the queue of class " + what.work_class + " is full"};
    }
    return std::nullopt;
}

bool job_queue::enqueue(const std::string& name, waiting_job& job)
{
    waiting_work work;
    work.organisation = organisation_of(job.what);
    work.work_class = job.what.work_class;
    const auto policy = classes_.find(job.what.work_class);
    work.band = policy != classes_.end() ? policy->second.priority : priority_band::normal;
    work.size = job.what.size;
    work.count = job.tasks;
    work.run_time = job.what.run_time;
    work.arrived = job.arrived;
    work.tag = ++last_tag_;
    error why;
    const std::optional<ticket> place = queue_.push(work, no_class_limit, why);
    if (!place) {
        return false;
    }
    job.place = *place;
    job.tag = work.tag;
    jobs_by_tag_[work.tag] = name;
    return true;
}

void job_queue::add(const std::string& job, const submission& what, std::int64_t tasks,
                    time_point arrived)
{
    waiting_job& entry = jobs_[job];
    if (entry.place != 0) {
        queue_.cancel(entry.place);
        jobs_by_tag_.erase(entry.tag);
    }
    entry.what = what;
    entry.tasks += tasks;
    entry.arrived = arrived;
    entry.place = 0;
    enqueue(job, entry);
}

void job_queue::cancel(const std::string& job)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end()) {
        queue_.cancel(found->second.place);
        jobs_by_tag_.erase(found->second.tag);
        jobs_.erase(found);
    }
}

bool job_queue::job_within_quota(const waiting_job& job) const
{
    return organisations_.within_quota(organisation_of(job.what), scaled(job.what.size, job.tasks));
}

/// Returns how many tasks to offer at once. The number is limited so that organisations take turns.
std::int64_t job_queue::tasks_within_quota(const waiting_job& job) const
{
    std::int64_t tasks = std::min(job.tasks, max_tasks_per_offer);
    while (tasks > 1 &&
           !organisations_.within_quota(organisation_of(job.what), scaled(job.what.size, tasks))) {
        --tasks;
    }
    return tasks;
}

void job_queue::charge_placed(const std::string& name, std::int64_t tasks)
{
    waiting_job& job = jobs_.at(name);
    for (std::int64_t i = 0; i < tasks; ++i) {
        organisations_.charge(organisation_of(job.what), job.what.size);
        queue_.placed();
    }
    job.tasks -= tasks;
    if (job.tasks == 0) {
        jobs_by_tag_.erase(job.tag);
        jobs_.erase(name);
    }
}

void job_queue::round(time_point now, std::size_t limit,
                      const std::function<answer(const offer&)>& place)
{
    queue_.begin_round(now);
    for (std::size_t i = 0; i < limit; ++i) {
        const ticket t = queue_.next();
        if (t == 0) {
            return;
        }
        const std::string name = jobs_by_tag_.at(queue_.find(t)->tag);
        const waiting_job& job = jobs_.at(name);
        const bool all_at_once = job.what.kind == work_kind::gang;
        if (all_at_once && !job_within_quota(job)) {
            queue_.skip();
            continue;
        }
        const answer result = place({name, all_at_once ? job.tasks : tasks_within_quota(job)});
        if (result.what == verdict::placed && result.tasks > 0) {
            charge_placed(name, std::min(result.tasks, job.tasks));
        }
        else if (result.what == verdict::no_room && !all_at_once) {
            queue_.no_room();
        }
        else {
            queue_.skip();
        }
    }
}

void job_queue::set_waiting(const std::string& job, const submission& what, std::int64_t tasks,
                            time_point arrived)
{
    const auto known = jobs_.find(job);
    const std::int64_t before = known != jobs_.end() ? known->second.tasks : 0;
    if (tasks == before && (known == jobs_.end() || queue_.find(known->second.place) != nullptr)) {
        return;
    }
    cancel(job);
    if (tasks > 0) {
        add(job, what, tasks, arrived);
    }
}

void job_queue::keep_jobs(const std::set<std::string>& ids)
{
    std::vector<std::string> removed;
    for (const std::pair<const std::string, waiting_job>& entry : jobs_) {
        if (ids.count(entry.first) == 0) {
            removed.push_back(entry.first);
        }
    }
    for (const std::string& job : removed) {
        cancel(job);
    }
}

void job_queue::set_running(const std::map<std::string, resources>& by_organisation)
{
    for (organisation_id t = 0; t < organisations_.size(); ++t) {
        const auto found = by_organisation.find(organisations_.name(t));
        organisations_.refund(t, organisations_.running(t));
        organisations_.charge_unchecked(t, found != by_organisation.end() ? found->second
                                                                          : resources{});
        queue_.share_changed(t);
    }
}

void job_queue::refund(const submission& what)
{
    const organisation_id t = organisation_of(what);
    organisations_.refund(t, what.size);
    queue_.share_changed(t);
}

explanation job_queue::explain(const cell& where, const std::string& job, const std::string& task,
                               const task_need& need) const
{
    const auto found = jobs_.find(job);
    return explain_waiting(where, queue_, organisations_,
                           found != jobs_.end() ? found->second.place : 0, task, need);
}

Json::Value job_queue::running() const
{
    Json::Value value(Json::objectValue);
    for (organisation_id t = 0; t < organisations_.size(); ++t) {
        if (organisations_.running(t) != resources{}) {
            value[organisations_.name(t)] = to_json(organisations_.running(t));
        }
    }
    return value;
}

void job_queue::handle_running(const std::string& peer, const Json::Value& value)
{
    std::map<std::string, resources>& of_peer = peer_running_[peer];
    of_peer.clear();
    if (value.isObject()) {
        for (const std::string& organisation : value.getMemberNames()) {
            of_peer[organisation] = resources_from(value[organisation]).value_or(resources{});
        }
    }
    update_peer_totals();
}

void job_queue::keep_peers(const std::set<std::string>& peers)
{
    for (auto it = peer_running_.begin(); it != peer_running_.end();) {
        it = peers.count(it->first) == 0 ? peer_running_.erase(it) : std::next(it);
    }
    update_peer_totals();
}

void job_queue::update_peer_totals()
{
    std::map<std::string, resources> sums;
    for (const std::pair<const std::string, std::map<std::string, resources>>& p : peer_running_) {
        for (const std::pair<const std::string, resources>& t : p.second) {
            sums[t.first] += t.second;
        }
    }
    for (organisation_id t = 0; t < organisations_.size(); ++t) {
        organisations_.set_running_elsewhere(t, sums[organisations_.name(t)]);
        queue_.share_changed(t);
    }
}

} // namespace sesamesill
