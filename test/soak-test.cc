// Guards against soak checks that miss a kind of broken promise or report one that is kept.

#include <algorithm>
#include <set>
#include <thread>

#include <criterion/criterion.h>

#include "soak/plan.h"
#include "soak/promises.h"

using namespace soak;

namespace {

const std::string job = "00000000000000aa";

/// The checks with one accepted job of two steps with two tasks each; the second step waits for the
/// first.
struct checked_job {
    promises checks{promise_bounds{}};

    checked_job()
    {
        pool::step_spec step;
        step.tasks = 2;
        step.need = {1000, 100, 0};
        pool::job_spec spec;
        spec.id = job;
        spec.payload = "text";
        spec.steps = {step, step};
        spec.steps[1].after = {0};
        checks.declare(spec, {millis(100), millis(100)}, {0, 0}, false);
        checks.on_worker("w1", {2000, 64000, 0});
        checks.on_worker("w2", {2000, 64000, 0});
        checks.on_submitted(job, submission::accepted);
    }

    void start(int step, int index, std::int64_t run, const std::string& worker = "w1",
               const std::string& checkpoint = "")
    {
        checks.on_start({worker, {job, 0, step, index}, run, "text", checkpoint, false});
    }

    void end(int step, int index, std::int64_t run, std::uint64_t number,
             pool::end_reason how = pool::end_reason::done, const std::string& worker = "w1")
    {
        checks.on_end({worker, number, {job, 0, step, index}, run, how, ""});
    }

    std::string violations() const
    {
        return checks.violations().empty()
                   ? ""
                   : checks.violations()[0].substr(0, checks.violations()[0].find(':'));
    }
};

} // namespace

Test(soak, a_correct_job_breaks_no_promise)
{
    checked_job w;
    std::uint64_t number = 0;
    for (int step = 0; step < 2; ++step) {
        for (int i = 0; i < 2; ++i) {
            w.start(step, i, 1);
            w.end(step, i, 1, ++number);
        }
    }
    w.checks.on_ends_acknowledged("w1", 4);
    w.checks.on_shown(job, pool::job_state::complete);
    cr_assert(w.violations().empty(), "%s", w.violations().c_str());
    cr_assert(w.checks.unfinished().empty());
}

Test(soak, concurrent_runs_of_a_task_are_reported)
{
    checked_job w;
    w.start(0, 0, 1);
    w.start(0, 0, 2, "w2");
    cr_assert_eq(w.violations(), "twice");
}

Test(soak, a_run_after_an_end_is_reported_once_the_end_is_acknowledged)
{
    checked_job w;
    w.start(0, 0, 1);
    w.end(0, 0, 1, 1);
    w.start(0, 0, 2, "w2");
    cr_assert(w.violations().empty(), "the end may never be acknowledged");
    w.checks.on_ends_acknowledged("w1", 1);
    cr_assert_eq(w.violations(), "twice");
}

Test(soak, an_end_whose_lease_expired_before_its_acknowledgement_is_ignored)
{
    checked_job w;
    w.start(0, 0, 1);
    w.end(0, 0, 1, 1);
    w.checks.on_lease_expired("w1");
    w.start(0, 0, 2, "w2");
    w.checks.on_ends_acknowledged("w1", 1);
    cr_assert(w.violations().empty(), "%s", w.violations().c_str());
}

Test(soak, an_end_that_a_poll_of_the_previous_process_acknowledges_counts)
{
    checked_job w;
    w.checks.on_worker("w1", {2000, 64000, 0});
    w.start(0, 0, 1);
    w.end(0, 0, 1, 1);
    w.checks.on_ends_acknowledged("w1", 1);
    w.start(0, 0, 2, "w2");
    cr_assert_eq(w.violations(), "twice");
    checked_job other;
    other.start(0, 0, 1);
    other.end(0, 0, 1, 1);
    other.checks.on_worker("w1", {2000, 64000, 0});
    other.checks.on_ends_acknowledged("w1", 1);
    other.start(0, 0, 2, "w2");
    cr_assert(other.violations().empty(), "the end was forgotten with its process");
}

Test(soak, a_step_that_begins_before_its_predecessor_is_done_is_reported)
{
    checked_job w;
    w.start(0, 0, 1);
    w.end(0, 0, 1, 1);
    w.start(1, 0, 1);
    cr_assert_eq(w.violations(), "order");
}

Test(soak, a_run_beyond_the_capacity_of_its_worker_is_reported)
{
    checked_job w;
    w.start(0, 0, 1);
    w.start(0, 1, 1);
    cr_assert(w.violations().empty());
    w.end(0, 0, 1, 1);
    w.end(0, 1, 1, 2);
    w.checks.on_worker("w3", {500, 64000, 0});
    w.start(1, 0, 1, "w3");
    cr_assert_eq(w.violations(), "limit");
}

