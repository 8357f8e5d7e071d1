// Cancellations of jobs that weren't known when their clients cancelled them. The submit of such a
// job may still be on its way, at a member that stands still for example, so an acknowledged
// cancellation is stored and refuses the job at this leader and at later ones.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/pool_memory.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class cancellation_state : std::uint8_t {
    stored,  ///< each later leader knows it: the client may be told
    storing, ///< its record is on its way
    added,   ///< its record must be stored
    no_room  ///< too many are remembered
};

/// Returns the record of a cancellation at Unix time `wall_ms`.
keyed_record cancellation_record(const std::string& job, std::int64_t wall_ms);

/// Remembers cancellations for a time after them. Invariant: `by_time_` has the elements of
/// `known_`.
class cancellations {
public:
    cancellations(memory_account& account, millis kept) : charge_(account), kept_(kept) {}

    /// Remembers a cancellation from now on, before its record is stored. At most `max_bytes` are
    /// spent on all of them.
    cancellation_state add(const std::string& job, std::int64_t wall_ms, std::size_t max_bytes);
    /// Restores a cancellation from its record. One that is unreadable counts as of `wall_ms`.
    void restore(const std::string& job, const std::string& value, std::int64_t wall_ms);
    /// Handles the outcome of a record. A cancellation that isn't stored is forgotten.
    void on_written(const std::string& job, bool stored);
    /// Returns how long a submit of the job is refused, or nothing if it isn't cancelled.
    std::optional<millis> refused_for(const std::string& job, std::int64_t wall_ms) const;
    /// Forgets the cancellations that are older than the time for which they are kept, and returns
    /// their jobs.
    std::vector<std::string> take_expired(std::int64_t wall_ms);
    std::size_t size() const { return known_.size(); }

private:
    struct cancellation {
        std::int64_t wall_ms = 0; ///< Unix time
        bool stored = false;
    };

    void insert(const std::string& job, const cancellation& c);
    void erase(const std::string& job);

    std::map<std::string, cancellation> known_; ///< by job
    std::set<std::pair<std::int64_t, std::string>> by_time_;
    memory_charge charge_;
    millis kept_;
};

} // namespace sesamesill::pool
