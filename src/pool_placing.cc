// The scheduler's decisions: which step goes next, whom to ask for advice, where tasks start.

#include <algorithm>

#include "sesamesill/pool_scheduler.h"

namespace sesamesill::pool {
namespace {

constexpr std::size_t max_named = 100; ///< workers in one call for advice; the platform's bound
constexpr std::int64_t runs_a_fence = 1000; ///< run numbers of one task that a leader may use

int active_on(const worker& w, const task_id& step)
{
    int count = 0;
    for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w.runs) {
        const task_id& t = r.second.task;
        count +=
            t.job == step.job && t.occurrence == step.occurrence && t.step == step.step ? 1 : 0;
    }
    return count;
}

} // namespace

double scheduler::estimate_ms(const std::string& queue, const step_spec& step) const
{
    const auto learnt = estimates_.find(queue);
    const double own = static_cast<double>(step.estimate.count());
    return learnt != estimates_.end() ? expected_run_ms(learnt->second, own) : own;
}

std::vector<double> scheduler::estimates_of(const job_spec& spec) const
{
    std::vector<double> all;
    for (const step_spec& s : spec.steps) {
        all.push_back(estimate_ms(spec.queue, s));
    }
    return all;
}

bool scheduler::may_start(const unit& u, const job_entry& entry, time_point now) const
{
    return (doubts_.empty() || !entry.inherited) && now >= u.start_after &&
           entry.progress.step_at(u.first.occurrence, u.first.step).waiting > 0;
}

/// Works out what the step's rank rests on; it changes slowly.
void scheduler::refresh(unit& u, const job_entry& entry, time_point now)
{
    constexpr millis refresh_period{500};
    if (u.ranked != time_point() && now - u.ranked < refresh_period) {
        return;
    }
    u.ranked = now;
    const job_progress& job = entry.progress;
    const queue_policy* queue = queue_of(job.spec().queue);
    const std::vector<double> estimates = estimates_of(job.spec());
    const job_size size = size_of(job.spec(), estimates);
    const job_size left = left_of(job, u.first.occurrence, estimates);
    u.run_ms = estimates[static_cast<std::size_t>(u.first.step)];
    u.rank.job_work = size.core_seconds;
    u.rank.mean_work = estimates_[job.spec().queue].mean_work;
    u.rank.left_work = left.core_seconds;
    u.rank.left_chain_ms = left.chain_ms;
    if (queue != nullptr) {
        u.rank.priority = queue->priority;
        u.rank.objective_ms =
            queue->stretch * size.chain_ms + static_cast<double>(queue->latency_target.count());
    }
}

std::vector<unit*> scheduler::ranked_units(time_point now)
{
    std::vector<unit*> ranked;
    for (std::pair<const std::string, unit>& named : units_) {
        unit& u = named.second;
        const auto known = jobs_.find(u.first.job);
        if (known == jobs_.end() || !may_start(u, known->second, now)) {
            continue;
        }
        refresh(u, known->second, now);
        u.rank.waited_ms =
            static_cast<double>(to_millis(now - known->second.progress.due(u.first.occurrence)));
        u.score = rank_of(u.rank);
        ranked.push_back(&u);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const unit* a, const unit* b) { return a->score > b->score; });
    return ranked;
}

bool scheduler::is_eligible(const worker& w, const step_spec& step, const queue_policy& queue,
                            time_point now) const
{
    return w.is_open(now) && may_run(w.entry, step, queue);
}

/// Returns the workers that may run the step: those approved, or all where nobody has to approve.
std::vector<worker*> scheduler::workers_for(const unit& u, const step_spec& step,
                                            const queue_policy& queue, time_point now)
{
    std::vector<worker*> result;
    if (queue.advice) {
        for (const std::pair<const std::string, ticket>& t : u.approved) {
            worker* w = find_worker(t.first);
            if (w != nullptr && is_eligible(*w, step, queue, now)) {
                result.push_back(w);
            }
        }
        return result;
    }
    for (std::pair<const std::string, worker>& w : workers_) {
        if (is_eligible(w.second, step, queue, now)) {
            result.push_back(&w.second);
        }
    }
    return result;
}

