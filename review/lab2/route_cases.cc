// Cases in which a manifest drops the route of an accepted job.

#include <set>

#include "cases.h"
#include "sesamesill/rpc.h"

namespace lab {
namespace {

constexpr int executor_count = 6;
constexpr int member_count = 3;
constexpr std::int64_t restored_after_ms = 4000;

/// A case with two routes, one of which is dropped and, in some cases, restored.
class route_case : public test_case {
public:
    route_case(const std::string& record_path, const std::string& folder, int max_attempts)
        : test_case(record_path, folder)
    {
        kept_.append(make_route("r-kept", "/kept/", max_attempts));
        both_ = kept_;
        both_.append(make_route("r-plain", "/plain/", max_attempts));
    }

protected:
    bool set_up() override
    {
        cell_.declare(both_);
        return cell_.add_executors(executor_count, 32000) && cell_.start_members(member_count);
    }

    void drop_route()
    {
        dropped_at_ = cell_.log.elapsed_ms();
        cell_.declare(kept_);
    }

    void restore_route()
    {
        is_restored_ = true;
        cell_.declare(both_);
    }

    bool is_dropped() const { return dropped_at_ >= 0; }
    bool is_restored() const { return is_restored_; }
    bool has_route() const { return !is_dropped() || is_restored_; }
    std::int64_t dropped_for() const { return cell_.log.elapsed_ms() - dropped_at_; }

private:
    Json::Value kept_;
    Json::Value both_;
    std::int64_t dropped_at_ = -1;
    bool is_restored_ = false;
};

/// A manifest drops a route for some seconds while the second of four permitted runs of a task ends
/// `failed`. Rule LOST.
class early_failure : public route_case {
public:
    early_failure(const std::string& record_path, const std::string& folder)
        : route_case(record_path, folder, max_attempts)
    {
        cell_.executors.plan = [this](const std::string&, const std::string&, std::int64_t run) {
            begun_.insert(run);
            return run_plan{work, begun_.size() <= failing_runs};
        };
    }

protected:
    void begin() override { submit(path, make_job({make_step(1, 9000, work)})); }

    void watch() override
    {
        constexpr std::int64_t asked_each_ms = 1000;
        if (has_trouble() && !is_dropped() && begun_.size() == failing_runs) {
            drop_route(); // the second run is at work
        }
        if (is_dropped() && !is_restored() && dropped_for() > restored_after_ms) {
            restore_route();
        }
        const std::int64_t now = cell_.log.elapsed_ms();
        const bool may_be_final = count_ends("failed") >= static_cast<int>(failing_runs);
        if (may_be_final && has_route() && now - asked_at_ > asked_each_ms) {
            asked_at_ = now;
            cell_.ask(path,
                      [this](int status, const std::string& body) { on_state(status, body); });
        }
    }

private:
    void on_state(int status, const std::string& body)
    {
        const std::optional<Json::Value> answer = json_from(body);
        const std::string state =
            status == 200 && answer && answer->isObject() ? (*answer)["State"].asString() : "";
        const std::int64_t failed = count_ends("failed");
        if (state == "complete") {
            cell_.finish(rule_held, "the job is complete");
        }
        if (state == "failed" && failed < max_attempts) {
            cell_.finish(rule_broken, std::string("LOST: job ") + path +
                                          " is shown as failed after " + std::to_string(failed) +
                                          " failed runs, with MaxAttempts 4");
        }
    }

    static constexpr const char* path = "/plain/00000000000000e1";
    static constexpr int max_attempts = 4;
    static constexpr std::size_t failing_runs = 2; // the third one ends `done`
    static constexpr millis work{2000};
    std::set<std::int64_t> begun_;
    std::int64_t asked_at_ = -1;
};

/// A manifest drops a route and a later one has it again, while the last permitted run of a task
/// ends `failed`. Rule BUDGET.
class restored_route : public route_case {
public:
    restored_route(const std::string& record_path, const std::string& folder)
        : route_case(record_path, folder, max_attempts)
    {
        cell_.executors.plan = [](const std::string&, const std::string& task, std::int64_t) {
            return run_plan{work, task == failing_task};
        };
    }

protected:
    void begin() override { submit(path, make_job({make_step(4, 9000, work)})); }

