// Tests of the job queue of an owner. They guard against organisations that exceed their quota,
// split gangs, and queue entries that differ from the jobs.

#include <vector>

#include <criterion/criterion.h>

#include "job_queue.h"

using namespace sesamesill;

namespace {

using verdict = job_queue::verdict;

struct fixture {
    job_queue queue;
    environment document;
    time_point now;

    fixture()
    {
        document.organisations["delta"] = {"delta", 1.0, {8000, 8192, 0}, 0.0};
        class_policy batch;
        batch.name = "review";
        batch.kind = work_kind::batch;
        batch.queue_limit = 2;
        class_policy gang = batch;
        gang.name = "cohort";
        gang.kind = work_kind::gang;
        document.classes = {{"review", batch}, {"cohort", gang}};
        queue.set_document(document);
        queue.set_capacity({100000, 100000, 0});
    }

    static submission job(const std::string& work_class, std::int64_t tasks)
    {
        submission s;
        s.organisation = "delta";
        s.work_class = work_class;
        s.kind = work_class == "cohort" ? work_kind::gang : work_kind::batch;
        s.tasks = tasks;
        s.size = {1000, 1024, 0};
        return s;
    }

    std::vector<std::string> round(verdict answer)
    {
        std::vector<std::string> offered;
        queue.round(now, 100, [&offered, answer](const job_queue::offer& o) {
            offered.push_back(o.job);
            return job_queue::answer{answer, o.job == "g" || o.job == "h" ? o.max_tasks : 1};
        });
        return offered;
    }
};

} // namespace

Test(job_queue, offers_each_task_until_the_quota_is_used)
{
    fixture f;
    f.queue.add("a", fixture::job("review", 10), 10, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 8U);
    f.queue.refund(fixture::job("review", 1));
    cr_assert_eq(f.round(verdict::placed).size(), 1U);
    cr_assert_eq(f.queue.size(), 1U);
}

Test(job_queue, gang_is_offered_once_and_charged_for_all_tasks)
{
    fixture f;
    f.queue.add("g", fixture::job("cohort", 6), 6, f.now);
    cr_assert_eq(f.round(verdict::no_room).size(), 1U);
    cr_assert_eq(f.round(verdict::placed).size(), 1U);
    f.queue.add("h", fixture::job("cohort", 6), 6, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 0U, "six of eight are used");
    cr_assert_eq(f.queue.running()["delta"][0].asInt64(), 6000);
}

Test(job_queue, refuses_jobs_that_can_never_run_and_jobs_above_the_queue_limit)
{
    fixture f;
    cr_assert(f.queue.refusal(fixture::job("cohort", 9))->code == error_code::unfit);
    cr_assert_not(f.queue.refusal(fixture::job("review", 9)).has_value());
    f.queue.add("a", fixture::job("review", 1), 1, f.now);
    f.queue.add("b", fixture::job("review", 1), 1, f.now);
    cr_assert(f.queue.refusal(fixture::job("review", 1))->code == error_code::overload);
    f.queue.cancel("a");
    cr_assert_not(f.queue.refusal(fixture::job("review", 1)).has_value());
}

Test(job_queue, returned_task_can_be_queued_and_offered_again)
{
    fixture f;
    f.queue.add("a", fixture::job("review", 2), 2, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 2U);
    f.queue.refund(fixture::job("review", 2));
    f.queue.add("a", fixture::job("review", 2), 1, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 1U);
}

Test(job_queue, tasks_running_at_peers_count_against_the_quota)
{
    fixture f;
    job_queue peer;
    peer.set_document(f.document);
    peer.set_running({{"delta", {5000, 5120, 0}}});
    f.queue.handle_running("e2", peer.running());
    f.queue.add("a", fixture::job("review", 10), 10, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 3U);
    f.queue.keep_peers({"e3"});
    cr_assert_eq(f.round(verdict::placed).size(), 5U);
}

Test(job_queue, one_offer_has_no_more_tasks_than_the_quota_allows)
{
    fixture f;
    f.queue.add("a", fixture::job("review", 30), 30, f.now);
    std::int64_t sent = 0;
    f.queue.round(f.now, 100, [&sent](const job_queue::offer& o) {
        sent += o.max_tasks;
        return job_queue::answer{verdict::placed, o.max_tasks};
    });
    cr_assert_eq(sent, 8);
}

Test(job_queue, follows_updates_of_waiting_and_running_tasks)
{
    fixture f;
    f.queue.set_waiting("a", fixture::job("review", 9), 9, f.now);
    f.queue.set_waiting("b", fixture::job("review", 1), 1, f.now);
    f.queue.set_running({{"delta", {7000, 7168, 0}}});
    cr_assert_eq(f.round(verdict::placed).size(), 1U);
    f.queue.set_waiting("a", fixture::job("review", 9), 0, f.now);
    f.queue.keep_jobs({});
    cr_assert_eq(f.queue.size(), 0U);
    f.queue.set_running({});
    f.queue.set_waiting("a", fixture::job("review", 9), 2, f.now);
    cr_assert_eq(f.round(verdict::placed).size(), 2U);
}