Test(soak, a_fourth_run_after_three_failures_is_reported)
{
    checked_job w;
    for (int run = 1; run <= 3; ++run) {
        w.start(0, 0, run);
        w.end(0, 0, run, static_cast<std::uint64_t>(run), pool::end_reason::failed);
    }
    w.checks.on_ends_acknowledged("w1", 3);
    w.start(0, 0, 4);
    cr_assert_eq(w.violations(), "budget");
}

Test(soak, runs_and_checkpoints_that_no_client_submitted_are_reported)
{
    checked_job w;
    w.checks.on_start({"w1", {"00000000000000bb", 0, 0, 0}, 1, "text", "", false});
    cr_assert_eq(w.violations(), "unasked");
    checked_job other;
    other.start(0, 0, 1, "w1", "250-of-another-task");
    cr_assert_eq(other.violations(), "unasked");
}

Test(soak, a_refused_job_that_runs_is_reported)
{
    checked_job w;
    w.checks.on_submitted(job, submission::refused);
    w.start(0, 0, 1);
    cr_assert_eq(w.violations(), "refused");
}

Test(soak, wrong_job_states_are_reported)
{
    checked_job w;
    w.checks.on_shown(job, pool::job_state::complete);
    cr_assert_eq(w.violations(), "mixed");
    checked_job other;
    other.checks.on_shown(job, pool::job_state::failed);
    cr_assert_eq(other.violations(), "lost");
    checked_job third;
    third.checks.on_shown(job, pool::job_state::cancelled);
    cr_assert_eq(third.violations(), "lost");
    cr_assert_eq(third.checks.accepted(), 1);
}

Test(soak, equal_seeds_draw_equal_faults)
{
    const std::vector<planned_fault> first = draw_faults(7, millis(20000), millis(600));
    const std::vector<planned_fault> second = draw_faults(7, millis(20000), millis(600));
    cr_assert_eq(first.size(), second.size());
    cr_assert_gt(first.size(), 20);
    for (std::size_t i = 0; i < first.size(); ++i) {
        cr_assert_eq(first[i].at.count(), second[i].at.count());
        cr_assert_eq(first[i].target, second[i].target);
        cr_assert(!name_of(first[i].kind).empty());
    }
}

Test(soak, each_pair_has_a_fault_of_the_leader_near_another_one)
{
    constexpr millis period{5000};
    const std::vector<planned_fault> pairs = draw_pairs(7, millis(60000), period);
    cr_assert_eq(pairs.size(), 24);
    std::set<fault_kind> kinds;
    for (std::size_t i = 0; i < pairs.size(); i += 2) {
        cr_assert(pairs[i].kind != pairs[i + 1].kind);
        cr_assert_geq(pairs[i + 1].at.count(), pairs[i].at.count());
        cr_assert_leq((pairs[i + 1].at - pairs[i].at).count(), period.count());
        kinds.insert({pairs[i].kind, pairs[i + 1].kind});
    }
    cr_assert_geq(kinds.size(), 8, "kinds vary");
    const std::vector<planned_fault> again = draw_pairs(7, millis(60000), period);
    for (std::size_t i = 0; i < pairs.size(); ++i) {
        cr_assert(again[i].kind == pairs[i].kind && again[i].at == pairs[i].at);
    }
}

Test(soak, changes_come_before_in_and_after_faults_of_all_kinds)
{
    constexpr millis period{5000};
    const std::vector<planned_fault> faults =
        draw_changes(7, period * static_cast<std::int64_t>(fault_kinds), period);
    std::set<fault_kind> kinds;
    std::size_t changes = 0;
    for (const planned_fault& f : faults) {
        kinds.insert(f.kind);
        changes += f.kind == fault_kind::configuration_changes ? 1 : 0;
    }
    cr_assert_eq(kinds.size(), fault_kinds);
    cr_assert_geq(changes, 2 * fault_kinds);
    cr_assert(
        std::is_sorted(faults.begin(), faults.end(),
                       [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; }));
}

Test(soak, a_start_on_a_draining_worker_breaks_a_promise_whatever_happened_to_other_members)
{
    time_point now = boot_clock::now();
    boot_clock::simulate(now);
    checked_job w;
    w.checks.set_leader_check([] { return true; });
    w.checks.on_fault(); // of a member that doesn't lead
    w.checks.on_draining("w1");
    boot_clock::simulate(now += promise_bounds{}.drain_limit / 2);
    w.start(0, 0, 1);
    cr_assert(w.violations().empty());
    boot_clock::simulate(now += promise_bounds{}.drain_limit / 2 + millis(50));
    w.start(0, 1, 1);
    cr_assert(w.violations() == "drain");
}

Test(soak, a_faulty_leader_excuses_a_start_on_a_draining_worker)
{
    checked_job w;
    w.checks.set_leader_check([] { return false; });
    w.checks.on_draining("w1");
    std::this_thread::sleep_for(promise_bounds{}.drain_limit + millis(50));
    w.start(0, 0, 1);
    cr_assert(w.violations().empty());
}
