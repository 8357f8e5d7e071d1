// The leader's state of one incarnation of a worker: free capacity, clock, lease, the runs that
// have capacity allocated, and which of its ended runs are recorded.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_lease.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// A scheduler's dense index of a worker. A worker that returns under its id has its old number.
using worker_number = std::uint32_t;

enum class run_phase : std::uint8_t {
    starting, ///< the start was sent and isn't answered yet
    running,
    stopping,         ///< a stop was sent and isn't answered yet
    stop_acknowledged ///< the worker has accepted the stop: the run has ended or will never begin
};

/// A run that has capacity allocated, from its start order until the worker lists its end.
struct run_record {
    task_id task;
    std::int64_t run = 0;
    resources allocated;
    run_phase phase = run_phase::starting;
    bool adopted = false;    ///< started by an earlier leader, so its start time isn't known
    int sends = 0;           ///< how often the start was sent
    int sends_in_flight = 0; ///< those without an answer or a timeout
    std::uint64_t fence = 0; ///< highest one of its sends; 0 for those of earlier leaders
    time_point ordered_at;
    std::optional<time_point> confirmed_at; ///< first time that the worker reported the run
    bool reported = false; ///< by the worker's process `process_start_ms`, in its list of runs
    time_point stop_acknowledged_at; ///< valid in phase `stop_acknowledged`
    /// Latest expiry of its sends, on the clock of the process `process_start_ms`; nothing if an
    /// earlier send has its expiry by the clock of another process.
    std::optional<std::int64_t> until_ms;
    /// Start time of the worker's process that was the known one when it was last ordered or
    /// reported.
    std::int64_t process_start_ms = 0;
    int percent = -1;                  ///< last compared progress of its work; -1 if never compared
    std::int64_t percent_clock_ms = 0; ///< time of that comparison, on the worker's clock
};

/// Recent failures of a worker. A job is at fault if its runs fail on workers where other runs
/// succeed. A worker on which runs of several jobs fail in a row gets no new runs for a while;
/// after that, one more failure is enough to avoid it again.
struct worker_health {
    int failures_in_row = 0;     ///< failed runs of different jobs in a row
    std::string last_failed_job; ///< repeated failures of one job count once
    time_point avoid_until;
    int avoidance_count = 0; ///< avoidances in a row; each one lengthens the next
};

/// Sum of the progress of all runs that a poll lists, since the previous poll.
struct progress_sample {
    double expected = 0; ///< percent of a run's work, from the estimates
    double advanced = 0; ///< percent of a run's work, as reported
    millis elapsed{0};   ///< longest time between two compared reports of a run
    int runs = 0;        ///< compared runs
};

/// Exponentially decaying sums of the samples; the decay time is about one second.
struct progress_rate {
    double expected = 0; ///< percent
    double advanced = 0; ///< percent
    int runs = 0;        ///< compared runs of the last sample that had any
};

/// What is known of one process of a worker, by its own answers. Nothing of it is known of the next
/// one.
struct known_process {
    std::int64_t start_time_ms = 0; ///< Unix time, from its reports; 0 before the first answer
    time_point known_since;         ///< when its first answer arrived
    std::optional<std::int64_t> clock_ms; ///< its steady clock, as last reported
    time_point clock_read_at;             ///< when `clock_ms` was received
    std::uint64_t highest_end_seen = 0;   ///< highest number of a handled end
    std::uint64_t acknowledged_end = 0;   ///< highest number up to which all ends are recorded
    std::uint64_t dropped_end = 0; ///< highest number that a poll with an answer acknowledged
    worker_health health;
    progress_rate rate;
};

/// Members remember a worker for this long after its directory entry was removed, so that a new
/// leader asks it for its runs. Longer than `unlisted_renewal`, two polls and the longest lease.
constexpr millis removed_worker_retention{10500};
/// The lease of a worker without an entry is renewed for this long after the removal. It ends
/// before members forget the worker, also if a process that isn't known has executed the last poll.
constexpr millis unlisted_renewal{2500};

