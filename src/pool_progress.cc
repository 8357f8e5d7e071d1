// Tracks the phases of a job's tasks and converts progress to and from its stored form.

#include "sesamesill/pool_progress.h"

#include <algorithm>
#include <utility>

#include "sesamesill/json.h"
#include "sesamesill/pool_memory.h"

namespace sesamesill::pool {
namespace {

constexpr double cores_per_accelerator = 8;  ///< weight of an accelerator in core-seconds of work
constexpr std::size_t max_kept_failures = 8; ///< of a long-running task, which may fail for ever

occurrence_record new_occurrence(const job_spec& spec)
{
    occurrence_record result;
    for (const step_spec& s : spec.steps) {
        step_record step;
        step.tasks.resize(static_cast<std::size_t>(s.tasks));
        step.waiting = s.tasks;
        result.steps.push_back(std::move(step));
    }
    return result;
}

void write_runs(json_writer& out, const std::set<std::int64_t>& runs)
{
    out.Key("failed_runs");
    out.StartArray();
    for (const std::int64_t run : runs) {
        out.Int64(run);
    }
    out.EndArray();
}

/// Returns whether all tasks of the step are done.
bool is_done(const step_record& step)
{
    return step.done == static_cast<int>(step.tasks.size());
}

/// Returns whether a later leader needs more of the task than that it isn't done.
bool has_state_to_keep(const task_record& task)
{
    return task.phase != task_phase::done &&
           (!task.failed_runs.empty() || !task.checkpoint.empty());
}

/// A range of a step's tasks, by index.
struct task_range {
    int first = 0;
    int end = 0;
};

/// Writes the range of the step unless a later leader needs nothing of it. The failed runs of a
/// gang go with its first task.
void write_step(json_writer& out, const step_record& step, int occurrence, int number,
                const task_range& range, bool with_checkpoints)
{
    const auto begin = step.tasks.begin() + range.first;
    const auto end = step.tasks.begin() + range.end;
    const bool has_left = std::any_of(begin, end, has_state_to_keep);
    const bool has_done =
        std::any_of(begin, end, [](const task_record& t) { return t.phase == task_phase::done; });
    const bool has_failed_runs = range.first == 0 && !step.failed_runs.empty();
    if (!has_done && !has_left && !has_failed_runs) {
        return;
    }
    out.StartObject();
    out.Key("occurrence");
    out.Int(occurrence);
    out.Key("step");
    out.Int(number);
    out.Key("done");
    out.StartArray();
    for (int i = range.first; i < range.end; ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase == task_phase::done) {
            out.Int(i);
        }
    }
    out.EndArray();
    if (has_left) {
        out.Key("left");
        out.StartArray();
        for (int i = range.first; i < range.end; ++i) {
            const task_record& task = step.tasks[static_cast<std::size_t>(i)];
            if (has_state_to_keep(task)) {
                out.StartObject();
                out.Key("index");
                out.Int(i);
                write_runs(out, task.failed_runs);
                out.Key("checkpoint");
                write_string(out, with_checkpoints ? task.checkpoint : std::string());
                out.EndObject();
            }
        }
        out.EndArray();
    }
    if (has_failed_runs) {
        write_runs(out, step.failed_runs);
    }
    out.EndObject();
}

std::set<std::int64_t> runs_from(const Json::Value& value)
{
    std::set<std::int64_t> runs;
    for (const Json::Value& run : value) {
        runs.insert(run.asInt64());
    }
    return runs;
}

} // namespace

job_progress::job_progress(job_spec spec, std::int64_t accepted_ms, time_point accepted)
    : spec_(std::move(spec)), accepted_ms_(accepted_ms), accepted_(accepted)
{
    for (const step_spec& s : spec_.steps) {
        first_tasks_.push_back(tasks_per_occurrence_);
        tasks_per_occurrence_ += s.tasks;
    }
    unfinished_tasks_ = static_cast<std::int64_t>(tasks_per_occurrence_) * occurrences();
}

time_point job_progress::due(int occurrence) const
{
    const std::int64_t ms = spec_.first_due_ms + occurrence * spec_.interval_ms;
    return spec_.occurrences > 0 ? accepted_ + millis(ms - accepted_ms_) : accepted_;
}

bool job_progress::is_complete(int occurrence) const
{
    const std::size_t index = static_cast<std::size_t>(occurrence);
    return index < complete_.size() && complete_[index];
}

void job_progress::open(int occurrence)
{
    if (!is_complete(occurrence) && !is_open(occurrence)) {
        open_.emplace(occurrence, new_occurrence(spec_));
    }
}

