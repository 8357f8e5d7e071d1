// Follower and writer on a log that loses answers, refuses, stores late, moves or is trimmed.
// Guards against records that are lost or stored twice, and against writes by a replaced leader.

#include <criterion/criterion.h>

#include "fake_log.h"
#include "sesamesill/pool_follower.h"
#include "sesamesill/pool_writer.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using sesamesill::pool::testing::fake_log;

namespace {

struct writer_fixture {
    testing::simulated_loop loop;
    fake_log log{loop};
    bool deposed = false;
    std::vector<write_outcome> outcomes;
    record_writer writer{loop, log, 0, [this] { deposed = true; },
                         [](const std::vector<keyed_record>&, std::uint64_t) {}};

    void add(const std::string& key)
    {
        writer.add({{key, "v", 0}}, millis(0), [this](write_outcome o) { outcomes.push_back(o); });
    }

    void run(millis duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

Test(pool_log, records_added_during_an_append_share_the_next_append)
{
    writer_fixture c;
    for (int i = 0; i < 10; ++i) {
        c.add("k" + std::to_string(i));
    }
    c.run(millis(50));
    cr_assert_eq(c.outcomes.size(), 10);
    cr_assert_eq(c.log.appends, 2);
    cr_assert_eq(c.log.records.size(), 10);
}

Test(pool_log, an_append_whose_answer_is_lost_is_stored_once)
{
    writer_fixture c;
    c.log.faults = {fake_log::fault::lost_answer};
    c.add("a");
    c.run(millis(200));
    cr_assert_eq(c.outcomes.size(), 1);
    cr_assert_eq(c.outcomes[0], write_outcome::stored);
    cr_assert_eq(c.log.records.size(), 1);
}

Test(pool_log, an_append_that_arrives_after_its_timeout_is_stored_once)
{
    writer_fixture c;
    c.log.faults = {fake_log::fault::delayed};
    c.add("a");
    c.run(millis(600));
    cr_assert_eq(c.log.records.size(), 1);
    cr_assert_eq(c.outcomes[0], write_outcome::stored);
}

Test(pool_log, a_replaced_leader_cannot_write)
{
    writer_fixture c;
    c.log.records.push_back({"leader", "another", 0});
    c.add("a");
    c.add("b");
    c.run(millis(200));
    cr_assert(c.deposed);
    cr_assert_eq(c.log.records.size(), 1);
    cr_assert_eq(c.outcomes.size(), 2);
    cr_assert_eq(c.outcomes[0], write_outcome::deposed);
    cr_assert_eq(c.outcomes[1], write_outcome::deposed);
}

Test(pool_log, a_record_that_was_not_sent_in_time_is_not_stored)
{
    writer_fixture c;
    c.log.faults = std::deque<fake_log::fault>(40, fake_log::fault::refused);
    c.add("a");
    bool expired = false;
    c.writer.add({{"b", "v", 0}}, millis(100),
                 [&](write_outcome o) { expired = o == write_outcome::not_stored; });
    c.run(millis(500));
    cr_assert(expired);
    cr_assert_gt(c.writer.failing_for(boot_clock::now()).count(), 0);
}

Test(pool_log, a_paused_writer_does_not_append)
{
    writer_fixture c;
    c.writer.pause_until(boot_clock::now() + millis(100));
    c.add("a");
    c.run(millis(50));
    cr_assert_eq(c.log.appends, 0);
    c.run(millis(150));
    cr_assert_eq(c.log.records.size(), 1);
}

Test(pool_log, a_pause_always_ends)
{
    // A timer of the loop may fire a few milliseconds early by the clock that measures the pause.
    // Without another timer, the records would wait until the next record is added.
    for (int duration = 5; duration < 30; ++duration) {
        writer_fixture c;
        c.writer.pause_until(boot_clock::now() + millis(duration));
        c.add("a");
        c.run(millis(300));
        cr_assert_eq(c.log.records.size(), 1, "a pause of %d ms", duration);
    }
}

Test(pool_log, a_follower_loads_pages_then_follows_and_reloads_after_a_trim)
{
    event_loop loop;
    fake_log log(loop);
    for (int i = 0; i < 5; ++i) {
        log.store({{"k" + std::to_string(i), "v", 0}}, log.records.size());
    }
    std::vector<std::string> removed;
    keyed_follower follower(loop, log, "test", {millis(0), millis(10)}, [&](const keyed_record& r) {
        if (r.value.empty()) {
            removed.push_back(r.key);
        }
    });
    follower.start();
    loop.after(millis(60), [&] {
        cr_assert_eq(follower.values().size(), 5);
        log.store({{"k0", "", 0}}, log.records.size());
        log.store({{"k9", "v", 0}}, log.records.size());
    });
    loop.after(millis(120), [&] {
        cr_assert_eq(follower.values().size(), 5);
        cr_assert_eq(removed.size(), 1);
        log.unavailable = true;
        log.store({{"k1", "", 0}}, log.records.size());
        log.store({{"k8", "v", 0}}, log.records.size());
        log.first_retained = log.records.size();
    });
    loop.after(millis(300), [&] { log.unavailable = false; });
    loop.after(millis(1500), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(follower.values().count("k8"), 1);
    cr_assert_eq(follower.values().count("k1"), 0, "k1 must go: it was removed during the outage");
    cr_assert_eq(removed.size(), 2);
}

Test(pool_log, a_page_without_the_records_that_the_log_has_skips_none)
{
    event_loop loop;
    fake_log log(loop);
    std::vector<std::string> seen;
    keyed_follower follower(loop, log, "log", {millis(0), millis(10)},
                            [&seen](const keyed_record& r) { seen.push_back(r.value); });
    follower.start();
    loop.after(millis(50), [&log] {
        log.hides_next_page = true;
        log.store({{"config", "v2", 0}}, 0);
    });
    loop.after(millis(150), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_eq(seen.size(), 1);
    cr_assert(seen[0] == "v2");
    cr_assert_eq(follower.next(), 1);
}

Test(pool_log, a_long_pause_that_has_begun_does_not_delay_the_reads_of_a_shorter_one)
{
    event_loop loop;
    fake_log log(loop);
    keyed_follower follower(loop, log, "test", {millis(0), millis(2000)},
                            [](const keyed_record&) {});
    follower.start();
    loop.after(millis(50), [&] {
        follower.set_timing({millis(0), millis(20)});
        follower.read_now();
    });
    loop.after(millis(150), [&] { log.store({{"k", "v", 0}}, 0); });
    loop.after(millis(400), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(follower.values().count("k"), 1);
}

Test(pool_log, a_follower_reports_once_that_its_reads_fail)
{
    event_loop loop;
    fake_log log(loop);
    int lost = 0;
    int completed_after = 0;
    keyed_follower follower(loop, log, "test", {millis(0), millis(10)}, [](const keyed_record&) {});
    follower.on_lost([&] {
        ++lost;
        loop.after(millis(450), [&] { log.unavailable = false; }); // after more failed reads
    });
    follower.on_complete([&](time_point) { completed_after += lost; });
    follower.start();
    loop.after(millis(50), [&] { log.unavailable = true; });
    loop.after(millis(1500), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(lost, 1);
    cr_assert_gt(completed_after, 0);
}

Test(pool_log, a_store_that_answers_reads_is_not_unreachable_while_appends_get_no_answer)
{
    writer_fixture c;
    c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::no_answer);
    c.add("a");
    c.run(millis(1500));
    const time_point now = boot_clock::now();
    cr_assert_gt(c.writer.failing_for(now), millis(1000));
    cr_assert_lt(c.writer.unreachable_for(now), millis(400));
    cr_assert_not(c.deposed);
}

Test(pool_log, a_store_that_answers_nothing_is_unreachable_since_the_first_append_without_answer)
{
    writer_fixture c;
    c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::no_answer);
    c.log.unavailable = true;
    c.add("a");
    c.run(millis(1500));
    cr_assert_gt(c.writer.unreachable_for(boot_clock::now()), millis(1000));
    c.log.faults.clear();
    c.log.unavailable = false;
    c.run(millis(600));
    cr_assert_eq(c.outcomes.size(), 1, "the first answered read after the outage ends the wait");
    cr_assert_eq(c.writer.unreachable_for(boot_clock::now()), millis(0));
}

Test(pool_log, appends_that_are_turned_away_at_once_count_as_rejected)
{
    writer_fixture c;
    c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::refused);
    c.add("a");
    c.run(millis(1000));
    cr_assert_gt(c.writer.rejected_for(boot_clock::now()), millis(800));
    c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::no_answer);
    c.run(millis(700));
    cr_assert_eq(c.writer.rejected_for(boot_clock::now()), millis(0), "now they time out");
    c.log.faults.clear();
    c.run(millis(1500));
    cr_assert_eq(c.outcomes.size(), 1);
}

Test(pool_log, unsent_records_are_given_up_soon_while_the_store_is_silent)
{
    writer_fixture c;
    c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::no_answer);
    c.log.unavailable = true;
    c.add("a");
    write_outcome outcome = write_outcome::unknown;
    c.loop.after(millis(50), [&] {
        c.writer.add({{"b", "v", 0}}, millis(1200), [&outcome](write_outcome o) { outcome = o; });
    });
    c.run(millis(950));
    cr_assert_eq(outcome, write_outcome::not_stored, "its client may retry after the outage");
    cr_assert_eq(c.outcomes.size(), 0, "the batch in flight may be stored");
}

Test(pool_log, a_follower_behind_a_slow_link_catches_up_instead_of_reading_the_same_page_again)
{
    testing::simulated_loop loop;
    fake_log log(loop);
    log.bytes_per_ms = 250; // 2 Mbit/s
    keyed_follower follower(loop, log, "test", {millis(0), millis(50)}, [](const keyed_record&) {});
    follower.start();
    constexpr std::size_t records = 320;
    constexpr std::size_t value_bytes = 2500;
    loop.after(millis(50), [&] { // after the load: 800 KB, 3.2 s of the link
        for (std::size_t i = 0; i < records; ++i) {
            log.store({{"k" + std::to_string(i), std::string(value_bytes, 'v'), 0}},
                      log.records.size());
        }
    });
    loop.after(millis(6000), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(follower.values().size(), records);
    cr_assert_leq(log.bytes_read, 4 * records * value_bytes, "a page that fails is not repeated");
}

Test(pool_log, records_are_stored_soon_after_an_outage_whenever_it_ends)
{
    // Guards against clients that give up while a store that is back goes unnoticed.
    for (int outage_ms = 1000; outage_ms < 1250; outage_ms += 50) {
        writer_fixture c;
        c.log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::no_answer);
        c.log.unavailable = true;
        c.add("a");
        c.run(millis(outage_ms));
        c.log.faults.clear();
        c.log.unavailable = false;
        c.run(millis(150));
        cr_assert_eq(c.outcomes.size(), 1, "after an outage of %d ms", outage_ms);
    }
}

Test(pool_log, a_standby_that_reloads_sees_changes_and_removals_but_not_each_report)
{
    testing::simulated_loop loop;
    fake_log log(loop);
    for (int i = 0; i < 5; ++i) {
        log.store({{"w" + std::to_string(i), "first", 0}}, log.records.size());
    }
    std::map<std::string, int> seen;
    int complete = 0;
    keyed_follower follower(
        loop, log, "test", {millis(0), millis(100), true},
        [&](const keyed_record& r) { ++seen[r.key + (r.value.empty() ? "-" : "")]; });
    follower.on_complete([&](time_point) { ++complete; });
    follower.start();
    loop.after(millis(50), [&] {
        for (int i = 0; i < 20; ++i) {
            log.store({{"w0", "report " + std::to_string(i), 0}}, log.records.size());
        }
        log.store({{"w4", "", 0}}, log.records.size());
    });
    loop.after(millis(400), [&] {
        cr_assert_eq(seen["w0"], 2, "the first and the last report");
        cr_assert_eq(seen["w1"], 1, "an unchanged record is not passed on again");
        cr_assert_eq(seen["w4-"], 1);
        cr_assert_geq(complete, 3);
        cr_assert_eq(log.bytes_read, 0);
        follower.set_timing({millis(0), millis(10), false}); // it becomes the leader
        log.store({{"w1", "draining", 0}}, log.records.size());
    });
    loop.after(millis(600), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(seen["w1"], 2);
}

Test(pool_log, a_record_that_the_store_never_takes_does_not_hold_up_other_records)
{
    // Guards against a cell that stores nothing any more because of one record.
    writer_fixture c;
    std::optional<write_outcome> too_large;
    c.add("a");
    c.writer.add({{"large", std::string(c.log.max_record_bytes, 'x'), 0}}, millis(0),
                 [&](write_outcome o) { too_large = o; });
    c.add("b");
    c.add("c");
    c.run(millis(900));
    cr_assert_eq(c.outcomes.size(), 3);
    for (const write_outcome o : c.outcomes) {
        cr_assert_eq(o, write_outcome::stored);
    }
    cr_assert_eq(c.log.records.size(), 3);
    cr_assert(too_large.has_value());
    cr_assert(*too_large == write_outcome::not_stored);
    cr_assert_eq(c.writer.failing_for(boot_clock::now()).count(), 0, "the store is sound");
}

Test(pool_log, many_records_that_are_added_together_are_stored_by_several_appends)
{
    // Guards against a cell that stores nothing any more: the records of all jobs that changed in
    // an outage are added together and exceed the store's limit of one append.
    constexpr std::size_t count = 40;
    writer_fixture c;
    std::vector<keyed_record> records;
    for (std::size_t i = 0; i < count; ++i) {
        records.push_back({"k" + std::to_string(i), std::string(100000, 'x'), 0});
    }
    c.writer.add(records, millis(0), [&](write_outcome o) { c.outcomes.push_back(o); });
    c.add("last");
    c.run(millis(900));
    cr_assert_eq(c.log.records.size(), count + 1);
    cr_assert_eq(c.outcomes.size(), 2);
    cr_assert_eq(c.outcomes[0], write_outcome::stored);
}

Test(pool_log, a_large_batch_whose_answer_is_lost_is_recognized_as_stored)
{
    // Guards against a leader that takes its own batch for that of a successor, because one read
    // does not return all of it.
    writer_fixture c;
    c.log.faults = {fake_log::fault::lost_answer};
    std::vector<keyed_record> records;
    for (std::size_t i = 0; i < 10; ++i) {
        records.push_back({"k" + std::to_string(i), std::string(100000, 'x'), 0});
    }
    c.log.max_read_bytes = 300000;
    c.writer.add(records, millis(0), [&](write_outcome o) { c.outcomes.push_back(o); });
    c.run(millis(900));
    cr_assert_not(c.deposed);
    cr_assert_eq(c.outcomes.size(), 1);
    cr_assert_eq(c.outcomes[0], write_outcome::stored);
    cr_assert_eq(c.log.records.size(), 10);
}
