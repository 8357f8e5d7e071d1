// Stand-ins for the platform around real members: the store, workers, clients, proxies and the
// member processes. All run in one event loop, and write what they see to one record.

#pragma once

#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <json/json.h>
#include <sys/types.h>

#include "sesamesill/clock.h"
#include "sesamesill/http.h"

namespace lab {

using namespace sesamesill;

/// The record of one run: a line for each event, with the milliseconds since the start.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)));
    std::int64_t now_ms() const;

private:
    std::FILE* file_;
    time_point began_;
};

/// The platform's store: logs with conditional appends, the newest record of each key, and long
/// reads. Refuses records and calls above the limits of the settings file.
class store {
public:
    store(event_loop& loop, record& log);
    bool listen(const endpoint& at, error& why);
    /// Writes a record as an operator or a worker does.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    std::string value_of(const std::string& topic, const std::string& key) const;

    /// Decides for each append of a member whether its answer is lost after it was applied.
    std::function<bool(const std::string& member, const std::string& body)> loses_answer;
    /// Called after an append was applied, before its answer is sent.
    std::function<void(const std::string& member, const std::string& body)> on_applied;
    bool down = false; ///< answers 503 to every call
    std::uint64_t appends_stored = 0;
    std::uint64_t appends_refused_for_size = 0;

    static constexpr std::size_t record_bytes = 262144;
    static constexpr std::size_t call_bytes = 2097152;

private:
    struct entry {
        std::string key;
        std::string value;
        std::uint64_t offset = 0;
        time_point at;
    };
    struct topic_log {
        std::uint64_t first = 0;
        std::uint64_t end = 0;
        std::deque<entry> records;
        std::map<std::string, entry> newest;
    };
    struct waiting_read {
        std::string topic;
        std::uint64_t from = 0;
        std::size_t max_bytes = 0;
        time_point until;
        http_respond respond;
    };
    void add(topic_log& log, const std::string& key, const std::string& value);
    void append(const http_request& request, const http_respond& respond);
    http_reply append_now(const http_request& request, bool& stored);
    void read(const http_request& request, const http_respond& respond);
    void newest(const http_request& request, const http_respond& respond);
    void answer(const http_respond& respond, http_reply reply);
    static http_reply read_from(const topic_log& log, std::uint64_t from, std::size_t max_bytes);
    void tick();

    event_loop& loop_;
    record& log_;
    http_server server_;
    std::map<std::string, topic_log> topics_;
    std::list<waiting_read> waiting_;
};

/// What the clients know of a job, and what the workers need to run its tasks.
struct job {
    std::string id;
    std::string prefix = "/plain/"; ///< of the route that it is handed in to
    Json::Value body;
    std::vector<millis> work; ///< of a task, by step
    std::vector<bool> saves;  ///< by step
    int total_tasks = 0;
    bool accepted = false;
    time_point accepted_at;
    bool cancel_sent = false;
    std::string shown; ///< last state that a member showed
};

struct run_event {
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    time_point at;
};

/// Checks the rule that no task runs twice, as the workers see it.
class run_watch {
public:
    explicit run_watch(record& log) : log_(log) {}
    void on_start(const std::string& worker, const std::string& task, std::int64_t run);
    void on_end(const std::string& worker, const std::string& task, std::int64_t run,
                std::uint64_t number, const std::string& how);
    void on_taken_note(const std::string& worker, std::uint64_t number);
    void on_lapse(const std::string& worker);
    /// Returns how often the rule was broken. Call it at the end: an end that is taken note of
    /// later counts, too.
    int count_twice();
    bool has_started(const std::string& job) const { return started_jobs_.count(job) > 0; }
    std::size_t starts = 0;
    std::size_t ends = 0;
    std::size_t done = 0;
    std::size_t ends_taken_note = 0;
    std::map<std::string, std::size_t> done_of; ///< by job: distinct tasks that ended as done

private:
    struct ended {
        std::string worker;
        std::uint64_t number = 0;
        std::int64_t run = 0;
        time_point at;
        bool taken = false;
        bool lapsed = false;
    };
    struct task_state {
        std::map<std::string, std::int64_t> active; ///< by worker: its run
        std::vector<ended> done;
        std::vector<run_event> starts;
    };
    record& log_;
    std::map<std::string, task_state> tasks_;
    std::map<std::string, std::map<std::uint64_t, std::string>>
        open_ends_; ///< worker, number: task
    std::set<std::string> started_jobs_;
    int overlaps_ = 0;
};

class fleet;

/// One worker. Follows the pages on orders, fences, leases, run numbers and lists of ends.
class worker {
public:
    worker(fleet& owner, std::string id, std::string machine, std::string rack, endpoint listen,
           endpoint advertised);
    bool start(error& why);
    void tick(millis period);
    const std::string& id() const { return id_; }
    std::size_t running() const { return runs_.size(); }
    time_point last_check_in() const { return last_check_in_; }
    bool sends_check_ins = true; ///< false while the worker is cut off from the store

private:
    struct run {
        std::int64_t number = 0;
        millis work{0};
        bool saves = false;
        double worked_ms = 0;
        double pause_ms = 0;
        std::string checkpoint;
        std::optional<time_point> stop_at;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string checkpoint;
    };
    struct waiting_poll {
        time_point until;
        http_respond respond;
    };
    std::int64_t clock_ms() const;
    void check_in();
    void end(const std::string& task, const std::string& how);
    void extend_lease(std::int64_t until);
    bool passes(const http_request& request, const http_respond& respond, Json::Value& body);
    http_reply reply(int status, const std::string& reason = "") const;
    http_reply start_run(const Json::Value& body);
    http_reply stop_run(const Json::Value& body);
    void poll(const Json::Value& body, const http_respond& respond);
    http_reply report() const;

