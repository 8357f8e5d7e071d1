// Writes the leader's records to the log in batches, one append at a time. Each append succeeds
// only if the log still ends where this leader's last append ended. A successor's claim moves the
// end, so a replaced leader can't write any more, not even through an append that arrives late.
// After an append without an answer, reads of the log's end tell whether the append was stored and
// whether the store answers this member at all.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

enum class write_outcome : std::uint8_t {
    stored,
    not_stored, ///< the records aren't stored and never will be
    deposed,    ///< same as `not_stored`, because another leader has claimed the lead
    unknown     ///< the leader was replaced before the store confirmed the append
};

class record_writer {
public:
    /// Calls `deposed` once, when the log turns out to have another writer. Calls `on_stored` with
    /// each stored batch, whose records have their offsets, and the new end of the log.
    record_writer(event_loop& loop, record_log& log, std::uint64_t end,
                  std::function<void()> deposed,
                  std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_stored,
                  double link_bytes_per_ms = 0,
                  std::size_t max_append_bytes = platform_bounds().max_append_bytes);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;
    record_writer(record_writer&&) = delete;
    record_writer& operator=(record_writer&&) = delete;

    /// Stores the records with the next batch, or with several ones in order if one append can't
    /// take them. If `send_timeout` isn't 0 and the records can't be sent within it, or if the
    /// store rejects them, `done` gets `not_stored`.
    void add(std::vector<keyed_record> records, millis send_timeout,
             const std::function<void(write_outcome)>& done);
    /// Sends no batch before `until`, so that no append competes with a successor's claim.
    void pause_until(time_point until);
    /// Returns whether no append is in progress.
    bool is_idle() const { return !in_flight_ && sent_.empty(); }
    /// Returns the next offset of the log after the last stored batch.
    std::uint64_t end() const { return end_; }
    /// Returns when an append last succeeded.
    time_point last_stored() const { return last_stored_; }
    /// Returns how long appends have been failing; 0 while they succeed.
    millis failing_for(time_point now) const;
    /// Returns for how long the store has answered no read either, after an append without an
    /// answer; 0 if it answered the last one. Appends that are only slow don't count.
    millis unreachable_for(time_point now) const;
    /// Returns how long the store has been turning appends away at once, by a refusal or a closed
    /// connection; 0 if the last append was stored or timed out.
    millis rejected_for(time_point now) const;
    std::size_t appends() const { return appends_; }

private:
    struct entry {
        std::vector<keyed_record> records;
        time_point send_deadline;  ///< applies only until the records are sent
        bool never_expires = true; ///< `send_deadline` isn't set
        std::function<void(write_outcome)> done;
    };

    void flush();
    void send();
    void isolate_rejected();
    void on_result(const append_result& r);
    void check_log_end();
    void on_log_end(time_point started, const read_result& r);
    void finish_batch(write_outcome outcome);
    void depose(write_outcome outcome);
    void drop_expired(time_point now);
    void retry(millis delay);
    std::size_t batch_bytes() const;
    millis append_timeout() const;

    event_loop& loop_;
    record_log& log_;
    std::uint64_t end_;
    std::function<void()> on_deposed_;
    std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_stored_;
    std::vector<entry> waiting_;
    std::vector<entry> sent_;         ///< entries of the current batch, until its outcome is known
    std::size_t single_entries_ = 0;  ///< so many of the next batches have one entry each
    std::vector<keyed_record> batch_; ///< records of the entries in `sent_`
    bool in_flight_ = false;          ///< an append is in progress or waits for its retry
    bool maybe_stored_ = false;       ///< an append of the current batch got no answer
    bool closed_ = false; ///< another leader took over, or the writer is being destroyed
    time_point paused_until_;
    time_point append_started_;
    double timeout_per_byte_ms_;  ///< of a batch
    std::size_t max_batch_bytes_; ///< in the store's format
    time_point last_stored_;
    time_point failing_since_;
    bool failing_ = false;
    time_point rejected_since_;                ///< of the first of a row of rejected appends
    bool rejected_ = false;                    ///< the last append failed long before its timeout
    std::optional<time_point> checking_since_; ///< set while reads of the log's end get no answer
    unsigned check_ = 0;          ///< number of the last read that checks the log's end
    unsigned answered_check_ = 0; ///< answers to earlier reads of this kind are ignored
    millis backoff_{0};
    double smoothed_append_ms_ = 10; ///< moving average of the duration of an append
    int timeout_factor_ = 1; ///< doubles with each append of the current batch that got no answer
    std::size_t appends_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sesamesill::pool
