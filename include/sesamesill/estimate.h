// What tasks of a class turn out to need: peaks and run times against what was declared.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "sesamesill/clock.h"
#include "sesamesill/resources.h"

namespace sesamesill {

/// A quantile over the last values: older ones lose their say as new ones come.
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

/// Invariant: a reservation is never below what was declared.
class estimates {
public:
    /// Takes the peak of a task that ended; a peak of 0 in a dimension was never reported.
    void add_peak(const std::string& work_class, const resources& declared, const resources& peak);
    void add_run_time(const std::string& work_class, micros declared, micros actual);

    /// Returns what to reserve: what was declared, or the learnt peak and the margin where that is
    /// more, up to `largest` or the declared size, whichever is more.
    resources reservation(const std::string& work_class, const resources& declared, double margin,
                          const resources& largest) const;
    /// Returns the expected run time, or what was declared where nothing is known.
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
