// Implements the request table. The member whose intent is first in the log may run the request.

#include "sesamesill/request.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace sesamesill {
namespace {

constexpr std::size_t id_digits = 32;
// Indices into `writers_`.
constexpr std::uint32_t no_writer = 0;
constexpr std::uint32_t self_index = 1;

bool is_final(outcome final_outcome)
{
    return final_outcome == outcome::done || final_outcome == outcome::failed;
}

request_action answer(const request_caller& caller, verdict result, error why)
{
    request_action a;
    a.id = caller.id;
    a.caller = caller.caller;
    a.result = result;
    a.why = std::move(why);
    return a;
}

request_action replay(const request_caller& caller, outcome final_outcome, const std::string& body)
{
    request_action a = answer(caller, verdict::replay, {});
    a.final_outcome = final_outcome;
    a.body = body;
    return a;
}

request_action log_action(request_action::kind what, const std::string& id)
{
    request_action a;
    a.what = what;
    a.id = id;
    return a;
}

error conflict_error(const char* reason)
{
    return {error_code::conflict, step::intent, "", reason};
}

} // namespace

std::optional<request_key> request_key_from(std::string_view id)
{
    if (id.size() != id_digits) {
        return std::nullopt;
    }
    request_key key;
    const char* const middle = id.data() + id_digits / 2;
    const char* const end = id.data() + id_digits;
    const std::from_chars_result high = std::from_chars(id.data(), middle, key.high, 16);
    const std::from_chars_result low = std::from_chars(middle, end, key.low, 16);
    if (high.ptr != middle || low.ptr != end) {
        return std::nullopt;
    }
    return key;
}

std::string to_string(const request_key& key)
{
    char hex[id_digits + 1];
    std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(key.high),
                  static_cast<unsigned long long>(key.low));
    return hex;
}

request_table::request_table(std::string self, request_limits limits)
    : self_(std::move(self)), limits_(limits), writers_{"", self_}
{
}

request_table::record& request_table::find_or_add(const request_key& key, time_point now)
{
    const std::pair<record_map::iterator, bool> added = entries_.try_emplace(key);
    record& r = added.first->second;
    if (added.second) {
        r.changed_at = now;
        retention_queue_.push_back({now, key});
    }
    return r;
}

std::uint32_t request_table::writer_index(const std::string& writer)
{
    const auto found = std::find(writers_.begin() + 1, writers_.end(), writer);
    if (found == writers_.end()) {
        writers_.push_back(writer);
        return static_cast<std::uint32_t>(writers_.size() - 1);
    }
    return static_cast<std::uint32_t>(found - writers_.begin());
}

bool request_table::is_unused(const std::string& id, const request_view& view) const
{
    const std::optional<request_key> key = request_key_from(id);
    if (!key || !view.complete || !view.current) {
        return false;
    }
    const auto known = entries_.find(*key);
    return known == entries_.end() || (known->second.phase == request_phase::ended &&
                                       known->second.final_outcome == outcome::not_run);
}

/// Returns whether the caller may have retried elsewhere: a member that was paused past the
/// deadline cannot rule that out.
bool request_table::is_late(const request_caller& caller, time_point now) const
{
    return now - caller.deadline > limits_.max_lateness;
}

request_actions request_table::begin(const request_caller& caller, const request_view& view,
                                     time_point now)
{
    const std::optional<request_key> key = request_key_from(caller.id);
    if (!key) {
        return {
            answer(caller, verdict::not_run,
                   {error_code::invalid, step::intent, "", "the request id is not 32 hex digits"})};
    }
    if (!limits_.remember) {
        entries_.erase(*key);
    }
    const auto known = entries_.find(*key);
    const bool pending = known != entries_.end() && known->second.phase != request_phase::ended;
    if (known != entries_.end() && is_final(known->second.final_outcome)) {
        return {replay(caller, known->second.final_outcome, known->second.body)};
    }
    if (known != entries_.end() && known->second.final_outcome == outcome::unknown) {
        return {answer(caller, verdict::unknown,
                       conflict_error("an earlier attempt of the request may have run"))};
    }
    if (known == entries_.end() && !view.complete) {
        return {answer(
            caller, verdict::unknown,
            conflict_error("the key may have been used before the oldest record known here"))};
    }
    std::vector<request_caller>& waiting = waiting_[*key];
    if (waiting.size() >= limits_.max_callers_per_key || callers_ >= limits_.max_callers) {
        const bool never_started = waiting.empty() && !pending && view.current;
        if (waiting.empty()) {
            waiting_.erase(*key);
        }
        return {answer(caller, never_started ? verdict::not_run : verdict::unknown,
                       {error_code::overload, step::intent, "",
                        "too many callers wait for this key or at this member"})};
    }
    waiting.push_back(caller);
    ++callers_;
    request_actions out;
    record& r = find_or_add(*key, now);
    if (!limits_.intent_first && !pending) {
        r.holder = self_index;
        dispatch_or_decline(*key, caller.id, r, now, out);
    }
    else if (!pending) {
        request_intent(caller.id, r, out);
    }
    return out;
}

