// Guards against answers by a member that no longer knows whether it leads.

#include <criterion/criterion.h>

#include "fake_log.h"
#include "pool_fixture.h"
#include "sesamesill/pool_member.h"
#include "sesamesill/rpc.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

class no_workers : public worker_gateway {
public:
    void start(const start_order&, millis, order_done) override {}
    void stop(const stop_order&, millis, order_done) override {}
    void poll(const poll_order&, millis, poll_done) override {}
};

class no_advisor : public advisor {
public:
    void advise(const std::string&, const std::vector<std::string>&, millis,
                std::function<void(advice_answer)>) override
    {
    }
};

member_settings settings_of(const std::string& name, std::uint16_t port)
{
    const endpoint address{"127.0.0.1", port};
    return {name, "d1", address, address, 1, {}};
}

} // namespace

Test(pool_member, a_leader_that_may_have_been_replaced_does_not_say_that_a_job_is_unknown)
{
    constexpr std::uint16_t port = 28471;
    constexpr millis last_store{500};
    constexpr millis confirmed_by_store{2500}; ///< after the last stored record
    event_loop loop;
    fake_log log(loop);
    no_workers workers;
    no_advisor advice;
    http_client peer(loop, "m2", 1);
    member m(loop, settings_of("m1", port), log, workers, advice);
    error why;
    cr_assert(m.start(why), "%s", why.reason.c_str());
    m.configure(config_of());
    const auto ask = [&m](lookup& answer) {
        m.state_of("00000000000000aa", millis(100),
                   [&answer](const state_answer& a) { answer = a.found; });
    };
    loop.after(millis(400), [&] { // another member is known, and will send nothing later
        cr_assert(m.is_leader());
        Json::Value params;
        params["name"] = "m2";
        params["address"] = "127.0.0.1:9";
        params["fence"] = 1;
        call_rpc(peer, {"127.0.0.1", port}, "heartbeat", params, millis(200),
                 [](const std::optional<Json::Value>& answer, const error&) {
                     cr_assert(answer.has_value());
                 });
    });
    lookup confirmed = lookup::unavailable;
    loop.after(last_store, [&] {
        ask(confirmed);
        log.faults = std::deque<fake_log::fault>(1000, fake_log::fault::refused);
    });
    lookup unconfirmed = lookup::not_known;
    int waiting_answers = 0;
    loop.after(last_store + confirmed_by_store + millis(300), [&] {
        ask(unconfirmed);
        m.waiting_in("holds", millis(100), [&](const waiting_answer& a) {
            waiting_answers += a.found == lookup::found ? 1 : 0;
        });
    });
    loop.after(last_store + confirmed_by_store + millis(500), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(confirmed, lookup::not_known);
    cr_assert_eq(unconfirmed, lookup::unavailable);
    cr_assert_eq(waiting_answers, 0);
}
