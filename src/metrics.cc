// Implements histograms and the Prometheus text format. The only source that includes
// Boost.Accumulators for metrics.

#include "sesamesill/metrics.h"

#include <algorithm>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace sesamesill {
namespace {

namespace acc = boost::accumulators;
using distribution_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

const std::array<double, 3> quantiles{0.5, 0.9, 0.99};

std::string escaped(const std::string& value)
{
    std::string result;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c == '\n' ? ' ' : c;
    }
    return result;
}

/// Returns the labels in the form "organisation=\"a\",class=\"b\"".
std::string rendered(const std::vector<metric_label>& labels)
{
    std::string result;
    for (const metric_label& label : labels) {
        result += result.empty() ? "" : ",";
        result += label.name + "=\"" + escaped(label.value) + "\"";
    }
    return result;
}

std::string with_label(const std::string& labels, const std::string& label)
{
    if (labels.empty()) {
        return "{" + label + "}";
    }
    return "{" + labels + "," + label + "}";
}

template<typename Families>
void write_values(std::ostream& out, const Families& families, const char* type)
{
    for (const auto& family : families) {
        out << "# HELP " << family.first << ' ' << family.second.help << "\n# TYPE " << family.first
            << ' ' << type << '\n';
        for (const auto& member : family.second.members) {
            out << family.first;
            if (!member.first.empty()) {
                out << '{' << member.first << '}';
            }
            out << ' ' << member.second << '\n';
        }
    }
}

void write_distribution(std::ostream& out, const std::string& name, const std::string& labels,
                        const histogram& h)
{
    for (std::size_t i = 0; i < histogram::bounds.size(); ++i) {
        std::ostringstream bound;
        bound << "le=\"" << histogram::bounds[i] << "\"";
        out << name << "_bucket" << with_label(labels, bound.str()) << ' ' << h.cumulative(i)
            << '\n';
    }
    const std::string label_block = labels.empty() ? "" : "{" + labels + "}";
    out << name << "_bucket" << with_label(labels, "le=\"+Inf\"") << ' ' << h.count() << '\n'
        << name << "_sum" << label_block << ' ' << h.sum() << '\n'
        << name << "_count" << label_block << ' ' << h.count() << '\n';
}

} // namespace

struct histogram::state {
    distribution_accumulator values{acc::extended_p_square_probabilities = quantiles};
};

histogram::histogram() : state_(std::make_unique<state>()) {}

histogram::~histogram() = default;

void histogram::observe(double seconds)
{
    state_->values(seconds);
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), seconds);
    if (bound != bounds.end()) {
        ++buckets_[static_cast<std::size_t>(bound - bounds.begin())];
    }
}

std::uint64_t histogram::count() const
{
    return acc::count(state_->values);
}

double histogram::sum() const
{
    return acc::sum(state_->values);
}

double histogram::quantile(double probability) const
{
    return count() == 0 ? 0.0
                        : acc::extended_p_square_quantile(state_->values,
                                                          acc::quantile_probability = probability);
}

std::uint64_t histogram::cumulative(std::size_t index) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= index; ++i) {
        total += buckets_[i];
    }
    return total;
}

double& metrics_registry::counter(const std::string& name, const std::string& help,
                                  const std::vector<metric_label>& labels)
{
    family<double>& f = counters_[name];
    f.help = f.help.empty() ? help : f.help;
    return f.members[rendered(labels)];
}

double& metrics_registry::gauge(const std::string& name, const std::string& help,
                                const std::vector<metric_label>& labels)
{
    family<double>& f = gauges_[name];
    f.help = f.help.empty() ? help : f.help;
    return f.members[rendered(labels)];
}

histogram& metrics_registry::distribution(const std::string& name, const std::string& help,
                                          const std::vector<metric_label>& labels)
{
    family<std::unique_ptr<histogram>>& f = distributions_[name];
    f.help = f.help.empty() ? help : f.help;
    std::unique_ptr<histogram>& h = f.members[rendered(labels)];
    if (h == nullptr) {
        h = std::make_unique<histogram>();
    }
    return *h;
}

std::string metrics_registry::text() const
{
    std::ostringstream out;
    write_values(out, counters_, "counter");
    write_values(out, gauges_, "gauge");
    for (const auto& entry : distributions_) {
        out << "# HELP " << entry.first << ' ' << entry.second.help << "\n# TYPE " << entry.first
            << " histogram\n";
        for (const auto& member : entry.second.members) {
            write_distribution(out, entry.first, member.first, *member.second);
        }
        out << "# HELP " << entry.first << "_quantile estimated quantiles\n# TYPE " << entry.first
            << "_quantile gauge\n";
        for (const auto& member : entry.second.members) {
            for (const double q : quantiles) {
                std::ostringstream label;
                label << "quantile=\"" << q << "\"";
                out << entry.first << "_quantile" << with_label(member.first, label.str()) << ' '
                    << member.second->quantile(q) << '\n';
            }
        }
    }
    return out.str();
}

metrics_registry& process_metrics()
{
    static metrics_registry registry;
    return registry;
}

} // namespace sesamesill
