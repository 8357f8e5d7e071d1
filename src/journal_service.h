// The platform's log as the members use it: tails both streams and commits items in groups.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

struct journal_item {
    std::string type;
    std::string writer; ///< name and incarnation of the member that wrote it
    std::uint64_t offset = 0;
    Json::Value value;
};

using append_ticket = std::uint64_t;
/// Gets the offset once the item is known to be in the log.
using append_done = std::function<void(std::uint64_t offset)>;

class journal_service {
public:
    journal_service(event_loop& loop, http_client& client, const node_settings& settings,
                    std::string incarnation);

    void start();
    /// Runs `handler` for each item of `type`, in log order, each item once.
    void on(const std::string& type, std::function<void(const journal_item&)> handler);
    /// Adds an item to the next group of `stream` ("cell" or "config").
    append_ticket append(const std::string& stream, Json::Value item, append_done done);
    /// Takes an item back; false where it may already be in the log.
    bool cancel(append_ticket ticket);

    /// Returns whether both streams were read to their end at least once.
    bool caught_up() const;
    /// Returns when the newest read of `cell` that reached the end of the stream was begun.
    time_point last_read_begun() const { return streams_.at("cell").last_read_begun; }
    const std::string& writer() const { return writer_; }
    std::uint64_t appends() const { return appends_; }
    std::size_t waiting() const;

private:
    struct waiting_item {
        append_ticket ticket = 0;
        Json::Value value;
        append_done done;
    };

    struct stream_state {
        std::string name;
        std::uint64_t next = 0;
        bool caught_up = false;
        time_point last_read_begun;
        std::deque<waiting_item> queue;
        std::vector<waiting_item> in_flight; ///< one group at a time
        std::string in_flight_body;
        std::uint64_t in_flight_seq = 0;
        std::uint64_t next_seq = 1;
        std::map<std::string, std::uint64_t> seen; ///< highest seq of each writer
    };

    void read(stream_state& s);
    void take_records(stream_state& s, const Json::Value& answer, time_point begun);
    void take_record(stream_state& s, std::uint64_t offset, const std::string& data);
    void commit(stream_state& s);
    void send_group(stream_state& s);
    void answered(stream_state& s, std::uint64_t seq, std::uint64_t offset);
    void confirm(stream_state& s, std::uint64_t seq, std::uint64_t offset);

    event_loop& loop_;
    http_client& client_;
    const node_settings& settings_;
    std::string writer_;
    std::map<std::string, stream_state> streams_;
    std::map<std::string, std::vector<std::function<void(const journal_item&)>>> handlers_;
    append_ticket next_ticket_ = 1;
    std::uint64_t appends_ = 0;
};

} // namespace sesamesill