/// Takes the measure of the free room, so that steps that fit nowhere cost nothing.
void scheduler::measure_room(time_point now)
{
    largest_room_ = {};
    whole_ = {};
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (!w.second.is_open(now)) {
            continue;
        }
        const resources room = w.second.room();
        largest_room_.cpu_millis = std::max(largest_room_.cpu_millis, room.cpu_millis);
        largest_room_.memory_mb = std::max(largest_room_.memory_mb, room.memory_mb);
        largest_room_.accelerators = std::max(largest_room_.accelerators, room.accelerators);
        whole_ += w.second.entry.capacity;
    }
}

bool scheduler::may_fit(const resources& need) const
{
    return fits(need, largest_room_);
}

std::vector<candidate> scheduler::candidates_for(unit& u, const job_entry& entry, time_point now)
{
    std::vector<candidate> result;
    const job_progress& job = entry.progress;
    const step_spec& step = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(job.spec().queue);
    if (queue == nullptr) {
        return result;
    }
    const bool advised = queue->advice.has_value();
    const time_point ends = now + millis(static_cast<std::int64_t>(u.run_ms));
    for (worker* w : workers_for(u, step, *queue, now)) {
        const auto ticket = u.approved.find(w->entry.id);
        int limit = step.tasks;
        if (step.max_per_worker > 0) {
            limit = std::min(limit, step.max_per_worker - active_on(*w, u.first));
        }
        candidate c;
        c.where = w;
        c.room = w->room();
        const auto held = held_back_.find(w->entry.id);
        if (held != held_back_.end() && ends > held->second.until) {
            c.room -= held->second.amount;
        }
        c.fits = limit > 0 ? fitting(taken_by(step), c.room, limit) : 0;
        c.ticket_good = !advised || now < ticket->second.until;
        c.preferred = !step.preferred_rack.empty() && w->entry.rack == step.preferred_rack;
        if (c.fits > 0) {
            result.push_back(c);
        }
    }
    return result;
}

std::int64_t scheduler::next_run(const step_record& step, int index) const
{
    // A predecessor may have used numbers that nobody lists any more; those of a higher fence are
    // above all of them.
    const std::int64_t floor = (static_cast<std::int64_t>(fence_) - 1) * runs_a_fence;
    std::int64_t highest = floor;
    if (index >= 0) {
        highest = std::max(highest, step.tasks[static_cast<std::size_t>(index)].run);
        return highest + 1;
    }
    for (const task_record& t : step.tasks) {
        highest = std::max(highest, t.run);
    }
    return highest + 1;
}

void scheduler::start_task(unit& u, job_entry& entry, int index, worker& w, std::int64_t run,
                           time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    task_id id = u.first;
    id.index = index;
    const bool first_start = !job.has_begun();
    job.started(id, w.entry.id, run, now);
    start_order order;
    order.worker = w.entry.id;
    order.address = w.entry.address;
    order.task = to_string(id);
    order.run = run;
    order.payload = job.spec().payload;
    order.fence = fence_;
    order.until_ms = w.clock_at(now) + start_validity.count();
    if (spec.saves_progress || spec.gang) {
        order.checkpoint = job.find(id)->checkpoint;
    }
    const auto ticket = u.approved.find(w.entry.id);
    if (ticket != u.approved.end()) {
        order.ticket = ticket->second.text;
    }
    run_record record;
    record.task = id;
    record.run = run;
    record.taken = taken_by(spec);
    record.ordered = now;
    record.until_ms = order.until_ms;
    add_run(w, std::move(record));
    w.gone_at = std::max(w.gone_at, lease_end(now, start_validity));
    note(first_start ? decision_kind::begun : decision_kind::started, id.job, w.entry.id,
         order.task + " run " + std::to_string(run), to_millis(now - job.accepted()));
    starts_.push_back(std::move(order));
}

