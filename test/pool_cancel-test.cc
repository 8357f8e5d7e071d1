// Tests of cancellations that reach the leader before the submit of their job.

#include <algorithm>
#include <thread>

#include <criterion/criterion.h>

#include "lone_member.h"
#include "pool_arrival.h"
#include "pool_keys.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr const char* job = "00000000000000aa";
constexpr millis budget{1000};

/// A member that leads alone on a log, with a worker that could run the job.
template<typename Loop>
struct lone_leader_on : lone_member_on<Loop> {
    using lone_member_on<Loop>::loop;
    using lone_member_on<Loop>::log;
    using lone_member_on<Loop>::m;

    lone_leader_on(std::uint16_t port, std::vector<keyed_record> records)
        : lone_member_on<Loop>(port, std::move(records))
    {
        m.list_worker(worker_of("w1"));
    }

    void cancel_at(millis time, lookup& answer)
    {
        loop.after(time, [this, &answer] {
            cr_assert(m.is_leader());
            m.cancel(job, budget, [&answer](const state_answer& a) { answer = a.found; });
        });
    }

    void submit_at(millis time, submit_answer& answer)
    {
        loop.after(time, [this, &answer] {
            cr_assert(m.is_leader());
            m.submit(job_of(job, {step_of(1, 1)}), budget,
                     [&answer](const submit_answer& a) { answer = a; });
        });
    }

    void run_until(millis time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    bool has_record(const std::string& key) const
    {
        return std::any_of(log.records.begin(), log.records.end(),
                           [&key](const keyed_record& r) { return r.key == key; });
    }
};
using lone_leader = lone_leader_on<simulated_loop>;

} // namespace

Test(pool_cancel, a_submit_that_arrives_after_its_cancel_was_acknowledged_is_refused)
{
    // Guards against a job that runs although its client was told that there is no such job.
    lone_leader f(28811, {});
    lookup cancelled = lookup::unavailable;
    submit_answer submitted;
    f.cancel_at(millis(800), cancelled);
    f.submit_at(millis(1000), submitted);
    f.run_until(millis(1500));
    cr_assert_eq(cancelled, lookup::not_known);
    cr_assert_eq(submitted.verdict, submit_verdict::refused);
    cr_assert_gt(submitted.retry_after.count(), 0);
    cr_assert_not(f.has_record(job_key(job)));
}

Test(pool_cancel, a_later_leader_refuses_the_submit_as_well)
{
    // Guards against a successor that accepts what its predecessor's client has cancelled.
    lone_leader first(28812, {});
    lookup cancelled = lookup::unavailable;
    first.cancel_at(millis(800), cancelled);
    first.run_until(millis(1000));
    cr_assert_eq(cancelled, lookup::not_known);
    lone_leader next(28813, first.log.records);
    submit_answer submitted;
    lookup again = lookup::unavailable;
    next.submit_at(millis(4000), submitted);
    next.cancel_at(millis(4100), again);
    next.run_until(millis(5000));
    cr_assert_eq(submitted.verdict, submit_verdict::refused);
    cr_assert_eq(again, lookup::not_known, "a repeated cancel");
}

Test(pool_cancel, a_cancel_is_not_acknowledged_before_it_is_stored)
{
    // Guards against an answer that a later leader doesn't know of.
    for (const fake_log::fault fault :
         {fake_log::fault::lost_answer, fake_log::fault::lost_request, fake_log::fault::delayed,
          fake_log::fault::refused, fake_log::fault::no_answer}) {
        lone_leader f(28814, {});
        lookup cancelled = lookup::unavailable;
        bool stored = false;
        f.loop.after(millis(799), [&] { f.log.faults = std::deque<fake_log::fault>(6, fault); });
        f.loop.after(millis(800), [&] {
            f.m.cancel(job, budget, [&](const state_answer& a) {
                cancelled = a.found;
                stored = f.has_record(cancellation_key(job));
            });
        });
        f.run_until(millis(6000));
        cr_assert(cancelled != lookup::not_known || stored, "fault %d", static_cast<int>(fault));
    }
}