void job_progress::mark_complete(int occurrence)
{
    const std::size_t index = static_cast<std::size_t>(occurrence);
    if (complete_.size() <= index) {
        complete_.resize(index + 1, false);
    }
    complete_[index] = true;
}

/// Replaces an open occurrence without unfinished tasks by a mark.
void job_progress::close_if_complete(int occurrence)
{
    const std::vector<step_record>& steps = open_.at(occurrence).steps;
    if (!std::all_of(steps.begin(), steps.end(), is_done)) {
        return;
    }
    for (const step_record& step : steps) {
        for (const task_record& task : step.tasks) {
            task_growth_ -=
                checkpoint_bytes(task.checkpoint.size()) + failure_bytes * task.failed_runs.size();
        }
        task_growth_ -= failure_bytes * step.failed_runs.size();
    }
    open_.erase(occurrence);
    mark_complete(occurrence);
}

bool job_progress::is_step_done(int occurrence, int number) const
{
    return is_complete(occurrence) || (is_open(occurrence) && is_done(step_at(occurrence, number)));
}

bool job_progress::has_task(const task_id& id) const
{
    return id.occurrence >= 0 && id.occurrence < occurrences() && id.step >= 0 &&
           id.step < static_cast<int>(spec_.steps.size()) && id.index >= 0 &&
           id.index < spec_.steps[static_cast<std::size_t>(id.step)].tasks;
}

task_record* job_progress::find(const task_id& id)
{
    return const_cast<task_record*>(std::as_const(*this).find(id));
}

const task_record* job_progress::find(const task_id& id) const
{
    return has_task(id) && is_open(id.occurrence)
               ? &step_at(id.occurrence, id.step).tasks[static_cast<std::size_t>(id.index)]
               : nullptr;
}

bool job_progress::is_ready(int occurrence, int number) const
{
    const std::vector<int>& after = spec_.steps[static_cast<std::size_t>(number)].after;
    return std::all_of(after.begin(), after.end(),
                       [&](int earlier) { return is_done(step_at(occurrence, earlier)); });
}

void job_progress::set_phase(step_record& step, task_record& task, task_phase phase)
{
    const auto counter = [&step](task_phase p) -> int& {
        return p == task_phase::waiting ? step.waiting
               : p == task_phase::done  ? step.done
                                        : step.active;
    };
    --counter(task.phase);
    ++counter(phase);
    unfinished_tasks_ += task.phase == task_phase::done ? 1 : 0;
    unfinished_tasks_ -= phase == task_phase::done ? 1 : 0;
    task.phase = phase;
}

void job_progress::started(const task_id& id, const std::string& worker, std::int64_t run,
                           time_point now)
{
    task_record& task = *find(id);
    set_phase(step_at(id.occurrence, id.step), task, task_phase::starting);
    task.worker = worker;
    task.run = run;
    task.started = now;
    task.advanced = now;
    task.percent = 0;
    ordered_ = true;
}

void job_progress::confirm(const task_id& id)
{
    task_record& task = *find(id);
    begun_ = true;
    if (task.phase == task_phase::starting) {
        set_phase(step_at(id.occurrence, id.step), task, task_phase::running);
    }
    update_state();
}

void job_progress::adopt(const task_id& id, const std::string& worker, std::int64_t run,
                         time_point now)
{
    started(id, worker, run, now);
    confirm(id);
}

void job_progress::stopping(const task_id& id)
{
    set_phase(step_at(id.occurrence, id.step), *find(id), task_phase::stopping);
}

void job_progress::release(const task_id& id)
{
    task_record& task = *find(id);
    set_phase(step_at(id.occurrence, id.step), task, task_phase::waiting);
    task.worker.clear();
}

void job_progress::finish(const task_id& id)
{
    step_record& step = step_at(id.occurrence, id.step);
    begun_ = true;
    if (spec_.steps[static_cast<std::size_t>(id.step)].gang) {
        for (task_record& t : step.tasks) {
            set_phase(step, t, task_phase::done);
        }
    }
    else {
        set_phase(step, *find(id), task_phase::done);
    }
    mark_unsaved(id);
    close_if_complete(id.occurrence);
    update_state();
}

bool job_progress::fail(const task_id& id, std::int64_t run, int max_attempts)
{
    const step_spec& spec = spec_.steps[static_cast<std::size_t>(id.step)];
    step_record& step = step_at(id.occurrence, id.step);
    begun_ = true;
    std::set<std::int64_t>& failures =
        spec.gang ? step.failed_runs : step.tasks[static_cast<std::size_t>(id.index)].failed_runs;
    task_growth_ += failures.insert(run).second ? failure_bytes : 0;
    if (spec.long_running && failures.size() > max_kept_failures) {
        failures.erase(failures.begin()); // they are never counted against a limit
        task_growth_ -= failure_bytes;
    }
    mark_unsaved(id);
    if (!spec.long_running && static_cast<int>(failures.size()) >= max_attempts) {
        state_ = job_state::failed;
        return true;
    }
    return false;
}

