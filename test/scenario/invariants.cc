// Has one member function for each kind of observation; each broken rule adds one violation.

#include "invariants.h"

#include <algorithm>
#include <limits>

#include "sesamesill/names.h"

namespace scenario {
namespace {

constexpr std::int64_t leaving_limit_us = 3000000;

constexpr sesamesill::name_table<invariant, 8> invariant_names{
    {{invariant::worker_size, "worker_size"},
     {invariant::one_place, "one_place"},
     {invariant::own_answer, "own_answer"},
     {invariant::not_run, "not_run"},
     {invariant::at_most_once, "at_most_once"},
     {invariant::leaving, "leaving"},
     {invariant::graceful_stop, "graceful_stop"},
     {invariant::document_forward, "document_forward"}}};

} // namespace

std::string_view name_of(invariant line)
{
    return name_in(invariant_names, line);
}

void invariant_checker::record(const observation& seen)
{
    unchecked_.push_back(seen);
}

void invariant_checker::check_until(std::int64_t until_us)
{
    std::stable_sort(
        unchecked_.begin(), unchecked_.end(),
        [](const observation& a, const observation& b) { return a.time_us < b.time_us; });
    auto it = unchecked_.begin();
    for (; it != unchecked_.end() && it->time_us < until_us; ++it) {
        dispatch(*it);
    }
    unchecked_.erase(unchecked_.begin(), it);
}

void invariant_checker::check_all()
{
    check_until(std::numeric_limits<std::int64_t>::max());
}

void invariant_checker::dispatch(const observation& seen)
{
    struct rule {
        observation_kind kind;
        check action;
    };
    static constexpr rule rules[] = {{observation_kind::start, &invariant_checker::on_start},
                                     {observation_kind::end, &invariant_checker::on_end},
                                     {observation_kind::checkpoint, &invariant_checker::on_end},
                                     {observation_kind::refused, &invariant_checker::on_refused},
                                     {observation_kind::sent, &invariant_checker::on_sent},
                                     {observation_kind::answered, &invariant_checker::on_answered},
                                     {observation_kind::leaving, &invariant_checker::on_leaving},
                                     {observation_kind::live, &invariant_checker::on_live},
                                     {observation_kind::stopping, &invariant_checker::on_stopping},
                                     {observation_kind::exited, &invariant_checker::on_exited},
                                     {observation_kind::launched, &invariant_checker::on_launched},
                                     {observation_kind::document, &invariant_checker::on_document}};
    ++checked_;
    for (const rule& r : rules) {
        if (r.kind == seen.kind) {
            (this->*r.action)(seen);
        }
    }
}

void invariant_checker::on_start(const observation& seen)
{
    check_leaving(seen);
    request_state& request = requests_[seen.request];
    if (request.refused) {
        add_violation(invariant::not_run, seen, "started after its caller got not_run");
    }
    if (seen.on_worker) {
        check_size(seen);
        check_task(seen);
    }
    else {
        check_call(seen);
    }
    ++request.starts;
}

void invariant_checker::check_size(const observation& seen)
{
    if (!fits(seen.held, seen.size)) {
        add_violation(invariant::worker_size, seen,
                      "holds " + to_string(seen.held) + " of " + to_string(seen.size));
    }
}

void invariant_checker::check_task(const observation& seen)
{
    task_state& task = tasks_[seen.task];
    if (!task.places.empty()) {
        add_violation(invariant::one_place, seen,
                      "task " + seen.task + " still runs on " + *task.places.begin());
    }
    if (!seen.idempotent && task.starts > 0) {
        add_violation(invariant::at_most_once, seen, "task " + seen.task + " started again");
    }
    task.places.insert(seen.place);
    ++task.starts;
}

void invariant_checker::check_call(const observation& seen)
{
    slots_exceeded_ += seen.slots > 0 && seen.busy > seen.slots ? 1 : 0;
    if (seen.idempotent) {
        return;
    }
    request_state& request = requests_[seen.request];
    if (!request.running.empty()) {
        add_violation(invariant::one_place, seen,
                      "the call still runs on " + *request.running.begin());
    }
    if (request.starts > 0) {
        add_violation(invariant::at_most_once, seen, "the call started again");
    }
    request.running.insert(seen.place);
}

void invariant_checker::on_end(const observation& seen)
{
    if (!seen.on_worker) {
        requests_[seen.request].running.erase(seen.place);
        return;
    }
    task_state& task = tasks_[seen.task];
    task.places.erase(seen.place);
    if (seen.kind == observation_kind::checkpoint) {
        task.starts = 0;
    }
}

void invariant_checker::check_leaving(const observation& seen)
{
    const auto since = leaving_since_.find(seen.place);
    if (since != leaving_since_.end() && seen.time_us - since->second > leaving_limit_us) {
        add_violation(invariant::leaving, seen,
                      "given work " + std::to_string((seen.time_us - since->second) / 1000) +
                          " ms after the first sign that it leaves");
    }
}

void invariant_checker::on_refused(const observation& seen)
{
    check_leaving(seen);
    on_leaving(seen);
}

void invariant_checker::on_leaving(const observation& seen)
{
    leaving_since_.emplace(seen.place, seen.time_us);
}

void invariant_checker::on_live(const observation& seen)
{
    leaving_since_.erase(seen.place);
}

void invariant_checker::on_sent(const observation& seen)
{
    request_state& request = requests_[seen.request];
    request.refused = false;
}

void invariant_checker::on_answered(const observation& seen)
{
    request_state& request = requests_[seen.request];
    if (seen.ending == attempt_end::cut && stopping_.count(seen.place) > 0) {
        add_violation(invariant::graceful_stop, seen,
                      "connection closed by a planned stop before the whole answer");
    }
    if (seen.ending == attempt_end::done && seen.expected_digest != seen.actual_digest) {
        add_violation(invariant::own_answer, seen,
                      "expected digest " + seen.expected_digest + ", got digest " +
                          seen.actual_digest);
    }
    const bool open = seen.ending == attempt_end::unknown ||
                      seen.ending == attempt_end::timed_out || seen.ending == attempt_end::cut;
    if (seen.ending == attempt_end::not_run) {
        if (request.attempt_open) {
            ++open_refusals_;
        }
        else if (request.starts > 0) {
            add_violation(invariant::not_run, seen, "answered not_run after it had started");
        }
        request.refused = !request.attempt_open;
    }
    request.attempt_open = request.attempt_open || open;
}

void invariant_checker::on_stopping(const observation& seen)
{
    stopping_.insert(seen.place);
}

void invariant_checker::on_exited(const observation& seen)
{
    if (stopping_.count(seen.place) > 0 && seen.status != 0) {
        add_violation(invariant::graceful_stop, seen,
                      "the planned stop ended with status " + std::to_string(seen.status));
    }
}

void invariant_checker::on_launched(const observation& seen)
{
    stopping_.erase(seen.place);
}

void invariant_checker::on_document(const observation& seen)
{
    if (seen.version == 0) {
        return; // the member reports that it has no document
    }
    std::uint64_t& highest = documents_[seen.place];
    if (seen.version < highest) {
        add_violation(invariant::document_forward, seen,
                      "version " + std::to_string(seen.version) + " after " +
                          std::to_string(highest));
    }
    highest = std::max(highest, seen.version);
    const std::string& digest = digests_.emplace(seen.version, seen.digest).first->second;
    if (digest != seen.digest) {
        add_violation(invariant::document_forward, seen,
                      "version " + std::to_string(seen.version) + " has two digests");
    }
}

void invariant_checker::add_violation(invariant line, const observation& seen,
                                      const std::string& text)
{
    const std::string& id = seen.task.empty() ? seen.request : seen.task;
    violations_.push_back(
        {line, seen.time_us,
         std::string(name_of(line)) + " at " + seen.place + " (" + id + "): " + text});
}

} // namespace scenario
