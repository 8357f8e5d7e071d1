// Follows the log and appends groups of items over HTTP. A group whose reply is lost is sent again
// with the same sequence number; readers skip the duplicate.

#include "journal_service.h"

#include <algorithm>

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {
namespace {

constexpr std::size_t max_group_items = 2000;
constexpr std::size_t max_group_bytes = std::size_t{512} * 1024;
constexpr millis max_read_wait{500};
/// A read renews this member's authority, so several reads must fit into one lease.
constexpr int reads_per_lease = 4;
constexpr millis min_idle_read_interval{20};
constexpr millis min_backoff{50};
constexpr millis max_backoff{500};
constexpr millis snapshot_check_interval{500};

std::vector<raw_record> records_from(const Json::Value& answer)
{
    std::vector<raw_record> result;
    for (const Json::Value& record : answer["records"]) {
        if (record.isObject() && record["offset"].isUInt64() && record["data"].isString()) {
            result.push_back({record["offset"].asUInt64(), record["data"].asString()});
        }
    }
    return result;
}

bool is_read_answer(const Json::Value& answer)
{
    return answer.isObject() && answer["first"].isUInt64() && answer["next"].isUInt64() &&
           answer["records"].isArray();
}

} // namespace

journal_service::journal_service(event_loop& loop, http_client& client,
                                 const node_settings& settings, std::string incarnation)
    : loop_(loop), client_(client), settings_(settings),
      writer_(settings.name + "#" + std::move(incarnation)),
      pacer_({append_budget{}.per_second, settings.commit_interval})
{
    for (const char* name : {"cell", "config"}) {
        streams_[name].name = name;
    }
}

void journal_service::start()
{
    for (std::pair<const std::string, stream_state>& entry : streams_) {
        stream_state& s = entry.second;
        read(s);
        loop_.every(snapshot_check_interval, [this, &s] { write_snapshot(s); });
    }
}

void journal_service::on(const std::string& type, std::function<void(const journal_item&)> handler)
{
    handlers_[type].push_back(std::move(handler));
}

append_ticket journal_service::append(const std::string& stream, const Json::Value& item,
                                      append_done done)
{
    const append_ticket ticket = next_ticket_++;
    stream_state& s = streams_.at(stream);
    s.queue.push_back({ticket, to_text(item), std::move(done)});
    plan_commit(s);
    return ticket;
}

bool journal_service::cancel(append_ticket ticket)
{
    for (std::pair<const std::string, stream_state>& entry : streams_) {
        std::deque<waiting_item>& queue = entry.second.queue;
        const auto found =
            std::lower_bound(queue.begin(), queue.end(), ticket,
                             [](const waiting_item& i, append_ticket t) { return i.ticket < t; });
        if (found != queue.end() && found->ticket == ticket) {
            queue.erase(found);
            return true;
        }
    }
    return false;
}

void journal_service::add_snapshot_source(const std::string& stream, snapshot_source source)
{
    streams_.at(stream).sources.push_back(std::move(source));
}

void journal_service::set_members(std::size_t count, bool writes_snapshots)
{
    pacer_.set_member_count(count);
    writes_snapshots_ = writes_snapshots;
}

bool journal_service::caught_up() const
{
    return std::all_of(streams_.begin(), streams_.end(),
                       [](const auto& entry) { return entry.second.reader.caught_up(); });
}

bool journal_service::complete(const std::string& stream) const
{
    const stream_reader& reader = streams_.at(stream).reader;
    return reader.caught_up() && reader.complete() && !reader.halted();
}

bool journal_service::halted() const
{
    return std::any_of(streams_.begin(), streams_.end(),
                       [](const auto& entry) { return entry.second.reader.halted(); });
}

std::size_t journal_service::waiting() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, stream_state>& entry : streams_) {
        count += entry.second.queue.size() + entry.second.in_flight.size();
    }
    return count;
}

