// A model of a worker's process on virtual time, and a leader with one such worker whose process
// can be replaced.

#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool_fixture.h"

namespace sesamesill::pool::testing {

constexpr const char* first_job = "00000000000000aa";
constexpr const char* second_job = "00000000000000bb";

/// One process of a worker, as the platform describes it. Invariant: `ends` has the ends above the
/// highest acknowledged number.
class worker_process {
public:
    worker_process(std::int64_t start_time_ms, std::int64_t started_at_ms)
        : start_time_ms_(start_time_ms), started_at_ms_(started_at_ms)
    {
    }

    std::int64_t start_time_ms() const { return start_time_ms_; }
    std::int64_t clock_ms(std::int64_t ms) const { return ms - started_at_ms_; }

    /// Returns the verdict on a start order that arrives at `ms`.
    order_verdict start(const start_order& order, std::int64_t ms)
    {
        expire(ms);
        if (!passes_fence(order.fence)) {
            return order_verdict::fenced;
        }
        if (stopped_.count({order.task, order.run}) > 0) {
            return order_verdict::superseded;
        }
        if (order.until_ms <= clock_ms(ms)) {
            return order_verdict::expired;
        }
        running_.insert({order.task, order.run});
        extend_lease(order.until_ms, ms);
        return order_verdict::accepted;
    }
    order_verdict stop(const stop_order& order)
    {
        if (!passes_fence(order.fence)) {
            return order_verdict::fenced;
        }
        stopped_.insert({order.task, order.run});
        if (running_.count({order.task, order.run}) > 0) {
            end(order.task, order.run, end_reason::stopped);
        }
        return order_verdict::accepted;
    }
    void end(const std::string& task, std::int64_t run, end_reason how)
    {
        running_.erase({task, run});
        ends_.push_back(end_of(++last_end_, task, run, how));
    }
    /// Renews the lease and drops the ends that the order acknowledges.
    order_verdict poll(const poll_order& order, std::int64_t ms)
    {
        expire(ms);
        if (!passes_fence(order.fence)) {
            return order_verdict::fenced;
        }
        ends_.erase(std::remove_if(ends_.begin(), ends_.end(),
                                   [&order](const ended_task& e) {
                                       return e.number <= order.acknowledged_end;
                                   }),
                    ends_.end());
        extend_lease(order.until_ms.value_or(0), ms);
        return order_verdict::accepted;
    }
    worker_report report(std::int64_t ms)
    {
        expire(ms);
        worker_report result;
        result.clock_ms = clock_ms(ms);
        result.start_time_ms = start_time_ms_;
        for (const std::pair<std::string, std::int64_t>& r : running_) {
            result.running.push_back({r.first, r.second, "", 10, 0});
        }
        result.ended = ends_;
        return result;
    }
    bool runs(const std::string& task, std::int64_t ms)
    {
        expire(ms);
        return std::any_of(
            running_.begin(), running_.end(),
            [&task](const std::pair<std::string, std::int64_t>& r) { return r.first == task; });
    }

private:
    bool passes_fence(std::uint64_t fence)
    {
        fence_ = std::max(fence_, fence);
        return fence >= fence_;
    }
    void extend_lease(std::int64_t until_ms, std::int64_t ms)
    {
        const std::int64_t longest = clock_ms(ms) + platform_bounds().max_lease.count();
        lease_ms_ = std::max(lease_ms_, std::min(until_ms, longest));
    }
    void expire(std::int64_t ms)
    {
        while (clock_ms(ms) > lease_ms_ && !running_.empty()) {
            const std::pair<std::string, std::int64_t> run = *running_.begin();
            end(run.first, run.second, end_reason::lease_expired);
        }
    }

    std::int64_t start_time_ms_;
    std::int64_t started_at_ms_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ms_ = 0; ///< on its clock
    std::uint64_t last_end_ = 0;
    std::vector<ended_task> ends_;
    std::set<std::pair<std::string, std::int64_t>> running_;
    std::set<std::pair<std::string, std::int64_t>> stopped_;
};

/// A leader with one worker, whose process can be replaced.
struct restarting_cell {
    scheduler s = scheduler_with({});
    std::map<std::string, std::string> store;
    worker_process process{wall_start_ms, 0};

    restarting_cell()
    {
        s.list_worker(worker_of("w1"), at_ms(0));
        poll(0);
    }
    void poll(std::int64_t ms)
    {
        const poll_order order = *s.next_poll("w1", millis(0), at_ms(ms));
        const order_verdict verdict = process.poll(order, ms);
        s.on_poll(order, at_ms(ms), verdict, process.report(ms), at_ms(ms + 1));
    }
    void poll_without_answer(std::int64_t ms)
    {
        const poll_order order = *s.next_poll("w1", millis(0), at_ms(ms));
        s.on_poll(order, at_ms(ms), order_verdict::unknown, {}, at_ms(ms + 300));
    }
    start_order start_one(const char* job, std::int64_t ms)
    {
        add_job(s, store, job_of(job, {step_of(1, 1)}), ms);
        const std::vector<start_order> orders = place(s, ms);
        cr_assert_eq(orders.size(), 1, "%zu starts", orders.size());
        return orders.front();
    }
    void accept(const start_order& order, std::int64_t ms)
    {
        const order_verdict verdict = process.start(order, ms);
        s.on_start(order, verdict, process.clock_ms(ms), at_ms(ms));
    }
    /// Lets the worker report the end of a first task, and stores it.
    void finish_first_job()
    {
        const start_order order = start_one(first_job, 10);
        accept(order, 12);
        process.end(order.task, order.run, end_reason::done);
        poll(20);
        record_all(s, store, 22);
    }
    /// Lets the leader read the entry of the present process.
    void list(std::int64_t ms)
    {
        worker_entry entry = worker_of("w1");
        entry.start_time_ms = process.start_time_ms();
        s.list_worker(entry, at_ms(ms));
    }
    void restart(std::int64_t ms) { process = worker_process(wall_start_ms + ms, ms); }
    bool is_complete(const char* job, std::int64_t ms)
    {
        record_all(s, store, ms);
        return s.visible_state(job) == job_state::complete;
    }
};

} // namespace sesamesill::pool::testing
