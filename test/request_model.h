// A randomised simulation of members, callers and a faulty log that drives the request table and
// the stream reader in virtual time. A seed determines the whole schedule. It detects requests that
// run twice, wrong `not_run` answers, answers of other requests, and callers without an answer.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sesamesill/journal.h"
#include "sesamesill/request.h"

namespace sesamesill::model {

struct options {
    std::uint64_t seed = 1;
    bool intent_first = true;
    bool remember = true;
    bool trim_unsafely = false; ///< the log trims records that no snapshot covers
};

struct verdicts {
    int double_runs = 0; ///< requests that ran more than once
    /// Requests answered `not_run` that had run, or ran later for a caller from before that answer.
    int false_not_run = 0;
    int wrong_answers = 0; ///< answers that belong to another key or to a request that never ran
    int unanswered = 0;    ///< callers of a live member without an answer after their deadline
    int runs = 0;
    int refused = 0; ///< `not_run` answers
    int replays = 0;
    int unknown = 0;
    int restored = 0; ///< members that started from a snapshot
};

constexpr int member_count = 3;
constexpr std::int64_t lease_ms = 40;
constexpr std::int64_t fault_period_ms = 600; ///< faults are injected until then
constexpr std::int64_t run_length_ms = 1400;
constexpr std::int64_t deadline_ms = 120;
constexpr std::int64_t retry_delay_ms = 51;   ///< time after its deadline at which a caller retries
constexpr std::int64_t answer_slack_ms = 200; ///< longest time from a deadline to the answer

class world {
public:
    explicit world(const options& o) : options_(o), random_(o.seed)
    {
        for (int m = 0; m < member_count; ++m) {
            start_member(m);
        }
    }

    verdicts run()
    {
        for (now_ = 0; now_ < run_length_ms; ++now_) {
            if (now_ < fault_period_ms) {
                inject_faults();
            }
            else {
                down_until_ = std::min(down_until_, now_);
            }
            for (int m = 0; m < member_count; ++m) {
                step(m);
            }
            end_runs();
            retry_callers();
        }
        check();
        return result_;
    }

private:
    struct queued_item {
        std::uint64_t ticket = 0;
        std::string id;
        std::string text;
    };

    struct member_state {
        std::string writer;
        stream_reader reader;
        request_table table;
        std::deque<queued_item> queue;
        std::string in_flight;
        std::set<std::string> in_flight_ids;
        std::uint64_t seq = 0;
        std::int64_t send_at = 0;
        std::int64_t read_at = 0;
        std::int64_t last_read = -1000;
        std::int64_t frozen_until = 0;
        std::int64_t owner_known_since = -1000; ///< when the member learnt of the current owner
        std::uint64_t view = 0;
        std::int64_t authority_until = 0;
        std::map<caller_id, std::int64_t> callers; ///< unanswered callers with deadlines

        member_state(std::string name, const request_limits& limits)
            : writer(std::move(name)), table(writer, limits)
        {
        }
    };

    struct attempt {
        std::string id;
        std::int64_t started_at = 0;
        std::int64_t not_run_at = -1;
    };

    struct running {
        std::string id;
        std::int64_t ends = 0;
        int member = 0;
        std::string writer;
        bool lost = false; ///< the executor's answer does not arrive in time
    };

    struct request_history {
        std::vector<std::int64_t> run_at;
        std::vector<caller_id> run_by;
        int tries = 0;
        caller_id newest = 0; ///< only an answer to this caller triggers a retry
        std::int64_t next_try = -1;
    };

    std::int64_t random_up_to(std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(0, max)(random_);
    }
    bool chance(int in_thousand) { return random_up_to(999) < in_thousand; }
    time_point time() const { return time_point(millis(now_ + 100000)); }

    static std::string id_of(std::int64_t key)
    {
        return to_string(request_key{7, static_cast<std::uint64_t>(key + 1)});
    }

    int owner() const { return static_cast<int>(view_ % member_count); }

    void start_member(int m)
    {
        request_limits limits;
        limits.intent_first = options_.intent_first;
        limits.remember = options_.remember;
        const std::string name = "e" + std::to_string(m) + "#" + std::to_string(++incarnations_);
        if (static_cast<int>(members_.size()) <= m) {
            members_.emplace_back(name, limits);
        }
        else {
            members_[m] = member_state(name, limits);
        }
        members_[m].owner_known_since = now_;
        members_[m].view = view_;
    }

    void inject_faults()
    {
        if (chance(4)) {
            down_until_ = now_ + 20 + random_up_to(200);
        }
        if (chance(3)) {
            start_member(static_cast<int>(random_up_to(member_count - 1)));
        }
        if (chance(4)) {
            members_[random_up_to(member_count - 1)].frozen_until = now_ + 10 + random_up_to(150);
        }
        if (chance(5)) {
            ++view_;
        }
        if (chance(5)) {
            trim();
        }
        if (chance(60)) {
            const std::string id = id_of(next_key_++);
            histories_[id].next_try = now_;
        }
    }

    void trim()
    {
        const std::uint64_t keep = options_.trim_unsafely ? first_ + log_.size() : covered_;
        while (first_ < keep && !log_.empty()) {
            log_.pop_front();
            ++first_;
        }
    }