bool job_progress::fail_if_exhausted(int step, int max_attempts)
{
    if (spec_.steps[static_cast<std::size_t>(step)].long_running) {
        return false;
    }
    const auto exhausted = [max_attempts](const std::set<std::int64_t>& failures) {
        return static_cast<int>(failures.size()) >= max_attempts;
    };
    for (const std::pair<const int, occurrence_record>& o : open_) {
        const step_record& s = o.second.steps[static_cast<std::size_t>(step)];
        const bool any = exhausted(s.failed_runs) ||
                         std::any_of(s.tasks.begin(), s.tasks.end(), [&](const task_record& t) {
                             return exhausted(t.failed_runs);
                         });
        if (any) {
            state_ = job_state::failed;
            return true;
        }
    }
    return false;
}

void job_progress::update_state()
{
    if (is_final(state_)) {
        return;
    }
    state_ = unfinished_tasks_ == 0 ? job_state::complete
             : begun_               ? job_state::running
                                    : job_state::queued;
}

void job_progress::set_checkpoint(task_record& task, std::string checkpoint)
{
    task_growth_ -= checkpoint_bytes(task.checkpoint.size());
    task.checkpoint = std::move(checkpoint);
    task_growth_ += checkpoint_bytes(task.checkpoint.size());
}

void job_progress::drop_tasks()
{
    open_.clear();
    std::vector<bool>().swap(complete_);
    task_growth_ = 0;
    // An assignment of an empty string would keep the allocated memory.
    std::string().swap(spec_.payload);
    for (step_spec& step : spec_.steps) {
        std::vector<int>().swap(step.after);
        std::string().swap(step.required_label);
        std::string().swap(step.preferred_rack);
        std::string().swap(step.image);
    }
}

int job_progress::part_of(const task_id& id) const
{
    return (id.occurrence * tasks_per_occurrence_ +
            first_tasks_[static_cast<std::size_t>(id.step)] + id.index) /
           tasks_per_part;
}

void job_progress::mark_unsaved(const task_id& id)
{
    const step_spec& step = spec_.steps[static_cast<std::size_t>(id.step)];
    task_id first = id;
    task_id last = id;
    if (step.gang) {
        first.index = 0;
        last.index = step.tasks - 1;
    }
    for (int part = part_of(first); part <= part_of(last); ++part) {
        mark_unsaved(part);
    }
}

void job_progress::mark_unsaved(int part)
{
    unsaved_parts_.insert(part);
    stored_parts_.insert(part); // it is about to be
}

std::set<int> job_progress::take_unsaved()
{
    std::set<int> taken;
    taken.swap(unsaved_parts_);
    return taken;
}

std::string job_progress::saved(int part, std::size_t max_bytes) const
{
    std::string text = saved(part, true);
    // Without its checkpoint, a task begins anew if it is interrupted.
    return text.size() <= max_bytes ? text : saved(part, false);
}

std::string job_progress::saved(int part, bool with_checkpoints) const
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    out.Key("state");
    write_string(out, std::string(name_of(state_)));
    out.Key("begun");
    out.Bool(begun_);
    const int begin = part * tasks_per_part;
    const int end = std::min(begin + tasks_per_part, tasks_per_occurrence_ * occurrences());
    write_complete(out, begin / tasks_per_occurrence_, (end - 1) / tasks_per_occurrence_ + 1);
    out.Key("steps");
    out.StartArray();
    for (auto o = open_.lower_bound(begin / tasks_per_occurrence_);
         o != open_.end() && o->first * tasks_per_occurrence_ < end; ++o) {
        for (std::size_t n = 0; n < spec_.steps.size(); ++n) {
            const int first = o->first * tasks_per_occurrence_ + first_tasks_[n];
            const task_range range{std::max(0, begin - first),
                                   std::min(spec_.steps[n].tasks, end - first)};
            if (range.first < range.end) {
                write_step(out, o->second.steps[n], o->first, static_cast<int>(n), range,
                           with_checkpoints);
            }
        }
    }
    out.EndArray();
    out.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

/// Writes the ranges of complete occurrences from `begin` to `end`, each as its first and last one.
void job_progress::write_complete(json_writer& out, int begin, int end) const
{
    bool any = false;
    for (int k = begin; k < end; ++k) {
        if (!is_complete(k)) {
            continue;
        }
        if (!any) {
            out.Key("complete");
            out.StartArray();
            any = true;
        }
        out.StartArray();
        out.Int(k);
        while (k + 1 < end && is_complete(k + 1)) {
            ++k;
        }
        out.Int(k);
        out.EndArray();
    }
    if (any) {
        out.EndArray();
    }
}

