// Simulates a cell, its queue and its organisations in virtual time. The simulation only advances
// the time, adds arriving tasks and ends running ones; the scheduler's own code makes all
// decisions.

#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cells.h"
#include "sesamesill/gang.h"
#include "sesamesill/health.h"
#include "sesamesill/placement.h"
#include "sesamesill/preemption.h"
#include "sesamesill/queue.h"

namespace bench {

struct arrival {
    organisation_id organisation = 0;
    std::string work_class;
    priority_band band = priority_band::normal;
    resources size;
    micros run_time{0};
    micros declared_run{0};
    bool preemptible = false;
    bool may_preempt = false;
};

/// Waiting times and processor time of the tasks of one class or organisation.
struct task_stats {
    std::vector<double> waits_ms; ///< from arrival to first start
    double cpu_seconds = 0.0;
};

class cell_simulation {
public:
    static constexpr int reservations_in_ageing = 8;

    cell_simulation(const workload& s, std::uint32_t workers, strategy placement_strategy,
                    const placement_policy& policy, bool fifo)
        : policy_(policy), place_(cell_, placement_strategy, policy.waiting_weight, 3),
          queue_(organisations_, policy, {400000}), fifo_(fifo)
    {
        add_workers(cell_, s, workers, 4, 0);
        reservations_.set_max_reservation(policy.reservation);
        organisations_.set_capacity(cell_.total());
    }

    cell& where() { return cell_; }
    fairness& organisations() { return organisations_; }
    work_queue& queue() { return queue_; }
    std::map<std::string, task_stats>& by_class() { return by_class_; }
    std::vector<task_stats>& by_organisation() { return by_organisation_; }
    std::int64_t preempted() const { return preempted_; }
    /// Returns the mean use of the fullest dimension since the statistics were cleared.
    double mean_use() const { return use_sum_ / static_cast<double>(use_count_); }

    void clear_stats()
    {
        by_class_.clear();
        for (task_stats& t : by_organisation_) {
            t = task_stats{};
        }
        preempted_ = 0;
        use_sum_ = 0.0;
        use_count_ = 0;
    }

    organisation_id add_organisation(const std::string& name)
    {
        by_organisation_.emplace_back();
        return organisations_.put({name, 1.0, no_quota, 0.0});
    }

    void arrive(const arrival& a, time_point now)
    {
        const std::uint64_t number = ++last_number_;
        tasks_[number] = {a, now, 0, 0};
        if (fifo_) {
            fifo_queue_.push_back(number);
            return;
        }
        push(number, now);
    }

    /// Ends the tasks that are due, then places waiting tasks.
    void advance(time_point now)
    {
        while (!ends_.empty() && ends_.top().first <= now) {
            end(ends_.top().second);
            ends_.pop();
        }
        if (fifo_) {
            place_fifo(now);
        }
        else {
            place_by_queue(now);
        }
        use_sum_ += dominant_share(cell_.claimed(), cell_.total());
        ++use_count_;
    }

private:
    struct task {
        arrival spec;
        time_point arrived;
        worker_id where = 0;
        std::int32_t attempt = 0; ///< 0 until the first start; a start and a preemption each add 1
    };

    using scheduled_end = std::pair<time_point, std::pair<std::uint64_t, std::int32_t>>;

    void push(std::uint64_t number, time_point now)
    {
        const task& t = tasks_[number];
        waiting_work w;
        w.organisation = t.spec.organisation;
        w.work_class = t.spec.work_class;
        w.band = t.spec.band;
        w.size = t.spec.size;
        w.run_time = t.spec.declared_run;
        w.arrived = now;
        w.tag = number;
        error why;
        queue_.push(w, INT64_MAX, why);
    }

    void end(const std::pair<std::uint64_t, std::int32_t>& task_attempt)
    {
        const auto found = tasks_.find(task_attempt.first);
        if (found == tasks_.end() || found->second.attempt != task_attempt.second) {
            return;
        }
        const task& t = found->second;
        cell_.end(t.where, std::to_string(task_attempt.first));
        organisations_.refund(t.spec.organisation, t.spec.size);
        queue_.share_changed(t.spec.organisation);
        tasks_.erase(found);
    }