    /// Returns whether the member may act as owner. It learns of a new owner after up to one lease,
    /// and acts only while its authority lasts.
    bool may_act(member_state& m, int index)
    {
        if (m.view != view_ && now_ - view_since() > random_up_to(lease_ms)) {
            m.view = view_;
            m.owner_known_since = now_;
        }
        if (m.view == view_) {
            m.authority_until = now_ + lease_ms;
        }
        return static_cast<int>(m.view % member_count) == index && m.authority_until > now_;
    }

    std::int64_t view_since()
    {
        if (seen_view_ != view_) {
            seen_view_ = view_;
            since_ = now_;
        }
        return since_;
    }

    static request_view view_of(const member_state& m)
    {
        return {m.reader.caught_up() && m.reader.complete(),
                m.last_read > m.owner_known_since + lease_ms};
    }

    void step(int index)
    {
        member_state& m = members_[index];
        if (m.frozen_until > now_) {
            return;
        }
        may_act(m, index);
        read(m, index);
        execute(m, index, m.table.advance(view_of(m), time()));
        send(m, index);
        if (index == 0 && now_ % 97 == 0) {
            snapshot(m);
        }
    }

    void read(member_state& m, int index)
    {
        if (m.read_at > now_ || down_until_ > now_) {
            return;
        }
        m.read_at = now_ + random_up_to(6);
        std::vector<raw_record> records;
        for (std::uint64_t o = std::max(first_, m.reader.next()); o < first_ + log_.size(); ++o) {
            records.push_back({o, log_[o - first_]});
        }
        const reader_events events = m.reader.process(first_, first_ + log_.size(), records);
        m.last_read = now_;
        for (const reader_event& e : events) {
            process(m, index, e);
        }
    }

    void process(member_state& m, int index, const reader_event& e)
    {
        if (e.what == reader_event::kind::record && e.writer == m.writer && e.seq == m.seq) {
            m.in_flight.clear();
            m.in_flight_ids.clear();
        }
        result_.restored += e.what == reader_event::kind::restored ? 1 : 0;
        if (e.what != reader_event::kind::item) {
            return;
        }
        const std::string id = e.item.value["id"].asString();
        if (e.item.type == "intent") {
            execute(m, index,
                    m.table.intent_read(id, e.item.writer, view_of(m), may_act(m, index), time()));
        }
        else {
            const outcome final_outcome =
                outcome_from(e.item.value["outcome"].asString()).value_or(outcome::unknown);
            execute(m, index,
                    m.table.outcome_read(id, e.item.writer, final_outcome,
                                         e.item.value["body"].asString(), time()));
        }
    }

    void send(member_state& m, int index)
    {
        if (m.send_at > now_ || (m.in_flight.empty() && m.queue.empty())) {
            return;
        }
        if (m.in_flight.empty()) {
            std::vector<std::string> items;
            for (; !m.queue.empty() && items.size() < 4; m.queue.pop_front()) {
                items.push_back(m.queue.front().text);
                m.in_flight_ids.insert(m.queue.front().id);
            }
            m.in_flight = encode(m.writer, ++m.seq, items);
        }
        m.send_at = now_ + 5 + random_up_to(15);
        if (down_until_ > now_ || chance(100)) {
            return;
        }
        log_.push_back(m.in_flight);
        const std::uint64_t offset = first_ + log_.size() - 1;
        const bool answered = !chance(200);
        if (answered && m.reader.caught_up() && m.reader.next() == offset) {
            const reader_events events = m.reader.process_next({offset, m.in_flight});
            for (const reader_event& e : events) {
                process(m, index, e);
            }
        }
    }

    void snapshot(member_state& m)
    {
        if (!m.reader.complete() || !m.reader.caught_up() || down_until_ > now_) {
            return;
        }
        std::vector<journal_item> items;
        m.table.for_each([&items](const std::string& id, const std::string& writer,
                                  outcome final_outcome, const std::string& body) {
            Json::Value value;
            value["type"] = final_outcome == outcome::pending ? "intent" : "ending";
            value["id"] = id;
            value["outcome"] = std::string(name_of(final_outcome));
            value["body"] = body;
            items.push_back({value["type"].asString(), writer, 0, value});
        });
        const std::uint64_t covers = m.reader.next();
        const std::string id = m.writer + ":" + std::to_string(covers);
        for (const Json::Value& part : snapshot_parts(id, covers, m.reader.seen(), items)) {
            log_record record{"snap#" + std::to_string(++snapshots_), 1, Json::arrayValue};
            record.items.append(part);
            log_.push_back(encode(record));
        }
        covered_ = covers;
    }

    void execute(member_state& m, int index, const request_actions& actions)
    {
        for (const request_action& a : actions) {
            switch (a.what) {
            case request_action::kind::append_intent:
                enqueue(m, "intent", a);
                break;
            case request_action::kind::append_outcome:
                enqueue(m, "ending", a);
                break;
            case request_action::kind::withdraw_intent:
                withdraw(m, a.id);
                break;
            case request_action::kind::answer:
                answer(m, index, a);
                break;
            }
        }
    }

