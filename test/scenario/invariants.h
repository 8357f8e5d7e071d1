// Checks the invariants of the system against the observations of the stand-ins and callers.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "observation.h"

namespace scenario {

enum class invariant : std::uint8_t {
    worker_size,     ///< no worker holds more than its size in any dimension
    one_place,       ///< no task runs in two places at once
    own_answer,      ///< each answer is complete and belongs to its request
    not_run,         ///< a request that was refused as "not run" never ran
    at_most_once,    ///< a non-idempotent request starts at most once
    leaving,         ///< a leaving endpoint gets no new work after `leaving_limit_us`
    graceful_stop,   ///< a planned stop interrupts no request in flight
    document_forward ///< the document in force never reverts; a version has one content
};

std::string_view name_of(invariant line);

struct violation {
    invariant line = invariant::worker_size;
    std::int64_t time_us = 0;
    std::string text;
};

class invariant_checker {
public:
    /// Adds an observation, in any order of time; `check_until` checks it.
    void record(const observation& seen);
    /// Checks all observations that are older than `until_us`, in order of time.
    void check_until(std::int64_t until_us);
    void check_all();

    const std::vector<violation>& violations() const { return violations_; }
    std::int64_t checked() const { return checked_; }
    /// Returns how many calls started while their executor had more calls than slots.
    std::int64_t slots_exceeded() const { return slots_exceeded_; }
    /// Returns how many requests were refused as "not run" while an earlier attempt was open.
    std::int64_t open_refusals() const { return open_refusals_; }

private:
    using check = void (invariant_checker::*)(const observation& seen);

    struct request_state {
        std::set<std::string> running; ///< places that run the non-idempotent call now
        std::int64_t starts = 0;
        bool attempt_open = false; ///< the ending of some attempt is not known
        bool refused = false;      ///< the last ending was "not run"; no attempt was sent since
    };

    struct task_state {
        std::set<std::string> places; ///< places that run the task now
        std::int64_t starts = 0;      ///< starts since the last checkpoint
    };

    void dispatch(const observation& seen);
    void on_start(const observation& seen);
    void on_end(const observation& seen);
    void on_refused(const observation& seen);
    void on_sent(const observation& seen);
    void on_answered(const observation& seen);
    void on_leaving(const observation& seen);
    void on_live(const observation& seen);
    void on_stopping(const observation& seen);
    void on_exited(const observation& seen);
    void on_launched(const observation& seen);
    void on_document(const observation& seen);
    void check_size(const observation& seen);
    void check_task(const observation& seen);
    void check_call(const observation& seen);
    void check_leaving(const observation& seen);
    void add_violation(invariant line, const observation& seen, const std::string& text);

    std::vector<observation> unchecked_;
    std::vector<violation> violations_;
    std::map<std::string, request_state> requests_;
    std::map<std::string, task_state> tasks_;
    std::map<std::string, std::int64_t> leaving_since_; ///< endpoint: first sign that it leaves, us
    std::set<std::string> stopping_;                    ///< entries in a planned stop
    std::map<std::string, std::uint64_t> documents_;    ///< entry: highest version seen
    std::map<std::uint64_t, std::string> digests_;      ///< version: the digest seen first
    std::int64_t checked_ = 0;
    std::int64_t slots_exceeded_ = 0;
    std::int64_t open_refusals_ = 0;
};

} // namespace scenario
