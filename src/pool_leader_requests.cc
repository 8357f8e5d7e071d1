// A leader's answers to requests: jobs handed in, their states, the number that waits, and cancels.

#include "pool_keys.h"
#include "pool_leader.h"
#include "sesamesill/log.h"

namespace sesamesill::pool {
namespace {

/// A job whose record can't be sent within this time is refused.
constexpr millis submit_timeout{1200};
/// How long an attempt of a forwarded request may be on its way; a claim of a successor ends all
/// attempts that are on their way to this leader.
constexpr millis refusal_memory{15000};
/// A question whose answer depends on the lead is given up if no record can be sent within this
/// time.
constexpr millis confirmation_timeout{600};
/// New jobs are refused if appends fail for longer than this.
constexpr millis store_failure_limit{500};

} // namespace

/// Remembers that a forwarded request was refused. A delayed earlier attempt of it must not be
/// accepted, as the client has been told that its job never runs.
void leader::note_refused(const std::string& request, time_point now)
{
    while (!refusals_.empty() && now - refusals_.front().first > refusal_memory) {
        refused_requests_.erase(refusals_.front().second);
        refusals_.pop_front();
    }
    if (!request.empty() && refused_requests_.insert(request).second) {
        refusals_.emplace_back(now, request);
    }
}

void leader::submit(const job_spec& spec, const std::string& request,
                    std::function<void(submit_answer)> done)
{
    const time_point now = boot_clock::now();
    const millis outage_retry =
        retry_after_outage(scheduler_.objective_ms(spec), spread_of(spec.id));
    if (refused_requests_.count(request) > 0) {
        done({submit_verdict::refused, "another attempt of the request was refused", outage_retry});
        return;
    }
    const auto pending = submits_.find(spec.id);
    if (pending != submits_.end()) {
        pending->second.waiting.push_back(std::move(done));
        return;
    }
    const admission_answer admitted = scheduler_.admit(spec, wall_clock_ms(), now);
    if (admitted.verdict == admission::known) {
        done({submit_verdict::accepted, "known", millis(0)});
        return;
    }
    if (admitted.verdict == admission::accept && writer_.failing_for(now) > store_failure_limit) {
        note_refused(request, now);
        done({submit_verdict::refused, "appends to the store are failing", outage_retry});
        return;
    }
    if (admitted.verdict == admission::refuse) {
        log_event(log_level::info, name_of(decision_kind::refused),
                  {{"job", spec.id}, {"reason", admitted.reason}});
        note_refused(request, now);
        done({submit_verdict::refused, admitted.reason, admitted.retry_after});
        return;
    }
    const job_record job = scheduler_.accepted(spec, wall_clock_ms());
    keyed_record record = scheduler::record_of(job);
    if (1 + record.key.size() + record.value.size() > settings_.bounds.max_record_bytes) {
        note_refused(request, now);
        done({submit_verdict::refused, "the job is larger than a record of the store may be",
              outage_retry});
        return;
    }
    pending_submit& submit = submits_[spec.id];
    submit.waiting.push_back(std::move(done));
    submit.reserved = scheduler_.reserve(spec);
    writer_.add({std::move(record)}, submit_timeout,
                [this, alive = alive_, job, request, outage_retry](write_outcome outcome) {
                    if (*alive) {
                        on_submit_written(job, request, outage_retry, outcome);
                    }
                });
}

void leader::on_submit_written(const job_record& job, const std::string& request,
                               millis retry_after, write_outcome outcome)
{
    const std::string& id = job.spec.id;
    submit_answer answer;
    switch (outcome) {
    case write_outcome::stored:
        submits_[id].reserved = memory_charge(); // the job has a charge of its own from here on
        scheduler_.add(job, boot_clock::now());
        answer.verdict = submit_verdict::accepted;
        break;
    case write_outcome::not_stored:
        note_refused(request, boot_clock::now());
        answer = {submit_verdict::refused, "the job's record could not be stored", retry_after};
        break;
    case write_outcome::deposed:
        answer.verdict = submit_verdict::leader_changed;
        break;
    case write_outcome::unknown:
        break;
    }
    answer_submit(id, answer);
}

void leader::answer_submit(const std::string& id, const submit_answer& answer)
{
    const pending_submit waiting = std::move(submits_[id]);
    submits_.erase(id);
    for (const std::function<void(submit_answer)>& callback : waiting.waiting) {
        callback(answer);
    }
    schedule_update();
}

std::optional<state_answer> leader::known_state(const std::string& id) const
{
    if (submits_.count(id) > 0) {
        return state_answer{lookup::found, job_state::queued};
    }
    const std::optional<job_state> state = scheduler_.visible_state(id);
    return state ? std::optional<state_answer>({lookup::found, *state}) : std::nullopt;
}

void leader::state_of(const std::string& id, std::function<void(state_answer)> done)
{
    const std::optional<state_answer> known = known_state(id);
    if (known) {
        done(*known);
        return;
    }
    if (doubts_store()) {
        done({});
        return;
    }
    writer_.add({{idle_record_key, std::to_string(self_.fence), 0}}, confirmation_timeout,
                [this, alive = alive_, id, done = std::move(done)](write_outcome outcome) {
                    if (!*alive || outcome != write_outcome::stored) {
                        done({});
                        return;
                    }
                    done(known_state(id).value_or(state_answer{lookup::not_known}));
                });
}

waiting_answer leader::waiting_in(const std::string& queue) const
{
    if (!lead_is_confirmed(boot_clock::now())) {
        return {};
    }
    return {lookup::found, scheduler_.waiting_in(queue)};
}

void leader::cancel(const std::string& id, std::function<void(state_answer)> done)
{
    if (submits_.count(id) > 0) {
        submits_[id].waiting.emplace_back([this, alive = alive_, id, done](const submit_answer& a) {
            if (!*alive || a.verdict == submit_verdict::unknown ||
                a.verdict == submit_verdict::leader_changed) {
                done({lookup::unavailable});
                return;
            }
            cancel(id, done);
        });
        return;
    }
    const cancel_answer answer = scheduler_.cancel(id, boot_clock::now());
    if (answer == cancel_answer::not_known) {
        cancel_unknown(id, std::move(done));
        return;
    }
    const std::optional<job_state> visible_state = scheduler_.visible_state(id);
    if (answer == cancel_answer::already_final && visible_state && is_final(*visible_state)) {
        done({lookup::found, *visible_state});
        return;
    }
    // Answered when the batch with the cancellation is stored.
    cancels_[id].push_back(std::move(done));
    schedule_update();
}

/// Answers that there is no such job once it is stored that the job is cancelled, as its submit may
/// still be on its way. A newer leader that has accepted the job makes the append fail.
void leader::cancel_unknown(const std::string& id, std::function<void(state_answer)> done)
{
    if (doubts_store()) {
        done({});
        return;
    }
    const std::int64_t wall_ms = wall_clock_ms();
    switch (scheduler_.remember_cancellation(id, wall_ms)) {
    case cancellation_state::stored:
        done({lookup::not_known});
        return;
    case cancellation_state::no_room:
        done({lookup::refused});
        return;
    case cancellation_state::storing:
        unknown_cancels_[id].push_back(std::move(done));
        return;
    case cancellation_state::added:
        break;
    }
    unknown_cancels_[id].push_back(std::move(done));
    writer_.add({cancellation_record(id, wall_ms)}, confirmation_timeout,
                [this, alive = alive_, id](write_outcome outcome) {
                    if (!*alive) {
                        return; // the destructor has answered
                    }
                    const bool stored = outcome == write_outcome::stored;
                    scheduler_.on_cancellation_written(id, stored);
                    const std::vector<std::function<void(state_answer)>> answers =
                        std::move(unknown_cancels_[id]);
                    unknown_cancels_.erase(id);
                    for (const std::function<void(state_answer)>& answer : answers) {
                        answer(stored ? state_answer{lookup::not_known} : state_answer{});
                    }
                });
}

void leader::answer_cancels(const std::vector<std::string>& final_jobs, bool stored)
{
    for (const std::string& id : final_jobs) {
        const auto waiting = cancels_.find(id);
        if (waiting == cancels_.end()) {
            continue;
        }
        const std::vector<std::function<void(state_answer)>> answers = std::move(waiting->second);
        cancels_.erase(waiting);
        for (const std::function<void(state_answer)>& answer : answers) {
            answer(stored ? state_answer{lookup::found, job_state::cancelled} : state_answer{});
        }
    }
}

} // namespace sesamesill::pool
