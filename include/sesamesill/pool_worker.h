// One incarnation of a worker as the leader knows it: its room, its clock, its lease, the runs that
// take room on it, and how far its ends are recorded.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class run_phase : std::uint8_t {
    starting, ///< ordered, no answer
    running,
    stopping,         ///< a stop is under way
    stop_acknowledged ///< a stop was obeyed: the run has ended, or will never begin
};

/// A run that takes room, from its order until its end is listed.
struct run_record {
    task_id task;
    std::int64_t run = 0;
    resources allocated;
    run_phase phase = run_phase::starting;
    bool adopted = false; ///< begun under an earlier leader: how long ago isn't known
    time_point ordered_at;
    std::optional<time_point> confirmed_at; ///< when its worker was first known to run it
    time_point stop_acknowledged_at;        ///< while `stop_acknowledged`
    std::int64_t until_ms = 0;              ///< expiry of the start, on the worker's clock
    int percent = -1;                       ///< of its work, when last compared; -1 if never
    std::int64_t percent_clock_ms = 0;      ///< when that was, on the worker's clock
};

/// Recent failures of a worker. Runs that fail on workers where others succeed are the job's fault;
/// a worker on which run after run fails is avoided, then tried with one run at a time.
struct worker_health {
    int failures_in_row = 0;     ///< of different jobs
    std::string last_failed_job; ///< a job that fails again and again counts once
    time_point avoid_until;
    int avoidance_count = 0; ///< times in a row; lengthens the next avoidance
};

/// How far the runs that a look lists have advanced since the look before, added up.
struct progress_sample {
    double expected = 0; ///< percent
    double advanced = 0; ///< percent
    millis elapsed{0};   ///< the look before
    int runs = 0;
};

/// The views of about the last second; older ones fade.
struct progress_rate {
    double expected = 0;
    double advanced = 0;
    int runs = 0; ///< of the last view that told something
};

/// Invariant: `allocated` is the sum over `runs`.
struct worker {
    worker_entry entry;
    bool listed = true;
    bool heard = false;                ///< it has answered this leader: its runs are known
    bool lost = false;                 ///< its lease has surely run out, or its process is gone
    bool visible_to_successor = false; ///< the leader has written since it read of this worker
    time_point listed_at;              ///< when it read of it
    std::map<std::pair<std::string, std::int64_t>, run_record> runs; ///< by task and run number
    resources allocated;
    std::int64_t reported_start_ms =
        0; ///< start of the process that numbers the ends, by its reports
    std::uint64_t highest_end_seen = 0; ///< highest end number seen
    std::uint64_t acknowledged_end = 0; ///< ends up to this number are recorded
    std::optional<std::int64_t> clock_ms;
    time_point clock_read_at; ///< when `clock_ms` was taken
    time_point lease_sent;    ///< when the last order that carries a lease was sent
    time_point last_answer;
    time_point lease_expires_at; ///< no run of it lives beyond this
    worker_health health;
    progress_rate rate;

    /// Returns the worker's clock, estimated low.
    std::int64_t clock_at(time_point now) const
    {
        return clock_ms.value_or(0) + to_millis(now - clock_read_at);
    }
    resources room() const { return entry.capacity - allocated; }
    /// Returns whether it has answered so lately that its lease may be renewed.
    bool is_responsive(time_point now) const { return now - last_answer < max_silence; }
    bool is_schedulable(time_point now) const
    {
        return listed && heard && visible_to_successor && !lost && !entry.draining &&
               is_responsive(now) && now >= health.avoid_until;
    }

    /// A lease isn't renewed unheard, or a silent worker's runs would never be known to be over.
    /// Above the longest wait of a look and its time-out.
    static constexpr millis max_silence{2000};
};

/// How long a start may be on its way; later it is refused as expired, so a delayed one does
/// nothing.
constexpr millis start_validity{1500};

/// A worker's clock may run this much slow against ours; from the platform's contract.
constexpr double min_clock_rate = 0.98;

/// Returns when a lease of `length` sent at `sent` has surely run out.
constexpr time_point lease_end(time_point sent, millis length)
{
    constexpr millis rounding{50}; ///< whole milliseconds and timers of the worker
    return sent +
           micros(static_cast<std::int64_t>(static_cast<double>(length.count()) * 1000 /
                                            min_clock_rate)) +
           rounding;
}

void add_run(worker& w, run_record run);
/// Forgets the run and gives its room back; returns whether it was known.
bool remove_run(worker& w, const std::string& task, std::int64_t run);

/// Takes in what a look shows.
void add_sample(progress_rate& rate, const progress_sample& sample);
/// Returns whether the runs stand still, or several of them crawl, against `pool_speed`, the speed
/// of all workers. One alone may be longer than its client thought.
bool is_slow(const progress_rate& rate, double pool_speed);
/// Returns how fast runs advance; 1 is as expected.
double relative_speed(const progress_rate& rate);

/// Keeps new runs away for a while, longer each time in a row.
void start_avoidance(worker_health& health, time_point now);
/// Judges the worker by the end of one run.
void update_health(worker_health& health, const std::string& job, bool failed, time_point now);

} // namespace sesamesill::pool
