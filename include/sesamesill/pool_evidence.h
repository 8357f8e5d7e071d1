// What shows that a run isn't at work: who said it, when it was asked, and whether it is complete.
// The scheduler builds a run_evidence of each answer, report or expiry; whether that releases a run
// is judged here.

#pragma once

#include <cstdint>
#include <string_view>

#include "sesamesill/clock.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

/// Where the news of a run, or of all runs on a worker, comes from. Silence and connections that
/// fail are no evidence: a worker that is cut off runs on until its lease expires.
enum class evidence_source : std::uint8_t {
    start_refusal,     ///< the worker refused the run's start, or the start was never sent
    report,            ///< the worker has listed its runs
    other_incarnation, ///< another incarnation answers at its address
    newer_incarnation, ///< the directory has a newer incarnation on its machine
    left_as_announced, ///< it drained, its entry was removed, and nothing listens at its address
    lease_expired,     ///< all leases that it may have been granted have expired
    complete_directory ///< a read of the directory that shows every live worker
};

std::string_view name_of(evidence_source source);

struct run_evidence {
    evidence_source source = evidence_source::report;
    time_point asked;                  ///< when the question was sent; nothing later is covered
    std::int64_t process_start_ms = 0; ///< of the worker's process that answered; 0 if none did
    std::int64_t clock_ms = 0;         ///< of that process
    /// The process executes no order with a lower fence any more; 0 if that isn't known.
    std::uint64_t fence = 0;
    /// False for the refusal of a repeated start, as an earlier send may have been executed, for a
    /// report that lacks later ends, and for an answer at an address that the worker has left.
    bool complete = true;
};

enum class run_fate : std::uint8_t {
    may_run,   ///< the evidence doesn't exclude that the run is at work
    may_begin, ///< it isn't known to be at work, but a send without an answer may still begin it
    over       ///< it isn't at work and won't be
};

/// Judges a run that the evidence doesn't name as running or ended.
run_fate fate_of(const run_record& run, const run_evidence& evidence);

/// Returns whether the evidence shows that the worker's process has ended or its leases have
/// expired.
bool shows_worker_gone(const worker& w, const run_evidence& evidence);

/// Returns whether the evidence shows all runs that earlier leaders started on the worker.
bool shows_all_runs(const run_evidence& evidence);

} // namespace sesamesill::pool