namespace {

/// Drops the workers in `failed_on`, unless the others could never hold the whole step.
void leave_out(std::vector<candidate>& candidates, const std::set<std::string>& failed_on,
               const step_spec& step)
{
    if (failed_on.empty()) {
        return;
    }
    std::vector<candidate> others;
    int held = 0;
    for (const candidate& c : candidates) {
        if (failed_on.count(c.where->entry.id) == 0) {
            others.push_back(c);
            held += fitting(taken_by(step), c.where->entry.capacity, step.tasks);
        }
    }
    if (held >= step.tasks) {
        candidates.swap(others);
    }
}

} // namespace

void scheduler::place_gang(unit& u, job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    step_record& step = job.step_at(u.first.occurrence, u.first.step);
    if (step.waiting < spec.tasks) {
        return; // members of an earlier run haven't all ended
    }
    if (!may_fit(taken_by(spec))) {
        hold_back_for(u, entry, now);
        return;
    }
    std::vector<candidate> candidates = candidates_for(u, entry, now);
    std::set<std::string> failed_on;
    for (const task_record& t : step.tasks) {
        failed_on.insert(t.failed_on.begin(), t.failed_on.end());
    }
    leave_out(candidates, failed_on, spec);
    const std::vector<int> counts = spread_gang(candidates, spec.tasks, spec.same_rack);
    if (counts.empty()) {
        hold_back_for(u, entry, now);
        return;
    }
    std::vector<std::string> expired;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0 && !candidates[i].ticket_good) {
            expired.push_back(candidates[i].where->entry.id);
        }
    }
    if (!expired.empty()) {
        if (!u.asking) {
            u.ask = expired;
        }
        hold_back_for(u, entry, now);
        return;
    }
    const std::int64_t run = next_run(step, -1);
    std::string checkpoint; // one for all: the value of any member is good for the gang
    for (const task_record& t : step.tasks) {
        checkpoint = t.checkpoint.empty() ? checkpoint : t.checkpoint;
    }
    int index = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        for (int n = 0; n < counts[i]; ++n) {
            step.tasks[static_cast<std::size_t>(index)].checkpoint = checkpoint;
            start_task(u, entry, index++, *candidates[i].where, run, now);
        }
    }
}

/// Returns when the run is likely to end: by its progress where that is known.
time_point scheduler::expected_end(const run_record& run, time_point now) const
{
    constexpr int telling_percent = 10; ///< less says little of a task's length
    constexpr millis overdue{300};      ///< a run beyond its estimate is expected to end soon
    constexpr millis unknown_run{1000};
    const auto known = jobs_.find(run.task.job);
    if (known == jobs_.end() || run.phase == run_phase::stopping ||
        run.phase == run_phase::pinned) {
        return now + unknown_run;
    }
    const job_progress& job = known->second.progress;
    const step_spec& step = job.spec().steps[static_cast<std::size_t>(run.task.step)];
    constexpr millis never{3600000};
    if (step.long_running) {
        return now + never;
    }
    const task_record& task = job.step_at(run.task.occurrence, run.task.step)
                                  .tasks[static_cast<std::size_t>(run.task.index)];
    double length_ms = estimate_ms(job.spec().queue, step);
    if (task.percent >= telling_percent) {
        length_ms =
            static_cast<double>(to_millis(task.advanced - run.ordered)) * 100 / task.percent;
    }
    return std::max(now + overdue, run.ordered + millis(static_cast<std::int64_t>(length_ms)));
}

