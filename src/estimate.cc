// Streaming quantiles by Boost.Accumulators (P-square algorithm) in two overlapping windows.

#include "sesamesill/estimate.h"

#include <algorithm>
#include <cmath>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace sesamesill {
namespace {

namespace acc = boost::accumulators;

constexpr std::int64_t window_values = 500; ///< values after which a window is replaced
constexpr std::int64_t min_values = 20;     ///< values needed before an estimate is used
constexpr double peak_probability = 0.95;   ///< quantile of peak use
constexpr double run_probability = 0.5;     ///< quantile of run time

using accumulator = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

accumulator make_accumulator(double probability)
{
    return accumulator(acc::quantile_probability = probability);
}

std::int64_t learned_amount(const recent_quantile& ratio, std::int64_t declared, double margin)
{
    if (ratio.count() < min_values) {
        return declared;
    }
    const double size = static_cast<double>(declared) * ratio.value() * (1.0 + margin);
    return std::max(declared, static_cast<std::int64_t>(std::ceil(size)));
}

std::int64_t capped(std::int64_t wanted, std::int64_t declared, std::int64_t largest)
{
    return std::max(declared, std::min(wanted, largest));
}

} // namespace

/// Every value is added to both windows. The older window gives the estimate; when the newer one
/// has `window_values` values, it becomes the older one and an empty window starts.
struct recent_quantile::state {
    double probability;
    accumulator older;
    accumulator newer;
    std::int64_t older_count = 0;
    std::int64_t newer_count = 0;

    explicit state(double p)
        : probability(p), older(make_accumulator(p)), newer(make_accumulator(p))
    {
    }
};

recent_quantile::recent_quantile(double probability) : state_(std::make_unique<state>(probability))
{
}

recent_quantile::~recent_quantile() = default;
recent_quantile::recent_quantile(recent_quantile&& other) noexcept = default;
recent_quantile& recent_quantile::operator=(recent_quantile&& other) noexcept = default;

void recent_quantile::add(double value)
{
    state& s = *state_;
    s.older(value);
    ++s.older_count;
    s.newer(value);
    ++s.newer_count;
    if (s.newer_count >= window_values) {
        s.older = s.newer;
        s.older_count = s.newer_count;
        s.newer = make_accumulator(s.probability);
        s.newer_count = 0;
    }
}

std::int64_t recent_quantile::count() const
{
    return state_->older_count;
}

double recent_quantile::value() const
{
    return state_->older_count > 0 ? acc::p_square_quantile(state_->older) : 0.0;
}

estimates::class_estimate::class_estimate()
    : cpu(peak_probability), memory(peak_probability), run_ratio(run_probability),
      run_micros(run_probability)
{
}

void estimates::add_peak(const std::string& work_class, const resources& declared,
                         const resources& peak)
{
    class_estimate& c = classes_[work_class];
    if (peak.cpu_millis > 0 && declared.cpu_millis > 0) {
        c.cpu.add(static_cast<double>(peak.cpu_millis) / static_cast<double>(declared.cpu_millis));
    }
    if (peak.memory_mb > 0 && declared.memory_mb > 0) {
        c.memory.add(static_cast<double>(peak.memory_mb) / static_cast<double>(declared.memory_mb));
    }
}

void estimates::add_run_time(const std::string& work_class, micros declared, micros actual)
{
    class_estimate& c = classes_[work_class];
    c.run_micros.add(static_cast<double>(actual.count()));
    if (declared.count() > 0) {
        c.run_ratio.add(static_cast<double>(actual.count()) /
                        static_cast<double>(declared.count()));
    }
}

resources estimates::reservation(const std::string& work_class, const resources& declared,
                                 double margin, const resources& largest) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end()) {
        return declared;
    }
    const std::int64_t cpu = learned_amount(found->second.cpu, declared.cpu_millis, margin);
    const std::int64_t memory = learned_amount(found->second.memory, declared.memory_mb, margin);
    return {capped(cpu, declared.cpu_millis, largest.cpu_millis),
            capped(memory, declared.memory_mb, largest.memory_mb), declared.accelerators};
}

micros estimates::run_time(const std::string& work_class, micros declared) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end()) {
        return declared;
    }
    const class_estimate& c = found->second;
    if (declared.count() > 0 && c.run_ratio.count() >= min_values) {
        return micros(
            static_cast<std::int64_t>(static_cast<double>(declared.count()) * c.run_ratio.value()));
    }
    return c.run_micros.count() >= min_values
               ? micros(static_cast<std::int64_t>(c.run_micros.value()))
               : declared;
}

} // namespace sesamesill
