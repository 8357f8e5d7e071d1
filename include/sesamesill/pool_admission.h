// Decides whether a new job can still be served in time, from the queue and the rate of starts.
//
// Load: several times more work than the pool, or its leader, can start. Without a limit the queue
// grows by jobs that end too late to be of use, and each of them costs the others.

#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill::pool {

/// Counts starts in slices of one second. The pool's rate is the highest of the last seconds, as
/// starts also stop while the store is away, which says nothing about the pool.
class start_rate {
public:
    void add(std::uint64_t starts, time_point now);
    /// Returns starts a second, or 0 if less than `min_observed` has been observed.
    double highest(time_point now) const;

    static constexpr millis min_observed{3000};

private:
    static constexpr std::size_t slices = 10;

    void advance(time_point now);

    std::array<std::uint64_t, slices> counts_{}; ///< the current second's count is at `current_`
    std::size_t current_ = 0;
    time_point slice_began_;
    time_point since_; ///< of the first start
};

/// What the admission of a job depends on.
struct backlog {
    double waiting_tasks = 0;     ///< that start before the job's
    double starts_per_second = 0; ///< 0 if it isn't known
    double objective_ms = 0;      ///< within which the job should end
};

/// Returns the expected wait for the job's first start; 0 if it isn't known.
millis expected_wait(const backlog& b);

/// Returns whether the job isn't expected to start within its objective. A longer queue serves no
/// more clients in time: jobs in time are placed before those that have become late.
bool starts_too_late(const backlog& b);

/// Returns when a client may retry that was refused because the store or the leader is away for an
/// unknown time. Load: an outage of several seconds, and clients that retry four times. A job that
/// may wait comes back over most of its objective, an urgent one soon. `spread` (0 to 1) keeps
/// clients from returning at once.
millis retry_after_outage(double objective_ms, double spread);

/// Returns when a client may retry whose job doesn't fit into the memory for accepted work. Load:
/// tasks at work end within seconds, and records of ended jobs are dropped all the time.
millis retry_after_shortage(double spread);

/// Returns a number from 0 to 1 that differs between jobs.
double spread_of(const std::string& job_id);

/// Returns when a client whose job was refused may retry: when the queue has been worked off,
/// spread by `spread` (0 to 1) over another half of that time, so that clients don't all return at
/// once.
millis retry_after(const backlog& b, double spread);

} // namespace sesamesill::pool
