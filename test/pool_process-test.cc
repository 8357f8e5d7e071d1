// Tests of what a leader knows of a worker that is restarted under its id: it belongs to one
// process and says nothing of the next one.

#include <criterion/criterion.h>

#include "worker_process.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

job_spec job_that_needs(const std::string& id, const std::string& label)
{
    step_spec step = step_of(1, 1);
    step.required_label = label;
    return job_of(id, {step});
}

/// Lets the leader read an entry of the present process, which is of another kind.
void list_as(restarting_cell& cell, const std::string& label, std::int64_t ms)
{
    worker_entry entry = worker_of("w1");
    entry.labels = {label, "r1-1"};
    entry.start_time_ms = cell.process.start_time_ms();
    cell.s.list_worker(entry, at_ms(ms));
}

} // namespace

Test(pool_process, a_task_is_not_started_by_the_labels_of_the_process_before)
{
    // Guards against a task on a worker that lacks its label: the worker was restarted as another
    // kind, and its entry is still the one of the process before.
    restarting_cell cell;
    cell.poll(5000);
    cell.restart(5010);
    cell.poll(5020);
    add_job(cell.s, cell.store, job_that_needs(first_job, "a"), 5030);
    cr_assert_eq(place(cell.s, 5040).size(), 0, "nothing is known of the new process's kind");
    list_as(cell, "b", 5300);
    cell.poll(5310);
    cr_assert_eq(place(cell.s, 5320).size(), 0, "it is of another kind");
    add_job(cell.s, cell.store, job_that_needs(second_job, "b"), 5330);
    cr_assert_eq(place(cell.s, 5340).size(), 1);
}

Test(pool_process, a_gang_is_not_placed_by_the_labels_of_the_process_before)
{
    // Guards against the same for gangs, whose workers are chosen together.
    restarting_cell cell;
    cell.poll(5000);
    cell.restart(5010);
    cell.poll(5020);
    step_spec step = step_of(2, 1, true);
    step.required_label = "a";
    add_job(cell.s, cell.store, job_of(first_job, {step}), 5030);
    cr_assert_eq(place(cell.s, 5040).size(), 0);
}

Test(pool_process, a_task_is_not_started_while_the_process_may_have_been_replaced)
{
    // Guards against the same before the new process has answered: a poll has failed, so the known
    // one may be gone.
    restarting_cell cell;
    cell.poll(5000);
    cell.poll_without_answer(5010);
    add_job(cell.s, cell.store, job_that_needs(first_job, "a"), 5320);
    cr_assert_eq(place(cell.s, 5330).size(), 0);
    cell.poll(5400);
    cr_assert_eq(place(cell.s, 5410).size(), 1, "it is still the same process");
}

Test(pool_process, a_start_is_not_repeated_to_a_process_of_another_kind)
{
    // Guards against a start whose worker was chosen by what was known of another process.
    restarting_cell cell;
    cell.poll(5000);
    add_job(cell.s, cell.store, job_that_needs(first_job, "a"), 5010);
    const std::vector<start_order> orders = place(cell.s, 5020);
    cr_assert_eq(orders.size(), 1);
    cell.restart(5030);
    cell.poll(5040);
    cell.s.on_start(orders[0], order_verdict::unknown, 0, at_ms(5150));
    cr_assert_eq(cell.s.take_starts().size(), 0);
    list_as(cell, "b", 5160);
    for (std::int64_t ms = 5200; ms < 9000; ms += 100) {
        cell.poll(ms);
        cr_assert_eq(place(cell.s, ms + 10).size(), 0);
    }
}

