// Simulates workers: `--count` of them in one process, each on its own port. They start every task
// without checking epochs, attempts or free capacity, so the journal shows wrong placements.

#include <iostream>
#include <map>
#include <memory>

#include <gflags/gflags.h>

#include "common.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(first_port, 9001, "port of the first worker");
DEFINE_int32(count, 1, "number of workers in this process");
DEFINE_string(prefix, "w", "name prefix, followed by a number from 1");
DEFINE_int64(cpu_millis, 32000, "CPU capacity of each worker, in thousandths of a core");
DEFINE_int64(memory_mb, 65536, "memory of each worker");
DEFINE_int64(accelerators, 0, "accelerators of each worker");
DEFINE_int64(usage_lag_ms, 2000, "how long after its start a task is reported with no usage");
DEFINE_int64(ended_kept_ms, 60000, "how long an ended task stays in reports");
DEFINE_string(journal, "/dev/null", "file that the journal is appended to");

namespace {

using namespace standin;

struct task_record {
    Json::Value spec;
    std::string state = "running";
    std::string result;
    time_point started_at;
    time_point finishes_at;
    time_point lease_expires_at;
    time_point ended_at;
};

bool holds_resources(const task_record& t)
{
    return t.state == "running" || t.state == "throttled";
}

class worker {
public:
    worker(event_loop& loop, journal& seen, std::string name)
        : journal_(seen), name_(std::move(name)), server_(loop),
          incarnation_(std::to_string(boot_clock::now().time_since_epoch().count()))
    {
        loop.every(millis(10), [this] { advance(); });
    }

    bool start(std::uint16_t port, error& why)
    {
        route("/tasks", &worker::start_task);
        route("/sync", &worker::sync);
        route("/tasks/stop", &worker::stop_task);
        route("/tasks/checkpoint", &worker::checkpoint_task);
        route("/tasks/throttle", &worker::throttle_task);
        route("/admin/mode", &worker::set_mode);
        return server_.listen({FLAGS_address, port}, why);
    }

private:
    using operation = Json::Value (worker::*)(const Json::Value& body);

    void route(const std::string& path, operation action)
    {
        server_.route("POST", path,
                      [this, action](const http_request& r, const http_respond& respond) {
                          const std::optional<Json::Value> body = json_from(r.body);
                          if (!body || !body->isObject()) {
                              respond(error_reply(400, "body: must be a JSON object"));
                              return;
                          }
                          client_ = client_of(r);
                          respond(json_reply(200, (this->*action)(*body)));
                      });
    }

    void journal_task(const std::string& event, const task_record& t)
    {
        Json::Value seen;
        seen["worker"] = name_;
        seen["client"] = client_;
        seen["task"] = t.spec["task"];
        seen["attempt"] = t.spec["attempt"];
        seen["epoch"] = t.spec["epoch"];
        seen["idempotent"] = t.spec["payload"].get("idempotent", true);
        seen["job_tasks"] = t.spec["payload"].get("job_tasks", 1);
        seen["kind"] = t.spec["payload"].get("kind", "batch");
        for (const char* key : {"cpu_millis", "memory_mb", "accelerators"}) {
            seen[key] = t.spec[key];
            seen[std::string("held_") + key] = static_cast<Json::Int64>(allocated_sum(key));
        }
        seen["size_cpu_millis"] = static_cast<Json::Int64>(FLAGS_cpu_millis);
        seen["size_memory_mb"] = static_cast<Json::Int64>(FLAGS_memory_mb);
        seen["size_accelerators"] = static_cast<Json::Int64>(FLAGS_accelerators);
        journal_.write(event, seen);
    }

    /// Returns the amount of resource `key` that running and throttled tasks hold.
    std::int64_t allocated_sum(const char* key) const
    {
        std::int64_t sum = 0;
        for (const auto& entry : tasks_) {
            if (holds_resources(entry.second)) {
                sum += entry.second.spec[key].asInt64();
            }
        }
        return sum;
    }

    Json::Value start_task(const Json::Value& spec)
    {
        const time_point now = boot_clock::now();
        task_record t;
        t.spec = spec;
        t.started_at = now;
        t.finishes_at = now + millis(spec["payload"].get("run_ms", 1000).asInt64());
        t.lease_expires_at = now + millis(spec.get("lease_ms", 10000).asInt64());
        const std::string id = spec["task"].asString();
        const bool started_before = tasks_.count(id) > 0;
        if (fail_all_ || spec["payload"].get("fail", false).asBool()) {
            t.state = "failed";
            t.ended_at = now;
        }
        tasks_[id] = t;
        journal_task(started_before ? "start_again" : "start", t);
        if (t.state == "failed") {
            journal_task("failed", t);
        }
        Json::Value answer;
        answer["state"] = t.state;
        return answer;
    }

