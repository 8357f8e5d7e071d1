// Guards against explanations that name a cause other than the one that keeps a task waiting, or
// that count a worker twice.

#include <criterion/criterion.h>

#include "sesamesill/explain.h"

using namespace sesamesill;

namespace {

struct fixture {
    cell where;
    fairness organisations;
    work_queue queue{organisations, placement_policy{}, {}};

    fixture()
    {
        for (int i = 0; i < 6; ++i) {
            worker_entry e;
            e.name = "w" + std::to_string(i);
            e.size = {4000, 8192, 0};
            e.rack = "r" + std::to_string(i / 2);
            e.data_center = "dc0";
            where.set_state(where.put(e), worker_state::live);
        }
        where.set_state(0, worker_state::leaving);
        where.set_state(1, worker_state::out);
        allocated_task t;
        t.name = "busy";
        t.reserved = {3500, 1, 0};
        where.start(2, t);
        organisations.set_capacity(where.total());
        organisations.put({"delta", 1.0, {2000, 8192, 0}, 0.0});
    }

    ticket push(const resources& size)
    {
        waiting_work w;
        w.size = size;
        error why;
        return queue.push(w, 10, why).value_or(0);
    }
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(explain, counts_each_worker_once)
{
    fixture f;
    task_need need;
    need.size = {1000, 1, 0};
    const explanation e = explain_need(f.where, "a", need);
    cr_assert_eq(e.with_room, 3);
    cr_assert_eq(e.elsewhere.size(), 3U);
    std::int64_t sum = e.with_room;
    for (const obstacle_count& o : e.elsewhere) {
        sum += o.workers;
    }
    cr_assert_eq(sum, 6);
}

Test(explain, a_waiting_task_names_its_quota_before_room)
{
    fixture f;
    task_need need;
    need.size = {3000, 1, 0};
    explanation e =
        explain_waiting(f.where, f.queue, f.organisations, f.push(need.size), "a", need);
    cr_assert(has(e.waits_for, "the quota of organisation delta"));
    need.size = {1000, 9000, 0};
    f.organisations.put({"delta", 1.0, {9000, 99999, 0}, 0.0});
    e = explain_waiting(f.where, f.queue, f.organisations, f.push(need.size), "a", need);
    cr_assert(has(e.waits_for, "room"));
    cr_assert(has(to_string(e), "too small even when empty"));
}

Test(explain, a_placed_task_names_its_worker_and_the_reason)
{
    fixture f;
    task_need need;
    need.size = {3500, 1, 0};
    const explanation e = explain_placed(f.where, "busy", 2, need, strategy::balance);
    cr_assert(e.worker == "w2");
    cr_assert(has(to_string(e), "dc0/r1"));
    cr_assert(to_json(e)["worker"].asString() == "w2");
    cr_assert_eq(to_json(e)["elsewhere"].size(), 3U);
}