std::vector<gang_option> scheduler::gang_options(unit& u, const job_entry& entry, time_point now)
{
    const step_spec& step = entry.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(entry.progress.spec().queue);
    std::vector<gang_option> options;
    if (queue == nullptr) {
        return options;
    }
    for (worker* w : workers_for(u, step, *queue, now)) {
        gang_option o;
        o.where = w;
        o.room = w->room();
        const auto held = held_back_.find(w->entry.id);
        if (held != held_back_.end()) {
            o.room -= held->second.amount;
        }
        o.limit = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
        for (const std::pair<const std::pair<std::string, std::int64_t>, run_record>& r : w->runs) {
            o.frees.emplace_back(expected_end(r.second, now), r.second.taken);
        }
        std::sort(o.frees.begin(), o.frees.end(),
                  [](const std::pair<time_point, resources>& a,
                     const std::pair<time_point, resources>& b) { return a.first < b.first; });
        options.push_back(std::move(o));
    }
    return options;
}

/// Keeps room for a gang that could start soon, or smaller tasks would take each gap for ever.
void scheduler::hold_back_for(unit& u, const job_entry& entry, time_point now)
{
    constexpr int most_plans = 8; ///< in one placing; each looks at all runs of its workers
    if (++gang_plans_ > most_plans) {
        return;
    }
    constexpr millis horizon{3000};    ///< further ahead, estimates of ends say little
    constexpr double most_held = 0.35; ///< share of the pool; the rest serves what fits
    const step_spec& step = entry.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    const queue_policy* queue = queue_of(entry.progress.spec().queue);
    const std::vector<gang_option> options = gang_options(u, entry, now);
    const std::optional<gang_plan> plan = plan_gang(options, taken_by(step), step.tasks, now);
    if (!plan || plan->ready > now + horizon || queue == nullptr) {
        return;
    }
    const resources needed = scaled(taken_by(step), step.tasks);
    if (dominant_share(held_back_total_ + needed, whole_) > most_held) {
        return;
    }
    held_back_total_ += needed;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (plan->counts[i] > 0) {
            held_room& held = held_back_[options[i].where->entry.id];
            held.amount += scaled(taken_by(step), plan->counts[i]);
            held.until = std::max(held.until, plan->ready);
        }
    }
    if (queue->advice) {
        renew_tickets(u, *plan, options, *queue->advice, now);
    }
}

/// Asks again, in time, for tickets that will have expired when the gang can start.
void scheduler::renew_tickets(unit& u, const gang_plan& plan,
                              const std::vector<gang_option>& options, const advice_terms& terms,
                              time_point now)
{
    constexpr millis way{100}; ///< to the advisor and back, through another member
    std::vector<std::string> expired;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const std::string& id = options[i].where->entry.id;
        const auto ticket = u.approved.find(id);
        if (plan.counts[i] > 0 && ticket != u.approved.end() &&
            ticket->second.until < plan.ready + way) {
            expired.push_back(id);
        }
    }
    const double takes = terms.base_ms + terms.per_worker_ms * static_cast<double>(expired.size());
    const time_point answered = now + millis(static_cast<std::int64_t>(takes)) + way;
    if (!expired.empty() && !u.asking && answered >= plan.ready) {
        u.ask = expired;
    }
}

void scheduler::place_tasks(unit& u, job_entry& entry, time_point now)
{
    job_progress& job = entry.progress;
    const step_spec& spec = job.spec().steps[static_cast<std::size_t>(u.first.step)];
    step_record& step = job.step_at(u.first.occurrence, u.first.step);
    std::vector<candidate> candidates = candidates_for(u, entry, now);
    std::vector<std::string> expired;
    for (int i = 0; i < spec.tasks && !candidates.empty(); ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase != task_phase::waiting) {
            continue;
        }
        const int pick = pick_for_task(candidates, taken_by(spec),
                                       step.tasks[static_cast<std::size_t>(i)].failed_on);
        if (pick < 0) {
            break;
        }
        candidate& c = candidates[static_cast<std::size_t>(pick)];
        --c.fits;
        c.room -= taken_by(spec);
        if (!c.ticket_good) {
            expired.push_back(c.where->entry.id);
            continue;
        }
        start_task(u, entry, i, *c.where, next_run(step, i), now);
    }
    if (!expired.empty() && !u.asking) {
        std::sort(expired.begin(), expired.end());
        expired.erase(std::unique(expired.begin(), expired.end()), expired.end());
        u.ask = expired;
    }
}