Test(pool_process, an_entry_of_the_process_before_does_not_count_again)
{
    // Guards against labels that return with a delayed entry, also if the time of day was set back
    // before the restart.
    for (const std::int64_t start_ms : {wall_start_ms + 5010, wall_start_ms - 5010}) {
        restarting_cell cell;
        cell.poll(5000);
        cell.process = worker_process(start_ms, 5010);
        cell.poll(5020);
        worker_entry delayed = worker_of("w1");
        delayed.revision = 7;
        cell.s.list_worker(delayed, at_ms(5030));
        cell.poll(5040);
        add_job(cell.s, cell.store, job_that_needs(first_job, "a"), 5050);
        cr_assert_eq(place(cell.s, 5060).size(), 0);
        list_as(cell, "a", 5070);
        cell.poll(5080);
        const std::vector<start_order> orders = place(cell.s, 5090);
        cr_assert_eq(orders.size(), 1, "its own entry counts");
        cell.accept(orders[0], 5095);
        delayed.revision = 8;
        cell.s.list_worker(delayed, at_ms(5100));
        cell.poll(5110);
        list_as(cell, "a", 5120);
        cell.poll(5130);
        add_job(cell.s, cell.store, job_that_needs(second_job, "a"), 5140);
        cr_assert_eq(place(cell.s, 5150).size(), 1, "the entry of the process that answers counts");
    }
}

Test(pool_process, a_worker_without_a_new_entry_keeps_its_runs_and_gets_no_new_ones)
{
    // Guards against runs that are given up because the entry of their process never comes.
    restarting_cell cell;
    cell.poll(5000);
    cell.restart(5010);
    cell.poll(5020);
    cr_assert(cell.s.take_directory_request(), "its entry is read as soon as possible");
    add_job(cell.s, cell.store, job_of(first_job, {step_of(1, 1)}), 5030);
    for (std::int64_t ms = 5100; ms < 20000; ms += 100) {
        cell.poll(ms);
        cr_assert_eq(place(cell.s, ms + 10).size(), 0);
    }
    cr_assert_not(cell.s.take_directory_request(), "once a restart");
    cr_assert_not(cell.s.workers().at("w1").lost);
}

Test(pool_process, a_drain_of_the_process_before_does_not_stop_the_runs_of_the_next_one)
{
    // Guards against runs that are stopped because the process before had announced that it leaves.
    restarting_cell cell;
    worker_entry draining = worker_of("w1");
    draining.draining = true;
    draining.revision = 1;
    cell.poll(5000);
    add_job(cell.s, cell.store, job_of(first_job, {step_of(1, 1)}), 5005);
    const std::vector<start_order> late = place(cell.s, 5005);
    cr_assert_eq(late.size(), 1);
    cell.s.list_worker(draining, at_ms(5006));
    cell.restart(5010);
    cr_assert(cell.process.start(late[0], 5012) == order_verdict::accepted);
    cell.poll(5020);
    cell.s.take_stops();
    cell.s.tick(at_ms(5100));
    cr_assert_eq(cell.s.take_stops().size(), 0);
}

Test(pool_process, failures_of_the_process_before_do_not_count_against_the_next_one)
{
    // Guards against a worker that is avoided for what ended with its former process.
    restarting_cell cell;
    cell.s.configure(config_of(std::nullopt, 1), at_ms(0));
    std::int64_t ms = 10;
    for (int n = 0; n < 3; ++n, ms += 100) {
        const std::string id = "000000000000000" + std::to_string(n);
        add_job(cell.s, cell.store, job_of(id, {step_of(1, 1)}), ms);
        const std::vector<start_order> orders = place(cell.s, ms);
        cr_assert_geq(orders.size(), 1);
        cell.accept(orders[0], ms + 1);
        cell.process.end(orders[0].task, orders[0].run, end_reason::failed);
        cell.poll(ms + 2);
    }
    cr_assert(cell.s.workers().at("w1").process.health.avoid_until > at_ms(ms));
    cell.restart(ms);
    cell.list(ms + 1);
    cell.poll(ms + 2);
    add_job(cell.s, cell.store, job_of(first_job, {step_of(1, 1)}), ms + 5);
    cr_assert_eq(place(cell.s, ms + 10).size(), 1, "the failures were of another process");
}
