// Tests records, the stream reader, snapshots and append pacing. Guards against records delivered
// twice, undetected loss of trimmed records, crashes on malformed records, and snapshot parts
// without a bound.

#include <criterion/criterion.h>

#include "sesamesill/journal.h"

using namespace sesamesill;

namespace {

Json::Value item_of(const std::string& text)
{
    Json::Value item;
    item["type"] = "note";
    item["text"] = text;
    return item;
}

raw_record record_at(std::uint64_t offset, const std::string& writer, std::uint64_t seq,
                     const Json::Value& item)
{
    log_record record{writer, seq, Json::Value(Json::arrayValue)};
    record.items.append(item);
    return {offset, encode(record)};
}

std::string item_texts(const reader_events& events)
{
    std::string all;
    for (const reader_event& e : events) {
        all += e.what == reader_event::kind::item ? e.item.value["text"].asString() : "";
    }
    return all;
}

std::size_t count(const reader_events& events, reader_event::kind what)
{
    std::size_t n = 0;
    for (const reader_event& e : events) {
        n += e.what == what ? 1 : 0;
    }
    return n;
}

} // namespace

Test(journal, a_duplicate_record_is_delivered_once)
{
    stream_reader reader;
    const reader_events events = reader.process(0, 3,
                                                {record_at(0, "e1#1", 1, item_of("a")),
                                                 record_at(1, "e2#1", 1, item_of("b")),
                                                 record_at(2, "e1#1", 1, item_of("a"))});
    cr_assert(item_texts(events) == "ab");
    cr_assert(reader.caught_up() && reader.complete());
}

Test(journal, an_unreadable_record_is_skipped_and_a_newer_version_halts)
{
    stream_reader reader;
    const reader_events skipped = reader.process(0, 4,
                                                 {{0, "{\"v\":"},
                                                  {1, "[[]]"},
                                                  {2, encode({"nobody", 1, Json::arrayValue})},
                                                  record_at(3, "e1#1", 1, item_of("a"))});
    cr_assert(count(skipped, reader_event::kind::fault) == 3);
    cr_assert(skipped[2].fault == record_fault::unknown_writer);
    cr_assert(item_texts(skipped) == "a");
    const reader_events halt =
        reader.process(0, 6, {{4, "{\"v\":2,\"x\":1}"}, record_at(5, "e1#1", 2, item_of("b"))});
    cr_assert(count(halt, reader_event::kind::fault) == 1);
    cr_assert(halt[0].fault == record_fault::newer_version);
    cr_assert(reader.halted() && item_texts(halt).empty());
}

Test(journal, deep_nesting_is_reported_as_a_fault)
{
    stream_reader reader;
    const reader_events events = reader.process(0, 1, {{0, std::string(100000, '[')}});
    cr_assert(count(events, reader_event::kind::fault) == 1);
}

Test(journal, a_start_below_the_trim_point_is_reported)
{
    stream_reader reader;
    const reader_events events = reader.process(7, 8, {record_at(7, "e1#1", 9, item_of("x"))});
    cr_assert(events[0].what == reader_event::kind::trimmed);
    cr_assert_not(reader.complete());
    cr_assert(item_texts(events) == "x");
}

Test(journal, a_snapshot_replaces_trimmed_records)
{
    const std::vector<journal_item> kept{{"note", "e1#1", 1, item_of("a")},
                                         {"note", "e2#1", 4, item_of("b")}};
    const std::vector<Json::Value> parts = snapshot_parts("e1#1:5", 5, {{"e1#1", 3}}, kept);
    cr_assert(parts.size() == 1);
    stream_reader reader;
    // The log begins at offset 3. The snapshot covers the records at 3 and 4; the one at 5 came
    // later.
    const reader_events events = reader.process(
        3, 8,
        {record_at(3, "e1#1", 3, item_of("old")), record_at(4, "e2#1", 1, item_of("b")),
         record_at(5, "e2#1", 2, item_of("c")), record_at(6, "e1#1", 4, parts[0]),
         record_at(7, "e1#1", 3, item_of("copy"))});
    cr_assert(item_texts(events) == "abc");
    cr_assert(reader.complete());
    cr_assert(count(events, reader_event::kind::restored) == 1);
}

Test(journal, a_snapshot_that_ends_below_the_trim_point_is_ignored)
{
    const std::vector<Json::Value> parts = snapshot_parts("e1#1:5", 5, {}, {});
    stream_reader reader;
    reader.process(6, 7, {record_at(6, "e1#1", 4, parts[0])});
    cr_assert_not(reader.complete());
    const std::vector<Json::Value> later = snapshot_parts("e1#1:7", 7, {}, {});
    reader.process(6, 8, {record_at(7, "e1#1", 5, later[0])});
    cr_assert(reader.complete());
}

Test(journal, snapshot_parts_are_bounded)
{
    const std::vector<journal_item> items(2000,
                                          {"note", "e1#1", 1, item_of(std::string(1000, 'x'))});
    const std::vector<Json::Value> parts = snapshot_parts("s", 5, {}, items);
    cr_assert(parts.size() > 1);
    std::size_t total = 0;
    for (const Json::Value& part : parts) {
        total += part["items"].size();
        cr_assert(encode({"e1#1", 1, part}).size() < 2 * max_snapshot_part_bytes);
    }
    cr_assert(total == items.size());
}

Test(journal, members_share_the_append_budget)
{
    for (const std::size_t members : {1U, 6U, 60U}) {
        commit_pacer pacer(append_budget{});
        pacer.set_member_count(members);
        const double each = 1e6 / static_cast<double>(pacer.interval().count());
        cr_assert(each * static_cast<double>(members) <= 301.0);
    }
}
