// A randomised model of job owners, shard owners and workers around the job table, in virtual time.
// Guards against double starts and wrong outcomes under kills, freezes, changes of owners, lost and
// late answers, and restarted workers.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/recovery.h"

namespace sesamesill::job_model {

struct options {
    std::uint64_t seed = 1;
    bool intent_first = true;
    bool resolve_first = true;
    bool fence = true;
};

struct verdicts {
    int concurrent_runs = 0; ///< a task was started while another attempt of it ran
    int started_twice = 0;   ///< a non-idempotent task was started again
    int wrong_outcomes = 0;  ///< done without a run that succeeded, or not_run after a start
    int open_jobs = 0;
    int done = 0;
    int unknown = 0;
};

constexpr int member_count = 3;
constexpr std::int64_t lease_ms = 20;
constexpr std::int64_t answer_limit_ms = 30;
constexpr std::int64_t fault_phase_ms = 800;
constexpr std::int64_t end_ms = 2000;

class world {
public:
    explicit world(const options& o) : options_(o), random_(o.seed), workers_(member_count)
    {
        for (int m = 0; m < member_count; ++m) {
            members_.emplace_back(make_member(m));
        }
    }

    verdicts run()
    {
        for (now_ = 0; now_ < end_ms; ++now_) {
            if (now_ < fault_phase_ms) {
                inject_faults();
            }
            deliver();
            for (int m = 0; m < member_count; ++m) {
                step(m);
            }
            end_tasks();
        }
        check();
        return result_;
    }

private:
    struct item {
        std::string type;
        std::string writer;
        std::string id;
        std::size_t index = 0;
        std::uint64_t view = 0;
        task_phase phase = task_phase::done;
        outcome final_outcome = outcome::done;
    };

    struct worker_task {
        std::int32_t attempt = 0;
        task_state state = task_state::running;
        std::int64_t ends_at = 0;
    };

    struct worker_model {
        std::map<std::string, worker_task> tasks;
    };

    struct member_state {
        std::string writer;
        job_table table;
        std::size_t next = 0; ///< index of the next log item to read
        std::uint64_t view = 0;
        std::int64_t view_read_at = 0;
        std::int64_t last_read = -1000;
        std::int64_t next_read_at = 0;
        std::int64_t started_at = 0;
        std::int64_t frozen_until = 0;
        std::uint64_t round = 0;
        std::map<int, std::uint64_t> fences;
        std::map<int, std::int64_t> accounted_at; ///< by owned worker: when its tasks are known
        std::deque<std::pair<std::int64_t, item>> queue;

        member_state(std::string name, const job_limits& limits)
            : writer(std::move(name)), table(writer, limits)
        {
        }
    };

    struct message {
        std::int64_t at = 0;
        int to = 0;
        std::string to_writer; ///< incarnation that receives it; empty: any
        std::function<void()> handle;
    };

    std::int64_t pick(std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(0, most)(random_);
    }
    bool chance(int in_thousand) { return pick(999) < in_thousand; }
    time_point time() const { return time_point(millis(now_ + 100000)); }

    member_state make_member(int m)
    {
        job_limits limits;
        limits.intent_first = options_.intent_first;
        limits.resolve_first = options_.resolve_first;
        const std::string writer = "e" + std::to_string(m) + "#" + std::to_string(++incarnations_);
        member_state s(writer, limits);
        s.started_at = now_;
        s.round = incarnations_ * 1000;
        return s;
    }

    static int job_owner_in(std::uint64_t view) { return static_cast<int>(view % member_count); }
    static int owner_in(std::uint64_t view, int worker)
    {
        return static_cast<int>((view / 2 + static_cast<std::uint64_t>(worker)) % member_count);
    }

    bool acts(const member_state& m) const
    {
        return now_ - m.last_read < lease_ms && (m.view == 0 || now_ - m.view_read_at >= lease_ms);
    }
    bool owns_jobs(int index) const
    {
        return acts(members_[index]) && job_owner_in(members_[index].view) == index;
    }
    bool owns_worker(int index, int worker) const
    {
        return acts(members_[index]) && owner_in(members_[index].view, worker) == index;
    }

