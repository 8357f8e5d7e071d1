// Guards against placements that violate constraints or miss a worker with room, against decisions
// whose cost grows with the cell, and against packing worse than a full scan.

#include <criterion/criterion.h>

#include "sesamesill/placement.h"

using namespace sesamesill;

namespace {

constexpr std::uint32_t max_examined = 128;

void add_workers(cell& c, std::uint32_t workers)
{
    for (std::uint32_t i = 0; i < workers; ++i) {
        worker_entry e;
        e.name = "w" + std::to_string(i);
        e.size = {16000, 32768, i % 4 == 0 ? 2 : 0};
        e.rack = "r" + std::to_string(i / 6);
        e.data_center = "dc" + std::to_string(i / 6 % 4);
        e.attributes["disk"] = i % 2 == 0 ? "ssd" : "none";
        c.set_state(c.put(e), worker_state::live);
    }
}

bool start(cell& c, worker_id w, const std::string& name, const resources& size)
{
    allocated_task t;
    t.name = name;
    t.reserved = size;
    return c.start(w, t);
}

/// Returns how many tasks of a seeded mix were started before one found no worker.
int tasks_until_refusal(strategy selected, std::uint64_t seed)
{
    cell c;
    add_workers(c, 48);
    placement p(c, selected, 0.0, seed);
    std::mt19937_64 random(seed);
    for (int i = 0;; ++i) {
        const std::int64_t scale = std::int64_t{1} << random() % 4;
        task_need need;
        need.size = {500 * scale, static_cast<std::int64_t>(512 + random() % 1024) * scale, 0};
        const std::optional<placement_choice> choice = p.choose(need);
        if (!choice) {
            return i;
        }
        cr_assert(start(c, choice->worker, "t" + std::to_string(i), need.size));
    }
}

} // namespace

Test(placement, examined_workers_are_bounded_for_any_cell_size)
{
    for (const std::uint32_t workers : {48U, 480U, 4800U}) {
        cell c;
        add_workers(c, workers);
        for (const strategy selected : {strategy::best_fit, strategy::spread}) {
            placement p(c, selected, 0.5, 1);
            std::mt19937_64 random(3);
            for (std::uint32_t i = 0; i < workers * 8; ++i) {
                task_need need;
                need.size = {static_cast<std::int64_t>(1 + random() % 4000),
                             static_cast<std::int64_t>(1 + random() % 8192), 0};
                const std::optional<placement_choice> choice = p.choose(need);
                cr_assert_leq(p.examined(), max_examined);
                if (choice) {
                    start(c, choice->worker, std::string(name_of(selected)) + std::to_string(i),
                          need.size);
                }
            }
        }
    }
}

Test(placement, index_finds_the_last_worker_with_room)
{
    cell c;
    add_workers(c, 48);
    for (worker_id w = 0; w < 47; ++w) {
        start(c, w, "full", {15999, 32767, 0});
    }
    placement p(c, strategy::best_fit, 0.0, 1);
    task_need need;
    need.size = {16000, 32768, 0};
    const std::optional<placement_choice> choice = p.choose(need);
    cr_assert(choice && choice->worker == 47);
}

Test(placement, tasks_without_accelerators_prefer_workers_without_them)
{
    cell c;
    add_workers(c, 48);
    placement p(c, strategy::best_fit, 0.0, 1);
    for (int i = 0; i < 36; ++i) {
        task_need need;
        need.size = {16000, 32768, 0};
        const std::optional<placement_choice> choice = p.choose(need);
        cr_assert(choice && c.at(choice->worker).size().accelerators == 0);
        start(c, choice->worker, "t", need.size);
    }
}

Test(placement, chosen_worker_has_the_required_attributes)
{
    cell c;
    add_workers(c, 48);
    const attribute_map ssd{{"disk", "ssd"}};
    const attribute_map tape{{"disk", "tape"}};
    placement p(c, strategy::best_fit, 0.0, 1);
    task_need need;
    need.size = {1000, 1024, 0};
    need.attributes = &ssd;
    cr_assert_eq(p.choose(need)->worker % 2, 0U);
    need.attributes = &tape;
    cr_assert_not(p.choose(need).has_value());
    cr_assert_eq(p.rejections().lacking_attributes, c.pools().size());
}

Test(placement, spread_strategy_balances_data_centers_and_limits_racks)
{
    cell c;
    add_workers(c, 48);
    placement p(c, strategy::spread, 0.0, 1);
    job_spread same_job;
    task_need need;
    need.size = {1000, 1024, 0};
    need.same_job = &same_job;
    need.max_per_rack = 1;
    for (int i = 0; i < 8; ++i) {
        const std::optional<placement_choice> choice = p.choose(need);
        cr_assert(choice.has_value());
        start(c, choice->worker, "s" + std::to_string(i), need.size);
        same_job.add(c, choice->worker);
    }
    cr_assert_eq(same_job.racks.size(), 8U);
    for (const job_spread::counts::value_type& dc : same_job.data_centers) {
        cr_assert_eq(dc.second, 2);
    }
    cr_assert_not(p.choose(need).has_value());
    cr_assert_gt(p.rejections().rack_full, 0U);
}

Test(placement, affinity_and_anti_affinity_are_respected)
{
    cell c;
    add_workers(c, 48);
    job_spread other;
    other.add(c, 13);
    placement p(c, strategy::best_fit, 0.0, 1);
    task_need need;
    need.size = {1000, 1024, 0};
    need.colocate_with = &other;
    need.separate_from = &other;
    const std::optional<placement_choice> choice = p.choose(need);
    cr_assert(choice && choice->worker != 13);
    cr_assert_eq(c.rack_of(choice->worker), c.rack_of(13));
}

Test(placement, index_packs_within_five_percent_of_the_scan)
{
    int indexed = 0;
    int scanned = 0;
    int random = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        indexed += tasks_until_refusal(strategy::best_fit, seed);
        scanned += tasks_until_refusal(strategy::scan, seed);
        random += tasks_until_refusal(strategy::random, seed);
    }
    cr_assert_geq(indexed * 100, scanned * 95);
    cr_assert_geq(indexed, random);
}

Test(placement, infeasible_size_is_refused_with_the_nearest_size)
{
    cell c;
    add_workers(c, 48);
    cr_assert_not(check_feasible(c, {16000, 32768, 2}, {}).has_value());
    const std::optional<error> why = check_feasible(c, {20000, 1024, 1}, {});
    cr_assert(why && why->code == error_code::unfit);
    cr_assert(why->reason.find("16 cores, 1024 MB, 1 accelerators") != std::string::npos);
    cr_assert(check_feasible(c, {1, 1, 0}, {{"disk", "tape"}}).has_value());
    cr_assert_eq(max_task_count(c, {8000, 1024, 0}, {}), 96);
    cr_assert_eq(max_task_count(c, {1000, 1024, 1}, {}), 24);
}

Test(placement, largest_fitting_size_respects_attributes_and_size)
{
    cell c;
    add_workers(c, 48);
    worker_entry big;
    big.name = "big";
    big.size = {64000, 131072, 0};
    big.attributes["disk"] = "none";
    c.put(big);
    cr_assert(largest_fitting_size(c, {1000, 1024, 0}, {}) == big.size);
    cr_assert_eq(largest_fitting_size(c, {1000, 1024, 0}, {{"disk", "ssd"}}).cpu_millis, 16000);
    cr_assert_eq(largest_fitting_size(c, {99000, 1024, 0}, {}).cpu_millis, 99000);
}
