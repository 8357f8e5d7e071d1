// The workers that leaders may have given tasks to, as the log names them. A leader gives a worker
// no task before a record that names it is stored, and a claim is appended only to a log that was
// read to its end. So each leader knows all workers that its predecessors may have used, whatever
// it has read of the workers' directory: an entry may come and expire between two reads.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/http.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// How to reach a worker. Nothing more of it is stored: a worker that a leader knows from the log
/// alone gets no new tasks.
struct named_worker {
    std::string machine;
    endpoint address;
    /// Unix time at which the worker's process started when it was named. It may have started again
    /// since, at the same address.
    std::int64_t start_time_ms = 0;
};

/// Returns whether both are asked for their runs in the same way.
bool is_same_worker(const named_worker& a, const named_worker& b);

/// Returns what the log says of the worker with this entry.
named_worker named_worker_of(const worker_entry& entry);
std::string encode(const named_worker& worker);
/// Returns the worker, or nothing if the record's value is unreadable.
std::optional<named_worker> named_worker_from(const std::string& value);

/// Decides which records name workers or remove their names. Invariant: a worker counts as named
/// only while the newest record of its key, stored or on its way, names it.
class worker_roster {
public:
    /// Notes a record of the log that earlier leaders stored.
    void restore(const std::string& id, const named_worker& worker) { stored_[id] = worker; }
    /// Asks for a record that names the worker, unless it's named already.
    void add(const std::string& id, const named_worker& worker);
    /// Asks for the removal of the worker's name. None of its runs may be at work.
    void remove(const std::string& id);
    /// Returns whether a stored record names the worker at this address.
    bool names(const std::string& id, const named_worker& worker) const;

    /// Returns the records to store next; none while earlier ones are on their way.
    std::vector<keyed_record> take_records();
    /// Handles the outcome of the records that were taken last. Those that may not be stored are
    /// taken again.
    void on_written(bool stored);

private:
    /// The next value of a worker's record; nothing removes it.
    using changes = std::map<std::string, std::optional<named_worker>>;

    std::map<std::string, named_worker> stored_;
    changes waiting_;
    changes in_flight_;
};

} // namespace sesamesill::pool
