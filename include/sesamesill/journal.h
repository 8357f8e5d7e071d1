// Records of the platform's append-only log: their encoding, a reader that follows a stream from
// any offset, the pacing of appends, and snapshots that replace records the log has trimmed.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"

namespace sesamesill {

/// A group of items that is stored in the log as one record.
struct log_record {
    std::string writer;    ///< name and incarnation of the member that wrote it, such as "e1#17"
    std::uint64_t seq = 0; ///< number of the record among those of its writer in the stream, from 1
    Json::Value items;     ///< array of objects, each with a "type"
};

enum class record_fault : std::uint8_t {
    none,
    unreadable,     ///< the reader skips the record: no member can have acted on it
    unknown_writer, ///< the reader skips the record: no member wrote it
    newer_version   ///< the reader halts: members of the newer version may have acted on the record
};

std::string_view name_of(record_fault fault);

std::string encode(const log_record& record);
/// Encodes a record whose items are already JSON texts.
std::string encode(const std::string& writer, std::uint64_t seq,
                   const std::vector<std::string>& items);
/// Decodes a record. Returns nothing and sets `fault` if it cannot be accepted.
std::optional<log_record> decode(const std::string& data, record_fault& fault);

struct journal_item {
    std::string type;
    std::string writer; ///< name and incarnation of the member that wrote it
    std::uint64_t offset = 0;
    Json::Value value;
};

/// An encoded record as the log service returns it.
struct raw_record {
    std::uint64_t offset = 0;
    std::string data;
};

struct reader_event {
    enum class kind : std::uint8_t {
        item,    ///< a new item, in log order; an item of a snapshot has its original offset
        record,  ///< all items of the record (writer, seq) were delivered
        fault,   ///< the record was not accepted, see `reader_event::fault`
        trimmed, ///< the log trimmed records before they were read
        restored ///< a snapshot that covers the trimmed records was delivered
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

/// The parts read so far of a snapshot that is split over several items.
struct partial_snapshot {
    std::string id;
    std::uint64_t covers = 0; ///< the snapshot replaces all records below this offset
    std::size_t parts = 0;
    std::map<std::size_t, Json::Value> items;
    std::map<std::string, std::uint64_t> seen;
};

} // namespace detail

/// Follows one stream. Invariant: the record of each (writer, seq) is delivered at most once.
class stream_reader {
public:
    /// Processes one reply of the log: `first` is the oldest offset that the log keeps, `end` the
    /// offset that it assigns next.
    reader_events process(std::uint64_t first, std::uint64_t end,
                          const std::vector<raw_record>& records);
    /// Processes a record whose offset is known to be `next()`, without reading it from the log.
    reader_events process_next(const raw_record& record);

    std::uint64_t next() const { return next_; }
    /// Returns whether the reader has reached the end of the stream at least once.
    bool caught_up() const { return caught_up_; }
    /// Returns whether the whole history is known, from records or from a snapshot.
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
    std::uint64_t trimmed_below_ =
        0; ///< records below this offset were trimmed before they were read
    bool caught_up_ = false;
    bool complete_ = true;
    bool halted_ = false;
    bool awaiting_snapshot_ =
        false; ///< records are kept in `held_records_` until a snapshot is read
    std::vector<raw_record> held_records_;
    std::map<std::string, std::uint64_t> seen_; ///< highest seq of each writer
    std::optional<detail::partial_snapshot> snapshot_;
};

/// Limits the appends of all members together.
struct append_budget {
    double per_second = 300.0; ///< appends of all members
    millis min_interval{5};    ///< between two groups of one member, even if it is the only member
};

/// Computes when a member may send its next group. An idle member sends at once; a busy one is
/// limited to its share of the budget. One group is in flight at a time, so a slow log leads to
/// larger groups and not to more of them.
class commit_pacer {
public:
    explicit commit_pacer(append_budget budget) : budget_(budget) {}

    void set_member_count(std::size_t members) { members_ = members; }
    /// Returns the minimum time between two appends of this member.
    micros interval() const;
    time_point next() const { return last_ + interval(); }
    void sent(time_point now) { last_ = now; }

private:
    append_budget budget_;
    std::size_t members_ = 6;
    time_point last_;
};

constexpr std::size_t max_snapshot_part_bytes = std::size_t{256} * 1024;

/// Splits a snapshot of all records below `covers` into items of bounded size.
std::vector<Json::Value> snapshot_parts(const std::string& id, std::uint64_t covers,
                                        const std::map<std::string, std::uint64_t>& seen,
                                        const std::vector<journal_item>& items);

} // namespace sesamesill
