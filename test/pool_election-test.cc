// When a member claims the lead, and when it holds back.

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

Test(pool_election, a_leader_survives_its_record)
{
    const leader_record leader = leader_of("i1", 8);
    const std::optional<leader_record> read = leader_from(encode(leader), 7);
    cr_assert(read.has_value());
    cr_assert_eq(read->fence, 8, "the offset plus one");
    cr_assert(read->address == leader.address);
    cr_assert_not(leader_from("[]", 7).has_value());
    cr_assert_not(leader_from("garbage", 7).has_value());
}

Test(pool_election, without_a_leader_members_claim_one_after_the_other)
{
    const election first("i1", millis(0), at_ms(0));
    const election second("i2", millis(80), at_ms(0));
    cr_assert(first.should_claim(at_ms(1)));
    cr_assert_not(second.should_claim(at_ms(50)));
    cr_assert(second.should_claim(at_ms(81)));
}

Test(pool_election, a_silent_leader_is_suspected_within_the_limit_and_not_before)
{
    election e("i2", millis(50), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_contact(at_ms(1000));
    cr_assert_not(e.should_claim(at_ms(1600)));
    cr_assert(e.should_claim(at_ms(1701)));
}

Test(pool_election, records_in_the_log_are_a_sign_of_life)
{
    // A member cut off from the leader alone must not take the lead from it.
    election e("i2", millis(0), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    for (int ms = 100; ms < 5000; ms += 250) {
        e.on_log_record(at_ms(ms));
        cr_assert_not(e.should_claim(at_ms(ms + 240)));
    }
}

Test(pool_election, a_closed_port_is_suspected_at_once)
{
    election e("i2", millis(20), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_leader_gone(at_ms(100));
    cr_assert_not(e.should_claim(at_ms(110)));
    cr_assert(e.should_claim(at_ms(121)));
    e.on_leader(leader_of("i3", 9), at_ms(122));
    cr_assert_not(e.should_claim(at_ms(130)), "somebody else was first");
}

Test(pool_election, a_nominated_member_claims_and_a_leader_does_not)
{
    election e("i2", millis(90), at_ms(0));
    e.on_leader(leader_of("i1", 1), at_ms(0));
    e.on_nominated(at_ms(10));
    cr_assert(e.should_claim(at_ms(10)));
    e.on_leader(leader_of("i2", 5), at_ms(20));
    cr_assert(e.is_own());
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

Test(pool_election, a_successor_has_read_the_store_since_it_failed_here)
{
    // From talitaja-graafik trouble-1: the lead went to a member that had lost the store as well.
    std::map<std::string, peer> peers{{"e2", healthy_peer(9600)}, {"e3", healthy_peer(9900)}};
    cr_assert(successor_among(peers, millis(300), at_ms(10000))->first == "e3");
    cr_assert_null(successor_among(peers, millis(50), at_ms(10000)));
    cr_assert_not_null(successor_among(peers, millis(0), at_ms(10000)));
}

Test(pool_election, a_store_that_is_slow_for_all_does_not_move_the_lead)
{
    // From incident inc-91c8: the lead moved each 0.6 s and took the requests under way with it.
    std::map<std::string, peer> peers{{"e2", healthy_peer(9900)}};
    peers["e2"].store_read_took = millis(100);
    cr_assert_null(successor_among(peers, millis(300), at_ms(10000)));
    cr_assert_not_null(successor_among(peers, millis(0), at_ms(10000)), "a planned stop goes on");
}

Test(pool_election, the_member_with_most_processor_leads_unless_it_leaves)
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
