// Bounded queue of calls waiting for a slot: fair between classes by weight, then between
// organisations.

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

/// Start-time fair queueing over named flows: the active flow that has had least for its weight is
/// next.
class fair_order {
public:
    void activate(const std::string& flow);
    void deactivate(const std::string& flow);
    /// Returns the flow that is served next, or nothing where none is active.
    const std::string* next() const;
    void charge(const std::string& flow, double weight);

private:
    std::map<std::string, double> finish_;            ///< virtual finish time of each known flow
    std::set<std::pair<double, std::string>> active_; ///< by finish time
    double now_ = 0.0;                                ///< virtual time: finish time last served
};

struct waiting_call {
    std::uint64_t id = 0;
    std::string organisation;
    std::string work_class;
    time_point deadline; ///< its deadline
};

/// Returns the weight of a class among the classes that share the executors.
double class_weight(priority_band band);

class call_queue {
public:
    void set_class(const std::string& name, priority_band band, std::size_t limit);
    void set_organisation(const std::string& name, double weight);

    /// Adds a call; returns false where its class is full.
    bool push(const waiting_call& call);
    /// Takes the call that is next.
    std::optional<std::uint64_t> pop();
    /// Takes the calls whose deadline has come.
    std::vector<std::uint64_t> take_expired(time_point now);

    std::size_t size() const { return calls_.size(); }
    std::size_t size(const std::string& work_class) const;
    /// Returns how many calls would be served before a new one of this class and organisation.
    double calls_ahead_of(const std::string& work_class, const std::string& organisation) const;

private:
    struct organisation_queue {
        std::deque<std::uint64_t> calls; ///< may hold ids that have left
        std::size_t queued = 0;
    };

    struct class_queue {
        double weight = 1.0;
        std::size_t limit = 1000;
        std::size_t queued = 0; ///< at most `limit`
        fair_order order;
        std::map<std::string, organisation_queue> organisations; ///< those with calls waiting
    };

    double organisation_weight(const std::string& name) const;
    void remove(const waiting_call& call);

    std::map<std::string, class_queue> classes_;
    std::map<std::string, double> weights_; ///< of organisations
    fair_order order_;                      ///< over classes
    std::unordered_map<std::uint64_t, waiting_call> calls_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_; ///< of all in calls_
};

} // namespace sesamesill
