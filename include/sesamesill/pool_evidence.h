// What shows that a run isn't at work. A task starts again only on such evidence.

#pragma once

#include <cstdint>
#include <string_view>

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

} // namespace sesamesill::pool
