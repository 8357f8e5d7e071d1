// Jobs as the scheduler takes, cancels and records them.

#include "sesamesill/pool_scheduler.h"

#include <algorithm>

#include "pool_keys.h"
#include "sesamesill/names.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<decision_kind, 20> decision_names{
    {{decision_kind::accepted, "job_accepted"},
     {decision_kind::refused, "job_refused"},
     {decision_kind::advised, "step_advised"},
     {decision_kind::advice_failed, "advice_failed"},
     {decision_kind::begun, "job_begun"},
     {decision_kind::started, "task_started"},
     {decision_kind::start_failed, "start_failed"},
     {decision_kind::ended, "task_ended"},
     {decision_kind::stopped, "task_stopped"},
     {decision_kind::cancelled, "job_cancelled"},
     {decision_kind::finished, "job_finished"},
     {decision_kind::worker_joined, "worker_joined"},
     {decision_kind::worker_drains, "worker_drains"},
     {decision_kind::worker_left, "worker_left"},
     {decision_kind::worker_lost, "worker_lost"},
     {decision_kind::worker_reborn, "worker_reborn"},
     {decision_kind::worker_avoided, "worker_avoided"},
     {decision_kind::run_vanished, "run_vanished"},
     {decision_kind::run_adopted, "run_adopted"},
     {decision_kind::end_not_taken, "end_not_taken"}}};

} // namespace

std::string_view name_of(decision_kind kind)
{
    return name_in(decision_names, kind);
}

scheduler::scheduler(std::uint64_t fence, platform_bounds bounds, time_point now)
    : fence_(fence), bounds_(bounds), doubt_until_(now)
{
}

void scheduler::note(decision_kind kind, const std::string& job, const std::string& worker,
                     std::string detail, std::int64_t age_ms)
{
    const auto known = jobs_.find(job);
    const std::string queue =
        known != jobs_.end() ? known->second.progress.spec().queue : std::string();
    decisions_.push_back({kind, job, queue, worker, std::move(detail), age_ms});
}

void scheduler::configure(const configuration& config)
{
    config_ = config;
    changed_ = true;
}

const queue_policy* scheduler::queue_of(const std::string& name) const
{
    for (const queue_policy& q : config_.queues) {
        if (q.name == name) {
            return &q;
        }
    }
    return nullptr;
}

const step_spec* scheduler::step_of(const task_id& id) const
{
    const auto known = jobs_.find(id.job);
    const bool exists = known != jobs_.end() &&
                        id.step < static_cast<int>(known->second.progress.spec().steps.size());
    return exists ? &known->second.progress.spec().steps[static_cast<std::size_t>(id.step)]
                  : nullptr;
}

worker* scheduler::find_worker(const std::string& id)
{
    const auto known = workers_.find(id);
    return known != workers_.end() ? &known->second : nullptr;
}

void scheduler::restore(const std::string& id, const Json::Value& job, const Json::Value& progress,
                        std::int64_t wall_ms, time_point now)
{
    if (job.isNull()) {
        const std::optional<job_state> state = job_state_from(progress["state"].asString());
        if (!state || !is_final(*state)) {
            note(decision_kind::end_not_taken, id, "", "a record of progress without its job");
            return;
        }
        job_spec spec;
        spec.id = id;
        spec.queue = progress["queue"].asString();
        for (const Json::Value& need : progress["needs"]) {
            step_spec step;
            step.need = {need[0].asInt64(), need[1].asInt64(), need[2].asInt64()};
            spec.steps.push_back(step);
        }
        job_entry entry{job_progress(spec, 0, now)};
        entry.progress.restore(progress);
        entry.final_stored = true;
        entry.final_ms = progress["ended_ms"].asInt64();
        jobs_.emplace(id, std::move(entry));
        return;
    }
    error why;
    const std::optional<job_spec> spec = job_spec_from(job["spec"], why);
    if (!spec) {
        note(decision_kind::end_not_taken, id, "", "unreadable job record: " + why.reason);
        return;
    }
    const std::int64_t accepted_ms = job["accepted_ms"].asInt64();
    const millis age(std::max<std::int64_t>(0, wall_ms - accepted_ms));
    job_entry entry{job_progress(*spec, accepted_ms, now - age)};
    if (progress.isObject()) {
        entry.progress.restore(progress);
    }
    entry.inherited = true;
    if (is_final(entry.progress.state())) {
        dirty_.insert(id); // the predecessor stored the end but not yet its short form
    }
    const auto added = jobs_.emplace(id, std::move(entry)).first;
    open_units(added->second, now);
}

void scheduler::restored(time_point now, time_point doubt_until)
{
    doubt_until_ = doubt_until;
    restored_at_ = now;
    for (std::pair<const std::string, worker>& w : workers_) {
        doubts_.insert(w.first);
        w.second.visible_to_successor = true; // read of before the claim
    }
    doubts_.insert(directory_doubt);
    changed_ = true;
}