void request_table::request_intent(const std::string& id, record& r, request_actions& out) const
{
    r.phase = request_phase::accepted;
    r.final_outcome = outcome::pending;
    if (!r.queued) {
        r.queued = true;
        out.push_back(log_action(request_action::kind::append_intent, id));
    }
}

request_actions request_table::intent_read(const std::string& id, const std::string& writer,
                                           const request_view& view, bool may_run, time_point now)
{
    request_actions out;
    const std::optional<request_key> key = request_key_from(id);
    if (!key) {
        return out;
    }
    record& r = find_or_add(*key, now);
    const bool own = writer == self_;
    r.queued = r.queued && !own;
    const bool claimable = r.phase != request_phase::ended || r.final_outcome == outcome::not_run;
    if (!claimable || r.holder != no_writer) {
        return out;
    }
    r.holder = writer_index(writer);
    r.phase = request_phase::intended;
    r.final_outcome = outcome::pending;
    if (own && may_run && view.complete) {
        dispatch_or_decline(*key, id, r, now, out);
    }
    else if (own) {
        decline(*key, id, view.complete, now, out);
    }
    return out;
}

/// Ends this member's intent as `not_run`. If the history is complete, no earlier attempt of
/// the key has run, so callers may be answered `not_run`.
void request_table::decline(const request_key& key, const std::string& id, bool complete,
                            time_point now, request_actions& out)
{
    out.push_back(log_action(request_action::kind::append_outcome, id));
    out.back().final_outcome = outcome::not_run;
    const auto found = waiting_.find(key);
    if (found == waiting_.end()) {
        return;
    }
    for (const request_caller& c : found->second) {
        out.push_back(answer(c, complete && !is_late(c, now) ? verdict::not_run : verdict::unknown,
                             {error_code::not_owner, step::intent, "", "the key has a new owner"}));
    }
    callers_ -= found->second.size();
    waiting_.erase(found);
}

/// Lets the first caller run whose deadline has not passed. Declines if there is none.
void request_table::dispatch_or_decline(const request_key& key, const std::string& id, record& r,
                                        time_point now, request_actions& out)
{
    const auto found = waiting_.find(key);
    if (found != waiting_.end()) {
        std::vector<request_caller>& callers = found->second;
        const auto runner =
            std::find_if(callers.begin(), callers.end(),
                         [now](const request_caller& c) { return c.deadline > now; });
        if (runner != callers.end()) {
            r.phase = request_phase::dispatched;
            out.push_back(answer(*runner, verdict::run, {}));
            callers.erase(runner);
            --callers_;
            if (callers.empty()) {
                waiting_.erase(found);
            }
            return;
        }
    }
    decline(key, id, true, now, out);
}

request_actions request_table::outcome_read(const std::string& id, const std::string& writer,
                                            outcome final_outcome, const std::string& body,
                                            time_point now)
{
    request_actions out;
    const std::optional<request_key> key = request_key_from(id);
    if (!key || final_outcome == outcome::pending) {
        return out;
    }
    record& r = find_or_add(*key, now);
    if (r.phase == request_phase::ended && is_final(r.final_outcome)) {
        return out;
    }
    if (final_outcome == outcome::not_run) {
        if (r.holder == no_writer || writers_[r.holder] != writer) {
            return out;
        }
        r.holder = no_writer;
        r.phase = request_phase::ended;
        r.final_outcome = outcome::not_run;
        if (waiting_.count(*key) > 0) {
            request_intent(id, r, out);
        }
        return out;
    }
    r.phase = request_phase::ended;
    r.final_outcome = final_outcome;
    r.body = body;
    answer_waiting(*key, id, r, now, out);
    return out;
}

