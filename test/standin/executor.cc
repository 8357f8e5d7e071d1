// Simulates executors: `--count` of them in one process, each on its own port. They can drain, slow
// down, or accept calls and never answer.

#include <iostream>
#include <memory>
#include <random>

#include <gflags/gflags.h>

#include "common.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(first_port, 8001, "port of the first executor");
DEFINE_int32(count, 1, "number of executors in this process");
DEFINE_string(prefix, "x", "name prefix, followed by a number from 1");
DEFINE_int32(slots, 8,
             "calls that an executor can run at once; the limit is journalled and reported, but "
             "not enforced");
DEFINE_int64(work_ms, 5, "median run time of a call");
DEFINE_int64(delay_ms, 0, "network delay added to each answer");
DEFINE_string(journal, "/dev/null", "file that the journal is appended to");
DEFINE_uint64(seed, 1, "seed of the random run times");

namespace {

using namespace standin;

class executor {
public:
    executor(event_loop& loop, journal& seen, std::string name, std::uint64_t seed)
        : loop_(loop), journal_(seen), name_(std::move(name)), server_(loop), random_(seed)
    {
    }

    bool start(std::uint16_t port, error& why)
    {
        server_.route("POST", "/calls", [this](const http_request& r, const http_respond& respond) {
            handle_call(r, respond);
        });
        server_.route("GET", "/health", [this](const http_request&, const http_respond& respond) {
            Json::Value health;
            health["slots"] = FLAGS_slots;
            health["busy"] = busy_;
            health["draining"] = draining_;
            respond(json_reply(200, health));
        });
        server_.route(
            "POST", "/admin/mode", [this](const http_request& r, const http_respond& respond) {
                const Json::Value mode = json_from(r.body).value_or(Json::Value(Json::objectValue));
                draining_ = mode.get("draining", draining_).asBool();
                black_hole_ = mode.get("black_hole", black_hole_).asBool();
                slow_factor_ = mode.get("slow_factor", slow_factor_).asDouble();
                respond(json_reply(200, mode));
            });
        return server_.listen({FLAGS_address, port}, why);
    }

private:
    static std::string header(const http_request& r, const std::string& name)
    {
        const auto found = r.headers.find(name);
        return found == r.headers.end() ? std::string() : found->second;
    }

    Json::Value journal_fields(const http_request& r) const
    {
        Json::Value seen;
        seen["executor"] = name_;
        seen["request"] = header(r, "x-request-id");
        seen["attempt"] = header(r, "x-attempt");
        seen["key"] = header(r, "x-key");
        seen["class"] = header(r, "x-class");
        seen["organisation"] = header(r, "x-organisation");
        seen["idempotent"] = header(r, "x-idempotent") != "no";
        seen["client"] = client_of(r);
        seen["busy"] = busy_;
        seen["slots"] = FLAGS_slots;
        return seen;
    }

    void handle_call(const http_request& r, const http_respond& respond)
    {
        if (draining_) {
            journal_.write("refused", journal_fields(r));
            http_reply reply = error_reply(503, "draining");
            reply.headers["X-Not-Started"] = "1";
            respond(reply);
            return;
        }
        ++busy_;
        const Json::Value seen = journal_fields(r);
        journal_.write("start", seen);
        if (black_hole_) {
            unanswered_.push_back(respond);
            return;
        }
        std::lognormal_distribution<double> duration_factor(0.0, 0.5);
        const double ms =
            static_cast<double>(FLAGS_work_ms) * duration_factor(random_) * slow_factor_;
        const std::string body =
            "{\"executor\":\"" + name_ + "\",\"echo\":" + to_text(Json::Value(r.body)) + "}";
        loop_.after(millis(static_cast<std::int64_t>(ms)), [this, seen, respond, body] {
            --busy_;
            journal_.write("end", seen);
            loop_.after(millis(FLAGS_delay_ms), [respond, body] {
                respond({200, body, {}, "application/json"});
            });
        });
    }

    event_loop& loop_;
    journal& journal_;
    std::string name_;
    http_server server_;
    std::mt19937_64 random_;
    std::int32_t busy_ = 0;
    bool draining_ = false;
    bool black_hole_ = false;
    double slow_factor_ = 1.0;
    std::vector<http_respond> unanswered_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    event_loop loop;
    journal seen(FLAGS_journal);
    std::vector<std::unique_ptr<executor>> executors;
    for (int i = 0; i < FLAGS_count; ++i) {
        executors.push_back(std::make_unique<executor>(
            loop, seen, FLAGS_prefix + std::to_string(i + 1), FLAGS_seed + i));
        error why;
        if (!executors.back()->start(static_cast<std::uint16_t>(FLAGS_first_port + i), why)) {
            std::cerr << to_string(why) << '\n';
            return 1;
        }
    }
    stop_on_signals(loop);
    loop.run();
    return 0;
}
