// Tests of routing: guards against calls to full executors or stale peers, forwarding loops, and
// unbounded or malformed load summaries.

#include <criterion/criterion.h>

#include "sesamesill/routing.h"

using namespace sesamesill;

namespace {

constexpr millis stale_after{1500};

time_point at(std::int64_t ms)
{
    return time_point(millis(ms));
}

std::optional<std::size_t> choose(const std::vector<executor_view>& all, std::mt19937_64& random)
{
    return choose_executor(
        all.size(), [&all](std::size_t i) { return all[i]; }, random);
}

load_summary offer(std::int32_t free, std::int32_t slots, std::int64_t wait_ms)
{
    load_summary load;
    load.services["s"] = {free, slots, 0, millis(wait_ms)};
    return load;
}

} // namespace

Test(routing, full_executors_are_never_chosen)
{
    std::mt19937_64 random(1);
    std::vector<executor_view> all(50, {0, 8, millis(5), 1.0});
    cr_assert_not(choose(all, random));
    cr_assert_not(choose({}, random));
    all[17].free = 1;
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(*choose(all, random), 17);
    }
}

Test(routing, slow_and_recovering_executors_get_fewer_calls)
{
    std::mt19937_64 random(1);
    std::vector<executor_view> all(4, {8, 2, millis(5), 1.0});
    all[0].latency = millis(50);
    all[1].weight = 0.125;
    int chosen[4] = {};
    for (int i = 0; i < 4000; ++i) {
        ++chosen[*choose(all, random)];
    }
    cr_assert_lt(chosen[0] + chosen[1], 1000);
    cr_assert_gt(chosen[2], 1000);
}

Test(routing, local_slots_come_first_then_one_hop)
{
    std::mt19937_64 random(1);
    peer_table peers(stale_after);
    peers.report("e2", offer(3, 8, 0), at(0));
    cr_assert(choose_route({1, 8, millis(0)}, 0, "s", peers, at(1), random).kind ==
              route_kind::local);
    const route forwarded = choose_route({0, 8, millis(9)}, 0, "s", peers, at(1), random);
    cr_assert(forwarded.kind == route_kind::peer);
    cr_assert(forwarded.peer == "e2");
    const route after_one_hop = choose_route({0, 8, millis(9)}, 1, "s", peers, at(1), random);
    cr_assert(after_one_hop.kind == route_kind::queue, "a call is forwarded at most once");
    cr_assert(choose_route({0, 0, millis(0)}, 1, "s", peers, at(1), random).kind ==
              route_kind::refuse);
}

Test(routing, forwarded_calls_occupy_slots_until_the_next_report)
{
    std::mt19937_64 random(1);
    peer_table peers(stale_after);
    peers.report("e2", offer(2, 8, 0), at(0));
    peers.on_forwarded("e2", "s");
    peers.on_forwarded("e2", "s");
    cr_assert_not(peers.choose_free("s", at(1), random));
    peers.report("e2", "s", {1, 8, 0, millis(0)}, at(2));
    cr_assert(peers.choose_free("s", at(3), random));
    cr_assert_not(peers.choose_free("s", at(1600), random), "the report is stale");
    peers.on_unreachable("e2");
    cr_assert_not(peers.choose_free("s", at(3), random));
}

Test(routing, without_free_slots_the_shortest_wait_is_chosen)
{
    std::mt19937_64 random(1);
    peer_table peers(stale_after);
    peers.report("e2", offer(0, 8, 30), at(0));
    peers.report("e3", offer(0, 8, 60), at(0));
    cr_assert(choose_route({0, 8, millis(20)}, 0, "s", peers, at(1), random).kind ==
              route_kind::queue);
    cr_assert(choose_route({0, 8, millis(50)}, 0, "s", peers, at(1), random).peer == "e2");
    cr_assert(choose_route({0, 0, millis(0)}, 0, "s", peers, at(1), random).peer == "e2");
    cr_assert(choose_route({0, 0, millis(0)}, 0, "other", peers, at(1), random).kind ==
              route_kind::refuse);
}

Test(routing, a_reported_wait_decreases_with_its_age)
{
    peer_table peers(stale_after);
    peers.report("e2", offer(0, 8, 300), at(0));
    cr_assert_eq(peers.shortest_wait("s", at(100))->second.count(), 200);
    cr_assert_eq(peers.shortest_wait("s", at(900))->second.count(), 0);
}

Test(routing, load_summaries_are_bounded_and_validated)
{
    load_summary load = offer(1, 8, 4);
    for (int i = 0; i < 500; ++i) {
        load.organisation_demand["organisation" + std::to_string(i)] = i;
    }
    const Json::Value sent = to_json(load);
    cr_assert_eq(sent["t"].size(), load_summary::max_names);
    error why;
    const std::optional<load_summary> parsed = load_from(sent, why);
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->services.at("s").slots, 8);
    cr_assert_float_eq(parsed->organisation_demand.at("organisation499"), 499.0, 0.1);
    Json::Value invalid = sent;
    invalid["s"]["s"][0] = -1;
    cr_assert_not(load_from(invalid, why));
    cr_assert(why.where == step::routing);
    cr_assert_not(load_from(Json::Value("x"), why));
    invalid = sent;
    invalid["t"]["one more"] = 1;
    cr_assert_not(load_from(invalid, why));
}