request_actions request_table::end(const std::string& id, outcome final_outcome,
                                   const std::string& body, time_point now)
{
    request_actions out;
    const std::optional<request_key> key = request_key_from(id);
    const auto found = key ? entries_.find(*key) : entries_.end();
    if (found == entries_.end() || final_outcome == outcome::pending) {
        return out;
    }
    record& r = found->second;
    const bool running = r.phase == request_phase::dispatched;
    const bool late_outcome =
        r.phase == request_phase::ended && r.final_outcome == outcome::unknown;
    if (r.holder != self_index || (!running && !(late_outcome && is_final(final_outcome)))) {
        return out;
    }
    out.push_back(log_action(request_action::kind::append_outcome, id));
    out.back().final_outcome = final_outcome;
    out.back().body = body;
    if (final_outcome == outcome::not_run) {
        r.phase = request_phase::intended;
        return out;
    }
    r.phase = request_phase::ended;
    r.final_outcome = final_outcome;
    r.body = body;
    answer_waiting(*key, id, r, now, out);
    return out;
}

/// Answers all callers that wait for the key with its outcome.
void request_table::answer_waiting(const request_key& key, const std::string& id, record& r,
                                   time_point now, request_actions& out)
{
    r.changed_at = now;
    retention_queue_.push_back({now, key});
    const auto found = waiting_.find(key);
    if (found == waiting_.end()) {
        return;
    }
    for (const request_caller& c : found->second) {
        out.push_back(is_final(r.final_outcome)
                          ? replay(c, r.final_outcome, r.body)
                          : answer(c, verdict::unknown,
                                   conflict_error("an attempt of the request may have run")));
        out.back().id = id;
    }
    callers_ -= found->second.size();
    waiting_.erase(found);
}

void request_table::intent_withdrawn(const std::string& id)
{
    const std::optional<request_key> key = request_key_from(id);
    const auto found = key ? entries_.find(*key) : entries_.end();
    if (found == entries_.end()) {
        return;
    }
    found->second.queued = false;
    if (found->second.phase == request_phase::accepted && waiting_.count(*key) == 0) {
        found->second.phase = request_phase::ended;
        found->second.final_outcome = outcome::not_run;
    }
}

/// Answers the callers whose deadline has passed. If none is left, also withdraws an intent that
/// has not been read back.
void request_table::expire(const request_key& key, std::vector<request_caller>& waiting,
                           const request_view& view, time_point now, request_actions& out)
{
    const auto first_expired =
        std::stable_partition(waiting.begin(), waiting.end(),
                              [now](const request_caller& c) { return c.deadline > now; });
    if (first_expired == waiting.end()) {
        return;
    }
    const record& r = entries_.at(key);
    const bool all_expired = first_expired == waiting.begin();
    const bool intent_not_read = r.phase == request_phase::accepted && r.holder == no_writer;
    const bool none_will_run = all_expired && intent_not_read && view.current && view.complete;
    for (auto c = first_expired; c != waiting.end(); ++c) {
        const bool certain = none_will_run && !is_late(*c, now);
        out.push_back(answer(*c, certain ? verdict::not_run : verdict::unknown,
                             {error_code::timeout, step::intent, "",
                              intent_not_read
                                  ? "the intent was not read back from the log before the deadline"
                                  : "an earlier attempt of the request has not ended"}));
    }
    if (all_expired && intent_not_read) {
        out.push_back(log_action(request_action::kind::withdraw_intent, to_string(key)));
    }
    callers_ -= static_cast<std::size_t>(waiting.end() - first_expired);
    waiting.erase(first_expired, waiting.end());
}

request_actions request_table::advance(const request_view& view, time_point now)
{
    request_actions out;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        expire(it->first, it->second, view, now, out);
        it = it->second.empty() ? waiting_.erase(it) : std::next(it);
    }
    remove_expired(now);
    return out;
}

void request_table::remove_expired(time_point now)
{
    while (!retention_queue_.empty() && now - retention_queue_.front().when > limits_.retention) {
        const retention_entry oldest = retention_queue_.front();
        retention_queue_.pop_front();
        const auto found = entries_.find(oldest.key);
        if (found == entries_.end() || found->second.changed_at > oldest.when) {
            continue;
        }
        if (found->second.queued || waiting_.count(oldest.key) > 0) {
            found->second.changed_at = now;
            retention_queue_.push_back({now, oldest.key});
            continue;
        }
        entries_.erase(found);
    }
}

} // namespace sesamesill