/// Restores the marks of complete occurrences from a part.
void job_progress::restore_complete(int part, const Json::Value& ranges)
{
    if (tasks_per_occurrence_ == 0) {
        return; // nothing is known of the steps of an ended job
    }
    const int end = std::min((part + 1) * tasks_per_part / tasks_per_occurrence_ + 1,
                             occurrences()); // of the occurrences that the part covers
    for (const Json::Value& range : ranges) {
        for (int k = std::max(0, range[0].asInt()); k <= range[1].asInt() && k < end; ++k) {
            if (is_complete(k)) {
                continue;
            }
            open(k);
            for (step_record& step : open_.at(k).steps) {
                for (task_record& task : step.tasks) {
                    set_phase(step, task, task_phase::done);
                }
            }
            close_if_complete(k);
        }
    }
}

void job_progress::restore(const progress_parts& saved)
{
    for (const std::pair<const int, Json::Value>& part : saved) {
        if (part.second.isObject()) {
            stored_parts_.insert(part.first);
            restore_complete(part.first, part.second["complete"]);
        }
    }
    for (const std::pair<const int, Json::Value>& part : saved) {
        if (part.second.isObject()) {
            restore_part(part.first, part.second);
        }
    }
    update_state();
}

void job_progress::restore_part(int part, const Json::Value& saved)
{
    begun_ = begun_ || saved["begun"].asBool();
    for (const Json::Value& row : saved["steps"]) {
        task_id id{spec_.id, row["occurrence"].asInt(), row["step"].asInt(), 0};
        if (!has_task(id) || is_complete(id.occurrence)) {
            continue;
        }
        open(id.occurrence);
        // Earlier versions stored the whole progress as one record, which the next one replaces.
        const auto keep = [&] {
            if (part_of(id) != part) {
                mark_unsaved(id);
            }
        };
        step_record& step = step_at(id.occurrence, id.step);
        const std::set<std::int64_t> failed_runs = runs_from(row["failed_runs"]);
        if (!failed_runs.empty()) {
            const std::size_t known = step.failed_runs.size();
            step.failed_runs.insert(failed_runs.begin(), failed_runs.end());
            task_growth_ += failure_bytes * (step.failed_runs.size() - known);
            keep();
        }
        for (const Json::Value& index : row["done"]) {
            id.index = index.asInt();
            task_record* task = find(id);
            if (task != nullptr && task->phase != task_phase::done) {
                set_phase(step, *task, task_phase::done);
                keep();
            }
        }
        for (const Json::Value& left : row["left"]) {
            id.index = left["index"].asInt();
            task_record* task = find(id);
            if (task != nullptr) {
                task_growth_ -= failure_bytes * task->failed_runs.size();
                task->failed_runs = runs_from(left["failed_runs"]);
                task_growth_ += failure_bytes * task->failed_runs.size();
                set_checkpoint(*task, left["checkpoint"].asString());
                keep();
            }
        }
        close_if_complete(id.occurrence);
    }
    const std::optional<job_state> state = job_state_from(saved["state"].asString());
    if (state && is_final(*state)) {
        state_ = *state;
    }
}

namespace {

/// Returns the size of a job in which `tasks(step)` tasks of each step are to be run.
template<typename Tasks>
job_size total_size(const job_spec& spec, const std::vector<double>& estimates_ms, Tasks tasks)
{
    job_size size;
    std::vector<double> ends(spec.steps.size(), 0);
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const step_spec& s = spec.steps[i];
        const int count = tasks(static_cast<int>(i));
        double begin = 0;
        for (const int earlier : s.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends[i] = begin + (count > 0 ? estimates_ms[i] : 0);
        size.chain_ms = std::max(size.chain_ms, ends[i]);
        const double cores = static_cast<double>(s.need.cpu_millis) / 1000.0 +
                             cores_per_accelerator * static_cast<double>(s.need.accelerators);
        size.core_seconds += cores * count * estimates_ms[i] / 1000.0;
    }
    return size;
}

} // namespace

job_size size_of(const job_spec& spec, const std::vector<double>& estimates_ms)
{
    return total_size(spec, estimates_ms,
                      [&](int i) { return spec.steps[static_cast<std::size_t>(i)].tasks; });
}

job_size remaining_size(const job_progress& job, int occurrence,
                        const std::vector<double>& estimates_ms)
{
    return total_size(job.spec(), estimates_ms, [&](int i) {
        return job.spec().steps[static_cast<std::size_t>(i)].tasks -
               job.step_at(occurrence, i).done;
    });
}

} // namespace sesamesill::pool