/// One incarnation of a worker. Invariant: `allocated` is the sum of `allocated` over `runs`.
struct worker {
    worker_entry entry;       ///< tells of the process that it names, not of a later one
    time_point entry_read_at; ///< when `entry` was learned
    /// Whether a later process than the one that `entry` names has answered.
    bool entry_outlived = false;
    worker_number number = 0;
    bool listed = true;                       ///< whether the platform's directory has its entry
    std::optional<time_point> unlisted_since; ///< first poll since its entry was removed
    bool heard = false; ///< whether it has answered this leader, so that its runs are known
    /// Fence of the orders to it: the leader's, or a later offset of the leader's records. It rises
    /// when the worker's process may have been replaced, as the next one has seen no fence.
    std::uint64_t fence = 0;
    bool fence_used = false;     ///< a poll or a start with `fence` was sent
    bool fence_outdated = false; ///< it should have risen, but no record was stored since it did
    /// Whether the first poll with `fence` was answered. Invariant: the process that answered
    /// executes no earlier order any more.
    bool fence_confirmed = false;
    /// While it drains: it doesn't leave before this, by its own word. Long past if that isn't
    /// known.
    time_point leaves_after;
    bool lost = false; ///< whether its lease has certainly expired or its process is gone
    /// Whether a stored record names it, so that a successor asks it for its runs.
    bool named = false;
    std::map<std::pair<std::string, std::int64_t>, run_record> runs; ///< by task and run number
    resources allocated;
    known_process process; ///< the one that answered last
    /// Whether nothing since its latest answer tells that `process` may have been replaced.
    /// Invariant: otherwise no run starts and no poll acknowledges ends, as another process may be
    /// of another kind and numbers its ends anew.
    bool process_known = false;
    time_point last_answer;
    worker_leases leases;
    worker_leases leases_before_poll;          ///< `leases` without the last poll
    std::optional<std::int64_t> poll_until_ms; ///< lease that the last poll carried

    /// Returns a lower estimate of the worker's clock, which may be slow: the report's time in
    /// transit isn't added.
    std::int64_t clock_at(time_point now) const
    {
        const double age_ms = static_cast<double>(to_millis(now - process.clock_read_at));
        return process.clock_ms.value_or(0) + static_cast<std::int64_t>(age_ms * min_clock_rate);
    }
    /// Returns whether its lease may be renewed as far as its directory entry is concerned.
    bool is_lease_renewable(time_point now) const
    {
        return listed || !unlisted_since || now - *unlisted_since <= unlisted_renewal;
    }
    /// Returns the number up to which the next poll acknowledges ends; 0 for none.
    std::uint64_t end_to_acknowledge() const
    {
        const bool is_news = process.acknowledged_end > process.dropped_end;
        return process_known && is_news ? process.acknowledged_end : 0;
    }
    /// Returns the bound of all its runs: they have ended by then, unless the lease is renewed. A
    /// run that the known process hasn't reported may be at work at a process that isn't known, and
    /// so may one with another send, which has no answer.
    const lease_bound& last_lease() const
    {
        const bool all_reported = std::all_of(runs.begin(), runs.end(), [](const auto& r) {
            return r.second.reported && r.second.sends <= 1;
        });
        return all_reported || leases.known.end > leases.restarted.end ? leases.known
                                                                       : leases.restarted;
    }
    /// Returns the capacity that no run has allocated.
    resources room() const { return entry.capacity - allocated; }
    /// Returns whether its last answer is recent enough for a renewal of its lease.
    bool is_responsive(time_point now) const { return now - last_answer < max_silence; }
    process_id id() const { return {entry.id, process.start_time_ms}; }
    /// Returns whether the entry tells of the process that answers.
    bool is_described() const
    {
        return process_known && !entry_outlived && entry.start_time_ms == process.start_time_ms;
    }
    /// Returns whether the process has announced that it leaves.
    bool is_draining() const { return entry.draining && !entry_outlived; }
    /// Returns the Unix time at which the latest known process started.
    std::int64_t latest_start_ms() const
    {
        return entry_outlived ? process.start_time_ms : entry.start_time_ms;
    }
    /// Returns whether new runs may start on the worker.
    bool is_schedulable(time_point now) const
    {
        return listed && heard && !fence_outdated && named && !lost && is_described() &&
               !entry.draining && is_responsive(now) && now >= process.health.avoid_until;
    }

    /// Time without an answer after which the lease isn't renewed. If it were renewed, the runs of
    /// a silent worker would never be known to have ended. Longer than the longest wait of a poll
    /// plus its timeout.
    static constexpr millis max_silence{2000};
};

/// Validity of a start order after it was sent. A worker refuses an expired order, so a delayed one
/// has no effect.
constexpr millis start_validity{1500};

/// Adds the run and allocates its capacity.
void add_run(worker& w, run_record run);
/// Removes the run and frees its capacity; returns whether it was known.
bool remove_run(worker& w, const std::string& task, std::int64_t run);

/// Decays `rate` by the sample's elapsed time and adds the sample. A sample without runs is
/// ignored.
void add_sample(progress_rate& rate, const progress_sample& sample);
/// Returns whether the runs make no progress, or several of them make little, compared with
/// `pool_speed`, the speed of all workers. Little progress of a single run isn't enough: it may be
/// longer than its client estimated.
bool is_slow(const progress_rate& rate, double pool_speed);
/// Returns the progress of the runs relative to the expected progress; 1 means as expected.
double relative_speed(const progress_rate& rate);

/// Excludes the worker from new runs for a while that grows with each avoidance in a row.
void start_avoidance(worker_health& health, time_point now);
/// Updates the worker's health by the outcome of one run.
void update_health(worker_health& health, const std::string& job, bool failed, time_point now);

} // namespace sesamesill::pool
