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
        if (is_final(entry.progress.state())) {
            entry.final_ms = wall_ms;
            batch.final_jobs.push_back(id);
            batch.records.push_back(
                {progress_key(id),
                 encode(ended_job_of(entry.progress.spec(), entry.progress.state(), wall_ms)), 0});
            batch.records.push_back({job_key(id), "", 0});
            for (const int part : entry.progress.stored_parts()) {
                if (part > 0) {
                    batch.records.push_back({progress_key(id, part), "", 0});
                }
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
        batch.ends[id] = {w.process.highest_end_seen, w.process.start_time_ms};
    }
    for (const std::string& id : cancellations_.take_expired(wall_ms)) {
        batch.records.push_back({cancellation_key(id), "", 0});
    }
    constexpr millis clock_margin{30000}; ///< between the clocks of two leaders
    const millis kept = bounds_.status_kept + clock_margin;
    for (const std::string& id : ended_jobs_.take_before(wall_ms - kept.count())) {
        batch.records.push_back({progress_key(id), "", 0});
    }
    batch_in_flight_ = !batch.empty();
    return batch;
}

void scheduler::on_batch_stored(const record_batch& batch)
{
    batch_in_flight_ = false;
    for (const std::string& id : batch.final_jobs) {
        const auto known = jobs_.find(id);
        if (known == jobs_.end()) {
            continue;
        }
        const job_progress& job = known->second.progress;
        ended_jobs_.add(id, ended_job_of(job.spec(), job.state(), known->second.final_ms));
        jobs_.erase(known);
    }
    for (const std::pair<const std::string, covered_end>& end : batch.ends) {
        worker* w = find_worker(end.first);
        if (w != nullptr && end.second.start_time_ms == w->process.start_time_ms) {
            w->process.acknowledged_end = std::max(w->process.acknowledged_end, end.second.number);
            if (w->process.acknowledged_end == w->process.highest_end_seen) {
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
        else if (r.value.empty()) {
            obsolete_keys_.push_back(r.key);
        }
    }
}

} // namespace sesamesill::pool
