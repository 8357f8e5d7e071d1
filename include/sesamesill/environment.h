// The environment document: organisations, classes of work, services, their policies and limits.
// It is parsed from INI, checked as a whole and not changed afterwards.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/resources.h"
#include "sesamesill/work.h"

namespace sesamesill {

/// Priority of work in ascending order: urgent work is scheduled before all other work.
enum class priority_band : std::uint8_t { background, normal, high, urgent };

struct organisation_policy {
    std::string name;
    double weight = 1.0; ///< share relative to the other organisations, above 0
    resources quota;     ///< hard limit on the resources of work that runs at the same time
    double rate = 0.0;   ///< calls per second over all entries, 0 for no limit
};

struct class_policy {
    std::string name;
    work_kind kind = work_kind::call;
    std::string service; ///< service whose executors run the calls; only for calls
    priority_band priority = priority_band::normal;
    bool idempotent = true;         ///< default for requests that do not specify it
    millis deadline{0};             ///< time from arrival to placement or to the answer
    std::int64_t queue_limit = 0;   ///< most requests that wait at the same time, over all entries
    std::int64_t max_tasks = 0;     ///< most tasks in one job
    std::int32_t max_attempts = 1;  ///< including the first attempt
    bool may_preempt = false;       ///< may preempt work of lower priority bands
    bool preemptible = false;       ///< may be checkpointed or stopped to make room for other work
    std::int64_t min_available = 0; ///< services: tasks that keep running during an update
    std::int64_t max_per_rack = 0;  ///< services: most tasks in one rack, 0 for no limit
    double rate = 0.0;              ///< requests per second over all entries, 0 for no limit
    std::map<std::string, std::string> required_attributes;
};

struct placement_policy {
    double waiting_weight = 0.5; ///< weight of waiting time, 0 to 1; packing gets the rest
    double size_margin = 0.1;    ///< reserved above the learnt peak usage, as a ratio of it
    double max_out_ratio = 0.2;  ///< largest share of the cell that may be taken out as unhealthy
    millis ageing{60000};        ///< waiting time that counts as much as one priority band
    millis reservation{30000};   ///< longest time that room is reserved for a gang job
};

struct retry_policy {
    double budget_ratio = 0.1; ///< retries per first attempt
    millis base_backoff{20};
    millis max_backoff{1000};
};

struct leaving_policy {
    millis drain_limit{30000}; ///< longest wait for work in flight during a planned stop
};

/// The expected size and network of the cell. Used to reject documents that cannot work in it.
struct cell_policy {
    resources size;          ///< capacity of all workers together; 0 in a dimension means unknown
    resources worker_size;   ///< capacity of the largest worker; 0 in a dimension means unknown
    millis network_delay{1}; ///< one way, from a caller to an endpoint
};

/// Timeouts of a call to an executor of the service.
struct service_policy {
    std::string name;
    millis connect_timeout{200};
    millis first_byte_timeout{0}; ///< 0 if only the deadline applies
};

/// A parsed environment document.
/// Invariant: names are unique, each class of calls names a known service, quotas of cores and
/// memory are positive.
struct environment {
    std::string name;
    std::map<std::string, organisation_policy> organisations;
    std::map<std::string, class_policy> classes;
    std::map<std::string, service_policy> services;
    cell_policy cell;
    placement_policy placement;
    retry_policy retry;
    leaving_policy leaving;
    std::string text;   ///< the bytes it was parsed from
    std::string digest; ///< XXH3-128 of the bytes, in hex
};

/// One error in a document or settings file.
struct fault {
    int line = 0; ///< 0 if the error belongs to no line
    std::string section;
    std::string key;
    std::string reason;
    std::string nearest; ///< known name with a similar spelling, empty for none
};

/// Returns the error as text, such as
/// "line 12: [organisation a] wieght: unknown key, did you mean weight?".
std::string to_string(const fault& f);

/// Returns the document, or nothing and all errors found.
std::optional<environment> parse_environment(std::string_view text, std::vector<fault>& faults);

/// One entry that differs between two documents. An empty `before` or `after` means that the entry
/// is absent.
struct environment_change {
    std::string section;
    std::string key;
    std::string before;
    std::string after;
};

/// Returns the entries of `before` that must change to get `after`, sorted by section and key.
std::vector<environment_change> diff_environments(std::string_view before, std::string_view after);

/// Returns the digest of a document's bytes.
std::string digest_of(std::string_view text);

std::string_view name_of(priority_band band);
std::optional<priority_band> priority_band_from(std::string_view name);

} // namespace sesamesill
