// The job table. An owner acts on a job only once it knows the state of all of its tasks.

#include "sesamesill/recovery.h"

#include <algorithm>
#include <charconv>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

/// Added to the attempt number of a recovered task, so that new attempts get higher numbers than
/// attempts of earlier owners that this member does not know of.
constexpr std::int32_t attempt_gap = 100;
/// A member can deny a start only if it has been running for this much longer than the time since
/// the start was noted as unanswered.
constexpr micros answer_margin = std::chrono::seconds(1);

constexpr name_table<task_phase, 8> phase_names{{{task_phase::waiting, "waiting"},
                                                 {task_phase::placing, "placing"},
                                                 {task_phase::unresolved, "unsettled"},
                                                 {task_phase::running, "running"},
                                                 {task_phase::done, "done"},
                                                 {task_phase::failed, "failed"},
                                                 {task_phase::not_run, "not_run"},
                                                 {task_phase::unknown, "unknown"}}};

job_action action_of(job_action::kind what, const job& j, std::size_t index)
{
    job_action a;
    a.what = what;
    a.id = j.id;
    a.index = index;
    a.attempt = index < j.tasks.size() ? j.tasks[index].attempt : 0;
    return a;
}

outcome outcome_of(const job& j)
{
    const auto any = [&j](task_phase phase) {
        return std::any_of(j.tasks.begin(), j.tasks.end(),
                           [phase](const job_task& t) { return t.phase == phase; });
    };
    const bool none_ran = !any(task_phase::done) && !any(task_phase::failed);
    if (any(task_phase::unknown)) {
        return outcome::unknown;
    }
    if (any(task_phase::not_run)) {
        return none_ran ? outcome::not_run : outcome::failed;
    }
    return any(task_phase::failed) ? outcome::failed : outcome::done;
}

bool is_running(task_state state)
{
    return state == task_state::running || state == task_state::throttled;
}

bool is_final(task_phase phase)
{
    return is_over(phase) && phase != task_phase::unknown;
}

} // namespace

std::string_view name_of(task_phase phase)
{
    return name_in(phase_names, phase);
}

bool is_over(task_phase phase)
{
    return phase >= task_phase::done;
}

std::string task_name(const std::string& id, std::size_t index)
{
    return id + "/" + std::to_string(index);
}

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('/'));
}

std::optional<std::size_t> index_of(const std::string& task)
{
    const std::size_t slash = task.find('/');
    std::size_t index = 0;
    const char* const end = task.data() + task.size();
    if (slash == std::string::npos ||
        std::from_chars(task.data() + slash + 1, end, index).ptr != end ||
        slash + 1 == task.size()) {
        return std::nullopt;
    }
    return index;
}

job_table::job_table(std::string self, job_limits limits) : self_(std::move(self)), limits_(limits)
{
}

