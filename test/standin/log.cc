// Simulates the platform's log: append, read and trim, with faults that tests switch on (the log is
// down, cut off from some clients, slow, or loses answers to appends that it stored).

#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <random>
#include <set>

#include <gflags/gflags.h>

#include "common.h"

DEFINE_string(listen, "127.0.0.1:7001", "address and port to listen on");
DEFINE_string(journal, "/dev/null", "file that the journal is appended to");
DEFINE_uint64(seed, 1, "seed of the random faults");

namespace {

using namespace standin;

struct stream {
    std::uint64_t first_offset = 0;
    std::deque<std::string> records;
    std::deque<time_point> append_times; ///< when each of `records` was appended
    std::uint64_t next_offset() const { return first_offset + records.size(); }
};

struct waiting_read {
    std::string stream;
    std::string client;
    std::uint64_t from = 0;
    std::int64_t max = 0;
    time_point until;
    http_respond respond;
};

class log_service {
public:
    explicit log_service(event_loop& loop) : loop_(loop), journal_(FLAGS_journal)
    {
        random_.seed(FLAGS_seed);
    }

    void serve(http_server& server)
    {
        server.route(
            "POST", "/streams/",
            [this](const http_request& r, const http_respond& respond) { append(r, respond); });
        server.route(
            "GET", "/streams/",
            [this](const http_request& r, const http_respond& respond) { read(r, respond); });
        server.route(
            "POST", "/admin/mode",
            [this](const http_request& r, const http_respond& respond) { set_mode(r, respond); });
        server.route(
            "POST", "/admin/trim",
            [this](const http_request& r, const http_respond& respond) { trim(r, respond); });
        loop_.every(millis(5), [this] { wake_readers(); });
    }

private:
    static std::string stream_name(const http_request& request)
    {
        const std::string rest = request.path.substr(std::string("/streams/").size());
        return rest.substr(0, rest.find('/'));
    }

    bool is_unavailable_to(const http_request& request) const
    {
        return down_ || cut_.count(client_of(request)) > 0;
    }

    void respond_delayed(const http_respond& respond, const http_reply& reply)
    {
        if (delay_.count() == 0) {
            respond(reply);
            return;
        }
        loop_.after(delay_, [respond, reply] { respond(reply); });
    }

    void append(const http_request& request, const http_respond& respond)
    {
        if (is_unavailable_to(request)) {
            respond_delayed(respond, error_reply(503, "log is down"));
            return;
        }
        stream& s = streams_[stream_name(request)];
        const std::uint64_t offset = s.next_offset();
        s.records.push_back(request.body);
        s.append_times.push_back(boot_clock::now());
        Json::Value seen;
        seen["stream"] = stream_name(request);
        seen["client"] = client_of(request);
        seen["offset"] = static_cast<Json::UInt64>(offset);
        seen["bytes"] = static_cast<Json::UInt64>(request.body.size());
        const bool answer_lost =
            std::uniform_real_distribution<double>(0, 1)(random_) < lose_answers_;
        seen["answer_lost"] = answer_lost;
        journal_.write("append", seen);
        if (answer_lost) {
            respond_delayed(respond, error_reply(504, "answer lost"));
            return;
        }
        Json::Value answer;
        answer["offset"] = static_cast<Json::UInt64>(offset);
        respond_delayed(respond, json_reply(200, answer));
    }

    void read(const http_request& request, const http_respond& respond)
    {
        if (is_unavailable_to(request)) {
            respond_delayed(respond, error_reply(503, "log is down"));
            return;
        }
        waiting_read w;
        w.stream = stream_name(request);
        w.client = client_of(request);
        w.from = static_cast<std::uint64_t>(query_number(request, "from", 0));
        w.max = query_number(request, "max", 1000);
        w.until = boot_clock::now() + millis(query_number(request, "wait_ms", 0));
        w.respond = respond;
        readers_.push_back(std::move(w));
        wake_readers();
    }

    void wake_readers()
    {
        const time_point now = boot_clock::now();
        for (auto it = readers_.begin(); it != readers_.end();) {
            if (down_ || cut_.count(it->client) > 0) {
                it->respond(error_reply(503, "log is down"));
            }
            else if (streams_[it->stream].next_offset() > it->from || it->until <= now) {
                answer_read(*it);
            }
            else {
                ++it;
                continue;
            }
            it = readers_.erase(it);
        }
    }

    void answer_read(const waiting_read& w)
    {
        const stream& s = streams_[w.stream];
        Json::Value answer;
        answer["first"] = static_cast<Json::UInt64>(s.first_offset);
        answer["next"] = static_cast<Json::UInt64>(s.next_offset());
        answer["records"] = Json::Value(Json::arrayValue);
        std::uint64_t offset = std::max(w.from, s.first_offset);
        for (std::int64_t n = 0; offset < s.next_offset() && n < w.max; ++n, ++offset) {
            Json::Value record;
            record["offset"] = static_cast<Json::UInt64>(offset);
            record["data"] = s.records[offset - s.first_offset];
            answer["records"].append(record);
        }
        respond_delayed(w.respond, json_reply(200, answer));
    }

    void set_mode(const http_request& request, const http_respond& respond)
    {
        const std::optional<Json::Value> mode = json_from(request.body);
        if (!mode || !mode->isObject()) {
            respond(error_reply(400, "body: must be a JSON object"));
            return;
        }
        down_ = mode->get("down", down_).asBool();
        delay_ = millis(mode->get("delay_ms", static_cast<Json::Int64>(delay_.count())).asInt64());
        lose_answers_ = mode->get("lose_answers", lose_answers_).asDouble();
        if (mode->isMember("cut")) {
            cut_.clear();
            for (const Json::Value& client : (*mode)["cut"]) {
                cut_.insert(client.asString());
            }
        }
        journal_.write("mode", *mode);
        respond(json_reply(200, *mode));
    }

    void trim(const http_request& request, const http_respond& respond)
    {
        const std::optional<Json::Value> trim_request = json_from(request.body);
        if (!trim_request || !trim_request->isObject()) {
            respond(error_reply(400, "body: must be a JSON object"));
            return;
        }
        stream& s = streams_[(*trim_request)["stream"].asString()];
        const std::uint64_t before = trim_request->get("before", Json::Value::maxUInt64).asUInt64();
        const time_point until = boot_clock::now() - millis((*trim_request)["older_ms"].asInt64());
        while (!s.records.empty() && s.first_offset < before && s.append_times.front() <= until) {
            s.records.pop_front();
            s.append_times.pop_front();
            ++s.first_offset;
        }
        journal_.write("trim", *trim_request);
        respond(json_reply(200, *trim_request));
    }

    event_loop& loop_;
    journal journal_;
    std::map<std::string, stream> streams_;
    std::list<waiting_read> readers_;
    bool down_ = false;
    millis delay_{0};
    double lose_answers_ = 0.0;
    std::set<std::string> cut_;
    std::mt19937_64 random_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    event_loop loop;
    http_server server(loop);
    log_service service(loop);
    service.serve(server);
    error why;
    if (!server.listen(endpoint_from(FLAGS_listen).value_or(endpoint{}), why)) {
        std::cerr << to_string(why) << '\n';
        return 1;
    }
    stop_on_signals(loop);
    loop.run();
    return 0;
}