    Json::Value sync(const Json::Value& body)
    {
        const time_point until = boot_clock::now() + millis(body.get("lease_ms", 10000).asInt64());
        for (const Json::Value& id : body["renew"]) {
            const auto found = tasks_.find(id.asString());
            if (found != tasks_.end() && holds_resources(found->second)) {
                found->second.lease_expires_at = until;
            }
        }
        for (const Json::Value& id : body["forget"]) {
            const auto found = tasks_.find(id.asString());
            if (found != tasks_.end() && !holds_resources(found->second)) {
                tasks_.erase(found);
            }
        }
        Json::Value answer;
        answer["incarnation"] = incarnation_;
        answer["tasks"] = Json::Value(Json::arrayValue);
        for (const auto& entry : tasks_) {
            answer["tasks"].append(task_report(entry.second));
        }
        return answer;
    }

    static Json::Value task_report(const task_record& t)
    {
        Json::Value r;
        for (const char* key :
             {"task", "attempt", "epoch", "cpu_millis", "memory_mb", "accelerators"}) {
            r[key] = t.spec[key];
        }
        r["state"] = t.state;
        r["result"] = t.result;
        const double factor = t.spec["payload"].get("use_factor", 1.0).asDouble();
        const bool seen = boot_clock::now() - t.started_at > millis(FLAGS_usage_lag_ms);
        for (const char* key : {"cpu_millis", "memory_mb"}) {
            const double used = seen ? t.spec[key].asDouble() * factor : 0.0;
            r[std::string("used_") + key] = static_cast<Json::Int64>(used);
        }
        return r;
    }

    void end(task_record& t, const std::string& state)
    {
        t.state = state;
        t.ended_at = boot_clock::now();
        t.result = state == "done" ? "result of " + t.spec["task"].asString() : "";
        journal_task(state, t);
    }

    Json::Value end_or_throttle(const Json::Value& body, const std::string& state)
    {
        const auto found = tasks_.find(body["task"].asString());
        Json::Value answer;
        answer["state"] = "absent";
        if (found != tasks_.end() && holds_resources(found->second)) {
            if (state == "throttled") {
                found->second.state = state;
                journal_task(state, found->second);
            }
            else {
                end(found->second, state);
            }
            answer["state"] = state;
        }
        return answer;
    }

    Json::Value stop_task(const Json::Value& body) { return end_or_throttle(body, "stopped"); }
    Json::Value checkpoint_task(const Json::Value& body)
    {
        return end_or_throttle(body, "checkpointed");
    }
    Json::Value throttle_task(const Json::Value& body)
    {
        return end_or_throttle(body, "throttled");
    }

    Json::Value set_mode(const Json::Value& body)
    {
        fail_all_ = body.get("fail_all", fail_all_).asBool();
        return body;
    }

    void advance()
    {
        const time_point now = boot_clock::now();
        for (auto it = tasks_.begin(); it != tasks_.end();) {
            task_record& t = it->second;
            if (holds_resources(t) && t.lease_expires_at <= now) {
                end(t, "lapsed");
            }
            else if (holds_resources(t) && t.finishes_at <= now) {
                end(t, "done");
            }
            const bool listing_expired =
                !holds_resources(t) && now - t.ended_at > millis(FLAGS_ended_kept_ms);
            it = listing_expired ? tasks_.erase(it) : std::next(it);
        }
    }

    journal& journal_;
    std::string name_;
    http_server server_;
    std::string incarnation_;
    std::string client_;
    std::map<std::string, task_record> tasks_;
    bool fail_all_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    event_loop loop;
    journal seen(FLAGS_journal);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < FLAGS_count; ++i) {
        workers.push_back(
            std::make_unique<worker>(loop, seen, FLAGS_prefix + std::to_string(i + 1)));
        error why;
        if (!workers.back()->start(static_cast<std::uint16_t>(FLAGS_first_port + i), why)) {
            std::cerr << to_string(why) << '\n';
            return 1;
        }
    }
    stop_on_signals(loop);
    loop.run();
    return 0;
}