    void enqueue(member_state& m, const char* type, const request_action& a)
    {
        Json::Value value;
        value["type"] = type;
        value["id"] = a.id;
        value["outcome"] = std::string(name_of(a.final_outcome));
        value["body"] = a.body;
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        m.queue.push_back({0, std::string(type) + a.id, Json::writeString(builder, value)});
    }

    static void withdraw(member_state& m, const std::string& id)
    {
        for (auto it = m.queue.begin(); it != m.queue.end(); ++it) {
            if (it->id == "intent" + id) {
                m.queue.erase(it);
                m.table.intent_withdrawn(id);
                return;
            }
        }
    }

    void answer(member_state& m, int index, const request_action& a)
    {
        m.callers.erase(a.caller);
        attempt& answered_attempt = attempts_[a.caller];
        request_history& h = histories_[answered_attempt.id];
        result_.wrong_answers += a.id != answered_attempt.id ? 1 : 0;
        switch (a.result) {
        case verdict::run:
            h.run_at.push_back(now_);
            h.run_by.push_back(a.caller);
            ++result_.runs;
            running_.push_back(
                {answered_attempt.id, now_ + 1 + random_up_to(30), index, m.writer, chance(150)});
            break;
        case verdict::replay:
            ++result_.replays;
            result_.wrong_answers +=
                a.body != "of " + answered_attempt.id || h.run_at.empty() ? 1 : 0;
            break;
        case verdict::unknown:
            ++result_.unknown;
            break;
        case verdict::not_run:
            ++result_.refused;
            answered_attempt.not_run_at = now_;
            break;
        }
        if (a.result != verdict::replay && h.tries < 4 && h.newest == a.caller) {
            h.next_try = now_ + random_up_to(60);
        }
    }

    /// Ends the runs that are due. A run with a lost answer ends as unknown; its answer may still
    /// arrive later.
    void end_runs()
    {
        std::vector<running> remaining;
        for (running& r : running_) {
            member_state& m = members_[r.member];
            if (r.ends > now_ || m.frozen_until > now_) {
                remaining.push_back(r);
                continue;
            }
            if (m.writer != r.writer) {
                continue;
            }
            const outcome final_outcome = r.lost ? outcome::unknown : outcome::done;
            execute(m, r.member,
                    m.table.end(r.id, final_outcome, r.lost ? "" : "of " + r.id, time()));
            if (r.lost && chance(500)) {
                remaining.push_back(
                    {r.id, now_ + 20 + random_up_to(60), r.member, r.writer, false});
            }
        }
        running_.swap(remaining);
    }

    void retry_callers()
    {
        for (auto& entry : histories_) {
            request_history& h = entry.second;
            if (h.next_try < 0 || h.next_try > now_) {
                continue;
            }
            const int index = static_cast<int>(random_up_to(member_count - 1));
            member_state& m = members_[index];
            if (m.frozen_until > now_ || !may_act(m, index)) {
                h.next_try = now_ + 5;
                continue;
            }
            ++h.tries;
            // A caller whose member crashes gets no answer and retries.
            h.next_try = h.tries < 4 ? now_ + deadline_ms + retry_delay_ms + random_up_to(100) : -1;
            const caller_id caller = ++callers_;
            h.newest = caller;
            attempts_[caller] = {entry.first, now_, -1};
            m.callers[caller] = now_ + deadline_ms;
            execute(m, index,
                    m.table.begin({entry.first, caller, time() + millis(deadline_ms)}, view_of(m),
                                  time()));
        }
    }

    void check()
    {
        for (const auto& entry : histories_) {
            result_.double_runs += entry.second.run_at.size() > 1 ? 1 : 0;
        }
        for (const auto& entry : attempts_) {
            const attempt& a = entry.second;
            const request_history& h = histories_[a.id];
            for (std::size_t i = 0; a.not_run_at >= 0 && i < h.run_at.size(); ++i) {
                const bool later_caller = attempts_[h.run_by[i]].started_at >= a.not_run_at;
                result_.false_not_run += h.run_at[i] < a.not_run_at || !later_caller ? 1 : 0;
            }
        }
        for (const member_state& m : members_) {
            for (const auto& open : m.callers) {
                result_.unanswered += open.second + answer_slack_ms < run_length_ms ? 1 : 0;
            }
        }
    }

    options options_;
    std::mt19937_64 random_;
    std::int64_t now_ = 0;
    std::deque<std::string> log_;
    std::uint64_t first_ = 0;
    std::uint64_t covered_ = 0;
    std::int64_t down_until_ = 0;
    std::uint64_t view_ = 0;
    std::uint64_t seen_view_ = 0;
    std::int64_t since_ = -1000;
    std::uint64_t incarnations_ = 0;
    std::uint64_t snapshots_ = 0;
    std::int64_t next_key_ = 0;
    caller_id callers_ = 0;
    std::vector<member_state> members_;
    std::map<caller_id, attempt> attempts_;
    std::map<std::string, request_history> histories_;
    std::vector<running> running_;
    verdicts result_;
};

} // namespace sesamesill::model
