// Encodes and decodes records, follows a stream across trimmed records, and splits snapshots into
// parts.

#include "sesamesill/journal.h"

#include <algorithm>
#include <memory>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr std::int64_t record_version = 1;
constexpr std::size_t item_overhead_bytes = 32; ///< added to the size of each item of a snapshot

constexpr name_table<record_fault, 4> fault_names{{{record_fault::none, "none"},
                                                   {record_fault::unreadable, "unreadable"},
                                                   {record_fault::unknown_writer, "unknown writer"},
                                                   {record_fault::newer_version, "newer version"}}};

std::string text_of(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<Json::Value> parse(const std::string& data)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string faults;
    try {
        if (!reader->parse(data.data(), data.data() + data.size(), &value, &faults)) {
            return std::nullopt;
        }
    }
    catch (const Json::Exception&) {
        return std::nullopt; // the parser throws if the nesting is too deep
    }
    return value.isObject() ? std::optional<Json::Value>(std::move(value)) : std::nullopt;
}

bool is_member(const std::string& writer)
{
    const std::size_t mark = writer.find('#');
    return mark != std::string::npos && mark > 0 && mark + 1 < writer.size();
}

bool are_items(const Json::Value& items)
{
    return items.isArray() && std::all_of(items.begin(), items.end(), [](const Json::Value& item) {
               return item.isObject() && item["type"].isString();
           });
}

bool is_part(const Json::Value& v)
{
    return v["id"].isString() && v["part"].isUInt64() && v["parts"].isUInt64() &&
           v["covers"].isUInt64() && v["items"].isArray() && v["part"] < v["parts"];
}

std::map<std::string, std::uint64_t> seen_from(const Json::Value& value)
{
    std::map<std::string, std::uint64_t> result;
    for (const std::string& writer :
         value.isObject() ? value.getMemberNames() : Json::Value::Members()) {
        result[writer] = value[writer].isUInt64() ? value[writer].asUInt64() : 0;
    }
    return result;
}

} // namespace

std::string_view name_of(record_fault fault)
{
    return name_in(fault_names, fault);
}

std::string encode(const log_record& record)
{
    std::vector<std::string> items;
    for (const Json::Value& item : record.items) {
        items.push_back(text_of(item));
    }
    return encode(record.writer, record.seq, items);
}

std::string encode(const std::string& writer, std::uint64_t seq,
                   const std::vector<std::string>& items)
{
    std::string text = "{\"v\":" + std::to_string(record_version) +
                       ",\"writer\":" + text_of(Json::Value(writer)) +
                       ",\"seq\":" + std::to_string(seq) + ",\"items\":[";
    for (std::size_t i = 0; i < items.size(); ++i) {
        text += i > 0 ? "," : "";
        text += items[i];
    }
    return text + "]}";
}

std::optional<log_record> decode(const std::string& data, record_fault& fault)
{
    std::optional<Json::Value> value = parse(data);
    fault = record_fault::unreadable;
    if (!value || !(*value)["v"].isInt64()) {
        return std::nullopt;
    }
    if ((*value)["v"].asInt64() > record_version) {
        fault = record_fault::newer_version;
        return std::nullopt;
    }
    if ((*value)["v"].asInt64() != record_version || !(*value)["writer"].isString() ||
        !(*value)["seq"].isUInt64() || !are_items((*value)["items"])) {
        return std::nullopt;
    }
    log_record record;
    record.writer = (*value)["writer"].asString();
    if (!is_member(record.writer)) {
        fault = record_fault::unknown_writer;
        return std::nullopt;
    }
    record.seq = (*value)["seq"].asUInt64();
    record.items = std::move((*value)["items"]);
    fault = record_fault::none;
    return record;
}

reader_events stream_reader::process(std::uint64_t first, std::uint64_t end,
                                     const std::vector<raw_record>& records)
{
    reader_events out;
    if (halted_) {
        return out;
    }
    if (first > next_) {
        next_ = first;
        trimmed_below_ = first;
        complete_ = false;
        awaiting_snapshot_ = true;
        held_records_.clear();
        snapshot_.reset();
        out.emplace_back();
        out.back().what = reader_event::kind::trimmed;
        out.back().offset = first;
    }
    for (const raw_record& raw : records) {
        if (raw.offset >= next_ && !halted_) {
            next_ = raw.offset + 1;
            handle_record(raw, out);
        }
    }
    if (next_ >= end && !halted_) {
        if (awaiting_snapshot_) {
            deliver_held(out);
        }
        caught_up_ = true;
    }
    return out;
}

reader_events stream_reader::process_next(const raw_record& record)
{
    return process(0, record.offset + 1, {record});
}

