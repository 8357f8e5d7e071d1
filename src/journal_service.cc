// Group commit and tailing. A group whose answer was lost is sent again under the same sequence
// number; readers skip the copy.

#include "journal_service.h"

#include <algorithm>

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {
namespace {

constexpr std::int64_t record_version = 1;
constexpr std::size_t max_group_items = 2000;
constexpr millis read_wait{500};
constexpr millis retry_delay{100};

} // namespace

journal_service::journal_service(event_loop& loop, http_client& client,
                                 const node_settings& settings, std::string incarnation)
    : loop_(loop), client_(client), settings_(settings),
      writer_(settings.name + "#" + std::move(incarnation))
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
        loop_.every(settings_.commit_interval, [this, &s] { commit(s); });
    }
}

void journal_service::on(const std::string& type, std::function<void(const journal_item&)> handler)
{
    handlers_[type].push_back(std::move(handler));
}

append_ticket journal_service::append(const std::string& stream, Json::Value item, append_done done)
{
    const append_ticket ticket = next_ticket_++;
    streams_.at(stream).queue.push_back({ticket, std::move(item), std::move(done)});
    return ticket;
}

bool journal_service::cancel(append_ticket ticket)
{
    for (std::pair<const std::string, stream_state>& entry : streams_) {
        std::deque<waiting_item>& queue = entry.second.queue;
        const auto found =
            std::find_if(queue.begin(), queue.end(),
                         [ticket](const waiting_item& item) { return item.ticket == ticket; });
        if (found != queue.end()) {
            queue.erase(found);
            return true;
        }
    }
    return false;
}

bool journal_service::caught_up() const
{
    return std::all_of(streams_.begin(), streams_.end(),
                       [](const auto& entry) { return entry.second.caught_up; });
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
    http_call call;
    call.path = "/streams/" + s.name + "/records?from=" + std::to_string(s.next) +
                "&max=1000&wait_ms=" + std::to_string(read_wait.count());
    call.timeout = settings_.log_timeout + read_wait;
    const time_point begun = boot_clock::now();
    client_.send(settings_.log, std::move(call),
                 [this, &s, begun](const std::optional<http_reply>& reply, const error& why) {
                     const std::optional<Json::Value> answer =
                         reply && reply->status == 200 ? json_from(reply->body) : std::nullopt;
                     if (!answer || !answer->isObject()) {
                         log_error("log_read_failed",
                                   {why.code, step::log_read, to_string(settings_.log),
                                    reply ? reply->body : why.reason});
                         loop_.after(retry_delay, [this, &s] { read(s); });
                         return;
                     }
                     take_records(s, *answer, begun);
                     read(s);
                 });
}

void journal_service::take_records(stream_state& s, const Json::Value& answer, time_point begun)
{
    for (const Json::Value& record : answer["records"]) {
        const std::uint64_t offset = record["offset"].asUInt64();
        if (offset >= s.next) {
            take_record(s, offset, record["data"].asString());
            s.next = offset + 1;
        }
    }
    s.next = std::max<std::uint64_t>(s.next, answer["first"].asUInt64());
    if (s.next >= answer["next"].asUInt64()) {
        s.caught_up = true;
        s.last_read_begun = begun;
    }
}

void journal_service::take_record(stream_state& s, std::uint64_t offset, const std::string& data)
{
    const std::optional<Json::Value> record = json_from(data);
    if (!record || !record->isObject() || !(*record)["items"].isArray() ||
        !(*record)["writer"].isString() || !(*record)["seq"].isUInt64() ||
        (*record)["v"] != Json::Value(static_cast<Json::Int64>(record_version))) {
        log_error("record_skipped", {error_code::corrupt, step::log_read, s.name,
                                     "offset " + std::to_string(offset) + " cannot be read"});
        return;
    }
    const std::string writer = (*record)["writer"].asString();
    const std::uint64_t seq = (*record)["seq"].asUInt64();
    if (seq <= s.seen[writer]) {
        return;
    }
    s.seen[writer] = seq;
    for (const Json::Value& item : (*record)["items"]) {
        const std::string type = item["type"].asString();
        for (const std::function<void(const journal_item&)>& handler : handlers_[type]) {
            handler({type, writer, offset, item});
        }
    }
    if (writer == writer_) {
        confirm(s, seq, offset);
    }
}

void journal_service::commit(stream_state& s)
{
    if (!s.in_flight.empty() || s.queue.empty()) {
        return;
    }
    Json::Value record;
    record["v"] = static_cast<Json::Int64>(record_version);
    record["writer"] = writer_;
    s.in_flight_seq = s.next_seq++;
    record["seq"] = static_cast<Json::UInt64>(s.in_flight_seq);
    while (!s.queue.empty() && s.in_flight.size() < max_group_items) {
        record["items"].append(s.queue.front().value);
        s.in_flight.push_back(std::move(s.queue.front()));
        s.queue.pop_front();
    }
    s.in_flight_body = to_text(record);
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
    client_.send(settings_.log, std::move(call),
                 [this, &s, seq](const std::optional<http_reply>& reply, const error& why) {
                     const std::optional<Json::Value> answer =
                         reply && reply->status == 200 ? json_from(reply->body) : std::nullopt;
                     if (answer && answer->isObject() && (*answer)["offset"].isUInt64()) {
                         answered(s, seq, (*answer)["offset"].asUInt64());
                         return;
                     }
                     log_error("log_append_failed",
                               {why.code, step::log_append, to_string(settings_.log),
                                reply ? reply->body : why.reason});
                     loop_.after(retry_delay, [this, &s, seq] {
                         if (s.in_flight_seq == seq && !s.in_flight.empty()) {
                             send_group(s);
                         }
                     });
                 });
}

/// Takes an own record without waiting for the next read where no other stands before it.
void journal_service::answered(stream_state& s, std::uint64_t seq, std::uint64_t offset)
{
    if (s.caught_up && s.next == offset && s.in_flight_seq == seq && !s.in_flight.empty()) {
        s.next = offset + 1;
        const std::string body = s.in_flight_body;
        take_record(s, offset, body);
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
    commit(s);
}

} // namespace sesamesill
