// One member of the pool's control plane. Every member takes clients' requests; the one whose claim
// is the newest leads: it alone schedules, gives orders and writes records. The others follow the
// log, pass requests on, make calls for advice for the leader, and are ready to succeed it.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_election.h"
#include "sesamesill/pool_follower.h"
#include "sesamesill/pool_job.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/pool_scheduler.h"
#include "sesamesill/pool_writer.h"

namespace sesamesill::pool {

struct member_settings {
    std::string name;
    std::string data_center;
    endpoint peer_listen;       ///< for other members
    endpoint peer_address;      ///< where they reach it
    double processor_share = 1; ///< of a core
    platform_bounds bounds;
};

enum class submit_verdict : std::uint8_t {
    accepted,      ///< stored
    refused,       ///< not stored, never runs
    unknown,       ///< it may have been stored
    leader_changed ///< not stored; another member leads now and can be asked
};

std::string_view name_of(submit_verdict verdict);

struct submit_answer {
    submit_verdict verdict = submit_verdict::unknown;
    std::string reason;
    millis retry_after{0};
};

enum class lookup : std::uint8_t { found, not_known, unavailable };

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
    void configure(const configuration& config);
    void list_worker(const worker_entry& entry);
    void unlist_worker(const std::string& id);
    /// Takes note that the workers' directory has been read to its end, from `begun` on.
    void directory_known(time_point begun);
    /// Calls `leads` when this member has taken the lead: it needs the directory at once.
    void on_lead(std::function<void()> leads);

    void submit(const job_spec& spec, millis budget, std::function<void(submit_answer)> done);
    void state_of(const std::string& id, millis budget,
                  const std::function<void(state_answer)>& done);
    void cancel(const std::string& id, millis budget, std::function<void(state_answer)> done);
    void waiting_in(const std::string& queue, millis budget,
                    const std::function<void(waiting_answer)>& done);

    /// Returns whether requests can be served: the configuration, the log and a leader are known.
    bool ready() const;
    bool is_leader() const;
    /// Returns how many members are known, this one included.
    std::size_t members() const;
    /// Begins a planned stop: hands the lead over and takes no further one.
    void leave();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace sesamesill::pool
