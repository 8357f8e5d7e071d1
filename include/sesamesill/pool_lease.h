// How long the runs of a worker that doesn't answer may go on: the end of its leases, and which
// order that end follows from.
//
// A worker measures leases on the clock of its process, and shortens longer ones to the platform's
// longest lease. A leader knows that clock by the answers of one process. If the process was
// restarted since, an expiry that was meant for it lies far ahead on the next one's clock.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "sesamesill/clock.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// Lowest rate of a worker's clock relative to the leader's that the platform guarantees.
constexpr double min_clock_rate = 0.98;

/// A leader sends orders for this long after its last stored record, which showed that its claim
/// was still the newest.
constexpr millis unconfirmed_order_limit{2500};

/// Returns the time by which a lease of `length` sent at `sent` has expired on the slowest clock.
constexpr time_point lease_end(time_point sent, millis length)
{
    constexpr millis rounding{50}; ///< covers the worker's timers and its rounding to milliseconds
    return sent +
           micros(static_cast<std::int64_t>(static_cast<double>(length.count()) * 1000 /
                                            min_clock_rate)) +
           rounding;
}

/// Returns the length of the leases that leaders grant.
constexpr millis granted_lease(const platform_bounds& bounds)
{
    constexpr millis preferred{5000};
    return std::min(preferred, bounds.max_lease);
}

/// What the end of a lease follows from.
enum class lease_origin : std::uint8_t {
    predecessors, ///< orders of earlier leaders to a worker that hasn't answered this one
    first_answer, ///< the same, before the worker answered this leader
    restart,      ///< orders to its previous process, before the present one answered
    poll,
    start
};

std::string_view name_of(lease_origin origin);

/// A time by which the runs of a worker have ended, and how it was worked out.
struct lease_bound {
    time_point end;
    lease_origin origin = lease_origin::predecessors;
    millis length{0}; ///< of the lease that was counted, from its sending or from the answer on
    /// Start time of the process by whose clock the lease was sent; 0 if no process is known to
    /// have that clock.
    std::int64_t process_start_ms = 0;
    std::optional<std::int64_t> until_ms; ///< expiry on that clock, if an order carried one
};

/// Returns the bound of a lease of `length` that may begin at `from`.
constexpr lease_bound bound_of(lease_origin origin, time_point from, millis length)
{
    lease_bound bound;
    bound.end = lease_end(from, length);
    bound.origin = origin;
    bound.length = length;
    return bound;
}

/// Returns the bound of all leases that were granted by leaders whose successor claimed the lead at
/// `claimed` or earlier. They may not have known the process that executed their last orders.
constexpr lease_bound predecessor_lease(time_point claimed, const platform_bounds& bounds)
{
    return bound_of(lease_origin::predecessors, claimed + unconfirmed_order_limit,
                    bounds.max_lease);
}

constexpr time_point predecessor_lease_end(time_point claimed, const platform_bounds& bounds)
{
    return predecessor_lease(claimed, bounds).end;
}

/// The ends of the leases that orders of this leader and of earlier ones may have granted.
struct worker_leases {
    lease_bound known;     ///< if the known process has executed all orders of this leader
    lease_bound restarted; ///< if the next process has executed those since its last report
};

/// Makes `bound` the later one of the two.
constexpr void extend(lease_bound& bound, const lease_bound& other)
{
    if (other.end > bound.end) {
        bound = other;
    }
}

} // namespace sesamesill::pool
