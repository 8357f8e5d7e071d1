// Guards against indexes and sums of a cell that no longer match its workers after a change, and
// against overcommitted workers.

#include <map>
#include <random>
#include <set>

#include <criterion/criterion.h>

#include "sesamesill/cell.h"

using namespace sesamesill;

namespace {

worker_entry entry(int number, const resources& size)
{
    worker_entry e;
    e.name = "w" + std::to_string(number);
    e.size = size;
    e.data_center = "dc" + std::to_string(number % 2);
    e.rack = "r" + std::to_string(number % 6);
    return e;
}

/// Returns the workers that the index lists for `need` and that have room; checks that buckets
/// marked `always_fits` hold no others.
std::set<worker_id> indexed_workers(const cell& c, const resources& need)
{
    std::set<worker_id> found;
    for (pool_id p = 0; p < c.pools().size(); ++p) {
        c.free().buckets(p, need, [&](const capacity_bucket& b) {
            for (worker_id w = c.free().first(b); w != capacity_index::none; w = c.free().next(w)) {
                const bool has_room = fits(need, c.at(w).room());
                cr_assert(has_room || !b.always_fits);
                if (has_room) {
                    found.insert(w);
                }
            }
            return true;
        });
    }
    return found;
}

} // namespace

Test(cell, index_lists_exactly_the_workers_with_room)
{
    std::mt19937_64 random(11);
    cell c;
    for (int i = 0; i < 40; ++i) {
        c.set_state(c.put(entry(i, {16000, 32768, i % 3})), worker_state::live);
    }
    std::vector<std::pair<worker_id, std::string>> running;
    for (int step = 0; step < 2000; ++step) {
        allocated_task t;
        t.name = "t" + std::to_string(step);
        t.reserved = {static_cast<std::int64_t>(1 + random() % 9000),
                      static_cast<std::int64_t>(1 + random() % 20000),
                      static_cast<std::int64_t>(random() % 2)};
        const worker_id w = static_cast<worker_id>(random() % 40);
        if (c.start(w, t)) {
            running.emplace_back(w, t.name);
        }
        if (!running.empty() && random() % 3 != 0) {
            c.end(running.back().first, running.back().second);
            running.pop_back();
        }
        std::set<worker_id> expected;
        for (worker_id id = 0; id < c.id_limit(); ++id) {
            if (fits(t.reserved, c.at(id).room())) {
                expected.insert(id);
            }
        }
        cr_assert(indexed_workers(c, t.reserved) == expected);
    }
}

Test(cell, larger_worker_extends_the_range_of_the_index)
{
    cell c;
    c.set_state(c.put(entry(0, {16000, 32768, 0})), worker_state::live);
    c.set_state(c.put(entry(1, {512000, 4000000, 16})), worker_state::live);
    cr_assert_eq(indexed_workers(c, {1, 1, 0}).size(), 2U);
    cr_assert_eq(indexed_workers(c, {300000, 1, 9}).size(), 1U);
}

Test(cell, removed_worker_is_gone_from_index_sums_and_names)
{
    cell c;
    const worker_id w = c.put(entry(0, {16000, 32768, 0}));
    c.set_state(w, worker_state::live);
    allocated_task t;
    t.name = "a";
    t.reserved = {1000, 1024, 0};
    c.start(w, t);
    c.remove(w);
    cr_assert(c.claimed() == resources{});
    cr_assert(c.total() == resources{});
    cr_assert(indexed_workers(c, {1, 1, 0}).empty());
    cr_assert_not(c.find("w0").has_value());
}

Test(cell, starts_never_exceed_the_size_when_tasks_use_more_than_declared)
{
    constexpr micros grace = std::chrono::seconds(3);
    constexpr int report_lag = 5;
    std::mt19937_64 random(17);
    const resources size{16000, 32768, 0};
    cell c;
    for (int i = 0; i < 8; ++i) {
        c.set_state(c.put(entry(i, size)), worker_state::live);
    }
    std::vector<std::map<std::string, std::pair<task_usage, int>>> running(8);
    int starts = 0;
    for (int now = 0; now < 2000; ++now) {
        for (worker_id w = 0; w < 8; ++w) {
            std::vector<task_usage> list;
            for (auto it = running[w].begin(); it != running[w].end();) {
                task_usage u = it->second.first;
                u.running = now - it->second.second < 30;
                u.used = now - it->second.second >= report_lag ? u.used : resources{};
                list.push_back(u);
                it = u.running ? std::next(it) : running[w].erase(it);
            }
            c.report(w, list, time_point(std::chrono::seconds(now)), grace);
        }
        const worker_id w = static_cast<worker_id>(random() % 8);
        const std::int64_t declared = static_cast<std::int64_t>(500 + random() % 4000);
        const double factor = 0.2 + static_cast<double>(random() % 480) / 100;
        allocated_task t;
        t.name = std::to_string(now);
        t.reserved = {declared, declared, 0};
        t.started = time_point(std::chrono::seconds(now));
        resources before = c.at(w).room();
        if (c.start(w, t)) {
            ++starts;
            cr_assert(fits(t.reserved, before));
            cr_assert(fits(c.at(w).claimed(), size));
            const std::int64_t used =
                static_cast<std::int64_t>(static_cast<double>(declared) * factor);
            running[w][t.name] = {{t.name, t.reserved, {used, used, 0}, true, 1}, now};
        }
    }
    cr_assert_gt(starts, 400);
}