    void start(std::uint64_t number, worker_id w, time_point now)
    {
        task& t = tasks_[number];
        allocated_task allocated;
        allocated.name = std::to_string(number);
        allocated.reserved = t.spec.size;
        allocated.band = t.spec.band;
        allocated.preemptible = t.spec.preemptible;
        allocated.listed = true;
        cell_.start(w, std::move(allocated));
        organisations_.charge_unchecked(t.spec.organisation, t.spec.size);
        t.where = w;
        ++t.attempt;
        const double wait = std::chrono::duration<double, std::milli>(now - t.arrived).count();
        if (t.attempt == 1) {
            by_class_[t.spec.work_class].waits_ms.push_back(wait);
            by_organisation_[t.spec.organisation].waits_ms.push_back(wait);
        }
        by_organisation_[t.spec.organisation].cpu_seconds +=
            static_cast<double>(t.spec.size.cpu_millis) * 1e-9 *
            static_cast<double>(t.spec.run_time.count());
        ends_.push({now + t.spec.run_time, {number, t.attempt}});
    }

    std::optional<worker_id> find_place(const arrival& a, time_point now)
    {
        task_need need;
        need.size = a.size;
        const std::optional<placement_choice> choice = place_.choose(need);
        if (choice) {
            return choice->worker;
        }
        const std::optional<eviction> victims =
            a.may_preempt ? choose_victims(cell_, a.size, a.band, {}) : std::nullopt;
        if (!victims) {
            return std::nullopt;
        }
        for (const std::string& name : victims->tasks) {
            const std::uint64_t number = std::stoull(name);
            const arrival evicted = tasks_[number].spec;
            cell_.end(victims->worker, name);
            organisations_.refund(evicted.organisation, evicted.size);
            queue_.share_changed(evicted.organisation);
            ++tasks_[number].attempt;
            ++preempted_;
            if (fifo_) {
                fifo_queue_.push_back(number);
            }
            else {
                push(number, now);
            }
        }
        return victims->worker;
    }

    void place_by_queue(time_point now)
    {
        queue_.begin_round(now);
        bool first_refusal = true;
        for (ticket t = queue_.next(); t != 0; t = queue_.next()) {
            const std::uint64_t number = queue_.find(t)->tag;
            std::optional<worker_id> w = find_place(tasks_[number].spec, now);
            if (!w && std::exchange(first_refusal, false)) {
                w = reserve(number, now);
            }
            if (!w) {
                queue_.no_room();
                continue;
            }
            start(number, *w, now);
            queue_.placed();
        }
        reservations_.advance(now);
    }

    /// Reserves room for the first task of a round that finds none, once the task has waited for
    /// `ageing / reservations_in_ageing`. Returns its worker when the room is available.
    std::optional<worker_id> reserve(std::uint64_t number, time_point now)
    {
        const task& t = tasks_[number];
        if (now - t.arrived < policy_.ageing / reservations_in_ageing) {
            return std::nullopt;
        }
        const std::optional<std::vector<worker_id>> places =
            reservations_.request({std::to_string(number), 1, t.spec.size, {}, true}, now);
        return places ? std::optional<worker_id>(places->front()) : std::nullopt;
    }

    void place_fifo(time_point now)
    {
        while (!fifo_queue_.empty()) {
            const std::uint64_t number = fifo_queue_.front();
            const std::optional<worker_id> w = find_place(tasks_[number].spec, now);
            if (!w) {
                return;
            }
            fifo_queue_.pop_front();
            start(number, *w, now);
        }
    }

    placement_policy policy_;
    cell cell_;
    placement place_;
    fairness organisations_;
    work_queue queue_;
    gang_reservations reservations_{cell_, place_};
    bool fifo_; ///< places tasks in order of arrival, without bands or shares
    std::deque<std::uint64_t> fifo_queue_;
    std::unordered_map<std::uint64_t, task> tasks_;
    std::priority_queue<scheduled_end, std::vector<scheduled_end>, std::greater<>> ends_;
    std::map<std::string, task_stats> by_class_;
    std::vector<task_stats> by_organisation_;
    std::uint64_t last_number_ = 0;
    std::int64_t preempted_ = 0;
    double use_sum_ = 0.0;
    std::int64_t use_count_ = 0;
};

} // namespace bench
