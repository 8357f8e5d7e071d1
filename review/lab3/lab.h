// Stand-ins for the scripts of the third review: executors, requesters and the store of the users'
// platform in one process, and members of the system as separate processes.
//
// Rules are judged by what the stand-ins see on their sockets.

#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>
#include <sys/types.h>

#include "../../test/platform_standin/store.h"
#include "sesamesill/http.h"

namespace lab3 {

using namespace sesamesill;

enum verdict { rule_held = 0, rule_broken = 1, could_not_run = 2 };

/// Writes what was sent, answered and run, in milliseconds since the case began.
class record {
public:
    explicit record(const std::string& path) : out_(path, std::ios::trunc) {}
    std::int64_t now_ms() const { return to_millis(boot_clock::now() - began_); }
    void line(const std::string& text)
    {
        out_ << now_ms() << " ms  " << text << "\n" << std::flush;
    }

private:
    std::ofstream out_;
    time_point began_ = boot_clock::now();
};

/// How the runs of a task go, decided by the case.
struct work {
    millis length{1000};
    bool lasting = false; ///< works until it is stopped
    bool fails = false;
};

/// One run of a task, as its executor saw it.
struct run_seen {
    std::string executor;
    std::string kind; ///< label of the life of the executor that ran it
    std::string task;
    std::int64_t run = 0;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = -1;
    std::string how;
    std::string spec; ///< as the order gave it
    /// Whether the member that started it had had an answer of this life, which tells its birth.
    bool told_birth = false;
};

/// Executors of one service. They follow the pages: fences, leases on their own clock, lists of
/// ends, check-ins at the store.
class executors {
public:
    struct place {
        std::string id;
        std::string machine;
        std::string rack;
        std::string kind = "a";
    };

    executors(event_loop& loop, standin::platform_store& store, record& log, std::string network);
    bool add(const place& at, error& why);
    /// Ends the life of the executor without notice. It doesn't answer from then on (`dark`), or
    /// its port refuses connections.
    void crash(const std::string& id, bool dark);
    /// Starts the executor again under its id and address, with another kind.
    bool start_again(const std::string& id, const std::string& kind, error& why);
    /// Ends the lasting run of the task that is at work, as a failure of its own.
    void fail_run(const std::string& task);

    const std::vector<run_seen>& runs() const { return runs_; }
    /// Returns the id of the executor that runs the task, or an empty string.
    std::string executor_of(const std::string& task) const;
    std::string entry_of(const std::string& id) const;
    /// Returns the member that gave the last order.
    const std::string& last_sender() const { return last_sender_; }
    bool is_up(const std::string& id) const { return lives_.at(id)->up; }

    std::function<work(const std::string& task)> plan = [](const std::string&) { return work{}; };

    static constexpr const char* service = "huvo11a";

private:
    struct active {
        std::int64_t run = 0;
        time_point began;
        work todo;
        std::size_t seen = 0; ///< index in `runs_`
        std::optional<time_point> stop_at;
    };
    struct waiting {
        time_point until;
        std::string sender;
        http_respond respond;
    };
    struct ended {
        std::uint64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    struct life {
        place at;
        endpoint address;
        std::unique_ptr<http_server> server;
        bool up = true;
        bool dark = false;
        time_point started;
        std::int64_t born_ms = 0;
        std::uint64_t fence = 0;
        std::int64_t lease_ms = 0;
        std::uint64_t seq = 0;
        std::uint64_t last_end = 0;
        time_point next_check_in;
        time_point silent_since;
        bool listed = false;
        std::map<std::string, active> tasks;
        std::map<std::string, std::int64_t> highest_ended;
        std::deque<ended> ends;
        std::list<waiting> polls;
        std::set<std::string> told; ///< members that this life has answered with its runs
    };

    bool listen(life& l, error& why);
    void begin_life(life& l);
    void serve(life& l, const http_request& request, const http_respond& respond);
    http_reply answer(const life& l, int status, const std::string& reason = "") const;
    http_reply start_run(life& l, const Json::Value& body);
    http_reply stop_run(life& l, const Json::Value& body);
    http_reply report(const life& l) const;
    std::int64_t clock_ms(const life& l) const;
    void extend_lease(life& l, const Json::Value& until) const;
    void end_run(life& l, const std::string& task, const std::string& how);
    void check_in(life& l);
    void tick();

    event_loop& loop_;
    standin::platform_store& store_;
    record& log_;
    std::string network_;
    std::map<std::string, std::unique_ptr<life>> lives_;
    std::vector<http_respond> unanswered_;
    std::vector<run_seen> runs_;
    std::string last_sender_;
};

/// The store, the executors, the members and a requester.
class cell {
public:
    cell(record& log, int members);
    ~cell();
    bool start(error& why);
    event_loop& loop() { return loop_; }
    executors& workers() { return *workers_; }
    standin::platform_store& store() { return store_; }
    record& log() { return log_; }

    /// Writes a manifest with two queues, "/lohu930/" and "/pule252/" on host "nony24.example".
    void publish();
    /// Sends a request of a requester to one member after the other until one answers below 500,
    /// or until `tries` have been sent.
    void request(const std::string& method, const std::string& path, const std::string& body,
                 const std::function<void(int status, const std::string& body)>& done,
                 int tries = 5);
    /// Sends a request once, to the named member. The requester leaves after `patience`.
    void request_at(const std::string& member, const std::string& method, const std::string& path,
                    const std::string& body, millis patience,
                    const std::function<void(int status, const std::string& body)>& done);
    std::vector<std::string> member_names() const;
    void signal_member(const std::string& name, int signal);
    /// Kills the member and starts it again after `down`.
    void kill_member(const std::string& name, millis down);
    /// From now on the platform ends a member's process that has more resident memory than this,
    /// and starts it again.
    void limit_memory(int mb);
    /// Returns how often the process of a member was over its memory.
    const std::map<std::string, int>& over_memory() const { return over_memory_; }
    /// Returns whether all members that should run do.
    bool all_run();
    int finish(verdict v);

    static constexpr const char* host = "nony24.example";
    static constexpr const char* prefix = "/lohu930/";
    static constexpr const char* other_prefix = "/pule252/";

private:
    struct member {
        std::string name;
        std::string ip;
        pid_t process = 0;
        bool killed = false;
    };
    bool write_settings(const member& m, error& why) const;
    void start_member(member& m);
    void send(std::size_t to, const std::string& method, const std::string& path,
              const std::string& body, millis patience,
              const std::function<void(int status, const std::string& body)>& done);

    record& log_;
    event_loop loop_;
    standin::platform_store store_;
    http_server store_server_;
    std::string network_; ///< the first three numbers of the loopback addresses of this case
    std::unique_ptr<executors> workers_;
    std::vector<member> members_;
    std::string folder_;
    std::size_t next_member_ = 0;
    std::map<std::string, int> over_memory_;
    std::map<std::string, long> largest_mb_;
};

int foreign_entry(cell& c, bool trouble);
int late_successor(cell& c, bool trouble);
int other_kind(cell& c, bool trouble);
int daily_jobs(cell& c, bool trouble);
int overtaken_cancel(cell& c, bool trouble);
int same_id(cell& c, bool trouble);

} // namespace lab3
