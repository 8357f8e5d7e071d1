// Cases in which a task runs twice at the same time.

#include <chrono>
#include <csignal>

#include "cases.h"
#include "sesamesill/rpc.h"

namespace lab {
namespace {

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Json::Value plain_route()
{
    constexpr int max_attempts = 3;
    Json::Value routes;
    routes.append(make_route("r-plain", "/plain/", max_attempts));
    return routes;
}

/// Entries of another writer, of a service that the manifest doesn't name, appear for the machines
/// of the executors that are at work.
class foreign_entry : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        constexpr int count = 6;
        constexpr int members = 3;
        cell_.executors.plan = [](const std::string&, const std::string&, std::int64_t) {
            return run_plan{work, false};
        };
        cell_.declare(plain_route());
        return cell_.add_executors(count, 32000) && cell_.start_members(members);
    }

    void begin() override
    {
        constexpr millis entries_after{2000};
        constexpr millis judged_after{9000};
        submit("/plain/00000000000000a1", make_job({make_step(6, 9000, work)}));
        if (has_trouble()) {
            cell_.loop.after(entries_after, [this] { put_entries(); });
        }
        cell_.loop.after(judged_after, [this] { judge_overlaps(); });
    }

private:
    void put_entries()
    {
        for (const std::unique_ptr<executor>& e : cell_.executors.executors()) {
            if (e->running() > 0) {
                put_entry(e->settings().machine);
            }
        }
    }

    void put_entry(const std::string& machine)
    {
        Json::Value entry;
        entry["Service"] = "node-agent";
        entry["Addr"] = to_string(free_endpoint());
        entry["Zone"] = "zone-a";
        entry["Version"] = "v1";
        entry["State"] = "ready";
        entry["Machine"] = machine;
        entry["Seq"] = 1;
        entry["born"] = static_cast<Json::Int64>(unix_ms());
        entry["Capacity"]["Cpu"] = 0;
        const std::string text = to_text(entry);
        cell_.store.put("keyed.servers", "agent-" + machine, text);
        cell_.log.line("another writer: servers/agent-" + machine + " = " + text);
    }

    static constexpr millis work{10000};
};

/// A new executor loses its path to the store for 5 s after its first check-in, and the leader is
/// stopped as planned once the entry has expired.
class unseen_executor : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        constexpr int count = 6;
        constexpr int small_members = 62;
        constexpr double small_share = 0.12;
        constexpr double large_share = 0.5; // one of these two leads, the other one succeeds it
        cell_.executors.plan = [](const std::string&, const std::string&, std::int64_t) {
            return run_plan{work, false};
        };
        cell_.declare(plain_route());
        bool started = cell_.add_executors(count, 32000) && cell_.serve_platform() &&
                       cell_.start_watched_member(large_share) &&
                       cell_.start_watched_member(large_share);
        for (int i = 0; started && i < small_members; ++i) {
            started = cell_.start_member(small_share);
        }
        return started;
    }

    void begin() override
    {
        constexpr millis settling{
            12000}; // the lead moves to a large member; all read the directory
        cell_.loop.after(settling, [this] { await_directory_read(); });
    }

private:
    void await_directory_read()
    {
        const std::size_t leader = cell_.leader();
        if (leader > 1) {
            cell_.finish(could_not_run, "no member with a large processor share leads");
            return;
        }
        cell_.log.line("member " + std::to_string(leader) + " leads");
        cell_.watch_of(1 - leader).on_directory_read = [this, leader] {
            constexpr millis join_after{100};
            if (joining_) {
                return;
            }
            joining_ = true;
            cell_.log.line("member " + std::to_string(1 - leader) + " reads the directory");
            cell_.loop.after(join_after, [this, leader] { join(leader); });
        };
    }

    void join(std::size_t leader)
    {
        constexpr millis cut{5000};
        constexpr millis submit_after{500};
        constexpr millis second_joins_after{3000};
        constexpr millis stop_after{
            4600}; // the entry expires after three check-in intervals, 4.5 s
        constexpr millis judged_after{12000};
        add_executor();
        if (has_trouble()) {
            cell_.executors.executors().back()->cut_from_store(boot_clock::now() + cut);
            cell_.log.line("it loses its path to the store for " + std::to_string(cut.count()) +
                           " ms");
        }
        cell_.loop.after(submit_after, [this] {
            Json::Value step = make_step(1, 9000, work);
            step["Requires"] = "n";
            submit("/plain/00000000000000ab", make_job({step}));
        });
        cell_.loop.after(second_joins_after, [this] { add_executor(); });
        cell_.loop.after(stop_after, [this, leader] {
            cell_.log.line("member " + std::to_string(leader) + ", which leads, gets SIGTERM");
            cell_.signal_member(leader, SIGTERM);
        });
        cell_.loop.after(judged_after, [this] { judge_overlaps(); });
    }

    void add_executor()
    {
        cell_.add_executors(1, 32000, "n");
        cell_.log.line("executor " + cell_.executors.executors().back()->settings().id + " joins");
    }

    static constexpr millis work{40000};
    bool joining_ = false;
};

/// An idle executor starts again under its id while a poll waits there, begins a task and is cut
/// off; the poll is carried out seconds later.
class late_poll : public test_case {
public:
    using test_case::test_case;

protected:
    bool set_up() override
    {
        constexpr int count = 6;
        constexpr int members = 3;
        cell_.executors.plan = [](const std::string&, const std::string&, std::int64_t) {
            return run_plan{work, false};
        };
        cell_.declare(plain_route());
        const bool started = cell_.add_executors(count, 32000) &&
                             cell_.add_executors(1, 32000, "n") && cell_.start_members(members);
        first_ = cell_.executors.executors().back().get();
        return started;
    }

    void begin() override
    {
        constexpr millis settling{5000};
        cell_.loop.after(settling, [this] { is_settled_ = true; });
    }

    void watch() override
    {
        constexpr millis submit_after{260};
        constexpr millis second_joins_after{4000};
        constexpr millis judged_after{14000};
        if (!is_settled_ || has_begun_ || !first_->has_waiting_poll()) {
            return;
        }
        has_begun_ = true;
        if (has_trouble()) {
            disturb();
        }
        cell_.loop.after(submit_after, [this] {
            Json::Value step = make_step(1, 9000, work);
            step["Requires"] = "n";
            submit("/plain/00000000000000ac", make_job({step}));
        });
        cell_.loop.after(second_joins_after, [this] { cell_.add_executors(1, 32000, "n"); });
        cell_.loop.after(judged_after, [this] { judge_overlaps(); });
    }

private:
    void disturb()
    {
        constexpr millis dark{250};
        constexpr millis late{5500};
        constexpr millis cut_after{1000};
        constexpr millis cut{9000};
        first_->restart(dark, late);
        cell_.loop.after(cut_after, [this, cut] { first_->cut_from_all(boot_clock::now() + cut); });
    }

    static constexpr millis work{40000};
    executor* first_ = nullptr;
    bool is_settled_ = false;
    bool has_begun_ = false;
};

} // namespace

std::unique_ptr<test_case> make_foreign_entry(const std::string& record_path,
                                              const std::string& folder)
{
    return std::make_unique<foreign_entry>(record_path, folder);
}

std::unique_ptr<test_case> make_unseen_executor(const std::string& record_path,
                                                const std::string& folder)
{
    return std::make_unique<unseen_executor>(record_path, folder);
}

std::unique_ptr<test_case> make_late_poll(const std::string& record_path, const std::string& folder)
{
    return std::make_unique<late_poll>(record_path, folder);
}

} // namespace lab
