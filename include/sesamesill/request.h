// The request table: the state of each non-idempotent request that a member knows, by key.
// It does no I/O: it is given events and the time, and returns the actions to carry out.

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

/// Parses a key of 32 hex digits. Returns nothing for any other text.
std::optional<request_key> request_key_from(std::string_view id);
std::string to_string(const request_key& key);

enum class request_phase : std::uint8_t {
    accepted, ///< the intent has not been read from the log
    intended, ///< the intent is in the log; its writer may dispatch or have dispatched the request
    dispatched, ///< this member wrote the first intent and has dispatched the request
    ended
};

enum class verdict : std::uint8_t {
    run,     ///< the intent is in the log: only the caller that gets this answer may dispatch
    replay,  ///< an earlier attempt ended: the answer carries its stored outcome and body
    unknown, ///< the request may have run
    not_run  ///< nothing was dispatched, and nothing will be dispatched for this caller
};

struct request_limits {
    micros retention = std::chrono::minutes(10); ///< how long an outcome is kept
    std::size_t max_callers_per_key = 8;         ///< waiting callers of one key
    std::size_t max_callers = 20000;             ///< waiting callers of all keys
    micros max_lateness =
        std::chrono::milliseconds(50); ///< an answer later than this may meet a caller's retry
    bool intent_first = true;          ///< test only: if false, requests run without an intent
    bool remember = true;              ///< test only: if false, earlier attempts are forgotten
};

/// Identifies one caller that waits for an answer.
using caller_id = std::uint64_t;

struct request_action {
    enum class kind : std::uint8_t { append_intent, withdraw_intent, append_outcome, answer };

    kind what = kind::answer;
    std::string id;
    caller_id caller = 0;                     ///< set for `answer`
    verdict result = verdict::run;            ///< set for `answer`
    outcome final_outcome = outcome::pending; ///< set for `append_outcome` and replays
    std::string body;                         ///< set for `append_outcome` and replays
    error why;                                ///< set for answers `unknown` and `not_run`
};

using request_actions = std::vector<request_action>;

struct request_caller {
    std::string id;
    caller_id caller = 0;
    time_point deadline;
};

/// How much a member knows about keys that are missing from its table.
struct request_view {
    bool complete = true; ///< the member has read all records of the retention time
    bool current = true;  ///< the member has read every intent that another member can have written
};

/// Decides for each key whether a caller may run the request, has to wait or gets a stored answer.
/// Invariant: a key has at most one holder at a time, the writer of the first intent in log order
/// since the last `not_run` outcome; only the holder dispatches, and only after reading that
/// intent.
class request_table {
public:
    request_table(std::string self, request_limits limits);

    /// Adds a caller. It is answered at once, or by a later call once the request has an outcome.
    request_actions begin(const request_caller& caller, const request_view& view, time_point now);
    /// Handles an intent, in log order, including those that this member wrote. If this member has
    /// no authority over the key (`may_run` is false), it dispatches nothing: the next owner relies
    /// on that.
    request_actions intent_read(const std::string& id, const std::string& writer,
                                const request_view& view, bool may_run, time_point now);
    /// Handles an outcome, in log order. A `not_run` is ignored unless the holder wrote it.
    request_actions outcome_read(const std::string& id, const std::string& writer,
                                 outcome final_outcome, const std::string& body, time_point now);
    /// Ends a request that this member dispatched. `done` and `failed` also replace an earlier
    /// `unknown`, because an attempt may be answered after its outcome was recorded as unknown.
    request_actions end(const std::string& id, outcome final_outcome, const std::string& body,
                        time_point now);
    /// Handles that the intent was removed from the queue before it was sent to the log.
    void intent_withdrawn(const std::string& id);
    /// Answers callers whose deadline has passed and removes outcomes after the retention time.
    request_actions advance(const request_view& view, time_point now);

    /// Returns whether it is certain that no attempt of the key has run or may run.
    bool is_unused(const std::string& id, const request_view& view) const;
    std::size_t size() const { return entries_.size(); }
    std::size_t callers() const { return callers_; }

    /// Calls `visit(id, writer, final_outcome, body)` for each intent and outcome that a snapshot
    /// must contain.
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
        bool queued = false;      ///< an intent of this member is queued or being sent to the log
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
    std::vector<std::string> writers_; ///< index 0 stands for no writer, 1 for this member
    std::deque<retention_entry> retention_queue_; ///< ordered by `when`
    std::size_t callers_ = 0;
};

} // namespace sesamesill
