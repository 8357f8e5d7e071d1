// Guards against members that claim the lead too early, too late or all at once, and against a
// successor that can't do better than the current leader.

#include <criterion/criterion.h>

#include "pool_fixture.h"
#include "sesamesill/pool_election.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

leader_record leader_of(const std::string& incarnation, std::uint64_t fence)
{
    return {"e1", incarnation, {"10.0.0.1", 7100}, fence};
}

} // namespace

Test(pool_election, a_leader_record_is_read_back_with_its_fence)
{
    const leader_record leader = leader_of("i1", 8);
    const std::optional<leader_record> read = leader_from(encode(leader), 7);
    cr_assert(read.has_value());
    cr_assert_eq(read->fence, 8, "the fence is the offset plus one");
    cr_assert(read->address == leader.address);
    cr_assert_eq(read->members, leader.members);
    cr_assert_eq(
        leader_from(R"({"name":"n","incarnation":"i","address":"127.0.0.1:1"})", 7)->members, 1,
        "older versions don't name them");
    for (const char* count : {"-5", "\"x\"", "2147483647", "1e30", "{}"}) {
        const std::optional<leader_record> odd = leader_from(
            std::string(R"({"name":"n","incarnation":"i","address":"127.0.0.1:1","members":)") +
                count + "}",
            7);
        cr_assert(odd && odd->members >= 1 && odd->members <= 10000, "%s", count);
    }
    cr_assert_not(leader_from("[]", 7).has_value());
    cr_assert_not(leader_from("garbage", 7).has_value());
}

Test(pool_election, without_a_leader_members_claim_after_their_own_delays)
{
    const election first("i1", millis(0), at_ms(0));
    const election second("i2", millis(80), at_ms(0));
    cr_assert(first.should_claim(at_ms(1)));
    cr_assert_not(second.should_claim(at_ms(50)));
    cr_assert(second.should_claim(at_ms(81)));
}

Test(pool_election, a_silent_leader_is_suspected_after_the_timeout_and_not_before)
{
    election e("i2", millis(50), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_contact(at_ms(1000));
    cr_assert_not(e.should_claim(at_ms(1600)));
    cr_assert(e.should_claim(at_ms(1701)));
}

Test(pool_election, records_in_the_log_count_as_activity_of_the_leader)
{
    // A member that can't reach the leader, but still sees its records, must not claim the lead.
    election e("i2", millis(0), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    for (int ms = 100; ms < 5000; ms += 250) {
        e.on_log_record(at_ms(ms));
        cr_assert_not(e.should_claim(at_ms(ms + 240)));
    }
}

Test(pool_election, a_leader_with_a_closed_port_is_suspected_without_the_timeout)
{
    election e("i2", millis(20), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_leader_gone(at_ms(100));
    cr_assert_not(e.should_claim(at_ms(110)));
    cr_assert(e.should_claim(at_ms(121)));
    e.on_leader(leader_of("i3", 9), at_ms(122));
    cr_assert_not(e.should_claim(at_ms(130)), "another member claimed first");
}

Test(pool_election, a_nominated_member_claims_at_once_and_the_leader_never_claims)
{
    election e("i2", millis(90), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_nominated(at_ms(10));
    cr_assert(e.should_claim(at_ms(10)));
    e.on_leader(leader_of("i2", 5), at_ms(20));
    cr_assert(e.is_own());
    e.on_lead_taken();
    cr_assert_not(e.should_claim(at_ms(99999)));
}

Test(pool_election, an_older_claim_changes_nothing)
{
    election e("i2", millis(0), at_ms(0));
    e.on_leader(leader_of("i3", 9), at_ms(0));
    e.on_leader(leader_of("i1", 4), at_ms(1));
    cr_assert_eq(e.leader()->fence, 9);
}

namespace {

peer healthy_peer(std::int64_t read_ms)
{
    peer p;
    p.heard = at_ms(10000);
    p.store_read = at_ms(read_ms);
    p.store_read_took = millis(6);
    return p;
}

} // namespace

Test(pool_election, a_successor_has_read_the_store_since_the_leaders_appends_fail)
{
    // Guards against a handover to a member that can't reach the store either (talitaja-graafik
    // trouble-1).
    std::map<std::string, peer> peers{{"e2", healthy_peer(9600)}, {"e3", healthy_peer(9900)}};
    cr_assert(successor_among(peers, millis(300), at_ms(10000))->first == "e3");
    cr_assert_null(successor_among(peers, millis(50), at_ms(10000)));
    cr_assert_not_null(successor_among(peers, millis(0), at_ms(10000)));
}

Test(pool_election, a_store_that_is_slow_for_all_does_not_move_the_lead)
{
    // Guards against a lead that moves every 0.6 s and aborts the requests in flight each time, as
    // in incident inc-91c8.
    std::map<std::string, peer> peers{{"e2", healthy_peer(9900)}};
    peers["e2"].store_read_took = millis(100);
    cr_assert_null(successor_among(peers, millis(300), at_ms(10000)));
    cr_assert_not_null(successor_among(peers, millis(0), at_ms(10000)),
                       "a planned stop still finds a successor");
}

Test(pool_election, the_live_member_with_the_largest_processor_share_succeeds_unless_it_leaves)
{
    std::map<std::string, peer> peers{{"e2", healthy_peer(9900)}, {"e3", healthy_peer(9800)}};
    peers["e2"].processor_share = 0.12;
    peers["e3"].processor_share = 0.5;
    cr_assert(successor_among(peers, millis(0), at_ms(10000))->first == "e3");
    peers["e3"].leaving = true;
    cr_assert(successor_among(peers, millis(0), at_ms(10000))->first == "e2");
    peers["e2"].heard = at_ms(8000);
    cr_assert_null(successor_among(peers, millis(0), at_ms(10000)));
}

Test(pool_election, a_leader_that_is_slow_to_accept_connections_keeps_the_lead_while_it_writes)
{
    // Guards against a busy leader that loses the lead to each member whose connection is late.
    election e("i2", millis(0), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    for (int ms = 100; ms < 5000; ms += 300) {
        e.on_leader_unreachable(at_ms(ms));
        e.on_log_record(at_ms(ms));
        cr_assert_not(e.should_claim(at_ms(ms + 290)));
    }
}

Test(pool_election, a_leader_that_accepts_no_connection_and_writes_nothing_is_replaced_early)
{
    election e("i2", millis(50), at_ms(0));
    e.set_silence_timeout(millis(2000));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_log_record(at_ms(100));
    e.on_leader_unreachable(at_ms(500));
    cr_assert_not(e.should_claim(at_ms(500)));
    cr_assert(e.should_claim(at_ms(601)));
    e.on_contact(at_ms(610));
    cr_assert_not(e.should_claim(at_ms(1200)));
}

Test(pool_election, a_claim_that_got_no_answer_is_repeated_after_a_pause)
{
    // Guards against a lone member that reads its own claim in the log and takes it for its lead.
    election e("i1", millis(0), at_ms(0));
    e.on_claim_failed(at_ms(100));
    e.on_leader(leader_of("i1", 7), at_ms(110));
    cr_assert_not(e.has_live_leader(at_ms(120)));
    cr_assert_not(e.should_claim(at_ms(390)));
    cr_assert(e.should_claim(at_ms(401)));
    e.on_lead_taken();
    cr_assert(e.has_live_leader(at_ms(402)));
    cr_assert_not(e.should_claim(at_ms(9000)));
    e.on_lead_lost(at_ms(9000));
    cr_assert_not(e.should_claim(at_ms(9200)), "the successor's record comes first");
    cr_assert(e.should_claim(at_ms(9301)));
}