void stream_reader::handle_record(const raw_record& raw, reader_events& out)
{
    record_fault fault = record_fault::none;
    const std::optional<log_record> record = decode(raw.data, fault);
    if (!record) {
        halted_ = fault == record_fault::newer_version;
        out.emplace_back();
        out.back().what = reader_event::kind::fault;
        out.back().offset = raw.offset;
        out.back().fault = fault;
        return;
    }
    if (!awaiting_snapshot_) {
        deliver(*record, raw.offset, out);
        return;
    }
    held_records_.push_back(raw);
    for (const Json::Value& item : record->items) {
        if (item["type"] == Json::Value("snapshot")) {
            add_snapshot_part(item, out);
        }
    }
}

void stream_reader::deliver(const log_record& record, std::uint64_t offset, reader_events& out)
{
    std::uint64_t& highest = seen_[record.writer];
    if (record.seq <= highest) {
        return;
    }
    highest = record.seq;
    for (const Json::Value& value : record.items) {
        if (value["type"] == Json::Value("snapshot")) {
            add_snapshot_part(value, out);
            continue;
        }
        out.emplace_back();
        out.back().item = {value["type"].asString(), record.writer, offset, value};
    }
    out.emplace_back();
    out.back().what = reader_event::kind::record;
    out.back().writer = record.writer;
    out.back().seq = record.seq;
    out.back().offset = offset;
}

void stream_reader::add_snapshot_part(const Json::Value& part, reader_events& out)
{
    if (complete_ || !is_part(part)) {
        return;
    }
    const std::string id = part["id"].asString();
    if (!snapshot_ || snapshot_->id != id) {
        snapshot_.emplace();
        snapshot_->id = id;
        snapshot_->covers = part["covers"].asUInt64();
        snapshot_->parts = part["parts"].asUInt64();
    }
    const std::size_t index = part["part"].asUInt64();
    snapshot_->items[index] = part["items"];
    if (part.isMember("seen")) {
        snapshot_->seen = seen_from(part["seen"]);
    }
    if (snapshot_->items.size() < snapshot_->parts) {
        return;
    }
    if (snapshot_->covers >= trimmed_below_) {
        restore(out);
    }
    snapshot_.reset();
}

void stream_reader::restore(reader_events& out)
{
    const detail::partial_snapshot snapshot = std::move(*snapshot_);
    complete_ = true;
    for (const auto& part : snapshot.items) {
        for (const Json::Value& item : part.second) {
            if (!item.isObject() || !item["v"].isObject() || !item["v"]["type"].isString() ||
                !item["w"].isString() || !item["o"].isUInt64()) {
                continue;
            }
            out.emplace_back();
            out.back().item = {item["v"]["type"].asString(), item["w"].asString(),
                               item["o"].asUInt64(), item["v"]};
        }
    }
    for (const auto& entry : snapshot.seen) {
        std::uint64_t& highest = seen_[entry.first];
        highest = std::max(highest, entry.second);
    }
    held_records_.erase(
        std::remove_if(held_records_.begin(), held_records_.end(),
                       [&snapshot](const raw_record& r) { return r.offset < snapshot.covers; }),
        held_records_.end());
    out.emplace_back();
    out.back().what = reader_event::kind::restored;
    out.back().offset = snapshot.covers;
    if (awaiting_snapshot_) {
        deliver_held(out);
    }
}

/// Delivers the records that were kept until a snapshot was read or the end of the stream reached.
void stream_reader::deliver_held(reader_events& out)
{
    awaiting_snapshot_ = false;
    std::vector<raw_record> held;
    held.swap(held_records_);
    for (const raw_record& raw : held) {
        record_fault fault = record_fault::none;
        const std::optional<log_record> record = decode(raw.data, fault);
        if (record) {
            deliver(*record, raw.offset, out);
        }
    }
}

micros commit_pacer::interval() const
{
    const double seconds =
        static_cast<double>(std::max<std::size_t>(1, members_)) / budget_.per_second;
    const micros share(static_cast<std::int64_t>(seconds * 1e6));
    return std::max(share, micros(budget_.min_interval));
}

std::vector<Json::Value> snapshot_parts(const std::string& id, std::uint64_t covers,
                                        const std::map<std::string, std::uint64_t>& seen,
                                        const std::vector<journal_item>& items)
{
    std::vector<Json::Value> parts(1);
    std::size_t bytes = 0;
    for (const journal_item& item : items) {
        Json::Value entry;
        entry["w"] = item.writer;
        entry["o"] = static_cast<Json::UInt64>(item.offset);
        entry["v"] = item.value;
        const std::size_t size = text_of(entry).size() + item_overhead_bytes;
        if (bytes > 0 && bytes + size > max_snapshot_part_bytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back()["items"].append(std::move(entry));
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        Json::Value& part = parts[i];
        part["type"] = "snapshot";
        part["id"] = id;
        part["covers"] = static_cast<Json::UInt64>(covers);
        part["part"] = static_cast<Json::UInt64>(i);
        part["parts"] = static_cast<Json::UInt64>(parts.size());
        if (!part.isMember("items")) {
            part["items"] = Json::Value(Json::arrayValue);
        }
    }
    for (const auto& entry : seen) {
        parts.front()["seen"][entry.first] = static_cast<Json::UInt64>(entry.second);
    }
    return parts;
}

} // namespace sesamesill