    void watch() override
    {
        constexpr std::int64_t restored_after_ends_ms = 2000;
        constexpr std::int64_t judged_after_ms = 8000;
        int starts = 0;
        int noted = 0;
        for (const observed_run& r : cell_.executors.observed()) {
            starts += r.task == failing_task ? 1 : 0;
            noted += r.task == failing_task && r.how == "failed" && r.noted_ms >= 0 ? 1 : 0;
        }
        if (has_trouble() && !is_dropped() && starts == max_attempts) {
            drop_route(); // the last permitted run is at work
        }
        if (noted < max_attempts) {
            return;
        }
        const std::int64_t now = cell_.log.elapsed_ms();
        noted_at_ = noted_at_ < 0 ? now : noted_at_;
        if (has_trouble() && !is_restored() && now - noted_at_ > restored_after_ends_ms) {
            restore_route();
        }
        if (now - noted_at_ > judged_after_ms) {
            cell_.finish(starts > max_attempts ? rule_broken : rule_held,
                         "BUDGET: " + std::string(failing_task) + " was started " +
                             std::to_string(starts) + " times, with MaxAttempts 2");
        }
    }

private:
    static constexpr const char* path = "/plain/00000000000000d1";
    static constexpr const char* failing_task = "00000000000000d1.0.0.0";
    static constexpr int max_attempts = 2;
    static constexpr millis work{2000};
    std::int64_t noted_at_ = -1; ///< when both failed ends were taken note of
};

/// A manifest drops the route of an accepted job whose second step is still to come. Rule LOST.
class dropped_route : public route_case {
public:
    dropped_route(const std::string& record_path, const std::string& folder)
        : route_case(record_path, folder, max_attempts)
    {
        cell_.executors.plan = [](const std::string&, const std::string&, std::int64_t) {
            return run_plan{work, false};
        };
    }

protected:
    void begin() override
    {
        constexpr millis dropped_after{1000};
        Json::Value second = make_step(tasks, 9000, work);
        second["After"].append(0);
        submit(std::string("/plain/") + job, make_job({make_step(tasks, 9000, work), second}));
        if (has_trouble()) {
            cell_.loop.after(dropped_after, [this] { drop_route(); });
        }
    }

    void watch() override
    {
        constexpr std::int64_t finish_ms = 14000;
        const std::int64_t done = count_ends("done");
        if (done == all_tasks) {
            cell_.finish(rule_held, "both steps of the job ran");
            return;
        }
        const std::int64_t idle = idle_for(done == tasks && cell_.executors.at_work(job) == 0);
        if (idle > finish_ms) {
            cell_.finish(rule_broken, std::string("LOST: job ") + job +
                                          " has nothing running for " + std::to_string(idle) +
                                          " ms (limit 3000) after its first step was done, while "
                                          "all executors are idle");
        }
    }

private:
    static constexpr const char* job = "00000000000000c1";
    static constexpr int max_attempts = 3;
    static constexpr int tasks = 2; ///< of each step
    static constexpr int all_tasks = 2 * tasks;
    static constexpr millis work{3000};
};

} // namespace

std::unique_ptr<test_case> make_early_failure(const std::string& record_path,
                                              const std::string& folder)
{
    return std::make_unique<early_failure>(record_path, folder);
}

std::unique_ptr<test_case> make_restored_route(const std::string& record_path,
                                               const std::string& folder)
{
    return std::make_unique<restored_route>(record_path, folder);
}

std::unique_ptr<test_case> make_dropped_route(const std::string& record_path,
                                              const std::string& folder)
{
    return std::make_unique<dropped_route>(record_path, folder);
}

} // namespace lab
