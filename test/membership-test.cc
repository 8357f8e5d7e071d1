// Guards against members that are considered dead or delisted too early, views that change once per
// member instead of once per group, and probes beyond the budget.

#include "sesamesill/membership.h"

#include <criterion/criterion.h>

#include "cell_messages.h"
#include "sesamesill/rpc.h"

using namespace sesamesill;

namespace {

const time_point start = time_point(std::chrono::hours(1));

member make_member(const std::string& name, std::uint64_t incarnation)
{
    return {name, incarnation, {"10.0.0.1", 7100}, {"10.0.0.1", 7101}};
}

membership new_membership()
{
    membership m(make_member("e1", 1), membership_settings{}, 1);
    m.advance(start);
    return m;
}

/// Calls `advance` in steps that are shorter than the pause limit.
void advance_in_steps(membership& m, time_point from, millis length)
{
    for (millis t{0}; t <= length; t += millis(100)) {
        m.advance(from + t);
    }
}

} // namespace

Test(membership, suspects_before_dead)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    advance_in_steps(m, start, millis(2100));
    cr_assert(m.state_of("e2", 5, start + millis(900)) == liveness::alive);
    cr_assert(m.state_of("e2", 5, start + millis(1100)) == liveness::suspect);
    cr_assert(m.state_of("e2", 5, start + millis(2100)) == liveness::dead);
    cr_assert(m.state_of("e3", 1, start) == liveness::unknown);
}

Test(membership, a_report_of_a_peer_keeps_a_member_alive)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    advance_in_steps(m, start, millis(2500));
    m.record_alive(make_member("e2", 5), start + millis(2000));
    cr_assert(m.state_of("e2", 5, start + millis(2500)) == liveness::alive);
}

Test(membership, a_newer_incarnation_replaces_the_older)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    m.heard(make_member("e2", 6), start);
    cr_assert(m.state_of("e2", 5, start) == liveness::dead);
    m.heard(make_member("e2", 5), start + millis(10));
    cr_assert(m.state_of("e2", 6, start) == liveness::alive,
              "a message of an older incarnation has no effect");
}

Test(membership, a_pause_of_this_process_marks_no_member_dead)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    const time_point thawed = start + std::chrono::minutes(1);
    m.advance(thawed);
    cr_assert(m.state_of("e2", 5, thawed) != liveness::dead);
    advance_in_steps(m, thawed, millis(2500));
    cr_assert(m.state_of("e2", 5, thawed + millis(2500)) == liveness::dead);
}

Test(membership, members_heard_within_the_join_delay_join_together)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    m.heard(make_member("e3", 5), start + millis(200));
    cr_assert_eq(m.next_members({}, start + millis(350)).size(), 1);
    m.heard(make_member("e2", 5), start + millis(400));
    cr_assert_eq(m.next_members({}, start + millis(550)).size(), 3);
}

Test(membership, a_member_once_dead_returns_after_the_return_delay)
{
    membership m = new_membership();
    const time_point returned_at = start + millis(3000);
    m.heard(make_member("e2", 5), start);
    advance_in_steps(m, start, millis(3000));
    m.heard(make_member("e2", 5), returned_at);
    advance_in_steps(m, returned_at, millis(500));
    cr_assert_eq(m.next_members({}, returned_at + millis(500)).size(), 1);
    for (millis t{500}; t <= millis(5100); t += millis(100)) {
        m.heard(make_member("e2", 5), returned_at + t);
        m.advance(returned_at + t);
    }
    cr_assert_eq(m.next_members({}, returned_at + millis(5100)).size(), 2);
}

Test(membership, a_silent_name_that_leaves_the_list_is_delisted)
{
    membership m = new_membership();
    m.heard(make_member("e2", 5), start);
    m.listed({make_member("e2", 0)}, start);
    m.listed({}, start + millis(1000));
    advance_in_steps(m, start, millis(4000));
    cr_assert_not(m.delisted("e2", millis(2000), start + millis(2500)));
    cr_assert(m.delisted("e2", millis(2000), start + millis(3000)));
    m.heard(make_member("e2", 5), start + millis(3500));
    cr_assert_not(m.delisted("e2", millis(2000), start + millis(4000)));
}

// Guards against treating a new VM as delisted because the VM list shows it late, as seed 689 of
// the ownership model did.
Test(membership, a_name_never_listed_is_delisted_only_after_the_list_lag)
{
    membership m = new_membership();
    m.listed({}, start);
    m.heard(make_member("e2", 5), start);
    advance_in_steps(m, start, millis(10000));
    cr_assert_not(m.delisted("e2", millis(2000), start + millis(10000)));
    cr_assert(m.delisted("e2", millis(2000), start + membership_settings{}.list_lag));
}

namespace {

/// Returns the size in bytes of a message in a cell of `size` members, with HTTP and JSON-RPC
/// framing.
std::int64_t message_bytes(int size)
{
    constexpr std::int64_t frame_bytes = 175;
    heartbeat h;
    h.from = {
        "entry-vm-1", 1796366178032000000, {"10.100.100.100", 7100}, {"10.100.100.100", 7101}};
    h.epoch = h.drained_epoch = h.closed_epoch = 123456789;
    h.grant_ages = std::string(static_cast<std::size_t>(size), 'A');
    h.log_age = millis(1234);
    return static_cast<std::int64_t>(to_text(to_json(h, "production")).size()) + frame_bytes;
}

} // namespace

Test(membership, probes_stay_within_the_byte_budget_at_every_cell_size)
{
    for (const int size : {3, 6, 12, 24, 60, 300}) {
        membership m = new_membership();
        for (int i = 2; i <= size; ++i) {
            m.heard(make_member("e" + std::to_string(i), 1), start);
        }
        std::int64_t probes = 0;
        for (millis t{0}; t < millis(60000); t += millis(20)) {
            m.advance(start + t);
            for (int i = 2; i <= size; ++i) {
                m.heard(make_member("e" + std::to_string(i), 1), start + t);
            }
            probes += m.next_probe(start + t) ? 1 : 0;
        }
        // Each probe has a request and an answer, and peers start as many probes as this member.
        const std::int64_t bytes = probes * 4 * message_bytes(size) / 60;
        cr_assert_lt(bytes, 6000, "%lld bytes per second with %d members",
                     static_cast<long long>(bytes), size);
        cr_assert_gt(probes, 60);
    }
}

Test(membership, each_peer_is_probed_in_a_pass)
{
    membership m = new_membership();
    for (int i = 2; i <= 7; ++i) {
        m.heard(make_member("e" + std::to_string(i), 1), start);
    }
    std::map<std::string, int> times;
    for (millis t{0}; t < millis(1000) * 20; t += millis(20)) {
        m.advance(start + t);
        for (int i = 2; i <= 7; ++i) {
            m.heard(make_member("e" + std::to_string(i), 1), start + t);
        }
        const std::optional<member> chosen = m.next_probe(start + t);
        if (chosen) {
            ++times[chosen->name];
        }
    }
    cr_assert_eq(times.size(), 6);
    for (const std::pair<const std::string, int>& entry : times) {
        cr_assert_geq(entry.second, 7, "%s", entry.first.c_str());
    }
}