void scheduler::directory_known(time_point begun)
{
    if (begun > restored_at_) {
        resolve_doubt(directory_doubt);
    }
}

void scheduler::wrote(time_point sent)
{
    for (std::pair<const std::string, worker>& w : workers_) {
        if (!w.second.visible_to_successor && w.second.listed_at < sent) {
            w.second.visible_to_successor = true;
            changed_ = true;
        }
    }
}

/// Returns how many tasks of the step the workers could hold if they were empty, at most all.
/// Workers whose entries have lapsed count while they may live: the store may have been away.
int scheduler::most_at_once(const step_spec& step, const queue_policy& queue) const
{
    const int a_worker = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
    int held = 0;
    for (const std::pair<const std::string, worker>& w : workers_) {
        const bool lives = w.second.listed || !w.second.lost;
        if (held < step.tasks && lives && may_run(w.second.entry, step, queue)) {
            held += fitting(capacity_used_by(step), w.second.entry.capacity, a_worker);
        }
    }
    return std::min(held, step.tasks);
}

admission_answer scheduler::admit(const job_spec& spec) const
{
    const auto known = jobs_.find(spec.id);
    if (known != jobs_.end()) {
        return {admission::known, "", millis(0)};
    }
    constexpr millis come_back{2000}; ///< the pool's make-up changes within seconds
    const queue_policy* queue = queue_of(spec.queue);
    if (queue == nullptr) {
        return {admission::refuse, "no such queue in this member's configuration", come_back};
    }
    for (const step_spec& step : spec.steps) {
        const int at_once = step.gang ? step.tasks : 1; // the others can follow one by one
        if (most_at_once(step, *queue) < at_once) {
            return {admission::refuse,
                    step.gang ? "the pool couldn't hold one of its gangs, even when empty"
                              : "no worker has the size and the label for one of its tasks",
                    come_back};
        }
    }
    return {admission::accept, "", millis(0)};
}

keyed_record scheduler::record_of(const job_spec& spec, std::int64_t wall_ms)
{
    Json::Value value;
    value["spec"] = to_json(spec);
    value["accepted_ms"] = static_cast<Json::Int64>(wall_ms);
    return {job_key(spec.id), to_text(value), 0};
}

void scheduler::add(const job_spec& spec, std::int64_t wall_ms, time_point now)
{
    if (jobs_.count(spec.id) > 0) {
        return;
    }
    const auto added = jobs_.emplace(spec.id, job_entry{job_progress(spec, wall_ms, now)}).first;
    class_estimate& learnt = estimates_[spec.queue];
    learn(learnt.mean_work, learnt.jobs, size_of(spec, estimates_of(spec)).core_seconds);
    open_units(added->second, now);
    note(decision_kind::accepted, spec.id, "", spec.queue);
}

void scheduler::open_units(job_entry& entry, time_point now)
{
    const job_progress& job = entry.progress;
    if (is_final(job.state())) {
        return;
    }
    for (int k = 0; k < job.occurrences(); ++k) {
        if (job.spec().occurrences > 0 && job.due(k) > now) {
            due_.emplace(job.due(k), job.spec().id);
            return; // the later ones follow
        }
        for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
            const task_id first{job.spec().id, k, n, 0};
            const step_record& step = job.step_at(k, n);
            const std::string name = step_name(first);
            if (step.done == static_cast<int>(step.tasks.size()) || !job.is_ready(k, n) ||
                units_.count(name) > 0) {
                continue;
            }
            entry.progress.step_at(k, n).ready_since = now;
            unit u;
            u.first = first;
            units_.emplace(name, std::move(u));
            changed_ = true;
        }
    }
}

void scheduler::open_due(time_point now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto known = jobs_.find(due_.begin()->second);
        due_.erase(due_.begin());
        if (known != jobs_.end()) {
            open_units(known->second, now);
        }
    }
}

void scheduler::close_units(const std::string& job)
{
    auto u = units_.lower_bound(job + ".");
    while (u != units_.end() && u->second.first.job == job) {
        u = units_.erase(u);
    }
}

cancel_answer scheduler::cancel(const std::string& id, time_point now)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) {
        return cancel_answer::not_known;
    }
    if (is_final(known->second.progress.state())) {
        return cancel_answer::already_final;
    }
    known->second.progress.cancel();
    note(decision_kind::cancelled, id, "", "by its client");
    finish_job(known->second, now);
    return cancel_answer::cancelled;
}

std::optional<job_state> scheduler::shown(const std::string& id) const
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) {
        return std::nullopt;
    }
    const job_state state = known->second.progress.state();
    return is_final(state) && !known->second.final_stored ? job_state::running : state;
}

