// Cases in which an accepted job never runs, or runs on though it was cancelled.

#include <algorithm>
#include <csignal>
#include <set>

#include "cases.h"

namespace lab {
namespace {

constexpr int member_count = 3;
constexpr std::int64_t finish_ms = 14000;

/// Two large jobs take the whole pool while a wide gang waits, so that the gang's tickets expire.
/// Rule LOST.
class wide_gang : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        fleet& all = cell_.executors;
        all.plan = [](const std::string&, const std::string& task, std::int64_t) {
            return run_plan{job_of(task) == gang_job ? gang_work : large_work, false};
        };
        all.gang_size = [](const std::string& task) { return job_of(task) == gang_job ? gang : 0; };
        all.needs_ticket = [](const std::string& task) { return job_of(task) == gang_job; };
        all.allows = [](const std::string&, const std::string& id) { return id.back() != '7'; };
        Json::Value routes;
        routes.append(make_route("r-plain", "/plain/", 3));
        Json::Value advised = make_route("r-advised", "/advised/", 3);
        advised["Advice"]["DecideMs"] = 7.0;
        advised["Advice"]["PerWorkerMs"] = 0.1;
        advised["Advice"]["ValidMs"] = 2500;
        routes.append(advised);
        cell_.declare(routes);
        return cell_.add_executors(count, 32000) && cell_.start_members(member_count);
    }

    void begin() override
    {
        constexpr millis gang_after{1500};
        if (!has_trouble()) {
            submit_gang();
            return;
        }
        for (const char* job : {"00000000000000b1", "00000000000000b2"}) {
            submit(std::string("/plain/") + job, make_job({make_step(count / 2, cpu, large_work)}));
        }
        cell_.loop.after(gang_after, [this] { submit_gang(); });
    }

    void watch() override
    {
        const std::vector<observed_run>& seen = cell_.executors.observed();
        const bool ran = std::any_of(seen.begin(), seen.end(), [](const observed_run& r) {
            return job_of(r.task) == gang_job && r.how == "done";
        });
        if (ran) {
            cell_.finish(rule_held, "the gang ran");
            return;
        }
        // The gang needs 105 executors; the advisor allows 216, and none is in use.
        const bool was_accepted = is_gang_sent_ && accepted_at_ >= 0;
        const std::int64_t idle = idle_for(was_accepted && cell_.executors.used_share() == 0);
        if (idle > finish_ms && !is_asked_) {
            is_asked_ = true;
            ask(idle);
        }
    }

private:
    void submit_gang()
    {
        Json::Value step = make_step(gang, cpu, gang_work);
        step["Gang"] = true;
        accepted_at_ = -1;
        is_gang_sent_ = true;
        submit(std::string("/advised/") + gang_job, make_job({step}));
    }

    void ask(std::int64_t idle)
    {
        cell_.ask(
            std::string("/advised/") + gang_job, [this, idle](int status, const std::string& body) {
                cell_.finish(rule_broken,
                             std::string("LOST: job ") + gang_job + " has nothing running for " +
                                 std::to_string(idle) + " ms (limit 3000) while all " +
                                 std::to_string(count) + " executors are idle; its state is " +
                                 std::to_string(status) + " " + body + "; the advisor rejected " +
                                 std::to_string(cell_.executors.rejected_advice_calls()) +
                                 " calls that named more than 100 executors");
            });
    }

    static constexpr const char* gang_job = "00000000000000b3";
    static constexpr int count = 240;
    static constexpr int gang = 105;
    static constexpr std::int64_t cpu = 20000; // one task an executor
    static constexpr millis large_work{6000};
    static constexpr millis gang_work{2000};
    bool is_gang_sent_ = false;
    bool is_asked_ = false;
};

/// Three executors fail what they start for some seconds. A gang whose tasks must run apart fails
/// on each of them. Rule LOST.
class gang_apart : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        constexpr int other_executors = 32;
        constexpr int fitting_executors = 4;
        cell_.executors.plan = [this](const std::string& executor, const std::string&,
                                      std::int64_t) { return plan_of(executor); };
        cell_.executors.gang_size = [](const std::string&) { return gang; };
        Json::Value routes;
        routes.append(make_route("r-plain", "/plain/", max_attempts));
        cell_.declare(routes);
        const bool started = cell_.add_executors(other_executors, 32000) &&
                             cell_.add_executors(fitting_executors, 32000, "b") &&
                             cell_.start_members(member_count);
        for (const std::unique_ptr<executor>& e : cell_.executors.executors()) {
            if (has_trouble() && e->settings().kind == "b" && failing_.size() < failing_executors) {
                failing_.insert(e->settings().id);
            }
        }
        return started;
    }

    void begin() override
    {
        Json::Value step = make_step(gang, 9000, work);
        step["Gang"] = true;
        step["AntiAffinity"] = 1;
        step["Requires"] = "b";
        submit(std::string("/plain/") + job, make_job({step}));
    }

    void watch() override
    {
        if (count_ends("done") > 0) {
            cell_.finish(rule_held, "the gang ran");
            return;
        }
        const std::int64_t failed = count_ends("failed");
        const bool idle = accepted_at_ >= 0 && !are_failing() && cell_.executors.at_work(job) == 0;
        const std::int64_t length = idle_for(idle);
        if (length <= finish_ms || is_asked_) {
            return;
        }
        if (failed >= max_attempts) {
            cell_.finish(could_not_run, "the gang has failed too often");
            return;
        }
        is_asked_ = true;
        ask(length, failed);
    }

