// Guards against members that decide by an older version of the configuration while a newer one is
// in force: missed reads, connections and stores that don't answer, and peers that know more.

#include <memory>

#include <criterion/criterion.h>

#include "fake_log.h"
#include "pool_fixture.h"
#include "sesamesill/pool_configuration.h"
#include "sesamesill/pool_member.h"

using namespace sesamesill;
using namespace sesamesill::pool;
using namespace sesamesill::pool::testing;

namespace {

constexpr millis apply_limit{1200};
constexpr const char* key = "config";

/// A log whose waiting reads miss records that are stored meanwhile, and get no answer if `silent`.
class waiting_log : public fake_log {
public:
    explicit waiting_log(event_loop& loop) : fake_log(loop), loop_(loop) {}

    void read(std::uint64_t from, std::size_t max_bytes, millis wait, millis timeout,
              std::function<void(read_result)> done) override
    {
        ++(wait > millis(0) ? waiting_reads : other_reads);
        if (silent) {
            loop_.after(timeout, [done = std::move(done)] { done(read_result{}); });
            return;
        }
        const bool waits = from >= records.size();
        fake_log::read(from, max_bytes, wait, timeout,
                       [this, wait, waits, done = std::move(done)](const read_result& r) {
                           loop_.after(waits ? wait : millis(0), [r, done] { done(r); });
                       });
    }

    void put(std::int64_t version) { store({{key, std::to_string(version), 0}}, records.size()); }

    bool silent = false;
    int waiting_reads = 0;
    int other_reads = 0;

private:
    event_loop& loop_;
};

std::optional<configuration> decode(const std::string& value, error& /*why*/)
{
    configuration config = config_of();
    config.version = std::stoll(value);
    return config;
}

struct declared_fixture {
    event_loop loop;
    waiting_log log{loop};
    declared_configuration declared{loop, log, key, decode, {apply_limit, millis(250)}};

    declared_fixture()
    {
        log.put(1);
        declared.start();
    }

    void run(millis duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    bool confirmed()
    {
        bool result = false;
        declared.confirm([this, &result](bool fresh) {
            result = fresh;
            loop.after(millis(0), [this] { loop.stop(); });
        });
        loop.run();
        return result;
    }
};

} // namespace

Test(pool_configuration, a_version_that_a_waiting_read_misses_applies_in_time)
{
    declared_fixture f;
    f.run(millis(100));
    f.log.put(2);
    f.run(apply_limit / 2);
    cr_assert_eq(f.declared.current().version, 2);
}

Test(pool_configuration, an_absent_route_is_confirmed_by_a_read_if_the_last_one_is_old)
{
    declared_fixture f;
    f.run(millis(100));
    const int reads_before = f.log.other_reads;
    cr_assert(f.confirmed());
    cr_assert_eq(f.log.other_reads, reads_before, "fresh knowledge needs no read");
    f.log.silent = true;
    f.run(apply_limit);
    f.log.silent = false;
    f.log.put(2);
    cr_assert(f.confirmed());
    cr_assert_eq(f.declared.current().version, 2);
}

Test(pool_configuration, nothing_is_confirmed_while_the_store_does_not_answer)
{
    declared_fixture f;
    f.run(millis(100));
    f.log.silent = true;
    f.run(apply_limit);
    cr_assert_not(f.confirmed());
}

Test(pool_configuration, knowledge_is_not_fresh_while_another_member_holds_a_newer_version)
{
    declared_fixture f;
    f.run(millis(100));
    f.declared.on_told(2, "m2", std::nullopt);
    cr_assert_not(f.declared.is_fresh());
    cr_assert_not(f.declared.should_ask_peer(boot_clock::now()), "the store may bring it first");
    f.declared.adopt("2", "m2");
    cr_assert(f.declared.is_fresh());
    cr_assert_eq(f.declared.current().version, 2);
    f.declared.adopt("1", "m3");
    cr_assert_eq(f.declared.current().version, 2);
}

Test(pool_configuration, the_age_that_a_member_tells_counts_for_the_same_version_only)
{
    const time_point start = boot_clock::now();
    configuration_knowledge known;
    known.on_version(5, configuration_source::read);
    known.on_read(start);
    const time_point later = start + apply_limit;
    known.on_told(4, "m2", later, later);
    cr_assert_not(known.is_fresh(millis(100), later));
    known.on_told(5, "m2", later, later);
    cr_assert(known.is_fresh(millis(100), later));
    known.on_told(6, "m2", later, later);
    cr_assert_not(known.is_fresh(millis(100), later));
}

namespace {

class idle_workers : public worker_gateway {
public:
    void start(const start_order&, millis, order_done) override {}
    void stop(const stop_order&, millis, order_done) override {}
    void poll(const poll_order&, millis, poll_done) override {}
};

class idle_advisor : public advisor {
public:
    void advise(const std::string&, const std::vector<std::string>&, millis,
                std::function<void(advice_answer)>) override
    {
    }
};

/// A member that follows a configuration of its own log.
struct following_member {
    waiting_log log;
    idle_workers workers;
    idle_advisor advice;
    member m;
    declared_configuration declared;

    following_member(event_loop& loop, record_log& pool_log, const std::string& name,
                     std::uint16_t port)
        : log(loop), m(loop, {name, "d1", {"127.0.0.1", port}, {"127.0.0.1", port}, 1, {}},
                       pool_log, workers, advice),
          declared(loop, log, key, decode, {apply_limit, millis(250)})
    {
        log.put(1);
        error why;
        cr_assert(m.start(why), "%s", why.reason.c_str());
        m.follow(declared);
        declared.start();
    }
};

} // namespace

Test(pool_configuration, members_pass_a_version_on_to_those_that_the_store_does_not_answer)
{
    constexpr std::uint16_t first_port = 28611;
    event_loop loop;
    fake_log pool_log(loop);
    constexpr int count = 3;
    std::vector<std::unique_ptr<following_member>> members;
    members.reserve(count);
    for (int n = 0; n < count; ++n) {
        members.push_back(std::make_unique<following_member>(
            loop, pool_log, "m" + std::to_string(n), static_cast<std::uint16_t>(first_port + n)));
    }
    const auto run = [&loop](millis duration) {
        loop.after(duration, [&loop] { loop.stop(); });
        loop.run();
    };
    run(millis(1500));
    members[0]->log.put(2);
    members[1]->log.silent = true;
    members[2]->log.silent = true;
    run(apply_limit);
    for (const std::unique_ptr<following_member>& f : members) {
        cr_assert_eq(f->declared.current().version, 2);
    }
}
