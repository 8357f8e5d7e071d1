// Follows a log of keyed records: loads the newest of each key, then reads what comes after, and
// starts again where the log was trimmed behind it.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// How eagerly a log is followed.
struct follow_timing {
    millis max_wait{0}; ///< how long the store may hold a read until a record comes
    millis pause{250};  ///< between reads
};

class keyed_follower {
public:
    /// Calls `on_record` for each record in log order; one without a value says that its key is
    /// gone.
    keyed_follower(event_loop& loop, record_log& log, std::string name, follow_timing timing,
                   std::function<void(const keyed_record&)> on_record);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;
    keyed_follower(keyed_follower&&) = delete;
    keyed_follower& operator=(keyed_follower&&) = delete;

    void start();
    /// Changes the pace from the next read on.
    void set_timing(follow_timing timing) { timing_ = timing; }
    /// Reads now, or as soon as the read under way is over.
    void read_now();
    /// Calls `callback` after each read to the end of the log, with the time at which it was begun.
    void on_complete(std::function<void(time_point started)> callback)
    {
        on_complete_ = std::move(callback);
    }
    /// Stops reading while another part appends and calls `apply_records`.
    void pause() { paused_ = true; }
    void resume();
    /// Takes records that were read or appended elsewhere; the log now ends at `end`.
    void apply_records(const std::vector<keyed_record>& records, std::uint64_t end);
    /// Reads to the end now and tells whether that worked.
    void catch_up(std::function<void(bool)> done);

    const std::map<std::string, keyed_record>& values() const { return values_; }
    /// Returns whether all keys are known.
    bool is_loaded() const { return loaded_; }
    std::uint64_t next() const { return next_; }
    /// When the last read that succeeded was begun: the store was reachable after that.
    time_point last_read() const { return last_read_; }
    /// How long that read took, without the wait it asked for.
    millis last_read_duration() const { return last_read_duration_; }
    /// When a record last came.
    time_point last_record() const { return last_record_; }

private:
    void read_next();
    void load(const std::string& after);
    void finish_load();
    void apply(const keyed_record& record);
    void on_failure(const error& why);
    void on_success();
    void schedule_read(millis delay);

    event_loop& loop_;
    record_log& log_;
    std::string name_;
    follow_timing timing_;
    std::function<void(const keyed_record&)> on_record_;
    std::function<void(time_point)> on_complete_;
    std::map<std::string, keyed_record> values_;
    std::map<std::string, keyed_record> loading_;
    std::uint64_t load_end_ = 0; ///< end of the log when the load began
    std::uint64_t next_ = 0;
    bool loaded_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool timer_set_ = false; ///< a timer will pump
    bool read_requested_ = false;
    bool failing_ = false;
    millis backoff_{0};
    time_point read_started_;
    time_point last_read_;
    millis last_read_duration_{0};
    time_point last_record_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sesamesill::pool
