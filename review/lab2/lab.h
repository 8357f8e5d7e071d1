// Stand-ins for the scripts of the second review: the store, executors and the advisor of the
// users' platform, requesters, and the members as separate processes.
//
// One process runs all stand-ins. Rules are judged by what the stand-ins see on their sockets.

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

namespace lab {

using namespace sesamesill;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Writes what was sent, answered and run, with the time since the start of the case.
class record {
public:
    explicit record(const std::string& path) : out_(path, std::ios::trunc) {}
    void line(const std::string& text);
    std::int64_t elapsed_ms() const { return to_millis(boot_clock::now() - begun_); }

private:
    std::ofstream out_;
    time_point begun_ = boot_clock::now();
};

/// Returns an address of the loopback range with a port that is free now.
endpoint free_endpoint();

/// How one run of a task goes, decided by the case.
struct run_plan {
    millis work{1000};
    bool fails = false;
};

/// One start or end of a run, as an executor saw it.
struct observed_run {
    std::string executor;
    std::string task;
    std::int64_t run = 0;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = -1; ///< -1 while it is at work
    std::string how;            ///< why it ended
    std::uint64_t end_number = 0;
    std::int64_t noted_ms = -1; ///< when `LastSeen` reached the end
};

struct executor_settings {
    std::string id;
    std::string machine;
    std::string rack;
    std::string kind = "a"; ///< the label that a step may require
    std::int64_t cpu = 32000;
    std::int64_t memory_mb = 65536;
};

class fleet;

/// One life of an executor, as the pages describe it.
class executor {
public:
    executor(fleet& owner, executor_settings settings);
    bool listen(error& why);
    void tick(time_point now);
    void check_in();
    /// Cuts the executor off from the store: its check-ins are lost until `until`.
    void cut_from_store(time_point until) { cut_until_ = until; }
    /// Cuts the executor off from the store and the members, which get no answers until then.
    void cut_from_all(time_point until);
    /// Ends this life without notice; the next one begins under the same id and address after
    /// `dark`. The channels of this life go silent. The poll that waits there is carried out by the
    /// next life `late` after this call.
    void restart(millis dark, millis late);
    bool has_waiting_poll() const { return !polls_.empty(); }
    const executor_settings& settings() const { return settings_; }
    const endpoint& address() const { return address_; }
    std::size_t running() const { return runs_.size(); }
    std::int64_t used_cpu() const;

private:
    struct active_run {
        std::int64_t number = 0;
        time_point began;
        run_plan plan;
        std::size_t observation = 0; ///< index in the fleet's list
        bool stopping = false;
        time_point stop_at;
        /// Of a gang: its members work only once all of them are present.
        int gang_size = 0;
        bool works = true;
    };
    struct waiting_poll {
        time_point until;
        http_respond respond;
        Json::Value body;
    };

    bool serve(error& why);
    /// Takes note of ends and extends the lease; returns false if the fence is too low.
    bool apply_poll(const Json::Value& body);
    std::int64_t clock_ms() const;
    http_reply reply(int status, const std::string& reason = "") const;
    bool passes_fence(const Json::Value& body);
    void extend_lease(std::int64_t until_ms);
    http_reply start_run(const Json::Value& body);
    http_reply stop_run(const Json::Value& body);
    void poll(const Json::Value& body, const http_respond& respond);
    http_reply report() const;
    void end_run(const std::string& task, const std::string& how);
    void route(const char* path,
               const std::function<void(const Json::Value&, const http_respond&)>& handler);

    friend class fleet;

    fleet& fleet_;
    executor_settings settings_;
    std::unique_ptr<http_server> server_;
    std::vector<std::unique_ptr<http_server>> former_servers_; ///< of former lives; silent
    std::vector<http_respond> unanswered_;
    int life_ = 1;
    bool dark_ = false;
    time_point cut_from_members_until_;
    endpoint address_;
    time_point started_ = boot_clock::now();
    std::int64_t born_ms_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t seq_ = 0;
    time_point next_check_in_;
    time_point checked_in_; ///< last check-in that reached the store
    time_point cut_until_;
    bool has_entry_ = false; ///< its entry hasn't expired
    std::map<std::string, active_run> runs_;
    std::map<std::string, std::int64_t> ended_; ///< highest run ended or stopped, by task
    std::deque<std::size_t> ends_;              ///< not taken note of, as observations
    std::uint64_t last_end_ = 0;
    std::list<waiting_poll> polls_;
};

struct fleet_settings {
    millis max_hold{6000};
    millis stop{100}; ///< below `StopTimeoutMs`
    millis gang_timeout{3000};
    millis check_in_period{1500};
    int missed_check_ins = 3; ///< after which an entry expires
    std::int64_t decide_ms = 7;
    double per_worker_ms = 0.1;
    millis ticket_valid{2500};
};

/// The executors of one service and the advisor that issues their tickets.
class fleet {
public:
    fleet(event_loop& loop, standin::platform_store& store, record& log, fleet_settings settings);

    bool add(const executor_settings& settings, error& why);
    /// Decides how a run goes.
    std::function<run_plan(const std::string& executor, const std::string& task, std::int64_t run)>
        plan;
    /// Returns how many members the task's gang has; 0 for a task that works alone.
    std::function<int(const std::string& task)> gang_size = [](const std::string&) { return 0; };
    /// Returns whether the queue of the task's job has an advisor.
    std::function<bool(const std::string& task)> needs_ticket = [](const std::string&) {
        return false;
    };
    /// Returns whether the policy lets the executor run the step.
    std::function<bool(const std::string& step, const std::string& executor)> allows =
        [](const std::string&, const std::string&) { return true; };
    bool serve_advice(error& why);

