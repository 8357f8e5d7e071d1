// Guards against faulty jobs that take healthy workers out, faulty workers that stay in service or
// return too fast, and too many workers out at once.

#include <map>

#include <criterion/criterion.h>

#include "sesamesill/health.h"
#include "sesamesill/placement.h"

using namespace sesamesill;

namespace {

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

health tracked_health(worker_id workers)
{
    health h(health_limits{});
    for (worker_id w = 0; w < workers; ++w) {
        h.add(w);
    }
    return h;
}

} // namespace

Test(health, a_worker_that_fails_jobs_that_succeed_elsewhere_is_taken_out)
{
    health h = tracked_health(10);
    h.ended(1, 7, false, at(0));
    h.ended(0, 7, true, at(1));
    cr_assert(h.health_state_of(0) == health_state::suspect);
    h.ended(0, 7, true, at(1));
    cr_assert(h.health_state_of(0) == health_state::out);
    cr_assert_eq(h.limit(0), 0);
}

Test(health, a_job_that_fails_everywhere_takes_no_worker_out)
{
    health h = tracked_health(10);
    for (int round = 0; round < 20; ++round) {
        for (worker_id w = 0; w < 10; ++w) {
            h.ended(w, 99, true, at(round));
        }
    }
    cr_assert(h.fails_everywhere(99));
    cr_assert_eq(h.out(), 0U);
    h.ended(4, 99, false, at(30));
    cr_assert_not(h.fails_everywhere(99));
}

Test(health, a_worker_returns_after_a_probe_with_doubling_start_limits)
{
    health h = tracked_health(10);
    h.ended(1, 7, false, at(0));
    h.ended(0, 7, true, at(0));
    h.ended(0, 7, true, at(0));
    cr_assert(h.due(at(9)).empty());
    cr_assert_eq(h.due(at(10)).size(), 1U);
    cr_assert_eq(h.limit(0), 1);
    h.ended(0, 7, true, at(11));
    cr_assert(h.health_state_of(0) == health_state::out);
    cr_assert(h.due(at(30)).empty(), "the backoff doubles after a failed probe");
    cr_assert_eq(h.due(at(31)).size(), 1U);
    for (const std::int32_t limit : {2, 4, 8}) {
        h.ended(0, 7, false, at(32));
        cr_assert_eq(h.limit(0), limit);
    }
    h.ended(0, 7, false, at(33));
    cr_assert(h.health_state_of(0) == health_state::trusted);
}

Test(health, at_most_the_allowed_ratio_of_workers_is_out)
{
    health h = tracked_health(10);
    for (worker_id w = 0; w < 10; ++w) {
        for (std::uint64_t job = 0; job < 8; ++job) {
            h.ended(w, std::uint64_t{100} * w + job, true, at(0));
        }
    }
    cr_assert_eq(h.out(), 2U);
    for (worker_id w = 0; w < 10; ++w) {
        cr_assert_leq(h.limit(w), 1);
    }
}

Test(health, few_tasks_start_on_workers_that_fail_everything)
{
    constexpr worker_id workers = 100;
    constexpr int steps = 15000;
    constexpr int starts_per_step = 3;
    cell where;
    health tracked_health = ::tracked_health(workers);
    for (worker_id w = 0; w < workers; ++w) {
        worker_entry e;
        e.name = "w" + std::to_string(w);
        e.size = {16000, 32768, 0};
        where.set_state(where.put(e), worker_state::live);
    }
    placement place(where, strategy::balance, 0.5, 1);
    std::multimap<int, std::pair<worker_id, std::string>> ends;
    int starts = 0;
    int failed_starts = 0;
    for (int step = 0; step < steps; ++step) {
        const time_point now = time_point(millis(20) * step);
        std::vector<worker_id> changed = tracked_health.due(now);
        for (auto it = ends.begin(); it != ends.end() && it->first <= step; it = ends.erase(it)) {
            const worker_id w = it->second.first;
            where.end(w, it->second.second);
            tracked_health.ended(w, std::stoull(it->second.second) / 20, w % 10 == 0, now);
            changed.push_back(w);
        }
        for (const worker_id w : changed) {
            where.set_state(w,
                            tracked_health.limit(w) == 0 ? worker_state::out : worker_state::live);
            where.set_start_limit(w, tracked_health.limit(w));
        }
        for (int i = 0; i < starts_per_step; ++i) {
            task_need need;
            need.size = {1000 + 500 * (step % 4), 2048, 0};
            const std::optional<placement_choice> choice = place.choose(need);
            if (!choice) {
                continue;
            }
            allocated_task t;
            t.name = std::to_string(++starts);
            t.reserved = need.size;
            where.start(choice->worker, t);
            const bool fails = choice->worker % 10 == 0;
            failed_starts += fails ? 1 : 0;
            ends.emplace(step + (fails ? 1 : 250 + step % 100),
                         std::make_pair(choice->worker, t.name));
        }
    }
    cr_assert_leq(failed_starts * 50, starts, "%d of %d", failed_starts, starts);
}
