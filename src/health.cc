// Weighs a failure on a worker by what is known of the job: it counts fully if the job succeeded
// before, half if little is known, and not at all if the job fails everywhere.

#include "sesamesill/health.h"

#include <algorithm>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

/// Weighted failures that take a worker out.
constexpr double evidence_for_out = 2.0;
constexpr double evidence_of_succeeding_job = 1.0;
constexpr double evidence_of_new_job = 0.5;
/// Number of workers on which a job fails, without a success, before the job is held responsible.
constexpr std::size_t workers_to_blame_job = 3;
/// Tasks that a suspect worker runs at once.
constexpr std::int32_t suspect_limit = 2;
/// Limit at which a returning worker becomes trusted again.
constexpr std::int32_t trusted_start_limit = 16;
/// Number of job records that triggers the removal of old ones.
constexpr std::size_t max_job_records = 100000;
/// Time after a job's last end when its record may be removed.
constexpr micros job_record_lifetime = std::chrono::minutes(10);

constexpr name_table<health_state, 4> health_state_names{{{health_state::trusted, "trusted"},
                                                          {health_state::suspect, "suspect"},
                                                          {health_state::out, "out"},
                                                          {health_state::returning, "returning"}}};

} // namespace

std::string_view name_of(health_state s)
{
    return name_in(health_state_names, s);
}

void health::add(worker_id w)
{
    if (w >= workers_.size()) {
        workers_.resize(static_cast<std::size_t>(w) + 1);
    }
    if (!workers_[w].present) {
        workers_[w] = worker_record{};
        workers_[w].present = true;
        ++present_;
    }
}

void health::remove(worker_id w)
{
    if (w < workers_.size() && workers_[w].present) {
        out_ -= workers_[w].now == health_state::out ? 1 : 0;
        workers_[w] = worker_record{};
        --present_;
    }
}

std::int32_t health::limit(worker_id w) const
{
    const worker_record& r = workers_[w];
    switch (r.now) {
    case health_state::trusted:
        return unlimited;
    case health_state::suspect:
        return suspect_limit;
    case health_state::returning:
        return r.start_limit;
    case health_state::out:
        break;
    }
    return 0;
}

bool health::fails_everywhere(std::uint64_t job) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && found->second.successes == 0 &&
           found->second.failed_on.size() >= workers_to_blame_job;
}

double health::evidence_weight(const job_record& job) const
{
    if (job.successes > 0) {
        return evidence_of_succeeding_job;
    }
    return job.failed_on.size() < workers_to_blame_job ? evidence_of_new_job : 0.0;
}

bool health::ended(worker_id w, std::uint64_t job, bool has_failed, time_point now)
{
    forget_old_jobs(now);
    job_record& j = jobs_[job];
    j.last = now;
    if (!has_failed) {
        ++j.successes;
        return succeeded(workers_[w]);
    }
    const bool known = std::find(j.failed_on.begin(), j.failed_on.end(), w) != j.failed_on.end();
    if (!known && j.failed_on.size() < workers_to_blame_job) {
        j.failed_on.push_back(w);
    }
    return failed(workers_[w], evidence_weight(j), now);
}

bool health::succeeded(worker_record& w)
{
    const health_state before = w.now;
    const std::int32_t start_limit = w.start_limit;
    w.evidence /= 2;
    if (w.now == health_state::returning) {
        w.start_limit *= 2;
        if (w.start_limit >= trusted_start_limit) {
            w.now = health_state::trusted;
            w.backoff = micros{0};
        }
    }
    else if (w.now == health_state::suspect && w.evidence < evidence_of_new_job) {
        w.now = health_state::trusted;
    }
    return w.now != before || w.start_limit != start_limit;
}

bool health::failed(worker_record& w, double weight, time_point now)
{
    if (weight <= 0.0 || w.now == health_state::out) {
        return false;
    }
    w.evidence += weight;
    if (w.now == health_state::returning || w.evidence >= evidence_for_out) {
        return eject(w, now);
    }
    const bool changed = w.now != health_state::suspect;
    w.now = health_state::suspect;
    return changed;
}

bool health::eject(worker_record& w, time_point now)
{
    const double max_out = limits_.max_out_ratio * static_cast<double>(present_);
    if (static_cast<double>(out_ + 1) > max_out) {
        const bool changed = w.now != health_state::returning || w.start_limit != 1;
        w.now = health_state::returning;
        w.start_limit = 1;
        return changed;
    }
    w.backoff = std::min(limits_.max_backoff,
                         w.backoff > micros{0} ? w.backoff * 2 : limits_.first_backoff);
    w.probe_at = now + w.backoff;
    w.now = health_state::out;
    ++out_;
    return true;
}

std::vector<worker_id> health::due(time_point now)
{
    std::vector<worker_id> result;
    for (worker_id w = 0; out_ > 0 && w < workers_.size(); ++w) {
        worker_record& r = workers_[w];
        if (r.now == health_state::out && r.probe_at <= now) {
            r.now = health_state::returning;
            r.start_limit = 1;
            r.evidence = 0.0;
            --out_;
            result.push_back(w);
        }
    }
    return result;
}

void health::forget_old_jobs(time_point now)
{
    if (jobs_.size() < max_job_records) {
        return;
    }
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        it = it->second.last + job_record_lifetime < now ? jobs_.erase(it) : std::next(it);
    }
    if (jobs_.size() >= max_job_records) {
        jobs_.clear();
    }
}

} // namespace sesamesill