    void inject_faults()
    {
        if (chance(8)) {
            add_view();
        }
        if (chance(4)) {
            const int m = static_cast<int>(pick(member_count - 1));
            members_[m] = make_member(m);
            add_view(); // a restarted process is a new member
        }
        if (chance(8)) {
            members_[pick(member_count - 1)].frozen_until = now_ + 5 + pick(80);
        }
        if (chance(3)) {
            for (auto& entry : workers_[pick(member_count - 1)].tasks) {
                entry.second.state = task_state::lease_expired; // reported after a restart
            }
        }
        if (chance(25)) {
            const int m = static_cast<int>(pick(member_count - 1));
            if (members_[m].frozen_until <= now_ && owns_jobs(m)) {
                item accepted;
                accepted.type = "accept";
                accepted.id = "job" + std::to_string(++jobs_) + (chance(500) ? "i" : "n");
                append(members_[m], accepted);
            }
        }
    }

    void add_view()
    {
        item entry;
        entry.type = "view";
        entry.view = ++view_;
        log_.push_back(entry);
    }

    void append(member_state& m, item entry)
    {
        entry.writer = m.writer;
        const std::int64_t after = m.queue.empty() ? now_ : m.queue.back().first;
        m.queue.emplace_back(std::max(after, now_ + 1 + pick(6)), std::move(entry));
    }

    void deliver()
    {
        std::vector<message> due_messages;
        std::vector<message> left;
        for (message& msg : messages_) {
            const bool ready = msg.at <= now_ && members_[msg.to].frozen_until <= now_;
            (ready ? due_messages : left).push_back(std::move(msg));
        }
        messages_.swap(left);
        for (const message& msg : due_messages) {
            if (msg.to_writer.empty() || members_[msg.to].writer == msg.to_writer) {
                msg.handle();
            }
        }
    }

    void step(int index)
    {
        member_state& m = members_[index];
        if (m.frozen_until > now_) {
            return;
        }
        if (m.next_read_at <= now_) {
            m.next_read_at = now_ + pick(5);
            read(m, index);
        }
        while (!m.queue.empty() && m.queue.front().first <= now_) {
            log_.push_back(m.queue.front().second);
            m.queue.pop_front();
        }
        for (int w = 0; w < member_count; ++w) {
            if (!owns_worker(index, w)) {
                m.accounted_at.erase(w);
            }
            else if (m.accounted_at.count(w) == 0) {
                m.accounted_at[w] = now_ + 1 + pick(10);
                forget_lapsed(workers_[w]);
            }
        }
        m.table.update_ownership([this, index](const std::string&) { return owns_jobs(index); });
        recover(m, index);
        if (owns_jobs(index)) {
            place(m, index);
        }
        if (now_ % 10 == index) {
            report_ends(index);
        }
    }

    /// Removes the lapsed tasks: a new owner cannot know of tasks that a worker has lost.
    static void forget_lapsed(worker_model& w)
    {
        for (auto it = w.tasks.begin(); it != w.tasks.end();) {
            it = it->second.state == task_state::lease_expired ? w.tasks.erase(it) : std::next(it);
        }
    }

    void read(member_state& m, int index)
    {
        m.last_read = now_;
        for (; m.next < log_.size(); ++m.next) {
            const item& entry = log_[m.next];
            if (entry.type == "view") {
                m.view = entry.view;
                m.view_read_at = now_;
                m.table.recheck_running();
            }
            else if (entry.type == "accept") {
                submission what;
                what.idempotent = entry.id.back() == 'i';
                what.tasks = 2;
                what.deadline = std::chrono::hours(1);
                m.table.accept_read(entry.id, what, 3, entry.writer, m.next, owns_jobs(index),
                                    time());
            }
            else if (entry.type == "intent") {
                m.table.intent_read(entry.id, {entry.index});
            }
            else if (entry.type == "end") {
                m.table.end_read(entry.id, entry.index, entry.phase, "");
            }
            else {
                m.table.outcome_read(entry.id, entry.final_outcome, time());
            }
        }
    }

