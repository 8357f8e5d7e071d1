// Guards against a wrong order of waiting work: ignored bands, shares, quotas or ages, large work
// that blocks small work, and unequal shares when one organisation floods the queue.

#include <random>

#include <criterion/criterion.h>

#include "sesamesill/queue.h"

using namespace sesamesill;

namespace {

constexpr std::int64_t no_limit = 1000000;

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

struct fixture {
    fairness organisations;
    placement_policy policy;
    work_queue queue{organisations, policy, {1000}};
    error why;

    explicit fixture(int count = 3)
    {
        organisations.set_capacity({100000, 100000, 0});
        for (int i = 0; i < count; ++i) {
            organisations.put({"t" + std::to_string(i), 1.0, {100000, 100000, 0}, 0.0});
        }
    }

    ticket push(organisation_id t, priority_band band, const resources& size, int arrived = 0)
    {
        waiting_work w;
        w.organisation = t;
        w.work_class = "c";
        w.band = band;
        w.size = size;
        w.arrived = at(arrived);
        return queue.push(w, no_limit, why).value_or(0);
    }

    /// Places the next task and returns its organisation.
    std::optional<organisation_id> place()
    {
        const ticket t = queue.next();
        if (t == 0) {
            return std::nullopt;
        }
        const waiting_work w = *queue.find(t);
        organisations.charge(w.organisation, w.size);
        queue.placed();
        return w.organisation;
    }
};

const resources one{1000, 1000, 0};

} // namespace

Test(queue, higher_bands_go_first_then_the_least_share)
{
    fixture f;
    f.organisations.charge_unchecked(0, {5000, 0, 0});
    f.push(0, priority_band::normal, one);
    f.push(1, priority_band::normal, one);
    f.push(2, priority_band::urgent, one);
    f.queue.begin_round(at(1));
    cr_assert_eq(*f.place(), 2U);
    cr_assert_eq(*f.place(), 1U);
    cr_assert_eq(*f.place(), 0U);
    cr_assert_not(f.place().has_value());
}

Test(queue, smaller_work_overtakes_work_that_has_no_room)
{
    fixture f;
    f.policy.waiting_weight = 0.0;
    f.queue.set_policy(f.policy);
    const ticket big = f.push(0, priority_band::normal, {50000, 50000, 0});
    const ticket also_big = f.push(1, priority_band::normal, {60000, 50000, 0});
    const ticket small = f.push(0, priority_band::normal, one);
    f.queue.begin_round(at(1));
    cr_assert_eq(f.queue.next(), big);
    f.queue.no_room();
    cr_assert_eq(f.queue.next(), small);
    f.queue.placed();
    cr_assert_eq(f.queue.next(), 0U, "next() skips sizes above one without room");
    f.queue.begin_round(at(2));
    cr_assert_neq(f.queue.next(), 0U);
    cr_assert(f.queue.find(also_big) != nullptr);
}

Test(queue, cancelled_ticket_is_never_offered_nor_reused)
{
    fixture f;
    const ticket a = f.push(0, priority_band::normal, one);
    cr_assert(f.queue.cancel(a));
    cr_assert_not(f.queue.cancel(a));
    const ticket b = f.push(0, priority_band::normal, one);
    cr_assert_neq(a, b);
    cr_assert(f.queue.find(a) == nullptr);
    f.queue.begin_round(at(1));
    cr_assert_eq(f.queue.next(), b);
    f.queue.cancel(b);
    f.queue.placed();
    cr_assert_eq(f.queue.size(), 0U);
}

Test(queue, push_fails_when_the_queue_or_the_class_is_full)
{
    fixture f;
    waiting_work w;
    w.work_class = "small";
    cr_assert(f.queue.push(w, 1, f.why).has_value());
    cr_assert_not(f.queue.push(w, 1, f.why).has_value());
    cr_assert(f.why.code == error_code::overload);
    for (int i = 0; i < 999; ++i) {
        cr_assert_neq(f.push(0, priority_band::normal, one), 0U);
    }
    cr_assert_eq(f.push(0, priority_band::normal, one), 0U);
}

Test(queue, age_raises_the_band_of_organisations_within_their_share)
{
    fixture f;
    f.organisations.charge_unchecked(0, {50000, 0, 0});
    const ticket flooding = f.push(0, priority_band::background, one, 0);
    const ticket patient = f.push(1, priority_band::background, one, 0);
    const int due = 61;
    const ticket fresh = f.push(2, priority_band::normal, one, due);
    f.organisations.charge_unchecked(2, {10000, 0, 0});
    f.queue.begin_round(at(due));
    cr_assert_eq(f.queue.next(), patient);
    f.queue.placed();
    cr_assert_eq(f.queue.next(), fresh);
    f.queue.placed();
    cr_assert_eq(f.queue.next(), flooding);
}

Test(queue, an_organisation_at_its_quota_does_not_block_others)
{
    fixture f;
    f.organisations.put({"t0", 1.0, {1000, 1000, 0}, 0.0});
    f.push(0, priority_band::high, one);
    f.push(0, priority_band::high, one);
    f.push(1, priority_band::normal, one);
    f.queue.begin_round(at(1));
    cr_assert_eq(*f.place(), 0U);
    cr_assert_eq(*f.place(), 1U);
    cr_assert_not(f.place().has_value());
}

Test(queue, shares_stay_equal_when_one_organisation_floods_the_queue)
{
    constexpr int organisations = 10;
    fixture f(organisations);
    std::mt19937_64 random(5);
    std::vector<std::pair<organisation_id, resources>> running;
    std::vector<double> given(organisations, 0.0);
    resources used;
    for (int step = 0; step < 4000; ++step) {
        const time_point now = time_point(millis(step * 20));
        for (organisation_id t = 0; t < organisations; ++t) {
            const std::int64_t scale = std::int64_t{1} << random() % 3;
            for (int i = 0; i < (t == 0 ? 5 : 1); ++i) {
                if (f.queue.size() < 900) {
                    waiting_work w;
                    w.organisation = t;
                    w.work_class = std::to_string(t);
                    w.size = {500 * scale, 400 * scale, 0};
                    w.arrived = now;
                    f.queue.push(w, 90, f.why);
                }
            }
        }
        for (int i = 0; i < 8 && !running.empty(); ++i) {
            const std::size_t ended_task = random() % running.size();
            f.organisations.refund(running[ended_task].first, running[ended_task].second);
            f.queue.share_changed(running[ended_task].first);
            used -= running[ended_task].second;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended_task));
        }
        f.queue.begin_round(now);
        for (ticket t = f.queue.next(); t != 0; t = f.queue.next()) {
            const waiting_work w = *f.queue.find(t);
            if (!fits(used + w.size, {100000, 100000, 0})) {
                f.queue.no_room();
                continue;
            }
            used += w.size;
            f.organisations.charge(w.organisation, w.size);
            running.emplace_back(w.organisation, w.size);
            given[w.organisation] += static_cast<double>(w.size.cpu_millis);
            f.queue.placed();
        }
    }
    cr_assert_geq(jain_index(given), 0.98);
}
