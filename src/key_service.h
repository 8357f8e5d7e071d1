// Executes the actions of the request table: writes intents and outcomes to the log and answers
// callers.

#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell_service.h"
#include "journal_service.h"
#include "sesamesill/request.h"

namespace sesamesill {

struct key_answer {
    verdict result = verdict::unknown;
    outcome final_outcome = outcome::pending; ///< `done` or `failed`, set for `replay`
    std::string body; ///< stored answer of the attempt that ran, set for `replay`
    error why;        ///< set for `unknown` and `not_run`
};

using key_done = std::function<void(const key_answer&)>;

/// Answers each `begin` once. A caller that gets `verdict::run` calls `end` with the outcome.
class key_service {
public:
    key_service(event_loop& loop, cell_service& cell, journal_service& journal,
                const node_settings& settings);

    void begin(const std::string& id, time_point deadline, key_done done);
    /// Records the outcome of a request. `not_run` is allowed only if no byte of the request can
    /// have left this process or the executor reported that it did not start. A later `done` or
    /// `failed` replaces `unknown`.
    void end(const std::string& id, outcome final_outcome, const std::string& body);

    /// Returns whether it is certain that no attempt of the key has run or may run.
    bool is_unused(const std::string& id) const { return table_.is_unused(id, view()); }
    /// Returns whether every request that an earlier owner may have accepted or run has been read.
    /// An earlier owner stops at most one lease after the members changed.
    bool current() const;
    std::size_t size() const { return table_.size(); }
    std::size_t waiting() const { return table_.callers(); }

private:
    request_view view() const;
    void update_members();
    void add_to_snapshot(std::vector<journal_item>& items) const;
    void execute(const request_actions& actions);
    void append_outcome(const request_action& action);

    event_loop& loop_;
    cell_service& cell_;
    journal_service& journal_;
    millis lease_;
    millis retention_;
    request_table table_;
    std::unordered_map<caller_id, key_done> callers_;
    std::unordered_map<std::string, append_ticket>
        tickets_; ///< of this member's intents not yet read back, by request id
    caller_id next_caller_ = 1;
    std::vector<std::string> members_;
    time_point members_since_;
};

} // namespace sesamesill