    const endpoint& advice_address() const { return advice_address_; }
    const std::vector<observed_run>& observed() const { return observed_; }
    const std::vector<std::unique_ptr<executor>>& executors() const { return executors_; }
    int rejected_advice_calls() const { return rejected_advice_calls_; }
    /// Returns the pairs of runs of one task that were at work at the same time.
    std::vector<std::pair<observed_run, observed_run>> overlaps() const;
    /// Returns how many runs of the job's tasks are at work.
    int at_work(const std::string& job) const;
    double used_share() const;

    static constexpr const char* service = "service-a";

private:
    friend class executor;
    void advise(const http_request& request, const http_respond& respond);
    void answer_advice(const std::string& caller, const Json::Value& body,
                       const http_respond& respond);
    bool gang_is_present(const std::string& task, std::int64_t run, int size) const;
    void end_gang(const std::string& task, std::int64_t run, const std::string& how);

    event_loop& loop_;
    standin::platform_store& store_;
    record& record_;
    fleet_settings settings_;
    http_server advice_server_;
    endpoint advice_address_;
    std::map<std::string, time_point> advisor_free_; ///< by calling machine
    std::map<std::string, int> advice_waiting_;      ///< by calling machine
    int rejected_advice_calls_ = 0;
    std::map<std::string, time_point> tickets_; ///< end of validity, by step and executor
    std::vector<std::unique_ptr<executor>> executors_;
    std::vector<observed_run> observed_;
};

/// A member of the system as a separate process, started with the deploy file's command.
class member_process {
public:
    member_process(std::string name, std::string folder);
    ~member_process();
    member_process(const member_process&) = delete;
    member_process& operator=(const member_process&) = delete;
    member_process(member_process&&) = delete;
    member_process& operator=(member_process&&) = delete;

    /// Fills the template of the settings, as the platform does, and starts the process.
    bool start(const endpoint& store, const endpoint& advice, double cpu_share);
    void signal(int number) const;
    const std::string& name() const { return name_; }
    const endpoint& front() const { return front_; }
    const endpoint& ready() const { return ready_; }

private:
    std::string name_;
    std::string folder_;
    endpoint front_;
    endpoint ready_;
    endpoint peer_;
    endpoint metrics_;
    pid_t process_ = -1;
};

/// Passes one member's calls to the store on and notes when it reads the executors' directory.
class store_watch {
public:
    store_watch(event_loop& loop, endpoint store);
    bool listen(error& why);
    const endpoint& address() const { return address_; }
    /// Called when the member begins to read the whole directory.
    std::function<void()> on_directory_read = [] {};

private:
    void pass_on(const http_request& request, const http_respond& respond);

    endpoint store_;
    endpoint address_;
    http_server server_;
    http_client client_;
};

/// The whole cell: store, executors, members and a requester.
class cell {
public:
    cell(const std::string& record_path, std::string folder, fleet_settings settings = {});

    event_loop loop;
    record log;
    standin::platform_store store;
    fleet executors;

    bool add_executors(int count, std::int64_t cpu, const std::string& kind = "a");
    bool start_members(int count);
    /// Starts a member whose calls to the store are watched.
    bool start_watched_member(double cpu_share);
    bool start_member(double cpu_share);
    bool serve_platform();
    std::size_t members() const { return members_.size(); }
    store_watch& watch_of(std::size_t member) { return *watches_.at(member); }
    /// Calls `ready` once all members report that they are ready; ends the case with
    /// `could_not_run` if they don't in time.
    void when_ready(const std::function<void()>& ready);
    /// Writes `op/config`. Each call declares a new version.
    void declare(const Json::Value& routes);
    /// Submits the job, again with the same id until there is a clear answer.
    void submit(const std::string& path, const std::string& body,
                const std::function<void(int status)>& done);
    void ask(const std::string& path,
             const std::function<void(int status, const std::string&)>& done);
    /// Sends one request to one member and passes on its status, or 0 if there was no answer.
    void send(std::size_t member, const std::string& method, const std::string& path,
              const std::string& body, const std::function<void(int status)>& done);
    void signal_member(std::size_t member, int number) const { members_[member]->signal(number); }
    /// Returns the member that leads by the record of the newest claim, or `members()`.
    std::size_t leader() const;
    /// Returns a member that doesn't lead.
    std::size_t follower() const { return leader() == 0 ? 1 : 0; }
    /// Ends the case with this result.
    void finish(int result, const std::string& why);
    int run();

    static constexpr const char* host = "queue.example";

private:
    void wait_for_members(time_point until, const std::function<void()>& ready);
    void submit_at(std::size_t member, int tries, const std::string& path, const std::string& body,
                   const std::function<void(int status)>& done);

    std::string folder_;
    http_server store_server_;
    endpoint store_address_;
    http_client client_;
    std::vector<std::unique_ptr<member_process>> members_;
    std::map<std::size_t, std::unique_ptr<store_watch>> watches_; ///< by member
    int version_ = 0;
    std::size_t next_member_ = 0;
    int result_ = could_not_run;
};

/// Returns a route of the manifest for the fleet's service.
Json::Value make_route(const std::string& name, const std::string& prefix, int max_attempts);

/// The part of a task's name before its last part: the name of its step.
std::string step_of(const std::string& task);
std::string job_of(const std::string& task);

} // namespace lab