void journal_service::read(stream_state& s)
{
    const millis read_wait = std::min(max_read_wait, settings_.lease / reads_per_lease);
    http_call call;
    call.path = "/streams/" + s.name + "/records?from=" + std::to_string(s.reader.next()) +
                "&max=1000&wait_ms=" + std::to_string(read_wait.count());
    call.timeout = settings_.log_timeout + read_wait;
    const time_point start_time = boot_clock::now();
    client_.send(settings_.log, std::move(call),
                 [this, &s, start_time](const std::optional<http_reply>& reply, const error& why) {
                     const std::optional<Json::Value> answer =
                         reply && reply->status == 200 ? json_from(reply->body) : std::nullopt;
                     if (!answer || !is_read_answer(*answer)) {
                         log_error("log_read_failed",
                                   {why.code, step::log_read, to_string(settings_.log),
                                    reply ? reply->body : why.reason});
                         schedule_read(s, true, false, start_time);
                         return;
                     }
                     const bool idle = handle_read_reply(s, *answer, start_time);
                     schedule_read(s, false, idle, start_time);
                 });
}

void journal_service::schedule_read(stream_state& s, bool failed, bool idle, time_point start_time)
{
    if (s.reader.halted()) {
        return;
    }
    s.read_backoff = failed ? std::clamp(s.read_backoff * 2, min_backoff, max_backoff) : millis(0);
    const millis passed = std::chrono::duration_cast<millis>(boot_clock::now() - start_time);
    const millis delay =
        idle && passed < min_idle_read_interval ? min_idle_read_interval : s.read_backoff;
    if (delay.count() == 0) {
        read(s);
        return;
    }
    loop_.after(delay, [this, &s] { read(s); });
}

/// Processes the reply to a read that was sent at `start_time`. Returns whether it has no records.
bool journal_service::handle_read_reply(stream_state& s, const Json::Value& answer,
                                        time_point start_time)
{
    const std::vector<raw_record> records = records_from(answer);
    const std::uint64_t end = answer["next"].asUInt64();
    handle_events(s, s.reader.process(answer["first"].asUInt64(), end, records));
    if (s.reader.next() >= end && !s.reader.halted()) {
        s.last_read_start = start_time;
    }
    return records.empty();
}

void journal_service::handle_events(stream_state& s, const reader_events& events)
{
    for (const reader_event& e : events) {
        switch (e.what) {
        case reader_event::kind::item:
            for (const std::function<void(const journal_item&)>& handler : handlers_[e.item.type]) {
                handler(e.item);
            }
            break;
        case reader_event::kind::record:
            if (e.writer == writer_) {
                confirm(s, e.seq, e.offset);
            }
            break;
        case reader_event::kind::fault:
            log_error(
                s.reader.halted() ? "stream_halted" : "record_skipped",
                {error_code::corrupt, step::log_read, s.name,
                 "offset " + std::to_string(e.offset) + ": " + std::string(name_of(e.fault))});
            break;
        case reader_event::kind::trimmed:
            s.trimmed = boot_clock::now();
            log_error("records_trimmed",
                      {error_code::not_found, step::log_read, s.name,
                       "trimmed unread records below offset " + std::to_string(e.offset)});
            report_gap(s, e.offset);
            break;
        case reader_event::kind::restored:
            log_event(log_level::info, "snapshot_restored",
                      {{"stream", s.name}, {"covers", static_cast<std::int64_t>(e.offset)}});
            break;
        }
    }
}

/// Passes an item of type "gap" to its handlers: records below `first` were trimmed unread.
void journal_service::report_gap(const stream_state& s, std::uint64_t first)
{
    journal_item gap{"gap", "", first, Json::Value(Json::objectValue)};
    gap.value["type"] = "gap";
    gap.value["stream"] = s.name;
    for (const std::function<void(const journal_item&)>& handler : handlers_["gap"]) {
        handler(gap);
    }
}

void journal_service::plan_commit(stream_state& s)
{
    if (s.commit_planned || !s.in_flight.empty() || s.queue.empty()) {
        return;
    }
    s.commit_planned = true;
    const millis wait =
        std::chrono::duration_cast<millis>(pacer_.next() - boot_clock::now()) + millis(1);
    loop_.after(std::max(wait, millis(1)), [this, &s] {
        s.commit_planned = false;
        if (pacer_.next() > boot_clock::now()) {
            plan_commit(s);
            return;
        }
        commit(s);
    });
}

