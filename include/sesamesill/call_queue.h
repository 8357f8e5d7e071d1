// Bounded queue of calls that wait for a slot. Classes share the slots by weight, and so do the
// organisations within a class.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"

namespace sesamesill {

/// Start-time fair queueing over named flows: serves the active flow that has received the least
/// service relative to its weight.
class fair_order {
public:
    void activate(const std::string& flow);
    void deactivate(const std::string& flow);
    /// Returns the flow to serve next, or a null pointer if no flow is active.
    const std::string* next() const;
    /// Records that one call of `flow` was served.
    void charge(const std::string& flow, double weight);

private:
    std::map<std::string, double> finish_;            ///< virtual finish time of each known flow
    std::set<std::pair<double, std::string>> active_; ///< ordered by finish time
    double now_ = 0.0; ///< virtual time: latest finish time that was served
};

struct waiting_call {
    std::uint64_t id = 0;
    std::string organisation;
    std::string work_class;
    time_point deadline;
};

/// Returns the weight of a class of this priority: four times the weight of the band below.
double class_weight(priority_band band);

class call_queue {
public:
    /// Adds or changes a class; `limit` is the largest number of its calls that may wait.
    void set_class(const std::string& name, priority_band band, std::size_t limit);
    void set_organisation(const std::string& name, double weight);

    /// Adds a call; returns false if its class is full.
    bool push(const waiting_call& call);
    /// Removes the next call in fair order and returns its id, or nothing if the queue is empty.
    std::optional<std::uint64_t> pop();
    /// Removes the calls whose deadline has passed and returns their ids.
    std::vector<std::uint64_t> take_expired(time_point now);

    std::size_t size() const { return calls_.size(); }
    std::size_t size(const std::string& work_class) const;
    /// Estimates how many calls are served before a new one of this class and organisation.
    double calls_ahead_of(const std::string& work_class, const std::string& organisation) const;

private:
    struct organisation_queue {
        std::deque<std::uint64_t> calls; ///< may hold ids of calls that were removed
        std::size_t queued = 0;
    };

    struct class_queue {
        double weight = 1.0;
        std::size_t limit = 1000;
        std::size_t queued = 0; ///< at most `limit`
        fair_order order;
        std::map<std::string, organisation_queue> organisations; ///< those with waiting calls
    };

    double organisation_weight(const std::string& name) const;
    void remove(const waiting_call& call);

    std::map<std::string, class_queue> classes_;
    std::map<std::string, double> weights_; ///< by organisation; 1 if absent
    fair_order order_;                      ///< of the classes
    std::unordered_map<std::uint64_t, waiting_call> calls_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_; ///< of all calls in calls_
};

} // namespace sesamesill
