// The leader's part of a member: sends the scheduler's orders to workers, its records to the log
// and its calls to the advisor, and passes the answers back to the scheduler.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pool_budget.h"
#include "pool_lag.h"
#include "pool_window.h"
#include "sesamesill/pool_configuration.h"
#include "sesamesill/pool_directory.h"
#include "sesamesill/pool_member.h"

namespace sesamesill::pool {

constexpr std::size_t large_pool_workers = 100; ///< above this size, polls of a worker are spaced

class leader {
public:
    /// Leads from the log's next offset `end` on. Calls `deposed` when a newer leader has claimed,
    /// and `on_written` with the records that were stored and the next offset of the log.
    leader(event_loop& loop, const member_settings& settings, leader_record self, record_log& log,
           worker_gateway& workers, advisor& advice, http_client& peers,
           const declared_configuration* declared, std::uint64_t end, std::function<void()> deposed,
           std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_written);
    ~leader();
    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;
    leader(leader&&) = delete;
    leader& operator=(leader&&) = delete;

    /// Restores the scheduler's state from the log's records. `known_workers` are those of the
    /// directory, and those that recently left it.
    void restore(const std::map<std::string, keyed_record>& records,
                 const std::vector<worker_entry>& known_workers,
                 const directory_knowledge& directory, const configuration& config);
    void configure(const configuration& config);
    void list_worker(const worker_entry& entry);
    void unlist_worker(const std::string& id);
    /// Handles a complete read of the workers' directory, or that its reads fail.
    void on_directory(const directory_knowledge& directory);
    void on_peer(const std::string& name, const peer& seen);
    const std::map<std::string, peer>& peers() const { return peers_; }
    /// Sets a callback that runs when the directory should be read before its next regular read.
    void on_directory_wanted(std::function<void()> read) { read_directory_ = std::move(read); }

    /// `request` names a forwarded request, of which several attempts may arrive, in any order;
    /// empty for a request that this member took itself.
    void submit(const job_spec& spec, const std::string& request,
                std::function<void(submit_answer)> done);
    /// Answers that a job isn't known only once a record is stored that was sent after the
    /// question: a newer leader may have accepted the job.
    void state_of(const std::string& id, std::function<void(state_answer)> done);
    /// Answers once each later leader knows of the cancellation.
    void cancel(const std::string& id, std::function<void(state_answer)> done);
    waiting_answer waiting_in(const std::string& queue) const;
    std::uint64_t fence() const { return self_.fence; }

    /// Returns whether appends are failing, so that members should check the store: the one that
    /// takes over must reach it.
    bool doubts_store() const { return writer_.failing_for(boot_clock::now()) > millis(0); }

    /// Begins to hand the lead over: pauses writes and asks another member to claim. `why` must
    /// outlive the leader; it's logged.
    void hand_over(const char* why);

private:
    /// State of the polls of one worker. Invariant: `poll_queue_` has an element with `not_before`
    /// unless a poll is in flight.
    struct poll_state {
        bool in_flight = false;
        bool first = true; ///< the worker hasn't answered a poll of this leader yet
        int failures = 0;
        time_point not_before;
    };
    struct pending_submit {
        std::vector<std::function<void(submit_answer)>> waiting;
        memory_charge reserved; ///< until the scheduler has the job
    };
    /// Callers that wait for the answer to a cancel, by job.
    using waiting_cancels = std::map<std::string, std::vector<std::function<void(state_answer)>>>;
    struct caller {
        bool busy = false;
    };

    void restore_worker(const std::string& id, const keyed_record& record, time_point now);
    void limit_memory(double memory_mb);
    /// Runs update() after a short delay, which gathers several events into one update.
    void schedule_update();
    void request_directory(time_point now);
    void update();
    void tick();
    std::size_t max_starts(time_point now);
    void send_starts();
    void send_stops();
    void send_polls();
    void send_poll(const std::string& worker, poll_state& state);
    void add_polls_of(const std::string& worker);
    void poll_at_once(const std::string& worker);
    millis current_poll_spacing() const;
    void poll_after(const std::string& worker, poll_state& state, time_point time);
    void on_polled(const poll_order& order, time_point sent, order_verdict verdict,
                   const worker_report& report);
    void ask_advice();
    bool ask_advice_from(const std::pair<const std::string, peer>* by, millis longest);
    void write_worker_records();
    void write_records();
    void log_decisions();
    void check_store();
    millis store_fails_for(time_point now) const;
    const std::pair<const std::string, peer>* best_successor(time_point now) const;
    void find_larger_member(time_point now);
    void nominate_successor();
    void cancel_unknown(const std::string& id, std::function<void(state_answer)> done);
    void answer_cancels(const std::vector<std::string>& final_jobs, bool stored);
    void on_submit_written(const job_record& job, const std::string& request, millis retry_after,
                           write_outcome outcome);
    void answer_submit(const std::string& id, const submit_answer& answer);
    void note_refused(const std::string& request, time_point now);
    std::optional<state_answer> known_state(const std::string& id) const;
    bool lead_is_confirmed(time_point now) const;

    event_loop& loop_;
    const member_settings& settings_;
    leader_record self_;
    worker_gateway& workers_;
    advisor& advice_;
    http_client& peer_client_;
    const declared_configuration* declared_; ///< null if nothing is known of its freshness
    std::function<void()> deposed_;
    scheduler scheduler_;
    record_writer writer_;
    std::map<std::string, peer> peers_;
    std::map<std::string, poll_state> polls_;                 ///< by worker
    std::set<std::pair<time_point, std::string>> poll_queue_; ///< workers by time of the next poll
    std::size_t first_polls_in_flight_ = 0;
    std::map<std::string, pending_submit> submits_; ///< by job, while its record is being stored
    waiting_cancels cancels_;                       ///< while the final states are being stored
    /// Of unknown jobs, while the records of their cancellations are being stored.
    waiting_cancels unknown_cancels_;
    std::set<std::string> refused_requests_;                  ///< of the last `refusal_memory`
    std::deque<std::pair<time_point, std::string>> refusals_; ///< the same, in order of time
    /// Members that call the advisor for this leader, by name.
    std::map<std::string, caller> callers_;
    send_window start_window_;
    byte_budget start_budget_;
    byte_budget poll_budget_;
    double least_memory_mb_ = 0; ///< of any member that is known; 0 before `restore`
    double mean_start_bytes_ = 0;
    double start_bytes_in_flight_ = 0;
    lag_meter loop_lag_;   ///< of this member's event loop
    time_point next_tick_; ///< when the next tick is due
    std::function<void()> read_directory_;
    time_point directory_requested_;
    bool writing_ = false;
    bool update_scheduled_ = false;
    time_point place_after_;
    time_point leading_since_;
    time_point nominated_at_;
    const char* handover_reason_ = nullptr; ///< null: no handover is in progress
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Reason of the handover of a planned stop, which is retried until a successor claims the lead.
constexpr const char* planned_stop = "planned stop";

/// Returns the Unix time in milliseconds.
std::int64_t wall_clock_ms();

} // namespace sesamesill::pool