    void execute(member_state& m, const job_actions& actions)
    {
        for (const job_action& a : actions) {
            item entry;
            entry.id = a.id;
            entry.index = a.index;
            entry.phase = a.phase;
            entry.final_outcome = m.table.find(a.id)->final_outcome;
            entry.type = a.what == job_action::kind::append_intent        ? "intent"
                         : a.what == job_action::kind::append_end         ? "end"
                         : a.what == job_action::kind::append_job_outcome ? "ending"
                                                                          : "";
            if (!entry.type.empty()) {
                append(m, entry);
            }
        }
    }

    void recover(member_state& m, int index)
    {
        if (m.table.recovering()) {
            if (time() - m.table.recovery_begun() > millis(answer_limit_ms)) {
                m.table.abandon_recovery();
            }
            return;
        }
        if (m.table.begin_recovery({"0", "1", "2"}, time()).empty()) {
            return;
        }
        const std::uint64_t round = ++m.round;
        const std::string asker = m.writer;
        for (int peer = 0; peer < member_count; ++peer) {
            send(peer, "", [this, peer, index, round, asker] {
                const recovery_answer answer = answer_of(peer, index, round);
                send(index, asker, [this, index, round, answer] {
                    if (members_[index].round == round) {
                        execute(members_[index],
                                members_[index].table.handle_answer(answer, time()));
                    }
                });
            });
        }
    }

    void send(int to, const std::string& writer, std::function<void()> handle)
    {
        if (!chance(60) || now_ >= fault_phase_ms) {
            messages_.push_back(
                {now_ + 1 + pick(chance(100) ? 60 : 4), to, writer, std::move(handle)});
        }
    }

    recovery_answer answer_of(int peer, int job_owner, std::uint64_t round)
    {
        member_state& p = members_[peer];
        if (options_.fence) {
            p.fences[job_owner] = std::max(p.fences[job_owner], round);
        }
        recovery_answer answer;
        answer.member = "e" + std::to_string(peer);
        answer.uptime = millis(now_ - p.started_at);
        for (int w = 0; w < member_count; ++w) {
            if (!is_accounted(p, peer, w)) {
                continue;
            }
            answer.shards.push_back(std::to_string(w));
            for (const auto& t : workers_[w].tasks) {
                answer.tasks.push_back(
                    {t.first, t.second.attempt, t.second.state, std::to_string(w), ""});
            }
        }
        return answer;
    }

    bool is_accounted(const member_state& p, int peer, int w) const
    {
        const auto since = p.accounted_at.find(w);
        return owns_worker(peer, w) && since != p.accounted_at.end() && since->second <= now_;
    }

    void place(member_state& m, int index)
    {
        const std::set<std::string> ids = m.table.placeable();
        for (const std::string& id : ids) {
            job& j = *m.table.find(id);
            job_actions actions;
            for (std::size_t i = 0; i < j.tasks.size(); ++i) {
                if (!m.table.may_send(j, i, actions)) {
                    continue;
                }
                const int to = static_cast<int>(pick(member_count - 1));
                const std::int32_t attempt = m.table.sent(j, i, "e" + std::to_string(to));
                request_start(m, index, to, id, i, attempt);
            }
            execute(m, actions);
        }
    }

    void request_start(const member_state& m, int index, int to, const std::string& id,
                       std::size_t i, std::int32_t attempt)
    {
        const std::uint64_t round = m.round;
        const std::string asker = m.writer;
        send(to, "", [this, index, to, id, i, attempt, round, asker] {
            const int worker = start_task(to, index, round, task_name(id, i), attempt);
            send(index, asker, [this, index, id, i, attempt, worker] {
                job_table& table = members_[index].table;
                if (worker < 0) {
                    table.refused(id, i, attempt);
                }
                else {
                    table.placed(id, i, attempt, std::to_string(worker));
                }
            });
        });
        messages_.push_back({now_ + answer_limit_ms, index, asker, [this, index, id, i, attempt] {
                                 members_[index].table.unanswered(id, i, attempt, time());
                             }});
    }

