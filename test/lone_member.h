// A member without other members, and stand-ins for what it reaches.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "fake_log.h"
#include "pool_fixture.h"
#include "sesamesill/pool_member.h"

namespace sesamesill::pool::testing {

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

inline member_settings settings_of(const std::string& name, std::uint16_t port)
{
    const endpoint address{"127.0.0.1", port};
    return {name, "d1", address, address, 1, {}};
}

/// A member on `port` without other members, and what it reaches.
template<typename Loop>
struct lone_member_on {
    Loop loop;
    fake_log log{loop};
    no_workers workers;
    no_advisor advice;
    member m;

    explicit lone_member_on(std::uint16_t port, std::vector<keyed_record> records = {})
        : m(loop, settings_of("m1", port), log, workers, advice)
    {
        log.records = std::move(records);
        error why;
        cr_assert(m.start(why), "%s", why.reason.c_str());
        m.configure(config_of());
    }
};
using lone_member = lone_member_on<event_loop>;

} // namespace sesamesill::pool::testing
