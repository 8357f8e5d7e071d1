// Client of the platform's log: follows both streams, commits items in groups, and writes snapshots
// if this member is chosen to.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/http.h"
#include "sesamesill/journal.h"
#include "sesamesill/settings.h"

namespace sesamesill {

using append_ticket = std::uint64_t;
/// Called with the offset of the record once the item is known to be in the log.
using append_done = std::function<void(std::uint64_t offset)>;
/// Adds the items that together restore a service's state.
using snapshot_source = std::function<void(std::vector<journal_item>& items)>;

class journal_service {
public:
    journal_service(event_loop& loop, http_client& client, const node_settings& settings,
                    std::string incarnation);

    /// Starts to read both streams and to write snapshots.
    void start();
    /// Calls `handler` once for each item of `type`, in log order. An item of a snapshot has its
    /// original writer and offset; a handler may already have seen it in a record. An item of type
    /// "gap" reports that records of its "stream" were trimmed before they were read.
    void on(const std::string& type, std::function<void(const journal_item&)> handler);
    /// Adds an item to the next group of `stream` ("cell" or "config").
    append_ticket append(const std::string& stream, const Json::Value& item, append_done done);
    /// Removes an item from the queue. Returns false if it may already be in the log.
    bool cancel(append_ticket ticket);
    /// Adds a source of snapshot items. No snapshot is written of a stream without sources.
    void add_snapshot_source(const std::string& stream, snapshot_source source);
    /// Sets how many members share the append budget and whether this member writes snapshots.
    void set_members(std::size_t count, bool writes_snapshots);

    /// Returns whether the end of both streams has been reached at least once.
    bool caught_up() const;
    /// Returns the start time of the newest read of "cell" that reached the end of the stream.
    time_point last_read_start() const { return streams_.at("cell").last_read_start; }
    /// Returns whether the whole history of `stream` is known, up to the end last read.
    bool complete(const std::string& stream) const;
    /// Returns when it was last noticed that records had been trimmed before they were read.
    time_point trimmed_at(const std::string& stream) const { return streams_.at(stream).trimmed; }
    /// Returns whether a record of a newer version stopped the reader of a stream. This member must
    /// not act then.
    bool halted() const;
    const std::string& writer() const { return writer_; }
    std::uint64_t appends() const { return appends_; }
    std::uint64_t appended_items() const { return appended_items_; }
    std::uint64_t appended_bytes() const { return appended_bytes_; }
    /// Returns the number of items that are queued or in flight.
    std::size_t waiting() const;

private:
    struct waiting_item {
        append_ticket ticket = 0;
        std::string text;
        append_done done;
    };

    struct stream_state {
        std::string name;
        stream_reader reader;
        time_point last_read_start;
        time_point trimmed;
        millis read_backoff{0};
        std::deque<waiting_item> queue;
        std::vector<waiting_item> in_flight; ///< the group being appended; at most one at a time
        std::string in_flight_body;
        std::uint64_t in_flight_seq = 0;
        std::uint64_t next_seq = 1;
        bool commit_planned = false;
        std::vector<snapshot_source> sources;
        time_point last_snapshot;
    };

    void read(stream_state& s);
    void schedule_read(stream_state& s, bool failed, bool idle, time_point start_time);
    bool handle_read_reply(stream_state& s, const Json::Value& answer, time_point start_time);
    void handle_events(stream_state& s, const reader_events& events);
    void report_gap(const stream_state& s, std::uint64_t first);
    void plan_commit(stream_state& s);
    void commit(stream_state& s);
    void send_group(stream_state& s);
    void handle_append_reply(stream_state& s, std::uint64_t seq, std::uint64_t offset);
    void confirm(stream_state& s, std::uint64_t seq, std::uint64_t offset);
    void write_snapshot(stream_state& s);

    event_loop& loop_;
    http_client& client_;
    const node_settings& settings_;
    std::string writer_;
    std::map<std::string, stream_state> streams_;
    std::map<std::string, std::vector<std::function<void(const journal_item&)>>> handlers_;
    commit_pacer pacer_;
    bool writes_snapshots_ = false;
    append_ticket next_ticket_ = 1;
    std::uint64_t appends_ = 0;
    std::uint64_t appended_items_ = 0;
    std::uint64_t appended_bytes_ = 0;
};

} // namespace sesamesill
