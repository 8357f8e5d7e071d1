// What a member of the pool's control plane needs from its surroundings: a store of keyed records,
// workers that run tasks, an advisor that approves workers, and the declared configuration.
// Implementations translate; they take no decisions.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/http.h"
#include "sesamesill/resources.h"

namespace sesamesill::pool {

/// One record of a log in which the newest record of each key is kept for good.
struct keyed_record {
    std::string key;
    std::string value; ///< empty: the key is dropped
    std::uint64_t offset = 0;
};

enum class append_verdict : std::uint8_t {
    stored,
    conflict, ///< nothing was stored: the log doesn't end where the caller assumed
    refused,  ///< nothing was stored
    unknown   ///< it may have been stored, or may still be
};

struct append_result {
    append_verdict verdict = append_verdict::unknown;
    std::uint64_t first = 0; ///< offset of the first record, where stored
    std::uint64_t end = 0;   ///< next offset of the log, where stored or moved
    error why;
};

struct read_result {
    bool ok = false;
    bool trimmed = false;  ///< the records asked for are gone; start again from the newest
    std::uint64_t end = 0; ///< next offset of the log
    std::vector<keyed_record> records;
    error why;
};

struct newest_result {
    bool ok = false;
    bool more = false; ///< ask again, after the last key
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
    error why;
};

/// A log of keyed records.
class record_log {
public:
    record_log() = default;
    virtual ~record_log() = default;
    record_log(const record_log&) = delete;
    record_log& operator=(const record_log&) = delete;
    record_log(record_log&&) = delete;
    record_log& operator=(record_log&&) = delete;

    /// Appends all records or none, and only where the log ends at `at`.
    virtual void append(const std::vector<keyed_record>& records, std::uint64_t at, millis timeout,
                        std::function<void(append_result)> done) = 0;
    /// Reads from offset `from`; waits up to `wait` for a record.
    virtual void read(std::uint64_t from, millis wait, millis timeout,
                      std::function<void(read_result)> done) = 0;
    /// Reads the newest record of each key after `after`, in the order of keys.
    virtual void newest(const std::string& after, millis timeout,
                        std::function<void(newest_result)> done) = 0;
};

/// A worker's entry in the platform's directory.
struct worker_entry {
    std::string id;
    std::string machine; ///< on which it is one incarnation
    endpoint address;
    std::string service;
    std::string data_center;
    std::string rack;
    std::vector<std::string> labels; ///< its kind, its rack
    resources capacity;
    bool draining = false;
    millis remaining{0};            ///< while draining: the least time that is left; 0 if not said
    std::int64_t start_time_ms = 0; ///< Unix time of its start
};

enum class end_reason : std::uint8_t {
    done,
    failed,
    stopped,       ///< on our order
    lease_expired, ///< its lease ran out
    gang_broken,   ///< another task of its gang ended
    gang_timed_out ///< its gang didn't come together in time
};

struct running_task {
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< of its work that is done; of a long-running one, whether it is at work
    double load = 0; ///< tail latency of a long-running task, cores in use of any other
};

struct ended_task {
    std::uint64_t number = 0; ///< rises by one within one incarnation of a worker
    std::string task;
    std::int64_t run = 0;
    end_reason how = end_reason::failed;
    std::string checkpoint;
};

/// What a worker says of itself.
struct worker_report {
    std::int64_t clock_ms = 0; ///< of its own steady clock
    std::int64_t start_time_ms = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

enum class order_verdict : std::uint8_t {
    accepted,
    fenced,     ///< another leader has given orders with a higher fence
    superseded, ///< a run with this number or a higher one has ended there
    expired,    ///< its expiry lies in the past
    no_room,
    no_ticket, ///< the ticket is unknown or has expired
    unhealthy, ///< nothing was done
    replaced,  ///< another incarnation answers at this address
    invalid,   ///< the worker can't read the order
    not_sent,  ///< no connection: nothing was done
    unknown    ///< no answer: it may have been obeyed, or may yet be
};

struct start_order {
    std::string worker;
    endpoint address;
    std::string task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t until_ms = 0; ///< on the worker's clock: the start's expiry
    std::uint64_t fence = 0;
    int attempts = 0; ///< sent so far without an answer
};

struct stop_order {
    std::string worker;
    endpoint address;
    std::string task;
    std::int64_t run = 0;
    std::uint64_t fence = 0;
};

struct poll_order {
    std::string worker;
    endpoint address;
    std::uint64_t fence = 0;
    std::uint64_t acknowledged_end = 0;   ///< ends up to this number are recorded
    std::optional<std::int64_t> until_ms; ///< on the worker's clock: the lease's new end
    millis wait{0};                       ///< how long the worker may wait for an end
};

using order_done = std::function<void(order_verdict, std::int64_t clock_ms, const error&)>;
using poll_done = std::function<void(order_verdict, worker_report, const error&)>;

class worker_gateway {
public:
    worker_gateway() = default;
    virtual ~worker_gateway() = default;
    worker_gateway(const worker_gateway&) = delete;
    worker_gateway& operator=(const worker_gateway&) = delete;
    worker_gateway(worker_gateway&&) = delete;
    worker_gateway& operator=(worker_gateway&&) = delete;

    virtual void start(const start_order& order, millis timeout, order_done done) = 0;
    virtual void stop(const stop_order& order, millis timeout, order_done done) = 0;
    virtual void poll(const poll_order& order, millis timeout, poll_done done) = 0;
};

struct approval {
    std::string worker;
    std::string ticket;
};

struct advice_answer {
    bool ok = false;
    std::vector<approval> approved;
    millis valid{0}; ///< how long the tickets are good
    error why;
};

class advisor {
public:
    advisor() = default;
    virtual ~advisor() = default;
    advisor(const advisor&) = delete;
    advisor& operator=(const advisor&) = delete;
    advisor(advisor&&) = delete;
    advisor& operator=(advisor&&) = delete;

    /// Asks which of `workers` may run the step.
    virtual void advise(const std::string& step, const std::vector<std::string>& workers,
                        millis timeout, std::function<void(advice_answer)> done) = 0;
};

/// How long an advisor takes, and how long its tickets are good.
struct advice_terms {
    double base_ms = 0;
    double per_worker_ms = 0;
    millis valid{0};
};

struct queue_policy {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service; ///< whose workers run its tasks
    int priority = 0;    ///< 0 comes first
    int max_attempts = 1;
    double stretch = 1;       ///< objective: this many times a job's longest chain of work ...
    millis latency_target{0}; ///< ... and this much more
    millis timeout{0};
    std::optional<advice_terms> advice;
};

struct service_policy {
    std::string name;
    bool checks_room = false; ///< its workers refuse what doesn't fit
    bool standby = false;
};

/// The declared configuration. Versions rise.
struct configuration {
    std::int64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<service_policy> services;
};

/// Bounds of the platform that the control plane relies on.
struct platform_bounds {
    millis max_lease{6000};     ///< longest lease a worker grants
    millis stop_timeout{900};   ///< longest time a stop takes
    millis gang_timeout{3000};  ///< how long a task waits for the rest of its gang
    millis drain_limit{2000};   ///< no start later than this after a worker said it drains
    millis status_kept{120000}; ///< how long the state of a finished job must be known
    millis grace{6000};         ///< from a planned stop to the kill
    double remote_factor = 2;   ///< slow-down on a rack without the data
    millis restore{100};        ///< time to resume from a checkpoint
};

} // namespace sesamesill::pool
