// Checks the promises of the control plane during a soak, based on what clients and workers
// observe.

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "../platform_standin/witness.h"

namespace soak {

using namespace sesamesill;
using namespace standin;

/// Result of submitting a job, as the client knows it.
enum class submission : std::uint8_t { open, accepted, refused };

struct promise_bounds {
    int max_attempts = 3;
    millis visibility_lag{3000};      ///< after it, all members know an accepted job
    millis cancel_lag{3000};          ///< after an acknowledged cancel; no run starts later
    millis acknowledgement_lag{1000}; ///< after a job was shown as complete; no run starts later
    millis drain_limit{2000};         ///< after a worker reported draining; no run starts later
    millis fault_free_period{3000};   ///< bounds in time hold after this long without a fault
};

class promises : public run_observer {
public:
    explicit promises(promise_bounds bounds) : bounds_(bounds) {}
    promises(const promises&) = delete;
    promises& operator=(const promises&) = delete;
    promises(promises&&) = delete;
    promises& operator=(promises&&) = delete;
    ~promises() override = default;

    const promise_bounds& bounds() const { return bounds_; }

    /// Declares a job that a client is about to submit. For each step, `runs_fail` holds how many
    /// runs of its first task fail because of the task itself.
    void declare(const pool::job_spec& spec, std::vector<millis> work, std::vector<int> runs_fail,
                 bool advised);
    void on_submitted(const std::string& job, submission outcome);
    void on_cancel_sent(const std::string& job);
    void on_cancelled(const std::string& job);
    void on_shown(const std::string& job, pool::job_state state);
    void on_gone(const std::string& job); ///< a member replied with status 410
    /// Records a broken promise that was detected elsewhere.
    void report(const std::string& promise, const std::string& what) { violate(promise, what); }
    void on_fault() { last_fault_ = boot_clock::now(); }
    /// Sets a check whether neither the leader nor the store had a fault lately. Faults of other
    /// members don't excuse a start on a draining worker.
    void set_leader_check(std::function<bool()> check) { leader_is_sound_ = std::move(check); }
    void on_worker(const std::string& worker, const resources& capacity);

    std::optional<run_facts> facts_of(const pool::task_id& task, std::int64_t run) override;
    void on_start(const run_start& start) override;
    void on_checkpoint(const pool::task_id& task, const std::string& checkpoint) override;
    void on_end(const run_end& end) override;
    void on_ends_acknowledged(const std::string& worker, std::uint64_t number) override;
    void on_lease_expired(const std::string& worker) override;
    void on_draining(const std::string& worker) override;

    /// Returns the accepted jobs that were not shown in a final state and that no client cancelled.
    std::vector<std::string> unfinished() const;
    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t accepted() const;
    std::size_t starts() const { return starts_; }

private:
    struct observed_run {
        std::string worker;
        std::int64_t run = 0;
        time_point started;
    };

    struct observed_end {
        std::string worker;
        std::uint64_t number = 0;
        std::int64_t run = 0;
        time_point at;
        bool done = false; ///< false if the run failed
        bool acknowledged = false;
        bool lease_expired = false; ///< the worker's lease expired before the acknowledgement
    };

    struct observed_task {
        std::vector<observed_run> active;
        std::vector<observed_run> started;
        std::vector<observed_end> ends;
        std::set<std::string> checkpoints;
        bool is_done() const;
    };

    struct observed_job {
        pool::job_spec spec;
        std::vector<millis> work;
        std::vector<int> runs_fail;
        bool advised = false; ///< its tasks need tickets
        bool refused_only = false;
        bool open = true; ///< the client doesn't know yet whether the job was accepted
        std::optional<time_point> accepted;
        std::optional<time_point> cancel_sent;
        std::optional<time_point> cancelled;
        std::optional<time_point> complete;
        bool ended = false; ///< shown in a final state
        std::map<std::string, observed_task> tasks;
    };

    observed_job* find(const std::string& job);
    bool no_recent_fault() const
    {
        return boot_clock::now() - last_fault_ > bounds_.fault_free_period;
    }
    void violate(const std::string& promise, const std::string& what);
    void check_single_run(const observed_task& task, const run_start& start);
    void check_ends(const std::string& name, const observed_task& task);
    void check_order(const observed_job& job, const run_start& start);
    void check_capacity(const run_start& start, const pool::step_spec& step);
    void check_requested(const observed_job& job, const run_start& start);
    bool all_done(const observed_job& job, int step) const;

    promise_bounds bounds_;
    std::map<std::string, observed_job> jobs_;
    std::map<std::string, resources> capacity_;
    std::map<std::string, resources> allocated_;
    std::map<std::string, time_point> draining_;
    std::map<std::string, std::set<std::string>>
        unacknowledged_; ///< by worker: tasks with unacknowledged ends
    std::vector<std::string> violations_;
    time_point last_fault_ = boot_clock::now();
    std::function<bool()> leader_is_sound_ = [this] { return no_recent_fault(); };
    std::size_t starts_ = 0;
};

} // namespace soak