private:
    bool are_failing() const
    {
        constexpr std::int64_t failing_ms = 6500;
        return accepted_at_ < 0 || cell_.log.elapsed_ms() - accepted_at_ < failing_ms;
    }

    run_plan plan_of(const std::string& executor) const
    {
        return run_plan{work, failing_.count(executor) > 0 && are_failing()};
    }

    void ask(std::int64_t idle, std::int64_t failed)
    {
        cell_.ask(std::string("/plain/") + job, [this, idle, failed](int status,
                                                                     const std::string& body) {
            cell_.finish(rule_broken, std::string("LOST: job ") + job +
                                          " has nothing running for " + std::to_string(idle) +
                                          " ms (limit 3000) while all executors are sound and "
                                          "idle, 4 of which fit its 2 tasks; " +
                                          std::to_string(failed) +
                                          " of 4 attempts have failed; its state is " +
                                          std::to_string(status) + " " + body);
        });
    }

    static constexpr const char* job = "00000000000000aa";
    static constexpr std::size_t failing_executors = 3; // of 36
    static constexpr int gang = 2;
    static constexpr int max_attempts = 4;
    static constexpr millis work{800};
    std::set<std::string> failing_;
    bool is_asked_ = false;
};

/// A member is frozen when a requester submits a job to it. The requester gets no answer in its
/// time budget and cancels the job at another member. Rule UNASKED.
class late_submit : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        constexpr int count = 6;
        cell_.executors.plan = [](const std::string&, const std::string&, std::int64_t) {
            return run_plan{work, false};
        };
        Json::Value routes;
        routes.append(make_route("r-plain", "/plain/", 3));
        cell_.declare(routes);
        return cell_.add_executors(count, 32000) && cell_.start_members(member_count);
    }

    void begin() override
    {
        const std::size_t member = cell_.follower();
        if (has_trouble()) {
            freeze(member);
        }
        cell_.send(member, "POST", path, make_job({make_step(4, 9000, work)}),
                   [this, member](int) { cancel(member + 1); });
    }

    void watch() override
    {
        constexpr std::int64_t contact_ms = 3000;
        constexpr std::int64_t cancel_ms = 3000;
        constexpr std::int64_t stop_timeout_ms = 900;
        const std::int64_t now = cell_.log.elapsed_ms();
        const std::int64_t calm_since = std::max(cancelled_at_, frozen_until_ + contact_ms);
        if (cancelled_at_ < 0 || now - calm_since < cancel_ms + stop_timeout_ms) {
            return;
        }
        const std::vector<observed_run>& seen = cell_.executors.observed();
        const auto run = std::find_if(seen.begin(), seen.end(),
                                      [](const observed_run& r) { return r.ended_ms < 0; });
        if (run == seen.end()) {
            cell_.finish(rule_held, "no task of the cancelled job is at work");
            return;
        }
        cell_.finish(rule_broken, "UNASKED: " + run->task + " was started " +
                                      std::to_string(run->began_ms - cancelled_at_) +
                                      " ms after the job's cancel was acknowledged, and is still "
                                      "at work after " +
                                      std::to_string(now - cancelled_at_) + " ms");
    }

private:
    void freeze(std::size_t member)
    {
        constexpr millis length{3500};
        frozen_until_ = cell_.log.elapsed_ms() + length.count();
        cell_.log.line("member " + std::to_string(member) + " is frozen");
        cell_.signal_member(member, SIGSTOP);
        cell_.loop.after(length, [this, member] {
            cell_.log.line("member " + std::to_string(member) + " wakes");
            cell_.signal_member(member, SIGCONT);
        });
    }

    void cancel(std::size_t member)
    {
        cell_.send(member, "DELETE", path, "", [this](int status) {
            if (status != 200 && status != 410) {
                cell_.finish(could_not_run, "the cancel wasn't acknowledged");
                return;
            }
            cancelled_at_ = cell_.log.elapsed_ms();
        });
    }

    static constexpr const char* path = "/plain/00000000000000f1";
    static constexpr millis work{30000};
    std::int64_t cancelled_at_ = -1;
    std::int64_t frozen_until_ = 0;
};

} // namespace

std::unique_ptr<test_case> make_wide_gang(const std::string& record_path, const std::string& folder)
{
    return std::make_unique<wide_gang>(record_path, folder);
}

std::unique_ptr<test_case> make_gang_apart(const std::string& record_path,
                                           const std::string& folder)
{
    return std::make_unique<gang_apart>(record_path, folder);
}

std::unique_ptr<test_case> make_late_submit(const std::string& record_path,
                                            const std::string& folder)
{
    return std::make_unique<late_submit>(record_path, folder);
}

} // namespace lab