Test(pool_cancel, a_cancelled_id_may_be_handed_in_again_after_a_time)
{
    // Guards against an id that is refused for ever.
    std::map<std::string, std::string> store;
    const platform_bounds bounds;
    scheduler s = scheduler_with({"w1"});
    const job_spec spec = job_of(job, {step_of(1, 1)});
    cr_assert(s.remember_cancellation(job, wall_start_ms) == cancellation_state::added);
    const keyed_record record = cancellation_record(job, wall_start_ms);
    store[record.key] = record.value;
    s.on_cancellation_written(job, true);
    cr_assert(s.remember_cancellation(job, wall_start_ms + 1) == cancellation_state::stored);
    const std::int64_t kept = bounds.status_kept.count();
    const admission_answer refused = s.admit(spec, wall_start_ms + kept - 5000, at_ms(0));
    cr_assert(refused.verdict == admission::refuse);
    cr_assert_eq(refused.retry_after.count(), 5000);
    record_all(s, store, kept - 1);
    cr_assert_eq(store.count(record.key), 1);
    record_all(s, store, kept + 1);
    cr_assert_eq(store.count(record.key), 0);
    cr_assert(s.admit(spec, wall_start_ms + kept + 1, at_ms(0)).verdict == admission::accept);
}

Test(pool_cancel, a_record_that_outlived_its_time_is_removed_after_a_failed_write)
{
    // Guards against records that fill the store.
    std::map<std::string, std::string> store;
    scheduler s = scheduler_with({"w1"});
    s.restore_cancellation(job, "not json", wall_start_ms);
    store[cancellation_key(job)] = "not json";
    const std::int64_t later = platform_bounds().status_kept.count() + 1;
    s.on_batch_failed(s.take_records(wall_start_ms + later));
    record_all(s, store, later);
    cr_assert(store.empty());
}

Test(pool_cancel, cancels_of_ids_that_never_existed_do_not_fill_the_memory)
{
    // Guards against a leader that exceeds its memory by requests which anyone can send.
    scheduler s = scheduler_with({"w1"});
    const std::size_t limit = s.memory().limit();
    cancellation_state last = cancellation_state::added;
    int remembered = 0;
    for (; remembered < 1'000'000 && last == cancellation_state::added; ++remembered) {
        last = s.remember_cancellation("id-" + std::to_string(remembered), wall_start_ms);
        s.take_decisions();
    }
    cr_assert(last == cancellation_state::no_room);
    cr_assert_gt(remembered, 1000);
    cr_assert_leq(s.memory().used(), limit / 10);
    cr_assert(s.admit(job_of(job, {step_of(1, 1)}), wall_start_ms, at_ms(0)).verdict ==
              admission::accept);
    const std::int64_t later = wall_start_ms + platform_bounds().status_kept.count() + 1;
    s.take_records(later);
    cr_assert(s.remember_cancellation("later", later) == cancellation_state::added);
}

Test(pool_cancel, a_request_that_is_read_after_a_pause_may_have_arrived_during_it)
{
    // Guards against a deadline that is counted from the end of a pause.
    arrival_meter meter(at_ms(0));
    meter.on_turn(at_ms(20));
    cr_assert(meter.earliest_arrival(at_ms(30)) == at_ms(30));
    cr_assert(meter.earliest_arrival(at_ms(3500)) == at_ms(20), "read before the timer runs");
    meter.on_turn(at_ms(3501));
    cr_assert(meter.earliest_arrival(at_ms(3600)) == at_ms(20), "read soon after the pause");
    for (std::int64_t ms = 3520; ms < 4100; ms += 20) {
        meter.on_turn(at_ms(ms));
    }
    cr_assert(meter.earliest_arrival(at_ms(4110)) == at_ms(4110));
}

Test(pool_cancel, a_submit_that_waited_beyond_its_deadline_is_refused)
{
    // Guards against a member that stood still and forwards what its client gave up meanwhile.
    lone_leader_on<event_loop> f(28815, {});
    submit_answer fresh;
    submit_answer stale;
    f.submit_at(millis(700), fresh);
    f.loop.after(millis(800), [&] {
        std::this_thread::sleep_for(budget + millis(200));
        f.m.submit(job_of("00000000000000bb", {step_of(1, 1)}), budget,
                   [&stale](const submit_answer& a) { stale = a; });
    });
    f.run_until(millis(2500));
    cr_assert_eq(fresh.verdict, submit_verdict::accepted);
    cr_assert_eq(stale.verdict, submit_verdict::refused);
    cr_assert_not(f.has_record(job_key("00000000000000bb")));
}
