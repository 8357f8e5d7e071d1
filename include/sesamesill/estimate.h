// Estimates the resources and run times of tasks of a class from earlier runs, relative to what
// they declared.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/resources.h"

namespace sesamesill {

/// A streaming quantile over recent values: old values expire as new ones are added.
class recent_quantile {
public:
    explicit recent_quantile(double probability);
    ~recent_quantile();
    recent_quantile(recent_quantile&& other) noexcept;
    recent_quantile& operator=(recent_quantile&& other) noexcept;
    recent_quantile(const recent_quantile&) = delete;
    recent_quantile& operator=(const recent_quantile&) = delete;

    void add(double value);
    std::int64_t count() const;
    /// Returns the estimate, or 0 before the first value.
    double value() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Invariant: a reservation is never below the declared size.
class estimates {
public:
    /// Adds the peak use of a task that ended. A peak of 0 in a dimension means that no use was
    /// reported and is ignored.
    void add_peak(const std::string& work_class, const resources& declared, const resources& peak);
    /// Adds the run time of a task that ended; `declared` is 0 if the task declared none.
    void add_run_time(const std::string& work_class, micros declared, micros actual);

    /// Returns the size to reserve: in each of CPU and memory the larger of the declared amount and
    /// the estimated peak plus `margin` (a fraction). The estimate is capped at `largest`, so that
    /// the task still fits a worker; accelerators stay as declared.
    resources reservation(const std::string& work_class, const resources& declared, double margin,
                          const resources& largest) const;
    /// Returns the expected run time, or `declared` while there are too few values.
    micros run_time(const std::string& work_class, micros declared) const;
    std::size_t classes() const { return classes_.size(); }

private:
    struct class_estimate {
        recent_quantile cpu;
        recent_quantile memory;
        recent_quantile run_ratio;
        recent_quantile run_micros;

        class_estimate();
    };

    std::map<std::string, class_estimate> classes_;
};

} // namespace sesamesill
