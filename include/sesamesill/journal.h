// Records in the platform's log: their form, how a stream of them is followed from any point, when
// the next group may be sent, and the snapshots that outlive what the log trims.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"

namespace sesamesill {

/// One group of items as it stands in the log.
struct log_record {
    std::string writer;    ///< name and incarnation of a member: "e1#17"
    std::uint64_t seq = 0; ///< counts the records of one writer in one stream, from 1
    Json::Value items;     ///< array of objects, each with a "type"
};

enum class record_fault : std::uint8_t {
    none,
    unreadable,     ///< skipped: no member can have acted on it
    unknown_writer, ///< skipped: not written by a member
    newer_version   ///< halts the reader: it may bind members that can read it
};

std::string_view name_of(record_fault fault);

std::string encode(const log_record& record);
/// Returns the record of items that are JSON texts already.
std::string encode(const std::string& writer, std::uint64_t seq,
                   const std::vector<std::string>& items);
/// Returns the record, or nothing and the fault.
std::optional<log_record> decode(const std::string& data, record_fault& fault);

struct journal_item {
    std::string type;
    std::string writer; ///< name and incarnation of the member that wrote it
    std::uint64_t offset = 0;
    Json::Value value;
};

/// A record as the log service hands it out.
struct raw_record {
    std::uint64_t offset = 0;
    std::string data;
};

struct reader_event {
    enum class kind : std::uint8_t {
        item,    ///< a new item, in log order; items of a snapshot come with their own offsets
        record,  ///< all items of the record (writer, seq) were handed out
        fault,   ///< a record that cannot be taken
        trimmed, ///< records were trimmed before they could be read
        restored ///< a snapshot covers what was trimmed
    };

    kind what = kind::item;
    journal_item item;
    std::string writer;
    std::uint64_t seq = 0;
    std::uint64_t offset = 0;
    record_fault fault = record_fault::none;
};

using reader_events = std::vector<reader_event>;

namespace detail {

/// The parts of the snapshot that is being read.
struct partial_snapshot {
    std::string id;
    std::uint64_t covers = 0; ///< all records below this offset
    std::size_t parts = 0;
    std::map<std::size_t, Json::Value> items;
    std::map<std::string, std::uint64_t> seen;
};

} // namespace detail

/// Follows one stream. Invariant: each (writer, seq) is handed out at most once.
class stream_reader {
public:
    /// Takes one answer of the log: `first` is the oldest offset kept, `end` the next to be given.
    reader_events process(std::uint64_t first, std::uint64_t end,
                          const std::vector<raw_record>& records);
    /// Takes a record that stands exactly at `next()`, without a read.
    reader_events process_next(const raw_record& record);

    std::uint64_t next() const { return next_; }
    /// Returns whether the end of the stream was reached at least once.
    bool caught_up() const { return caught_up_; }
    /// Returns whether all that was ever written is known, from records or from a snapshot.
    bool complete() const { return complete_; }
    /// Returns whether a record of a newer version stopped the reader.
    bool halted() const { return halted_; }
    const std::map<std::string, std::uint64_t>& seen() const { return seen_; }

private:
    void handle_record(const raw_record& raw, reader_events& out);
    void deliver(const log_record& record, std::uint64_t offset, reader_events& out);
    void add_snapshot_part(const Json::Value& part, reader_events& out);
    void restore(reader_events& out);
    void deliver_held(reader_events& out);

    std::uint64_t next_ = 0;
    std::uint64_t trimmed_below_ = 0; ///< records below were trimmed unread
    bool caught_up_ = false;
    bool complete_ = true;
    bool halted_ = false;
    bool awaiting_snapshot_ = false; ///< records wait in `held_records_` for a snapshot
    std::vector<raw_record> held_records_;
    std::map<std::string, std::uint64_t> seen_; ///< highest seq of each writer
    std::optional<detail::partial_snapshot> snapshot_;
};

/// Bounds of the appends of all members together.
struct append_budget {
    double per_second = 300.0;
    millis min_interval{5}; ///< between two groups of one member, also when it is alone
};

/// Says when a member may send its next group. An idle member sends at once; a busy one fills its
/// share; one group is in flight at a time, so a slow log makes groups larger, not more.
class commit_pacer {
public:
    explicit commit_pacer(append_budget budget) : budget_(budget) {}

    void set_member_count(std::size_t members) { members_ = members; }
    /// Returns the time between two appends of this member.
    micros interval() const;
    time_point next() const { return last_ + interval(); }
    void sent(time_point now) { last_ = now; }

private:
    append_budget budget_;
    std::size_t members_ = 6;
    time_point last_;
};

constexpr std::size_t max_snapshot_part_bytes = std::size_t{256} * 1024;

/// Returns the items that hold a snapshot of all records below `covers`, each bounded in size.
std::vector<Json::Value> snapshot_parts(const std::string& id, std::uint64_t covers,
                                        const std::map<std::string, std::uint64_t>& seen,
                                        const std::vector<journal_item>& items);

} // namespace sesamesill
