// A home acts on a job only once it knows where all of its tasks are.

#include "sesamesill/recovery.h"

#include <algorithm>
#include <charconv>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

/// Leaves room for attempts of earlier homes that this one never heard of.
constexpr std::int32_t attempt_gap = 100;
constexpr micros answer_margin = std::chrono::seconds(1);

constexpr name_table<task_phase, 8> phase_names{{{task_phase::waiting, "waiting"},
                                                 {task_phase::placing, "placing"},
                                                 {task_phase::unsettled, "unsettled"},
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

outcome ending_of(const job& j)
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

bool holds(task_state state)
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
    const std::size_t mark = task.find('/');
    std::size_t index = 0;
    const char* const end = task.data() + task.size();
    if (mark == std::string::npos ||
        std::from_chars(task.data() + mark + 1, end, index).ptr != end || mark + 1 == task.size()) {
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
                            std::uint64_t offset, bool is_home, time_point now)
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
    j.home = is_home;
    j.since_birth = is_home && writer == self_;
    j.settled = j.since_birth;
    if (is_home && !j.settled) {
        take_over(j);
    }
    note_placeable(j);
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

void job_table::ending_read(const std::string& id, outcome ending, time_point now)
{
    job* const j = find(id);
    if (j == nullptr || ending == outcome::pending) {
        return;
    }
    j->ending = ending;
    j->ended = now;
    for (job_task& t : j->tasks) {
        if (!is_over(t.phase)) {
            t.phase = ending == outcome::not_run ? task_phase::not_run : task_phase::unknown;
        }
    }
    j->open = 0;
    unsettled_.erase(id);
    note_placeable(*j);
}

job_actions job_table::cancel_read(const std::string& id, time_point now)
{
    job_actions out;
    job* const j = find(id);
    if (j == nullptr || j->ending != outcome::pending) {
        return out;
    }
    j->cancelled = true;
    j->reason = {error_code::cancelled, step::queueing, "", "cancelled by its caller"};
    note_placeable(*j);
    if (!j->home || !j->settled) {
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

void job_table::update_homes(const std::function<bool(const std::string& id)>& is_home)
{
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        const bool home = is_home(j.id);
        if (home == j.home) {
            continue;
        }
        j.home = home;
        j.settled = false;
        j.since_birth = false;
        unsettled_.erase(j.id);
        if (home && j.ending == outcome::pending) {
            take_over(j);
        }
        note_placeable(j);
    }
}

void job_table::take_over(job& j)
{
    const task_phase open = limits_.settle_first ? task_phase::unsettled : task_phase::waiting;
    for (job_task& t : j.tasks) {
        t.phase = is_over(t.phase) ? t.phase : open;
        t.intent = t.intent == intent_state::queued ? intent_state::none : t.intent;
    }
    if (limits_.settle_first) {
        unsettled_.insert(j.id);
    }
}

void job_table::doubt_running()
{
    for (std::pair<const std::string, job>& entry : jobs_) {
        job& j = entry.second;
        for (job_task& t : j.tasks) {
            if (j.home && t.phase == task_phase::running) {
                t.phase = task_phase::unsettled;
                unsettled_.insert(j.id);
            }
        }
    }
}

/// A job that could not start in time ends as not run, if no start of any task ever left.
job_actions job_table::update_deadlines(time_point now)
{
    job_actions out;
    const std::set<std::string> ids = placeable_;
    for (const std::string& id : ids) {
        job& j = jobs_.at(id);
        const bool never_sent =
            j.since_birth && std::all_of(j.tasks.begin(), j.tasks.end(), [](const job_task& t) {
                return t.phase == task_phase::waiting && t.attempt == 0;
            });
        if (!never_sent || now - j.arrived < j.what.deadline) {
            continue;
        }
        j.reason = {error_code::timeout, step::placement, "", "no room before the deadline"};
        for (std::size_t i = 0; i < j.tasks.size(); ++i) {
            finish_task(j, i, task_phase::not_run, "", now, out);
        }
    }
    return out;
}

std::vector<std::string> job_table::begin_recovery(std::set<std::string> shards, time_point now)
{
    if (recovery_ || unsettled_.empty()) {
        return {};
    }
    recovery_.emplace();
    recovery_->shards_left = std::move(shards);
    recovery_->begun = now;
    for (const std::string& id : unsettled_) {
        const job& j = jobs_.at(id);
        for (std::size_t i = 0; i < j.tasks.size(); ++i) {
            if (j.tasks[i].phase == task_phase::unsettled) {
                recovery_->names.insert(task_name(id, i));
            }
        }
    }
    return {unsettled_.begin(), unsettled_.end()};
}

job_actions job_table::take_answer(const recovery_answer& answer, time_point now)
{
    job_actions out;
    if (!recovery_) {
        return out;
    }
    recovery_->up[answer.member] = answer.up;
    for (const listed_task& t : answer.tasks) {
        take_listed(t);
    }
    for (const std::string& shard : answer.shards) {
        recovery_->shards_left.erase(shard);
    }
    if (!recovery_->shards_left.empty()) {
        return out;
    }
    const std::set<std::string> ids = unsettled_;
    for (const std::string& id : ids) {
        job* const j = find(id);
        if (j != nullptr && j->home && j->ending == outcome::pending) {
            settle(*j, now, out);
        }
    }
    recovery_.reset();
    return out;
}

/// A running attempt counts before an ended one, then a finished one, then the newest.
void job_table::take_listed(const listed_task& t)
{
    const auto rank = [](const listed_task& l) {
        const int state = holds(l.state) ? 2 : l.state == task_state::done ? 1 : 0;
        return std::make_pair(state, l.attempt);
    };
    const auto added = recovery_->tasks.emplace(t.task, t);
    if (!added.second && rank(t) > rank(added.first->second)) {
        added.first->second = t;
    }
}

void job_table::settle(job& j, time_point now, job_actions& out)
{
    bool left = false;
    for (std::size_t i = 0; i < j.tasks.size() && j.ending == outcome::pending; ++i) {
        const bool open = j.tasks[i].phase == task_phase::unsettled;
        if (open && recovery_->names.count(task_name(j.id, i)) > 0) {
            settle_task(j, i, now, out);
        }
        left = left || j.tasks[i].phase == task_phase::unsettled;
    }
    j.settled = j.settled || !left;
    if (!left) {
        unsettled_.erase(j.id);
    }
    if (j.open == 0) {
        finish_job(j, now, out);
    }
    note_placeable(j);
}

void job_table::settle_task(job& j, std::size_t index, time_point now, job_actions& out)
{
    job_task& t = j.tasks[index];
    const std::string name = task_name(j.id, index);
    const auto listed = recovery_->tasks.find(name);
    if (listed != recovery_->tasks.end()) {
        t.attempt = std::max(t.attempt, listed->second.attempt);
        t.phase = task_phase::running;
        t.worker = listed->second.worker;
        sent_at_.erase(name);
        if (!holds(listed->second.state)) {
            const job_actions more = ended(listed->second, now).actions;
            out.insert(out.end(), more.begin(), more.end());
        }
        else if (j.cancelled) {
            out.push_back(action_of(job_action::kind::stop_task, j, index));
        }
        return;
    }
    // The member that was asked says that it never started the task.
    const auto asked = sent_at_.find(name);
    const auto up = recovery_->up.find(t.worker);
    const bool denied = asked != sent_at_.end() && up != recovery_->up.end() &&
                        up->second > now - asked->second + answer_margin;
    sent_at_.erase(name);
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
    if (!j.home || j.cancelled || t.phase != task_phase::waiting) {
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
    note_placeable(j);
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
    note_placeable(*j);
}

void job_table::unanswered(const std::string& id, std::size_t index, std::int32_t attempt,
                           time_point now)
{
    job* const j = find(id);
    if (j == nullptr || j->tasks[index].phase != task_phase::placing ||
        j->tasks[index].attempt != attempt || !j->home) {
        return;
    }
    j->tasks[index].phase = task_phase::unsettled;
    sent_at_[task_name(id, index)] = now;
    unsettled_.insert(id);
    note_placeable(*j);
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
    if (!j->home || (!j->settled && !done)) {
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
    const bool again = j->what.idempotent && !j->cancelled && t.phase != task_phase::unknown &&
                       (!failed || t.failures < j->max_attempts);
    if (again) {
        t.phase = task_phase::waiting;
        t.worker.clear();
        note_placeable(*j);
        out.acknowledge = true;
        return out;
    }
    const bool untold = lost && !j->what.idempotent;
    if (untold && t.phase == task_phase::unknown) {
        out.acknowledge = t.durable;
        return out;
    }
    finish_task(*j, *index, untold ? task_phase::unknown : task_phase::failed, report.result, now,
                out.actions);
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
    const outcome ending = ending_of(j);
    if (ending == j.ending) {
        return;
    }
    j.ending = ending;
    j.ended = now;
    unsettled_.erase(j.id);
    out.push_back(action_of(job_action::kind::append_job_ending, j, 0));
    note_placeable(j);
}

void job_table::note_placeable(const job& j)
{
    const bool waits = j.home && j.ending == outcome::pending && !j.cancelled &&
                       std::any_of(j.tasks.begin(), j.tasks.end(), [](const job_task& t) {
                           return t.phase == task_phase::waiting;
                       });
    if (waits) {
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
        const bool old = j.ending != outcome::pending && now - j.ended > limits_.retention;
        it = old ? jobs_.erase(it) : std::next(it);
    }
}

} // namespace sesamesill
