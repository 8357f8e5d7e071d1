// What a member knows of the workers' directory: when it was last read, and from when on a read
// shows all live workers. A decision about workers that the directory lacks rests on this.

#pragma once

#include <algorithm>
#include <optional>

#include "sesamesill/clock.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {

class directory_knowledge {
public:
    /// After an outage of the store, all entries of live workers are back within `entry_return`.
    explicit directory_knowledge(millis entry_return) : entry_return_(entry_return) {}

    /// Handles a complete read that was begun at `begun` and has ended now. A first read tells
    /// nothing of workers whose entries were removed before it: they are cut off from the store and
    /// may run tasks until their leases end.
    void on_read(time_point begun, time_point now)
    {
        if (!read_begun_) {
            complete_after_ = now + std::max(entry_return_, removed_worker_retention);
        }
        else if (may_lack_entries_) {
            complete_after_ = std::max(complete_after_, now + entry_return_);
        }
        may_lack_entries_ = false;
        lost_at_.reset();
        read_begun_ = begun;
    }
    /// Handles failing reads of the directory, until the next complete one.
    void on_lost(time_point now)
    {
        lost_at_ = now;
        may_lack_entries_ = true;
    }
    /// Handles failing reads of another log of the same store. Entries may expire meanwhile, also
    /// if no read of the directory falls into the outage.
    void on_store_lost() { may_lack_entries_ = true; }

    /// Returns when the last complete read began, or nothing if there was none.
    std::optional<time_point> read_begun() const { return read_begun_; }
    /// Returns since when reads of the directory fail, or nothing if they don't.
    std::optional<time_point> lost_at() const { return lost_at_; }
    /// Returns the time from which on a read that begins shows all live workers; the others have no
    /// lease then.
    time_point complete_after() const { return complete_after_; }

private:
    millis entry_return_;
    bool may_lack_entries_ = true; ///< the next complete read may lack entries of live workers
    time_point complete_after_;
    std::optional<time_point> read_begun_;
    std::optional<time_point> lost_at_;
};

} // namespace sesamesill::pool
