// Tracks failures of workers and of jobs, to tell a worker that fails jobs which succeed elsewhere
// from a job that fails on every worker.

#pragma once

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/worker.h"

namespace sesamesill {

enum class health_state : std::uint8_t {
    trusted,
    suspect,  ///< failed recently; gets few tasks at once
    out,      ///< gets no task until its next probe is due
    returning ///< gets one task at a time first, and twice as many after each success
};

std::string_view name_of(health_state s);

struct health_limits {
    double max_out_ratio = 0.2; ///< of the workers
    /// Time until the first probe of a worker that is out; doubles up to max_backoff.
    micros first_backoff = std::chrono::seconds(10);
    micros max_backoff = std::chrono::seconds(300);
};

/// Takes workers that fail out of service, and returns them step by step.
/// Invariant: a worker is taken out only while at most max_out_ratio of the workers are out with
/// it.
class health {
public:
    static constexpr std::int32_t unlimited = std::numeric_limits<std::int32_t>::max();

    explicit health(health_limits limits) : limits_(limits) {}

    void set_max_out_ratio(double ratio) { limits_.max_out_ratio = ratio; }
    void add(worker_id w);
    void remove(worker_id w);

    /// Handles the end of a task; returns whether the worker's state or limit changed.
    bool ended(worker_id w, std::uint64_t job, bool failed, time_point now);
    /// Returns the workers whose probe is due, and changes their state to `returning`.
    std::vector<worker_id> due(time_point now);

    health_state health_state_of(worker_id w) const { return workers_[w].now; }
    /// Returns how many tasks the worker may run at once: 0 for one that is out.
    std::int32_t limit(worker_id w) const;
    /// Returns whether the job failed on several workers (`workers_to_blame_job`) and succeeded on
    /// none.
    bool fails_everywhere(std::uint64_t job) const;
    /// Returns the number of workers that are out.
    std::size_t out() const { return out_; }

private:
    struct worker_record {
        health_state now = health_state::trusted;
        double evidence = 0.0;        ///< weighted failures; halved by each success
        std::int32_t start_limit = 1; ///< tasks at once while returning
        micros backoff{0};
        time_point probe_at;
        bool present = false;
    };

    struct job_record {
        std::int64_t successes = 0;
        std::vector<worker_id> failed_on; ///< distinct workers, at most `workers_to_blame_job`
        time_point last;                  ///< end of the job's last task
    };

    /// Returns how much a failure of the job counts against a worker.
    double evidence_weight(const job_record& job) const;
    /// Takes the worker out, or limits it to one task at a time if too many workers are out
    /// already.
    bool eject(worker_record& w, time_point now);
    bool succeeded(worker_record& w);
    bool failed(worker_record& w, double weight, time_point now);
    void forget_old_jobs(time_point now);

    health_limits limits_;
    std::vector<worker_record> workers_;
    std::unordered_map<std::uint64_t, job_record> jobs_;
    std::size_t present_ = 0;
    std::size_t out_ = 0;
};

} // namespace sesamesill