    /// Returns the worker on which the task was started, or -1 if it was not started.
    int start_task(int owner, int job_owner, std::uint64_t round, const std::string& task,
                   std::int32_t attempt)
    {
        member_state& o = members_[owner];
        if (job_owner_in(o.view) != job_owner || round < o.fences[job_owner]) {
            return -1;
        }
        for (int w = 0; w < member_count; ++w) {
            if (!is_accounted(o, owner, w)) {
                continue;
            }
            for (const worker_model& other : workers_) {
                const auto existing = other.tasks.find(task);
                result_.concurrent_runs +=
                    existing != other.tasks.end() && existing->second.state == task_state::running
                        ? 1
                        : 0;
            }
            const bool once_only = job_of(task).back() == 'n';
            result_.started_twice += once_only && starts_[task] > 0 ? 1 : 0;
            ++starts_[task];
            workers_[w].tasks[task] = {attempt, task_state::running, now_ + 5 + pick(60)};
            return w;
        }
        return -1;
    }

    void end_tasks()
    {
        for (worker_model& w : workers_) {
            for (auto& entry : w.tasks) {
                worker_task& t = entry.second;
                if (t.state == task_state::running && t.ends_at <= now_) {
                    t.state = chance(150) ? task_state::failed : task_state::done;
                    done_runs_.insert(t.state == task_state::done ? entry.first : "");
                }
            }
        }
    }

    void report_ends(int index)
    {
        for (int w = 0; w < member_count; ++w) {
            if (!is_accounted(members_[index], index, w)) {
                continue;
            }
            const int job_owner = job_owner_in(members_[index].view);
            for (const auto& entry : workers_[w].tasks) {
                if (entry.second.state == task_state::running) {
                    continue;
                }
                const listed_task end{entry.first, entry.second.attempt, entry.second.state, "",
                                      ""};
                send(job_owner, "", [this, job_owner, w, end] {
                    const end_result result = members_[job_owner].table.ended(end, time());
                    execute(members_[job_owner], result.actions);
                    const auto existing = workers_[w].tasks.find(end.task);
                    if (result.acknowledge && existing != workers_[w].tasks.end() &&
                        existing->second.attempt == end.attempt &&
                        existing->second.state != task_state::running) {
                        workers_[w].tasks.erase(existing);
                    }
                });
            }
        }
    }

    void check()
    {
        const job_table& table = members_[job_owner_in(view_)].table;
        for (const auto& entry : table.jobs()) {
            const job& j = entry.second;
            result_.open_jobs += j.final_outcome == outcome::pending ? 1 : 0;
            result_.done += j.final_outcome == outcome::done ? 1 : 0;
            result_.unknown += j.final_outcome == outcome::unknown ? 1 : 0;
            for (std::size_t i = 0; i < j.tasks.size(); ++i) {
                const std::string name = task_name(j.id, i);
                const task_phase phase = j.tasks[i].phase;
                const bool wrong_done = phase == task_phase::done && done_runs_.count(name) == 0;
                const bool wrong_not_run = phase == task_phase::not_run && starts_[name] > 0;
                result_.wrong_outcomes += wrong_done || wrong_not_run ? 1 : 0;
            }
        }
    }

    options options_;
    std::mt19937_64 random_;
    std::int64_t now_ = 0;
    std::uint64_t view_ = 0;
    std::uint64_t incarnations_ = 0;
    int jobs_ = 0;
    std::deque<item> log_;
    std::vector<member_state> members_;
    std::vector<worker_model> workers_;
    std::vector<message> messages_;
    std::map<std::string, int> starts_;
    std::set<std::string> done_runs_;
    verdicts result_;
};

} // namespace sesamesill::job_model
