// Guards against gangs that start in part, block each other, keep capacity from other work for ever
// or never start under a stream of small tasks.

#include <criterion/criterion.h>

#include "sesamesill/gang.h"

using namespace sesamesill;

namespace {

constexpr micros max_reservation = std::chrono::seconds(30);
const resources whole_worker{16000, 32768, 0};
const resources half_worker{8000, 16384, 0};

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

struct fixture {
    cell where;
    placement how{where, strategy::balance, 0.0, 1};
    gang_reservations reservations{where, how};

    explicit fixture(int workers)
    {
        reservations.set_max_reservation(max_reservation);
        for (int i = 0; i < workers; ++i) {
            worker_entry e;
            e.name = "w" + std::to_string(i);
            e.size = whole_worker;
            e.rack = "r" + std::to_string(i / 6);
            where.set_state(where.put(e), worker_state::live);
        }
    }

    bool start(worker_id w, const std::string& name, const resources& size)
    {
        allocated_task t;
        t.name = name;
        t.reserved = size;
        return where.start(w, t);
    }

    std::optional<std::vector<worker_id>> ask(const std::string& job, std::size_t tasks, int now)
    {
        return reservations.request({job, tasks, whole_worker, {}, true}, at(now));
    }
};

} // namespace

Test(gang, all_tasks_start_at_once_when_there_is_room)
{
    fixture f(4);
    const std::optional<std::vector<worker_id>> places = f.ask("a", 4, 0);
    cr_assert(places && places->size() == 4);
    cr_assert(f.where.claimed() == resources{});
    for (const worker_id w : *places) {
        cr_assert(f.start(w, "a", whole_worker));
    }
}

Test(gang, reserves_nothing_before_its_turn)
{
    fixture f(4);
    f.start(0, "busy", half_worker);
    cr_assert_not(f.ask("a", 4, 0).has_value());
    cr_assert(f.where.claimed() == half_worker);
    f.reservations.advance(at(0));
    cr_assert_eq(f.reservations.reserved(), 4U);
    for (worker_id w = 0; w < 4; ++w) {
        cr_assert_not(f.start(w, "late", half_worker), "reserved room goes to no other task");
    }
    cr_assert_not(f.ask("a", 4, 1).has_value());
    f.where.end(0, "busy");
    cr_assert(f.ask("a", 4, 1).has_value());
    cr_assert(f.where.claimed() == resources{});
}

Test(gang, two_jobs_take_turns_and_never_reserve_at_once)
{
    fixture f(4);
    f.start(0, "busy", half_worker);
    for (int now = 0; now < 60; ++now) {
        cr_assert_not(f.ask("a", 4, now).has_value());
        cr_assert_not(f.ask("b", 4, now).has_value());
        f.reservations.advance(at(now));
        cr_assert_eq(f.reservations.reserving_job(), now < 30 ? "a" : "");
    }
    f.ask("a", 4, 60);
    f.ask("b", 4, 60);
    f.reservations.advance(at(60));
    cr_assert_eq(f.reservations.reserving_job(), "b");
    f.where.end(0, "busy");
    cr_assert(f.ask("b", 4, 61).has_value());
    for (worker_id w = 0; w < 4; ++w) {
        f.start(w, "b", whole_worker);
    }
    for (worker_id w = 0; w < 4; ++w) {
        f.where.end(w, "b");
    }
    cr_assert(f.ask("a", 4, 62).has_value());
}

Test(gang, reservations_pause_for_other_work_between_turns)
{
    fixture f(2);
    f.start(0, "busy", half_worker);
    int reserving_seconds = 0;
    for (int now = 0; now < 300; ++now) {
        f.ask("a", 2, now);
        f.reservations.advance(at(now));
        reserving_seconds += f.reservations.reserved() > 0 ? 1 : 0;
    }
    cr_assert_leq(reserving_seconds, 150);
    cr_assert_gt(reserving_seconds, 0);
}

Test(gang, a_gang_starts_despite_a_stream_of_small_tasks)
{
    fixture f(4);
    std::vector<std::pair<worker_id, int>> running;
    int started_at = -1;
    for (int now = 0; now < 200 && started_at < 0; ++now) {
        for (std::size_t i = running.size(); i-- > 0;) {
            if (running[i].second <= now) {
                f.where.end(running[i].first, "s" + std::to_string(running[i].second));
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        if (now > 0 && f.ask("a", 4, now).has_value()) {
            started_at = now;
        }
        f.reservations.advance(at(now));
        for (worker_id w = 0; w < 4; ++w) {
            const int ends = now + 10 + static_cast<int>(w);
            if (f.start(w, "s" + std::to_string(ends), half_worker)) {
                running.emplace_back(w, ends);
            }
        }
    }
    cr_assert_geq(started_at, 0);
}

Test(gang, a_job_without_requests_loses_its_reservation)
{
    fixture f(2);
    f.start(0, "busy", half_worker);
    f.ask("a", 2, 0);
    f.reservations.advance(at(0));
    cr_assert_eq(f.reservations.reserved(), 2U);
    f.reservations.advance(at(6));
    cr_assert_eq(f.reservations.waiting(), 0U);
    cr_assert(f.where.claimed() == half_worker);
}

Test(gang, a_job_that_may_not_wait_is_not_queued)
{
    fixture f(2);
    f.start(0, "busy", half_worker);
    cr_assert_not(f.reservations.request({"a", 2, whole_worker, {}, false}, at(0)).has_value());
    f.reservations.advance(at(0));
    cr_assert_eq(f.reservations.waiting(), 0U);
    f.where.end(0, "busy");
    cr_assert(f.reservations.request({"a", 2, whole_worker, {}, false}, at(1)).has_value());
}