job* job_table::find(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

job* job_table::accept_read(const std::string& id, const submission& what,
                            std::int32_t max_attempts, const std::string& writer,
                            std::uint64_t offset, bool is_owner, time_point now)
{
    const auto added = jobs_.try_emplace(id);
    job& j = added.first->second;
    if (!added.second) {
        return &j;
    }
    j.what = what;
    j.id = id;
    j.offset = offset;
    j.arrived = now;
    j.max_attempts = max_attempts;
    j.tasks.resize(static_cast<std::size_t>(what.tasks));
    j.open = j.tasks.size();
    j.owner = is_owner;
    j.owned_since_accept = is_owner && writer == self_;
    j.resolved = j.owned_since_accept;
    if (is_owner && !j.resolved) {
        take_over(j);
    }
    update_placeable(j);
    return &j;
}

void job_table::intent_read(const std::string& id, const std::vector<std::size_t>& indices)
{
    job* const j = find(id);
    for (const std::size_t index : indices) {
        if (j != nullptr && index < j->tasks.size()) {
            j->tasks[index].intent = intent_state::durable;
        }
    }
}

void job_table::end_read(const std::string& id, std::size_t index, task_phase phase,
                         const std::string& result)
{
    job* const j = find(id);
    if (j == nullptr || index >= j->tasks.size() || !is_over(phase)) {
        return;
    }
    job_task& t = j->tasks[index];
    t.durable = t.durable || phase == t.phase || !is_over(t.phase);
    if (is_final(t.phase) || (t.phase == phase && t.phase == task_phase::unknown)) {
        return;
    }
    j->open -= is_over(t.phase) ? 0 : 1;
    t.phase = phase;
    t.result = result;
    t.worker.clear();
}

void job_table::outcome_read(const std::string& id, outcome final_outcome, time_point now)
{
    job* const j = find(id);
    if (j == nullptr || final_outcome == outcome::pending) {
        return;
    }
    j->final_outcome = final_outcome;
    j->ended = now;
    for (job_task& t : j->tasks) {
        if (!is_over(t.phase)) {
            t.phase = final_outcome == outcome::not_run ? task_phase::not_run : task_phase::unknown;
        }
    }
    j->open = 0;
    unresolved_.erase(id);
    update_placeable(*j);
}

job_actions job_table::cancel_read(const std::string& id, time_point now)
{
    job_actions out;
    job* const j = find(id);
    if (j == nullptr || j->final_outcome != outcome::pending) {
        return out;
    }
    j->cancelled = true;
    j->reason = {error_code::cancelled, step::queueing, "", "cancelled by the caller"};
    update_placeable(*j);
    if (!j->owner || !j->resolved) {
        return out;
    }
    for (std::size_t i = 0; i < j->tasks.size(); ++i) {
        if (j->tasks[i].phase == task_phase::waiting) {
            finish_task(*j, i, task_phase::not_run, "", now, out);
        }
        else if (!is_over(j->tasks[i].phase)) {
            out.push_back(action_of(job_action::kind::stop_task, *j, i));
        }
    }
    return out;
}

void job_table::update_ownership(const std::function<bool(const std::string& id)>& is_owner)
{
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        const bool owner = is_owner(j.id);
        if (owner == j.owner) {
            continue;
        }
        j.owner = owner;
        j.resolved = false;
        j.owned_since_accept = false;
        unresolved_.erase(j.id);
        if (owner && j.final_outcome == outcome::pending) {
            take_over(j);
        }
        update_placeable(j);
    }
}

void job_table::take_over(job& j)
{
    const task_phase open = limits_.resolve_first ? task_phase::unresolved : task_phase::waiting;
    for (job_task& t : j.tasks) {
        t.phase = is_over(t.phase) ? t.phase : open;
        t.intent = t.intent == intent_state::queued ? intent_state::none : t.intent;
    }
    if (limits_.resolve_first) {
        unresolved_.insert(j.id);
    }
}

void job_table::recheck_running()
{
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        for (job_task& t : j.tasks) {
            if (j.owner && t.phase == task_phase::running) {
                t.phase = task_phase::unresolved;
                unresolved_.insert(j.id);
            }
        }
    }
}

/// A job may end as not run only if no start of any of its tasks was ever sent.
job_actions job_table::update_deadlines(time_point now)
{
    job_actions out;
    const std::set<std::string> ids = placeable_;
    for (const std::string& id : ids) {
        job& j = jobs_.at(id);
        const bool never_sent = j.owned_since_accept &&
                                std::all_of(j.tasks.begin(), j.tasks.end(), [](const job_task& t) {
                                    return t.phase == task_phase::waiting && t.attempt == 0;
                                });
        if (!never_sent || now - j.arrived < j.what.deadline) {
            continue;
        }
        j.reason = {error_code::timeout, step::placement, "",
                    "no worker had room before the deadline"};
        for (std::size_t i = 0; i < j.tasks.size(); ++i) {
            finish_task(j, i, task_phase::not_run, "", now, out);
        }
    }
    return out;
}

std::vector<std::string> job_table::begin_recovery(std::set<std::string> shards, time_point now)
{
    if (recovery_ || unresolved_.empty()) {
        return {};
    }
    recovery_.emplace();
    recovery_->shards_left = std::move(shards);
    recovery_->begun = now;
    for (const std::string& id : unresolved_) {
        const job& j = jobs_.at(id);
        for (std::size_t i = 0; i < j.tasks.size(); ++i) {
            if (j.tasks[i].phase == task_phase::unresolved) {
                recovery_->asked_tasks.insert(task_name(id, i));
            }
        }
    }
    return {unresolved_.begin(), unresolved_.end()};
}

