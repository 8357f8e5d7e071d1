// A member of the pool's control plane. Every member takes clients' requests. The member with the
// newest claim is the leader: it alone schedules, sends orders and writes records. The others
// follow the log, forward requests, call the advisor on the leader's behalf, and can take over the
// lead.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_configuration.h"
#include "sesamesill/pool_election.h"
#include "sesamesill/pool_follower.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_memory.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/pool_scheduler.h"
#include "sesamesill/pool_writer.h"

namespace sesamesill::pool {

struct member_settings {
    std::string name;
    std::string data_center;
    endpoint peer_listen;       ///< accepts connections of other members
    endpoint peer_address;      ///< where other members reach this one
    double processor_share = 1; ///< in cores
    platform_bounds bounds;
    double link_mbps = 0;                 ///< of this member's network link; 0 if it isn't known
    double memory_mb = default_memory_mb; ///< that this process may use
};

enum class submit_verdict : std::uint8_t {
    accepted,      ///< the job is stored
    refused,       ///< the job isn't stored and never runs
    unknown,       ///< the job may have been stored
    leader_changed ///< the job isn't stored; another member leads now and can be asked
};

std::string_view name_of(submit_verdict verdict);

struct submit_answer {
    submit_verdict verdict = submit_verdict::unknown;
    std::string reason;
    millis retry_after{0};
};

/// Result of a query by id or name.
enum class lookup : std::uint8_t {
    found,
    not_known,
    unavailable, ///< no leader answered in time
    refused      ///< the leader has no room to remember the cancel of an unknown job
};

struct state_answer {
    lookup found = lookup::unavailable;
    job_state state = job_state::queued;
};

struct waiting_answer {
    lookup found = lookup::unavailable;
    int count = 0;
};

class member {
public:
    member(event_loop& loop, member_settings settings, record_log& log, worker_gateway& workers,
           advisor& advice);
    ~member();
    member(const member&) = delete;
    member& operator=(const member&) = delete;
    member(member&&) = delete;
    member& operator=(member&&) = delete;

    bool start(error& why);
    /// Uses this configuration from now on.
    void configure(const configuration& config);
    /// Uses the newest version of `declared` from now on.
    void follow(declared_configuration& declared);
    void list_worker(const worker_entry& entry);
    void unlist_worker(const std::string& id);
    /// Notes that a complete read of the workers' directory, begun at `begun`, has ended.
    void on_directory_loaded(time_point begun);
    /// Notes that reads of the workers' directory fail.
    void on_directory_lost();
    /// Sets a callback that runs when this member needs the workers' directory at once: it has
    /// become the leader, or a worker has a later process than its entry tells of.
    void on_directory_wanted(std::function<void()> read);

    void submit(const job_spec& spec, millis budget, std::function<void(submit_answer)> done);
    void state_of(const std::string& id, millis budget,
                  const std::function<void(state_answer)>& done);
    void cancel(const std::string& id, millis budget,
                const std::function<void(state_answer)>& done);
    void waiting_in(const std::string& queue, millis budget,
                    const std::function<void(waiting_answer)>& done);

    /// Returns whether the member can serve requests: it knows the configuration, the log and a
    /// leader.
    bool ready() const;
    bool is_leader() const;
    /// Returns how many members are known, this one included.
    std::size_t members() const;
    /// Returns whether this member has loaded the log, which it needs to lead.
    bool has_loaded() const;
    /// Begins a planned stop: hands the lead over and never claims it again.
    void leave();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace sesamesill::pool
