// The scheduler's records: what is stored of jobs and of ends, and what follows once it is stored.

#include <algorithm>

#include "pool_keys.h"
#include "sesamesill/pool_scheduler.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {

/// Returns how many bytes the value of a progress record may have.
std::size_t scheduler::max_progress_bytes() const
{
    constexpr std::size_t key_bytes = 64; ///< at most, with its length
    return bounds_.max_record_bytes - std::min(bounds_.max_record_bytes, key_bytes);
}

record_batch scheduler::take_records(std::int64_t wall_ms)
{
    record_batch batch;
    if (batch_in_flight_) {
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
                // A successor needs the capacity of runs that are still being stopped.
                const resources used = capacity_used_by(step);
                Json::Value need;
                need.append(static_cast<Json::Int64>(used.cpu_millis));
                need.append(static_cast<Json::Int64>(used.memory_mb));
                need.append(static_cast<Json::Int64>(used.accelerators));
                saved["needs"].append(need);
            }
            saved["ended_ms"] = static_cast<Json::Int64>(wall_ms);
            entry.final_ms = wall_ms;
            batch.final_jobs.push_back(id);
            batch.records.push_back({progress_key(id), to_text(saved), 0});
            batch.records.push_back({job_key(id), "", 0});
            for (int part = 1; part < entry.progress.parts(); ++part) {
                batch.records.push_back({progress_key(id, part), "", 0});
            }
            continue;
        }
        for (const int part : entry.progress.take_unsaved()) {
            batch.records.push_back(
                {progress_key(id, part), entry.progress.saved(part, max_progress_bytes()), 0});
        }
    }
    dirty_.clear();
    for (const std::string& key : obsolete_keys_) {
        batch.records.push_back({key, "", 0});
    }
    obsolete_keys_.clear();
    for (const std::string& id : workers_with_ends_) {
        const worker& w = workers_.at(id);
        batch.ends[id] = {w.highest_end_seen, w.reported_start_ms};
    }
    const std::int64_t kept_since = wall_ms - 2 * bounds_.status_kept.count();
    while (!retained_jobs_.empty() && retained_jobs_.begin()->first < kept_since) {
        batch.records.push_back({progress_key(retained_jobs_.begin()->second), "", 0});
        jobs_.erase(retained_jobs_.begin()->second);
        retained_jobs_.erase(retained_jobs_.begin());
    }
    batch_in_flight_ = !batch.empty();
    return batch;
}

void scheduler::on_batch_stored(const record_batch& batch)
{
    batch_in_flight_ = false;
    for (const std::string& id : batch.final_jobs) {
        const auto known = jobs_.find(id);
        if (known != jobs_.end()) {
            retain(id, known->second);
        }
    }
    for (const std::pair<const std::string, covered_end>& end : batch.ends) {
        worker* w = find_worker(end.first);
        if (w != nullptr && end.second.start_time_ms == w->reported_start_ms) {
            w->acknowledged_end = std::max(w->acknowledged_end, end.second.number);
            if (w->acknowledged_end == w->highest_end_seen) {
                workers_with_ends_.erase(end.first);
            }
        }
    }
}

void scheduler::on_batch_failed(const record_batch& batch)
{
    batch_in_flight_ = false;
    for (const keyed_record& r : batch.records) {
        const std::optional<progress_name> name = progress_name_from(r.key);
        const auto known = name ? jobs_.find(name->job) : jobs_.end();
        if (known != jobs_.end()) {
            known->second.progress.mark_unsaved(name->part);
            dirty_.insert(name->job);
        }
    }
}

} // namespace sesamesill::pool
