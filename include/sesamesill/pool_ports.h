// Interfaces between a member of the pool's control plane and the platform: a store of keyed
// records, workers that run tasks, an advisor that approves workers, and the declared
// configuration. Implementations translate between these types and the platform's protocol; they
// take no decisions.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/http.h"
#include "sesamesill/resources.h"

namespace sesamesill::pool {

/// A record of a compacted log, which always keeps the newest record of each key.
struct keyed_record {
    std::string key;
    std::string value; ///< an empty value deletes the key
    std::uint64_t offset = 0;
};

enum class append_verdict : std::uint8_t {
    stored,
    conflict, ///< nothing was stored: the log doesn't end at the offset that the caller gave
    refused,  ///< nothing was stored
    rejected, ///< nothing was stored, nor will be: the store can't take these records
    unknown   ///< the records may have been stored, or may be stored later
};

struct append_result {
    append_verdict verdict = append_verdict::unknown;
    std::uint64_t first = 0; ///< offset of the first record; set if the verdict is `stored`
    std::uint64_t end = 0; ///< next offset of the log; set if the verdict is `stored` or `conflict`
    error why;
};

struct read_result {
    bool ok = false;
    /// The log no longer has the requested records; call newest() and read on from its end.
    bool trimmed = false;
    std::uint64_t end = 0; ///< next offset of the log
    std::vector<keyed_record> records;
    error why;
};

struct newest_result {
    bool ok = false;
    bool more = false; ///< more keys follow: call newest() with the last key
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
    error why;
};

/// The largest page of a read, in bytes.
constexpr std::size_t max_read_bytes = std::size_t{1024} * 1024;

/// A log of keyed records.
class record_log {
public:
    record_log() = default;
    virtual ~record_log() = default;
    record_log(const record_log&) = delete;
    record_log& operator=(const record_log&) = delete;
    record_log(record_log&&) = delete;
    record_log& operator=(record_log&&) = delete;

