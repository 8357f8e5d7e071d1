// Judges workers and jobs apart: a worker that fails what succeeds elsewhere, a job that fails
// everywhere.

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
    suspect,  ///< failed lately; gets few tasks at once
    out,      ///< gets nothing until its next probe is due
    returning ///< gets one task at once, and twice as many after each success
};

std::string_view name_of(health_state s);

struct health_limits {
    double max_out_ratio = 0.2;
    micros first_backoff = std::chrono::seconds(10);
    micros max_backoff = std::chrono::seconds(300);
};

/// Invariant: at most max_out_ratio of the workers are out at once.
class health {
public:
    static constexpr std::int32_t unlimited = std::numeric_limits<std::int32_t>::max();

    explicit health(health_limits limits) : limits_(limits) {}

    void set_max_out_ratio(double ratio) { limits_.max_out_ratio = ratio; }
    void add(worker_id w);
    void remove(worker_id w);

    /// Takes the end of a task; returns whether the worker's standing or limit changed.
    bool ended(worker_id w, std::uint64_t job, bool failed, time_point now);
    /// Returns the workers whose probe is due; they are returning from now on.
    std::vector<worker_id> due(time_point now);

    health_state health_state_of(worker_id w) const { return workers_[w].now; }
    /// Returns how many tasks it may be given at once: 0 for one that is out.
    std::int32_t limit(worker_id w) const;
    /// Returns whether the job failed on several workers and succeeded on none.
    bool fails_everywhere(std::uint64_t job) const;
    std::size_t out() const { return out_; }

private:
    struct worker_record {
        health_state now = health_state::trusted;
        double evidence = 0.0; ///< failures since the last success, by weight
        std::int32_t start_limit = 1;
        micros backoff{0};
        time_point probe_at;
        bool present = false;
    };

    struct job_record {
        std::int64_t successes = 0;
        std::vector<worker_id> failed_on; ///< distinct, a few at most
        time_point last;
    };

    double evidence_weight(const job_record& job) const;
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
