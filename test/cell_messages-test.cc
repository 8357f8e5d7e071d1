// Guards against JSON of views and heartbeats that loses a value on a round trip, and against
// invalid messages that are accepted.

#include "cell_messages.h"

#include <criterion/criterion.h>

#include "sesamesill/rpc.h"

using namespace sesamesill;

namespace {

heartbeat sample_heartbeat()
{
    heartbeat h;
    h.from = {"e1", 42, {"10.0.0.1", 7100}, {"10.0.0.1", 7101}};
    h.epoch = 7;
    h.drained_epoch = 6;
    h.closed_epoch = 5;
    h.grant_ages = "A-";
    h.log_age = millis(120);
    h.views.push_back({7, 3, millis(1500), millis(60000), {h.from}});
    return h;
}

} // namespace

Test(cell_messages, heartbeat_round_trips)
{
    error why;
    const std::optional<heartbeat> h =
        heartbeat_from(to_json(sample_heartbeat(), "production"), "production", why);
    cr_assert(h.has_value());
    cr_assert(h->from == sample_heartbeat().from);
    cr_assert(h->grant_ages == "A-" && h->epoch == 7 && h->drained_epoch == 6 &&
              h->closed_epoch == 5);
    cr_assert(h->log_age == millis(120));
    cr_assert(h->views.size() == 1 && h->views[0].base == 3 && h->views[0].epoch == 7);
}

Test(cell_messages, invalid_heartbeats_are_rejected_with_a_reason)
{
    const Json::Value valid = to_json(sample_heartbeat(), "production");
    error why;
    cr_assert_not(heartbeat_from(valid, "trial", why).has_value());
    cr_assert(why.reason == "heartbeat is not an object or its cell differs" &&
              why.where == step::membership);
    cr_assert_not(heartbeat_from(Json::Value(3), "production", why).has_value());
    for (const char* key : {"name", "incarnation", "address", "peer_address"}) {
        Json::Value invalid = valid;
        invalid[key] = Json::Value(Json::arrayValue);
        cr_assert_not(heartbeat_from(invalid, "production", why).has_value(), "%s", key);
    }
    Json::Value ahead_of_epoch = valid;
    ahead_of_epoch["settled"] = 8;
    cr_assert_not(heartbeat_from(ahead_of_epoch, "production", why).has_value());
    Json::Value views = valid;
    views["views"][0]["members"][0].removeMember("name");
    cr_assert_not(heartbeat_from(views, "production", why).has_value());
}

Test(cell_messages, view_checkpoint_round_trips)
{
    error why;
    const view_checkpoint checkpoint{9, 5, {sample_heartbeat().views}};
    const std::optional<view_checkpoint> read = view_checkpoint_from(to_json(checkpoint), why);
    cr_assert(read.has_value());
    cr_assert(read->as_of == 9 && read->closed_epoch == 5 && read->views.size() == 1);
    cr_assert_not(view_checkpoint_from(Json::Value("x"), why).has_value());
}