int scheduler::waiting_in(const std::string& queue) const
{
    int count = 0;
    for (const std::pair<const std::string, job_entry>& j : jobs_) {
        const job_progress& job = j.second.progress;
        count += job.spec().queue == queue && !is_final(job.state()) && !job.has_begun() ? 1 : 0;
    }
    return count;
}

/// Stops what still runs of a job that is over, and has its end recorded.
void scheduler::finish_job(job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    close_units(job.spec().id);
    for (int k = 0; k < job.occurrences(); ++k) {
        for (int n = 0; n < static_cast<int>(job.spec().steps.size()); ++n) {
            for (int i = 0; i < job.spec().steps[static_cast<std::size_t>(n)].tasks; ++i) {
                stop_task({job.spec().id, k, n, i}, now);
            }
        }
    }
    dirty_.insert(job.spec().id);
    note(decision_kind::finished, job.spec().id, "", std::string(name_of(job.state())),
         to_millis(now - job.accepted()));
    changed_ = true;
}

std::vector<std::string> scheduler::worker_ids() const
{
    std::vector<std::string> ids;
    for (const std::pair<const std::string, worker>& w : workers_) {
        ids.push_back(w.first);
    }
    return ids;
}

bool scheduler::has_unrecorded_ends(const std::string& id) const
{
    const auto known = workers_.find(id);
    return known != workers_.end() &&
           known->second.acknowledged_end < known->second.highest_end_seen;
}

record_batch scheduler::take_records(std::int64_t wall_ms)
{
    record_batch batch;
    if (batch_under_way_) {
        return batch;
    }
    for (const std::string& id : dirty_) {
        const auto known = jobs_.find(id);
        if (known == jobs_.end()) {
            continue;
        }
        job_entry& entry = known->second;
        Json::Value saved;
        if (is_final(entry.progress.state())) {
            saved["state"] = std::string(name_of(entry.progress.state()));
            saved["queue"] = entry.progress.spec().queue;
            for (const step_spec& step : entry.progress.spec().steps) {
                // A successor has to know the room of runs that are still being stopped.
                const resources used = capacity_used_by(step);
                Json::Value need;
                need.append(static_cast<Json::Int64>(used.cpu_millis));
                need.append(static_cast<Json::Int64>(used.memory_mb));
                need.append(static_cast<Json::Int64>(used.accelerators));
                saved["needs"].append(need);
            }
            saved["ended_ms"] = static_cast<Json::Int64>(wall_ms);
            entry.final_ms = wall_ms;
            batch.finals.push_back(id);
            batch.records.push_back({progress_key(id), to_text(saved), 0});
            batch.records.push_back({job_key(id), "", 0});
        }
        else {
            batch.records.push_back({progress_key(id), to_text(entry.progress.saved()), 0});
        }
    }
    dirty_.clear();
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (w.second.highest_end_seen > w.second.acknowledged_end) {
            batch.ends[w.first] = w.second.highest_end_seen;
        }
    }
    for (auto j = jobs_.begin(); j != jobs_.end();) {
        const bool old = j->second.final_stored &&
                         wall_ms - j->second.final_ms > 2 * bounds_.status_kept.count();
        if (old) {
            batch.records.push_back({progress_key(j->first), "", 0});
        }
        j = old ? jobs_.erase(j) : std::next(j);
    }
    batch_under_way_ = !batch.empty();
    return batch;
}

void scheduler::recorded(const record_batch& batch)
{
    batch_under_way_ = false;
    for (const std::string& id : batch.finals) {
        const auto known = jobs_.find(id);
        if (known != jobs_.end()) {
            known->second.final_stored = true;
        }
    }
    for (const std::pair<const std::string, std::uint64_t>& end : batch.ends) {
        worker* w = find_worker(end.first);
        if (w != nullptr && end.second <= w->highest_end_seen) {
            w->acknowledged_end = std::max(w->acknowledged_end, end.second);
        }
    }
}

void scheduler::not_recorded(const record_batch& batch)
{
    batch_under_way_ = false;
    for (const keyed_record& r : batch.records) {
        const std::optional<std::string> id = job_of_progress_key(r.key);
        if (id && jobs_.count(*id) > 0) {
            dirty_.insert(*id);
        }
    }
}

std::vector<start_order> scheduler::take_starts()
{
    std::vector<start_order> out;
    out.swap(starts_);
    for (start_order& order : out) {
        ++order.attempts;
    }
    return out;
}

std::vector<stop_order> scheduler::take_stops()
{
    std::vector<stop_order> out;
    out.swap(stops_);
    return out;
}

std::vector<decision> scheduler::take_decisions()
{
    std::vector<decision> out;
    out.swap(decisions_);
    return out;
}

} // namespace sesamesill::pool
