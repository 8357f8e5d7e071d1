// The leader's way to the log: batches records, one append at a time, each on the condition that
// the log ends where this leader left it. A successor's claim moves the end, so a leader that was
// replaced can't write any more, also not by an append that arrives late.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class write_outcome : std::uint8_t {
    stored,
    not_stored, ///< and never will be
    deposed,    ///< not stored, and never will be: another leader has claimed
    unknown     ///< the leader was replaced before the store told
};

class record_writer {
public:
    /// `deposed` is called once, when the log turns out to have another writer. `on_stored` gets
    /// each stored batch with its offsets.
    record_writer(event_loop& loop, record_log& log, std::uint64_t end,
                  std::function<void()> deposed,
                  std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_stored);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;
    record_writer(record_writer&&) = delete;
    record_writer& operator=(record_writer&&) = delete;

    /// Stores the records with the next batch. Where `send_timeout` is set and the batch can't even
    /// be sent within it, `done` gets `not_stored`.
    void add(std::vector<keyed_record> records, millis send_timeout,
             std::function<void(write_outcome)> done);
    /// Sends nothing until `until`, so that a successor's claim meets a log at rest.
    void pause_until(time_point until);
    /// Returns whether no append is under way.
    bool is_idle() const { return !in_flight_ && sent_.empty(); }
    /// When an append last succeeded.
    time_point last_stored() const { return last_stored_; }
    /// When the last batch that was stored was first sent: nobody else had claimed the lead by
    /// then.
    time_point lead_confirmed_at() const { return lead_confirmed_at_; }
    /// Returns for how long appends have been failing; 0 while they succeed.
    millis failing_for(time_point now) const;
    std::size_t appends() const { return appends_; }

private:
    struct entry {
        std::vector<keyed_record> records;
        time_point send_deadline; ///< only before it is sent
        bool never_expires = true;
        std::function<void(write_outcome)> done;
    };

    void flush();
    void send();
    void on_result(const append_result& r);
    void check_log_end();
    void finish_batch(write_outcome outcome);
    void depose(write_outcome outcome);
    void drop_expired(time_point now);
    void retry(millis delay);
    millis append_timeout() const;

    event_loop& loop_;
    record_log& log_;
    std::uint64_t end_;
    std::function<void()> on_deposed_;
    std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_stored_;
    std::vector<entry> waiting_;
    std::vector<entry> sent_;         ///< the batch under way; unchanged until it is settled
    std::vector<keyed_record> batch_; ///< its records
    bool in_flight_ = false;
    bool maybe_stored_ = false; ///< an append of this batch had no answer
    bool closed_ = false;
    time_point paused_until_;
    time_point append_started_;
    time_point batch_first_sent_; ///< when the batch was first sent: any of its sends may be the
                                  ///< stored one
    time_point last_stored_;
    time_point lead_confirmed_at_;
    time_point failing_since_;
    bool failing_ = false;
    millis backoff_{0};
    double smoothed_append_ms_ = 10; ///< of an append
    int timeout_factor_ = 1;         ///< doubles with each append of the batch that had no answer
    std::size_t appends_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sesamesill::pool
