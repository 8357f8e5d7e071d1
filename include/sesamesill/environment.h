// The environment document: what runs, under which policy and with what limits.
// Parsed from INI, checked as a whole, immutable once built.

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

/// Strictness grows with the value: urgent work goes before everything else.
enum class priority_band : std::uint8_t { background, normal, high, urgent };

struct organisation_policy {
    std::string name;
    double weight = 1.0; ///< share relative to the other organisations, above 0
    resources quota;     ///< hard cap on what runs at once
    double rate = 0.0;   ///< calls a second over all entries, 0 for no limit
};

struct class_policy {
    std::string name;
    work_kind kind = work_kind::call;
    std::string service; ///< for calls: the executors' service
    priority_band priority = priority_band::normal;
    bool idempotent = true;         ///< default for requests that do not say
    millis deadline{0};             ///< from arrival to placement or answer
    std::int64_t queue_limit = 0;   ///< waiting requests over all entries
    std::int64_t max_tasks = 0;     ///< tasks in one job
    std::int32_t max_attempts = 1;  ///< first try included
    bool may_preempt = false;       ///< may displace work of lower bands
    bool preemptible = false;       ///< may be checkpointed or stopped for others
    std::int64_t min_available = 0; ///< services: tasks kept up while updating
    std::int64_t max_per_rack = 0;  ///< services: 0 for no limit
    double rate = 0.0;              ///< requests a second over all entries, 0 for no limit
    std::map<std::string, std::string> required_attributes;
};

struct placement_policy {
    double waiting_weight = 0.5; ///< 0 to 1; what is left weighs packing
    double size_margin = 0.1;    ///< reserved on top of the learnt peak
    double max_out_ratio = 0.2;  ///< most of the cell that may be taken out as unhealthy
    millis ageing{60000};        ///< waiting time worth one priority band
    millis reservation{30000};   ///< longest hold for an all-at-once job
};

struct retry_policy {
    double budget_ratio = 0.1; ///< retries per first attempt
    millis base_backoff{20};
    millis max_backoff{1000};
};

struct leaving_policy {
    millis drain_limit{30000}; ///< longest wait for work in flight on a planned stop
};

/// What the operators expect of the cell; checks of impossible documents rest on it.
struct cell_policy {
    resources size;          ///< all workers together; 0 in a dimension means unknown
    resources worker_size;   ///< the largest worker; 0 in a dimension means unknown
    millis network_delay{1}; ///< one way, from a caller to an endpoint
};

/// Time-outs of the steps of a call to a service's executors.
struct service_policy {
    std::string name;
    millis connect_timeout{200};
    millis first_byte_timeout{0}; ///< 0: the deadline alone
};

/// Invariant: names are unique, each class names a known service, quotas are positive.
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

/// One fault of a document or settings file; `nearest` is a known key that looks alike.
struct fault {
    int line = 0;
    std::string section;
    std::string key;
    std::string reason;
    std::string nearest;
};

/// Returns "line 12: [organisation a] wieght: unknown key, did you mean weight?".
std::string to_string(const fault& f);

/// Returns the document, or nothing and every fault found.
std::optional<environment> parse_environment(std::string_view text, std::vector<fault>& faults);

/// One entry that differs between two documents; an empty text stands for "absent".
struct environment_change {
    std::string section;
    std::string key;
    std::string before;
    std::string after;
};

/// Returns what has to change in `before` to get `after`, in the order of sections and keys.
std::vector<environment_change> diff_environments(std::string_view before, std::string_view after);

/// Returns the digest of a document's bytes.
std::string digest_of(std::string_view text);

std::string_view name_of(priority_band band);
std::optional<priority_band> priority_band_from(std::string_view name);

} // namespace sesamesill