    fleet& fleet_;
    std::string id_;
    std::string machine_;
    std::string rack_;
    endpoint listen_;
    endpoint advertised_;
    http_server server_;
    time_point born_;
    std::int64_t born_ms_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ms_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, std::int64_t> highest_ended_;
    std::deque<listed_end> ends_;
    std::uint64_t last_end_ = 0;
    std::list<waiting_poll> polls_;
    std::uint64_t seq_ = 0;
    time_point last_check_in_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// All workers of the service.
class fleet {
public:
    fleet(event_loop& loop, store& records, record& log, run_watch& watch,
          std::map<std::string, job>& jobs);
    bool add(const std::string& id, const std::string& rack, const endpoint& listen,
             const endpoint& advertised, error& why);
    worker* find(const std::string& id);
    std::vector<worker*> all();

    std::int64_t cpu_millis = 32000;
    std::int64_t memory_mb = 64000;
    static constexpr const char* service = "places";
    static constexpr millis check_in_interval{1500};
    static constexpr millis max_lease{6000};
    static constexpr millis stop_time{200};
    static constexpr millis checkpoint_interval{500};
    static constexpr millis restore{100};
    static constexpr std::size_t ends_a_report = 500;

private:
    friend class worker;
    void tick();
    event_loop& loop_;
    store& store_;
    record& log_;
    run_watch& watch_;
    std::map<std::string, job>& jobs_;
    std::map<std::string, std::unique_ptr<worker>> workers_;
    std::set<std::string> removed_entries_;
    time_point last_tick_;
};

/// A TCP proxy that can be cut: it then carries no bytes, and opening packets are dropped.
class proxy {
public:
    proxy(event_loop& loop, endpoint listen, endpoint to);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    bool start(error& why);
    void cut();
    /// Ends the cut. Channels that were open before it are reset.
    void heal();

private:
    struct link;
    struct state;
    std::unique_ptr<state> state_;
};

/// The member processes, started as the deploy file says.
class members {
public:
    struct place {
        std::string name;
        std::string ip;
        std::string store;        ///< address at which it reaches the store
        std::string peer_address; ///< address at which the others reach it; empty for its own
        pid_t pid = 0;
        bool stays_down = false;
    };
    members(event_loop& loop, record& log, std::string root, std::string run_dir);
    ~members();
    void add(place p);
    bool start_all(error& why);
    bool start(place& p, error& why);
    void signal(place& p, int number);
    place* find(const std::string& name);
    std::vector<place>& all() { return places_; }
    endpoint front(const place& p) const;
    std::string last_exit; ///< of a process that ended without a signal of the test
    static constexpr millis restart_delay{500};

private:
    void collect();
    event_loop& loop_;
    record& log_;
    std::string root_;
    std::string run_dir_;
    std::vector<place> places_;
    std::set<pid_t> signalled_;
};

/// The whole world of one case.
class world {
public:
    struct options {
        int members = 6;
        int workers = 12;
        bool proxied_members = false; ///< with a proxy before each member's store and peer address
        bool proxied_workers = false;
    };
    world(const std::string& root, const std::string& record_path, const options& o);
    ~world();
    bool start(error& why);
    /// Writes the next manifest. `routes` are the prefixes' names: plain, and others.
    void publish(const std::set<std::string>& routes);
    /// The member whose claim is the newest, or null.
    members::place* leader();
    std::uint64_t leader_fence() const;

    job& new_job(const std::string& prefix, Json::Value steps, std::vector<millis> work,
                 std::vector<bool> saves = {});
    static Json::Value step(int count, std::int64_t cpu, std::int64_t memory, std::int64_t est_ms,
                            bool saves = false);
    using answered = std::function<void(int status, const std::string& body)>;
    /// Status 0 is no answer.
    void call(const char* method, const members::place& at, const std::string& path,
              const Json::Value* body, answered done, millis timeout = millis(3000));
    void submit(job& j, const members::place& at, answered done);
    void ask(job& j, const members::place& at, answered done);
    void cancel(job& j, const members::place& at, answered done);
    members::place& random_member();

    event_loop loop;
    record log;
    store records;
    run_watch watch;
    std::map<std::string, job> jobs;
    fleet workers;
    std::vector<std::unique_ptr<proxy>> worker_proxies;
    std::map<std::string, std::vector<proxy*>> member_proxies; ///< by member
    std::unique_ptr<members> processes;
    static constexpr const char* host = "jobs.example";

private:
    options options_;
    std::string run_dir_;
    std::string net_; ///< first three numbers of all addresses
    std::vector<std::unique_ptr<proxy>> proxies_;
    http_client client_;
    int version_ = 0;
    std::uint64_t next_job_ = 0;
    std::uint64_t random_ = 0;
};

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
using case_body = std::function<int(world& w, bool trouble)>;

} // namespace lab