job_actions job_table::handle_answer(const recovery_answer& answer, time_point now)
{
    job_actions out;
    if (!recovery_) {
        return out;
    }
    recovery_->uptime[answer.member] = answer.uptime;
    for (const listed_task& t : answer.tasks) {
        merge_listed(t);
    }
    for (const std::string& shard : answer.shards) {
        recovery_->shards_left.erase(shard);
    }
    if (!recovery_->shards_left.empty()) {
        return out;
    }
    const std::set<std::string> ids = unresolved_;
    for (const std::string& id : ids) {
        job* const j = find(id);
        if (j != nullptr && j->owner && j->final_outcome == outcome::pending) {
            resolve(*j, now, out);
        }
    }
    recovery_.reset();
    return out;
}

/// Of several reports on one task, keeps the running attempt, else the one that is done, else the
/// newest attempt.
void job_table::merge_listed(const listed_task& t)
{
    const auto rank = [](const listed_task& l) {
        const int state = is_running(l.state) ? 2 : l.state == task_state::done ? 1 : 0;
        return std::make_pair(state, l.attempt);
    };
    const auto added = recovery_->tasks.emplace(t.task, t);
    if (!added.second && rank(t) > rank(added.first->second)) {
        added.first->second = t;
    }
}

void job_table::resolve(job& j, time_point now, job_actions& out)
{
    bool any_unresolved = false;
    for (std::size_t i = 0; i < j.tasks.size() && j.final_outcome == outcome::pending; ++i) {
        const bool open = j.tasks[i].phase == task_phase::unresolved;
        if (open && recovery_->asked_tasks.count(task_name(j.id, i)) > 0) {
            resolve_task(j, i, now, out);
        }
        any_unresolved = any_unresolved || j.tasks[i].phase == task_phase::unresolved;
    }
    j.resolved = j.resolved || !any_unresolved;
    if (!any_unresolved) {
        unresolved_.erase(j.id);
    }
    if (j.open == 0) {
        finish_job(j, now, out);
    }
    update_placeable(j);
}

void job_table::resolve_task(job& j, std::size_t index, time_point now, job_actions& out)
{
    job_task& t = j.tasks[index];
    const std::string name = task_name(j.id, index);
    const auto listed = recovery_->tasks.find(name);
    if (listed != recovery_->tasks.end()) {
        t.attempt = std::max(t.attempt, listed->second.attempt);
        t.phase = task_phase::running;
        t.worker = listed->second.worker;
        unanswered_at_.erase(name);
        if (!is_running(listed->second.state)) {
            const job_actions end_actions = ended(listed->second, now).actions;
            out.insert(out.end(), end_actions.begin(), end_actions.end());
        }
        else if (j.cancelled) {
            out.push_back(action_of(job_action::kind::stop_task, j, index));
        }
        return;
    }
    // The member that was asked to start the task does not list it and has been running since
    // before the request: it did not start the task.
    const auto asked = unanswered_at_.find(name);
    const auto uptime = recovery_->uptime.find(t.worker);
    const bool denied = asked != unanswered_at_.end() && uptime != recovery_->uptime.end() &&
                        uptime->second > now - asked->second + answer_margin;
    unanswered_at_.erase(name);
    t.worker.clear();
    if (!j.what.idempotent && t.intent == intent_state::durable && !denied) {
        finish_task(j, index, task_phase::unknown, "no member can tell whether it ran", now, out);
    }
    else if (j.cancelled) {
        finish_task(j, index, denied ? task_phase::not_run : task_phase::unknown, "", now, out);
    }
    else {
        t.phase = task_phase::waiting;
        t.attempt += denied ? 0 : attempt_gap;
    }
}

bool job_table::may_send(job& j, std::size_t index, job_actions& out) const
{
    job_task& t = j.tasks[index];
    if (!j.owner || j.cancelled || t.phase != task_phase::waiting) {
        return false;
    }
    if (j.what.idempotent || !limits_.intent_first || t.intent == intent_state::durable) {
        return true;
    }
    if (t.intent == intent_state::none) {
        t.intent = intent_state::queued;
        out.push_back(action_of(job_action::kind::append_intent, j, index));
    }
    return false;
}

std::int32_t job_table::sent(job& j, std::size_t index, const std::string& to)
{
    job_task& t = j.tasks[index];
    t.phase = task_phase::placing;
    t.worker = to;
    ++t.attempt;
    update_placeable(j);
    return t.attempt;
}

void job_table::placed(const std::string& id, std::size_t index, std::int32_t attempt,
                       const std::string& worker)
{
    job* const j = find(id);
    if (j != nullptr && j->tasks[index].phase == task_phase::placing &&
        j->tasks[index].attempt == attempt) {
        j->tasks[index].phase = task_phase::running;
        j->tasks[index].worker = worker;
    }
}