void scheduler::place(time_point now)
{
    if (!changed_) {
        return;
    }
    changed_ = false;
    held_back_.clear();
    held_back_total_ = {};
    gang_plans_ = 0;
    measure_room(now);
    for (unit* u : ranked_units(now)) {
        job_entry& entry = jobs_.find(u->first.job)->second;
        const step_spec& spec =
            entry.progress.spec().steps[static_cast<std::size_t>(u->first.step)];
        if (spec.gang) {
            place_gang(*u, entry, now);
        }
        else if (may_fit(taken_by(spec))) {
            place_tasks(*u, entry, now);
        }
    }
}

/// Returns the workers to be named in a call for advice: those with the most room, as many as the
/// step is likely to need where a third is approved.
std::vector<std::string> scheduler::workers_to_ask(const unit& u, const step_spec& step,
                                                   const queue_policy& queue, time_point now) const
{
    constexpr std::size_t asked_a_task = 4;
    constexpr std::size_t asked_at_least = 16;
    std::vector<std::pair<std::int64_t, const std::string*>> found;
    for (const std::pair<const std::string, worker>& w : workers_) {
        if (u.approved.count(w.first) == 0 && u.denied.count(w.first) == 0 &&
            is_eligible(w.second, step, queue, now)) {
            found.emplace_back(-w.second.room().cpu_millis, &w.first);
        }
    }
    const std::size_t wanted =
        std::min(max_named, asked_at_least + asked_a_task * static_cast<std::size_t>(step.tasks));
    if (found.size() > wanted) {
        std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(wanted),
                          found.end());
        found.resize(wanted);
    }
    std::vector<std::string> names;
    names.reserve(found.size());
    for (const std::pair<std::int64_t, const std::string*>& f : found) {
        names.push_back(*f.second);
    }
    return names;
}

std::optional<advice_call> scheduler::next_advice(millis longest, time_point now)
{
    constexpr millis ask_more_after{800}; ///< a step that still waits then asks about other workers
    unit* best = nullptr;
    const queue_policy* best_queue = nullptr;
    const step_spec* best_step = nullptr;
    for (std::pair<const std::string, unit>& named : units_) {
        unit& u = named.second;
        const bool first_call = u.approved.empty() && u.denied.empty();
        const bool wants = !u.ask.empty() || first_call || now - u.asked > ask_more_after;
        if (u.asking || !wants || now < u.ask_after ||
            (best != nullptr && u.score <= best->score)) {
            continue;
        }
        const auto known = jobs_.find(u.first.job);
        const queue_policy* queue =
            known != jobs_.end() ? queue_of(known->second.progress.spec().queue) : nullptr;
        if (queue == nullptr || !queue->advice || !may_start(u, known->second, now) ||
            queue->advice->base_ms > static_cast<double>(longest.count())) {
            continue;
        }
        best = &u;
        best_queue = queue;
        best_step = &known->second.progress.spec().steps[static_cast<std::size_t>(u.first.step)];
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    best->asked = now;
    std::vector<std::string> names;
    names.swap(best->ask);
    if (names.empty()) {
        names = workers_to_ask(*best, *best_step, *best_queue, now);
    }
    if (names.empty()) {
        best->ask_after = now + ask_more_after; // all have been asked about
        return std::nullopt;
    }
    best->asking = true;
    const double takes = best_queue->advice->base_ms +
                         best_queue->advice->per_worker_ms * static_cast<double>(names.size());
    return advice_call{step_name(best->first), std::move(names),
                       millis(static_cast<std::int64_t>(takes) + 1)};
}

} // namespace sesamesill::pool