    /// Appends all records or none, and only if the log ends at offset `at`.
    virtual void append(const std::vector<keyed_record>& records, std::uint64_t at, millis timeout,
                        std::function<void(append_result)> done) = 0;
    /// Reads about `max_bytes` from offset `from`, at least one record; where no record is there,
    /// waits up to `wait` for one.
    virtual void read(std::uint64_t from, std::size_t max_bytes, millis wait, millis timeout,
                      std::function<void(read_result)> done) = 0;
    /// Reads a page with the newest record of each key greater than `after`, in key order. Its size
    /// is the store's choice: the read may take longer than `timeout` while bytes arrive.
    virtual void newest(const std::string& after, millis timeout,
                        std::function<void(newest_result)> done) = 0;
};

/// A worker's entry in the platform's directory.
struct worker_entry {
    std::string id;
    std::string machine; ///< on which this incarnation of the worker runs
    endpoint address;
    std::string service;
    std::string data_center;
    std::string rack;
    std::vector<std::string> labels; ///< name the worker's kind and its rack
    resources capacity;
    bool draining = false;
    /// While draining: the least time until it stops, from when the entry was written; 0 if it
    /// isn't known.
    millis remaining{0};
    /// When the last complete read of the directory that lacked this entry began: the entry was
    /// written later. Set by the reader; nothing if there was no such read.
    std::optional<time_point> written_after;
    std::int64_t start_time_ms = 0; ///< Unix time at which the worker started
    std::uint64_t revision = 0; ///< rises with each report of one incarnation; 0 if it isn't known
};

/// Identifies one process of a worker. A restarted one keeps the worker's id.
struct process_id {
    std::string worker;
    std::int64_t start_time_ms = 0; ///< Unix time of its start, as it reports it
};

inline bool operator<(const process_id& a, const process_id& b)
{
    return std::tie(a.worker, a.start_time_ms) < std::tie(b.worker, b.start_time_ms);
}

/// Returns whether `entry` was written before `known`, another entry of the same worker.
bool is_outdated(const worker_entry& entry, const worker_entry& known);

/// Why a run of a task ended.
enum class end_reason : std::uint8_t {
    done,
    failed,
    stopped,       ///< by a stop order
    lease_expired, ///< the worker's lease expired
    gang_broken,   ///< another task of the same gang ended
    gang_timed_out ///< the other tasks of the gang didn't start in time
};

struct running_task {
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< of its work done; of a long-running task: whether it works
    double load = 0; ///< tail latency of a long-running task; of any other task, the cores it uses
};

struct ended_task {
    std::uint64_t number = 0; ///< rises by one with each end at one incarnation of a worker
    std::string task;
    std::int64_t run = 0;
    end_reason how = end_reason::failed;
    std::string checkpoint;
};

/// A worker's report of its running and ended tasks.
struct worker_report {
    std::int64_t clock_ms = 0;      ///< the worker's steady clock
    std::int64_t start_time_ms = 0; ///< Unix time at which the worker started
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

enum class order_verdict : std::uint8_t {
    accepted,
    fenced,     ///< the worker has seen an order with a higher fence
    superseded, ///< a run of the task with this number or a higher one has ended at this worker
    expired,    ///< the order expired before it arrived
    no_room,
    no_ticket,   ///< the ticket is unknown or has expired
    unhealthy,   ///< the worker is unhealthy and did nothing
    replaced,    ///< another incarnation answers at this address
    invalid,     ///< the worker can't read the order
    not_sent,    ///< no connection was established in time, so this order had no effect
    no_listener, ///< the worker's address refused the connection, so this order had no effect
    unknown      ///< no answer came: the worker may have carried it out, or may do so later
};

std::string_view name_of(order_verdict verdict);

struct start_order {
    std::string worker;
    endpoint address;
    std::string task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t until_ms = 0; ///< on the worker's clock: the order expires at this time
    std::uint64_t fence = 0;
    int attempts = 0; ///< how often the order was sent without an answer
};

struct stop_order {
    std::string worker;
    endpoint address;
    std::string task;
    std::int64_t run = 0;
    std::uint64_t fence = 0;
    std::int64_t process_start_ms = 0; ///< of the worker's process that was known at the send
};

/// Renews a worker's lease and asks for its report.
struct poll_order {
    std::string worker;
    endpoint address;
    std::uint64_t fence = 0;
    bool first_of_fence = false; ///< no earlier poll or start to the worker had this fence
    /// Ends up to this number are stored; the worker may drop them.
    std::uint64_t acknowledged_end = 0;
    std::optional<std::int64_t> until_ms; ///< on the worker's clock: the new end of its lease
    millis wait{0}; ///< how long the worker may wait for a task to end before it answers
};

using order_done = std::function<void(order_verdict, std::int64_t clock_ms, const error&)>;
using poll_done = std::function<void(order_verdict, worker_report, const error&)>;

/// Sends orders to workers.
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

/// A worker that may run the step, with the ticket that its start order must carry.
struct approval {
    std::string worker;
    std::string ticket;
};

struct advice_answer {
    bool ok = false;
    std::vector<approval> approved;
    millis valid{0}; ///< how long the tickets are valid
    error why;
};

/// A service that decides which workers may run a step.
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

/// The time that an advisor needs for a call, and how long its tickets are valid.
struct advice_terms {
    double base_ms = 0;
    double per_worker_ms = 0;
    millis valid{0};
};

struct queue_policy {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service; ///< the workers of this service run the queue's tasks
    int priority = 0;    ///< 0 is the highest
    int max_attempts = 1;
    double stretch = 1; ///< objective: at most this many times the job's longest chain of work ...
    millis latency_target{0}; ///< ... plus this much
    millis timeout{0};
    std::optional<advice_terms> advice;
};

struct service_policy {
    std::string name;
    bool checks_room = false; ///< its workers refuse tasks that don't fit
    bool standby = false;
};

/// The declared configuration. A newer one has a higher version.
struct configuration {
    std::int64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<service_policy> services;
};

/// When a version of the configuration has to apply.
struct configuration_bounds {
    millis limit{2000}; ///< at all members this long after it was stored
    /// A member that has shown a version serves no request by an older one that is sent later than
    /// this.
    millis rollback_slack{250};
};

/// Limits of the platform that the control plane relies on.
struct platform_bounds {
    millis max_lease{6000};    ///< longest lease a worker grants
    millis stop_timeout{900};  ///< longest time a stop takes
    millis gang_timeout{3000}; ///< how long a task waits for the rest of its gang
    millis drain_limit{2000};  ///< a draining worker starts no task later than this
    /// After an outage of the directory, all entries of live workers are back within this time.
    millis entry_return{2000};
    millis status_kept{120000}; ///< how long the state of a finished job must be known
    millis grace{6000};         ///< time from a planned stop to the kill
    configuration_bounds configuration;
    double remote_factor = 2; ///< a task runs this many times longer on a rack that lacks its data
    millis restore{100};      ///< time to resume from a checkpoint
    std::size_t max_record_bytes = 262144;  ///< of one record of the store, with its key
    std::size_t max_append_bytes = 2097152; ///< of the records of one append
};

} // namespace sesamesill::pool