void job_table::refused(const std::string& id, std::size_t index, std::int32_t attempt)
{
    job* const j = find(id);
    if (j == nullptr || j->tasks[index].phase != task_phase::placing ||
        j->tasks[index].attempt != attempt) {
        return;
    }
    j->tasks[index].phase = task_phase::waiting;
    j->tasks[index].worker.clear();
    --j->tasks[index].attempt;
    update_placeable(*j);
}

void job_table::unanswered(const std::string& id, std::size_t index, std::int32_t attempt,
                           time_point now)
{
    job* const j = find(id);
    if (j == nullptr || j->tasks[index].phase != task_phase::placing ||
        j->tasks[index].attempt != attempt || !j->owner) {
        return;
    }
    j->tasks[index].phase = task_phase::unresolved;
    unanswered_at_[task_name(id, index)] = now;
    unresolved_.insert(id);
    update_placeable(*j);
}

end_result job_table::ended(const listed_task& report, time_point now)
{
    end_result out;
    job* const j = find(job_of(report.task));
    const std::optional<std::size_t> index = index_of(report.task);
    if (j == nullptr || !index || *index >= j->tasks.size()) {
        return out;
    }
    job_task& t = j->tasks[*index];
    const bool done = report.state == task_state::done;
    if (is_final(t.phase)) {
        out.acknowledge = t.durable;
        return out;
    }
    if (!j->owner || (!j->resolved && !done)) {
        return out;
    }
    const bool stale = report.attempt != 0 && report.attempt < t.attempt;
    if (!done && (stale || t.phase == task_phase::waiting)) {
        out.acknowledge = true;
        return out;
    }
    if (done) {
        finish_task(*j, *index, task_phase::done, report.result, now, out.actions);
        return out;
    }
    const bool lost = report.state == task_state::lease_expired;
    const bool failed = report.state == task_state::failed;
    t.failures = static_cast<std::uint8_t>(t.failures + (failed ? 1 : 0));
    const bool retry = j->what.idempotent && !j->cancelled && t.phase != task_phase::unknown &&
                       (!failed || t.failures < j->max_attempts);
    if (retry) {
        t.phase = task_phase::waiting;
        t.worker.clear();
        update_placeable(*j);
        out.acknowledge = true;
        return out;
    }
    const bool end_unknown = lost && !j->what.idempotent;
    if (end_unknown && t.phase == task_phase::unknown) {
        out.acknowledge = t.durable;
        return out;
    }
    finish_task(*j, *index, end_unknown ? task_phase::unknown : task_phase::failed, report.result,
                now, out.actions);
    return out;
}

void job_table::finish_task(job& j, std::size_t index, task_phase phase, const std::string& result,
                            time_point now, job_actions& out)
{
    job_task& t = j.tasks[index];
    j.open -= is_over(t.phase) ? 0 : 1;
    t.phase = phase;
    t.result = result;
    t.worker.clear();
    out.push_back(action_of(job_action::kind::append_end, j, index));
    out.back().phase = phase;
    out.back().result = result;
    if (j.open == 0) {
        finish_job(j, now, out);
    }
}

void job_table::finish_job(job& j, time_point now, job_actions& out)
{
    const outcome final_outcome = outcome_of(j);
    if (final_outcome == j.final_outcome) {
        return;
    }
    j.final_outcome = final_outcome;
    j.ended = now;
    unresolved_.erase(j.id);
    out.push_back(action_of(job_action::kind::append_job_outcome, j, 0));
    update_placeable(j);
}

void job_table::update_placeable(const job& j)
{
    const bool is_placeable = j.owner && j.final_outcome == outcome::pending && !j.cancelled &&
                              std::any_of(j.tasks.begin(), j.tasks.end(), [](const job_task& t) {
                                  return t.phase == task_phase::waiting;
                              });
    if (is_placeable) {
        placeable_.insert(j.id);
    }
    else {
        placeable_.erase(j.id);
    }
}

void job_table::forget(time_point now)
{
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        const job& j = it->second;
        const bool expired =
            j.final_outcome != outcome::pending && now - j.ended > limits_.retention;
        it = expired ? jobs_.erase(it) : std::next(it);
    }
}

} // namespace sesamesill
