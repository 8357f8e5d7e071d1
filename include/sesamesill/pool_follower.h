// Follows a log of keyed records: loads the newest record of each key, then reads the records
// appended after them. Loads again if the log was trimmed past the follower's position.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// How often a log is read.
struct follow_timing {
    millis max_wait{0}; ///< how long the store may delay a read until a record arrives
    millis pause{250};  ///< time between two reads
    /// Loads the newest record of each key each time instead of reading the records since. Takes
    /// fewer bytes where a key changes several times within a pause.
    bool reload = false;
};

class keyed_follower {
public:
    /// Calls `on_record` for each record in log order; a record without a value removes its key.
    keyed_follower(event_loop& loop, record_log& log, std::string name, follow_timing timing,
                   std::function<void(const keyed_record&)> on_record);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;
    keyed_follower(keyed_follower&&) = delete;
    keyed_follower& operator=(keyed_follower&&) = delete;

    void start();
    /// Sets the timing of all reads after the current one. Ends a longer pause that has begun.
    void set_timing(follow_timing timing);
    /// Reads now, or right after the read in progress.
    void read_now();
    /// Calls `callback` after each load, and each read that reached the end of the log, with the
    /// time at which it started.
    void on_complete(std::function<void(time_point started)> callback)
    {
        on_complete_ = std::move(callback);
    }
    /// Calls `callback` when reads begin to fail, until the next complete read.
    void on_lost(std::function<void()> callback) { on_lost_ = std::move(callback); }
    /// Stops reading while the owner appends to the log and calls `apply_records`.
    void pause() { paused_ = true; }
    void resume();
    /// Applies records that the caller has read or appended.
    void apply_records(const std::vector<keyed_record>& records);
    /// Reads to the end of the log now, also while paused or beside a read that waits for records,
    /// and passes to `done` whether that succeeded. `timeout` is that of each page.
    void catch_up(millis timeout, std::function<void(bool)> done);

    const std::map<std::string, keyed_record>& values() const { return values_; }
    /// Returns whether the last read failed.
    bool is_failing() const { return failing_; }
    /// Returns whether the newest record of each key has been loaded.
    bool is_loaded() const { return loaded_; }
    std::uint64_t next() const { return next_; }
    /// Returns the start time of the last successful read: the store was reachable after it. While
    /// a record is applied, that is the read which brought it.
    time_point last_read() const { return last_read_; }
    /// Returns the duration of the last successful read.
    millis last_read_duration() const { return last_read_duration_; }
    /// Returns whether the record that is being applied is from a load of the newest records.
    bool is_applying_load() const { return applying_load_; }
    /// Returns when the last record was applied outside of a load.
    time_point last_record() const { return last_record_; }

private:
    void read_next();
    bool needs_load(const read_result& r);
    void load(const std::string& after);
    void finish_load();
    void apply(const keyed_record& record);
    void on_failure(const error& why);
    void on_success(time_point begun);
    void schedule_read(millis delay);

    event_loop& loop_;
    record_log& log_;
    std::string name_;
    follow_timing timing_;
    std::function<void(const keyed_record&)> on_record_;
    std::function<void(time_point)> on_complete_;
    std::function<void()> on_lost_;
    std::map<std::string, keyed_record> values_;
    std::map<std::string, keyed_record> loading_;
    time_point load_started_;
    std::uint64_t load_end_ = 0; ///< end of the log when the load began
    std::uint64_t next_ = 0;
    bool loaded_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool applying_load_ = false;
    bool read_requested_ = false;            ///< `read_now` was called during the read in progress
    std::optional<time_point> next_read_at_; ///< set while a timer waits to call `read_next`
    bool failing_ = false;
    std::size_t page_bytes_ = max_read_bytes; ///< of the next read
    millis backoff_{0};
    time_point read_started_;
    time_point last_read_;
    millis last_read_duration_{0};
    time_point last_record_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sesamesill::pool
