// Guards against directory entries that are taken for more than their writer knows.

#include <criterion/criterion.h>

#include "pool_fixture.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* job = "00000000000000aa";

/// An entry of another writer, for the machine of `worker_of(id)`, where it started later.
worker_entry foreign_entry_beside(const std::string& id)
{
    worker_entry entry = worker_of("agent-" + id);
    entry.machine = worker_of(id).machine;
    entry.address.port = 81;
    entry.service = "node-agent";
    entry.start_time_ms += 60000;
    return entry;
}

bool is_lost(const scheduler& s, const std::string& id)
{
    return s.workers().at(id).lost;
}

} // namespace

Test(pool_entries, an_entry_of_another_writer_releases_no_runs_on_its_machine)
{
    // Guards against TWICE of review case 6: the worker is sound, and its task starts elsewhere.
    scheduler s = scheduler_with({"w1"});
    std::map<std::string, std::string> store;
    add_job(s, store, job_of(job, {step_of(1, 1)}), 0);
    accept_starts(s, place(s, 10), 11);
    s.list_worker(worker_of("w2"), at_ms(20));
    poll_worker(s, "w2", {}, 21);
    s.list_worker(foreign_entry_beside("w1"), at_ms(30));
    cr_assert_not(is_lost(s, "w1"));
    cr_assert_eq(place(s, 40).size(), 0, "w1 runs the task");
}

Test(pool_entries, a_worker_is_used_beside_an_entry_of_another_writer_that_was_read_first)
{
    scheduler s(1, {}, at_ms(0));
    s.configure(config_of(), at_ms(0));
    s.list_worker(foreign_entry_beside("w1"), at_ms(0));
    s.list_worker(worker_of("w1"), at_ms(1));
    cr_assert_not(is_lost(s, "w1"));
    poll_worker(s, "w1", {}, 2);
    std::map<std::string, std::string> store;
    add_job(s, store, job_of(job, {step_of(1, 1)}), 3);
    cr_assert_eq(place(s, 10).size(), 1);
}

Test(pool_entries, a_successor_learns_by_the_next_workers_entry_that_one_of_the_log_has_ended)
{
    // Guards against inherited tasks that wait for the leases of a worker that is known to be gone,
    // and against a name in the log that counts as an entry of the same service.
    for (const bool declared : {true, false}) {
        scheduler s(5, {}, at_ms(0));
        s.configure(config_of(), at_ms(0));
        worker_entry newer = worker_of("w2");
        newer.machine = worker_of("w1").machine;
        newer.start_time_ms += 5000;
        s.restore_worker("w1", named_worker_of(worker_of("w1")), at_ms(0));
        s.restore_worker("w2", named_worker_of(newer), at_ms(0));
        s.finish_restore(at_ms(0), at_ms(9000));
        cr_assert_not(is_lost(s, "w1"));
        newer.service = declared ? "places" : "";
        s.list_worker(newer, at_ms(1));
        cr_assert_eq(is_lost(s, "w1"), declared);
    }
}

Test(pool_entries, a_newer_worker_of_a_service_takes_the_machine_of_the_older_one)
{
    // The counterpart: the older worker's runs are over, whether its service is still declared or
    // the machine has moved to another declared one.
    for (const bool moved : {false, true}) {
        scheduler s = scheduler_with({"w1"});
        std::map<std::string, std::string> store;
        add_job(s, store, job_of(job, {step_of(1, 1)}), 0);
        accept_starts(s, place(s, 10), 11);
        configuration next = config_of();
        ++next.version;
        next.services = {{moved ? "reviews" : "other", false, false}};
        s.configure(next, at_ms(15));
        worker_entry newer = worker_of("w2");
        newer.machine = worker_of("w1").machine;
        newer.start_time_ms += 5000;
        newer.service = moved ? "reviews" : "places";
        s.list_worker(newer, at_ms(20));
        cr_assert(is_lost(s, "w1"));
    }
}
