// Counters, gauges and histograms of one process, exported in the Prometheus text format.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesamesill {

struct metric_label {
    std::string name;
    std::string value;
};

/// A distribution of durations in seconds, with fixed Prometheus buckets and quantiles estimated by
/// Boost.Accumulators.
class histogram {
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;
    histogram(histogram&&) = delete;
    histogram& operator=(histogram&&) = delete;

    void observe(double seconds);
    std::uint64_t count() const;
    double sum() const;
    /// Returns an estimate of the quantile at `probability`, which is 0.5, 0.9 or 0.99; 0 without
    /// values.
    double quantile(double probability) const;

    /// Upper bounds of the buckets, in seconds.
    static constexpr std::array<double, 16> bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
                                                   0.05,   0.1,   0.2,   0.5,   1.0,  2.0,
                                                   5.0,    15.0,  60.0,  300.0};
    /// Returns the number of values that are at most `bounds[index]`.
    std::uint64_t cumulative(std::size_t index) const;

private:
    struct state;
    std::unique_ptr<state> state_;
    std::array<std::uint64_t, bounds.size()> buckets_{};
};

class metrics_registry {
public:
    /// Returns the counter with this name and these labels, created on first use. References stay
    /// valid for the lifetime of the registry. The first `help` given for a name is kept.
    double& counter(const std::string& name, const std::string& help,
                    const std::vector<metric_label>& labels = {});
    double& gauge(const std::string& name, const std::string& help,
                  const std::vector<metric_label>& labels = {});
    histogram& distribution(const std::string& name, const std::string& help,
                            const std::vector<metric_label>& labels = {});
    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    template<typename Value>
    struct family {
        std::string help;
        std::map<std::string, Value> members; ///< metrics by their rendered labels
    };

    std::map<std::string, family<double>> counters_;
    std::map<std::string, family<double>> gauges_;
    std::map<std::string, family<std::unique_ptr<histogram>>> distributions_;
};

/// Returns the registry of this process.
metrics_registry& process_metrics();

} // namespace sesamesill
