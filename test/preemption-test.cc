// Guards against evictions of tasks that are not preemptible or not of a lower band, and against
// measures on an overused worker that hit the wrong task or skip a step.

#include <criterion/criterion.h>

#include "sesamesill/preemption.h"

using namespace sesamesill;

namespace {

constexpr micros grace = std::chrono::seconds(3);

struct fixture {
    cell where;

    fixture()
    {
        for (int i = 0; i < 3; ++i) {
            worker_entry e;
            e.name = "w" + std::to_string(i);
            e.size = {4000, 8192, 0};
            where.set_state(where.put(e), worker_state::live);
        }
    }

    void start(worker_id w, const std::string& name, std::int64_t cpu, priority_band band,
               bool preemptible)
    {
        allocated_task t;
        t.name = name;
        t.reserved = {cpu, 1024, 0};
        t.band = band;
        t.preemptible = preemptible;
        cr_assert(where.start(w, t));
    }
};

} // namespace

Test(preemption, evicts_only_preemptible_tasks_of_lower_bands)
{
    fixture f;
    f.start(0, "a", 4000, priority_band::normal, false);
    f.start(1, "b", 4000, priority_band::urgent, true);
    f.start(2, "c", 3000, priority_band::normal, true);
    f.start(2, "d", 1000, priority_band::background, true);
    std::optional<eviction> e = choose_victims(f.where, {1000, 1, 0}, priority_band::urgent, {});
    cr_assert(e && e->worker == 2);
    cr_assert(e->tasks == std::vector<std::string>{"d"});
    e = choose_victims(f.where, {4000, 1, 0}, priority_band::urgent, {});
    cr_assert(e && e->tasks.size() == 2);
    cr_assert_not(choose_victims(f.where, {4000, 1, 0}, priority_band::normal, {}).has_value());
    f.where.mark_stopping(2, "c");
    f.where.mark_stopping(2, "d");
    cr_assert_not(choose_victims(f.where, {1000, 1, 0}, priority_band::urgent, {}).has_value());
}

Test(preemption, overuse_is_throttled_then_checkpointed_then_stopped)
{
    fixture f;
    f.start(0, "fair", 2000, priority_band::normal, false);
    f.start(0, "greedy", 2000, priority_band::normal, false);
    const std::vector<task_usage> list{{"fair", {2000, 1024, 0}, {1000, 512, 0}, true},
                                       {"greedy", {2000, 1024, 0}, {6000, 1024, 0}, true}};
    for (const overuse_action expected :
         {overuse_action::throttle, overuse_action::checkpoint, overuse_action::stop}) {
        f.where.report(0, list, time_point(), grace);
        const std::vector<overuse_response> steps = choose_overuse_responses(f.where.at(0));
        cr_assert_eq(steps.size(), 1U);
        cr_assert_eq(steps[0].task, "greedy");
        cr_assert(steps[0].action == expected);
        f.where.count_overuse_action(0, "greedy");
    }
    f.where.end(0, "greedy");
    cr_assert(choose_overuse_responses(f.where.at(0)).empty());
}
