// The request table: what a member knows of each non-idempotent request, by its key.
// Events and times go in; intents to write, intents to take back, endings and answers come out.

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/work.h"

namespace sesamesill {

/// A request's id in 16 bytes: the hash of its organisation and key.
struct request_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

inline bool operator==(const request_key& a, const request_key& b)
{
    return a.high == b.high && a.low == b.low;
}

struct request_key_hash {
    std::size_t operator()(const request_key& key) const { return key.low; }
};

/// Returns the key written as 32 hex digits, or nothing.
std::optional<request_key> request_key_from(std::string_view id);
std::string to_string(const request_key& key);

enum class request_phase : std::uint8_t {
    accepted,   ///< its intent is not known to be in the log
    intended,   ///< its intent is in the log; a dispatch may follow or have followed
    dispatched, ///< this member holds the intent and lets the request run
    ended
};

enum class verdict : std::uint8_t {
    run,     ///< the intent is in the log: the caller of this answer dispatches, alone
    replay,  ///< an earlier attempt ended: its whole stored answer
    unknown, ///< may have run
    not_run  ///< nothing was dispatched, and nothing will be for this caller
};

struct request_limits {
    micros retention = std::chrono::minutes(10); ///< how long an ending is remembered
    std::size_t max_callers_per_key = 8;         ///< duplicates that wait for one answer
    std::size_t max_callers = 20000;             ///< waiting callers of all keys
    micros max_lateness =
        std::chrono::milliseconds(50); ///< after a deadline its caller may have retried
    bool intent_first = true;          ///< test only: off lets requests run at once
    bool remember = true;              ///< test only: off forgets earlier attempts
};

/// Names one caller that waits for an answer.
using caller_id = std::uint64_t;

struct request_action {
    enum class kind : std::uint8_t { append_intent, withdraw_intent, append_outcome, answer };

    kind what = kind::answer;
    std::string id;
    caller_id caller = 0;                     ///< answers
    verdict result = verdict::run;            ///< answers
    outcome final_outcome = outcome::pending; ///< endings and replays
    std::string body;                         ///< endings and replays
    error why;                                ///< answers unknown and not_run
};

using request_actions = std::vector<request_action>;

struct request_caller {
    std::string id;
    caller_id caller = 0;
    time_point deadline;
};

/// What a member may say of keys that it does not know.
struct request_view {
    bool complete = true; ///< its history reaches back over the whole retention time
    bool current = true;  ///< no other member can have written an intent that it has not read
};

/// Invariant: a key has at most one holder at a time, the writer of the first intent in log order
/// since the last `not_run` ending; only the holder dispatches, and only after reading that intent.
class request_table {
public:
    request_table(std::string self, request_limits limits);

    request_actions begin(const request_caller& caller, const request_view& view, time_point now);
    /// Takes an intent in log order, this member's own ones included. Without authority over the
    /// key (`may_run`) it lets nothing run: the next owner counts on that.
    request_actions intent_read(const std::string& id, const std::string& writer,
                                const request_view& view, bool may_run, time_point now);
    /// Takes an ending in log order. A `not_run` counts only from the holder.
    request_actions outcome_read(const std::string& id, const std::string& writer,
                                 outcome final_outcome, const std::string& body, time_point now);
    /// Ends a request that this member let run. `done` and `failed` also replace an earlier
    /// `unknown`: the late answer of an attempt counts for its own request.
    request_actions end(const std::string& id, outcome final_outcome, const std::string& body,
                        time_point now);
    /// The intent was taken back before it was sent to the log.
    void intent_withdrawn(const std::string& id);
    /// Answers callers whose time is over and forgets endings after the retention time.
    request_actions advance(const request_view& view, time_point now);

    /// Returns whether it is certain that no attempt of the key has run or may run.
    bool is_unused(const std::string& id, const request_view& view) const;
    std::size_t size() const { return entries_.size(); }
    std::size_t callers() const { return callers_; }

    /// Runs `visit(id, writer, ending, body)` for each intent and ending that a snapshot must hold.
    template<typename Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto& entry : entries_) {
            const record& r = entry.second;
            if (r.holder != 0 ||
                (r.phase == request_phase::ended && r.final_outcome != outcome::not_run)) {
                visit(to_string(entry.first), writers_[r.holder], r.final_outcome, r.body);
            }
        }
    }

private:
    struct record {
        request_phase phase = request_phase::accepted;
        outcome final_outcome = outcome::pending;
        bool queued = false;      ///< an own intent is on its way to the log
        std::uint32_t holder = 0; ///< index into `writers_`, 0 for none
        time_point changed_at;
        std::string body;
    };

    struct retention_entry {
        time_point when;
        request_key key;
    };

    using record_map = std::unordered_map<request_key, record, request_key_hash>;

    record& find_or_add(const request_key& key, time_point now);
    std::uint32_t writer_index(const std::string& writer);
    void request_intent(const std::string& id, record& r, request_actions& out) const;
    void dispatch_or_decline(const request_key& key, const std::string& id, record& r,
                             time_point now, request_actions& out);
    void decline(const request_key& key, const std::string& id, bool complete, time_point now,
                 request_actions& out);
    bool is_late(const request_caller& caller, time_point now) const;
    void answer_waiting(const request_key& key, const std::string& id, record& r, time_point now,
                        request_actions& out);
    void expire(const request_key& key, std::vector<request_caller>& waiting,
                const request_view& view, time_point now, request_actions& out);
    void remove_expired(time_point now);

    std::string self_;
    request_limits limits_;
    record_map entries_;
    std::unordered_map<request_key, std::vector<request_caller>, request_key_hash> waiting_;
    std::vector<std::string> writers_;            ///< names by index; 0 is nobody, 1 this member
    std::deque<retention_entry> retention_queue_; ///< in order of time
    std::size_t callers_ = 0;
};

} // namespace sesamesill