void journal_service::commit(stream_state& s)
{
    if (!s.in_flight.empty() || s.queue.empty()) {
        return;
    }
    std::vector<std::string> items;
    std::size_t bytes = 0;
    while (!s.queue.empty() && items.size() < max_group_items &&
           (items.empty() || bytes + s.queue.front().text.size() <= max_group_bytes)) {
        bytes += s.queue.front().text.size();
        items.push_back(std::move(s.queue.front().text));
        s.in_flight.push_back(std::move(s.queue.front()));
        s.queue.pop_front();
    }
    s.in_flight_seq = s.next_seq++;
    s.in_flight_body = encode(writer_, s.in_flight_seq, items);
    send_group(s);
}

void journal_service::send_group(stream_state& s)
{
    http_call call;
    call.method = "POST";
    call.path = "/streams/" + s.name + "/append";
    call.body = s.in_flight_body;
    call.timeout = settings_.log_timeout;
    const std::uint64_t seq = s.in_flight_seq;
    ++appends_;
    appended_items_ += s.in_flight.size();
    appended_bytes_ += s.in_flight_body.size();
    pacer_.sent(boot_clock::now());
    client_.send(settings_.log, std::move(call),
                 [this, &s, seq](const std::optional<http_reply>& reply, const error& why) {
                     const std::optional<Json::Value> answer =
                         reply && reply->status == 200 ? json_from(reply->body) : std::nullopt;
                     if (answer && answer->isObject() && (*answer)["offset"].isUInt64()) {
                         handle_append_reply(s, seq, (*answer)["offset"].asUInt64());
                         return;
                     }
                     log_error("log_append_failed",
                               {why.code, step::log_append, to_string(settings_.log),
                                reply ? reply->body : why.reason});
                     loop_.after(max_backoff / 4, [this, &s, seq] {
                         if (s.in_flight_seq == seq && !s.in_flight.empty()) {
                             send_group(s);
                         }
                     });
                 });
}

/// Handles the offset of an appended group. If no unread record precedes the group, its record is
/// processed at once instead of being read from the log.
void journal_service::handle_append_reply(stream_state& s, std::uint64_t seq, std::uint64_t offset)
{
    const bool is_next = s.reader.caught_up() && !s.reader.halted() && s.reader.next() == offset;
    if (is_next && s.in_flight_seq == seq && !s.in_flight.empty()) {
        const raw_record own{offset, s.in_flight_body};
        handle_events(s, s.reader.process_next(own));
        return;
    }
    confirm(s, seq, offset);
}

void journal_service::confirm(stream_state& s, std::uint64_t seq, std::uint64_t offset)
{
    if (s.in_flight.empty() || s.in_flight_seq != seq) {
        return;
    }
    std::vector<waiting_item> group;
    group.swap(s.in_flight);
    for (const waiting_item& item : group) {
        if (item.done) {
            item.done(offset);
        }
    }
    plan_commit(s);
}

void journal_service::write_snapshot(stream_state& s)
{
    const time_point now = boot_clock::now();
    const bool due = now - s.last_snapshot >= settings_.snapshot_interval;
    if (!due || !writes_snapshots_ || s.sources.empty() || !complete(s.name)) {
        return;
    }
    s.last_snapshot = now;
    std::vector<journal_item> items;
    for (const snapshot_source& source : s.sources) {
        source(items);
    }
    const std::uint64_t covers = s.reader.next();
    const std::string id = writer_ + ":" + std::to_string(covers);
    const std::vector<Json::Value> parts = snapshot_parts(id, covers, s.reader.seen(), items);
    for (const Json::Value& part : parts) {
        append(s.name, part, nullptr);
    }
    log_event(log_level::info, "snapshot_written",
              {{"stream", s.name},
               {"covers", static_cast<std::int64_t>(covers)},
               {"items", static_cast<std::int64_t>(items.size())},
               {"parts", static_cast<std::int64_t>(parts.size())}});
}

} // namespace sesamesill
