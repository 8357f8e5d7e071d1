// Counts what runs for each tenant.

#include "sesamesill/fairness.h"

namespace sesamesill {

tenant_id fairness::put(const tenant_policy& policy)
{
    const auto added = ids_.emplace(policy.name, static_cast<tenant_id>(tenants_.size()));
    const tenant_id t = added.first->second;
    if (added.second) {
        tenants_.emplace_back();
        tenants_[t].name = policy.name;
    }
    tenants_[t].weight = policy.weight;
    tenants_[t].quota = policy.quota;
    ++version_;
    return t;
}

std::optional<tenant_id> fairness::find(std::string_view name) const
{
    const auto found = ids_.find(std::string(name));
    return found == ids_.end() ? std::nullopt : std::optional<tenant_id>(found->second);
}

void fairness::set_capacity(const resources& total)
{
    if (total != total_) {
        total_ = total;
        ++version_;
    }
}

bool fairness::within_quota(tenant_id t, const resources& more) const
{
    return fits(tenants_[t].running + tenants_[t].elsewhere + more, tenants_[t].quota);
}

bool fairness::charge(tenant_id t, const resources& more)
{
    if (!within_quota(t, more)) {
        return false;
    }
    tenants_[t].running += more;
    return true;
}

double fairness::share(tenant_id t) const
{
    return dominant_share(tenants_[t].running + tenants_[t].elsewhere, total_) / tenants_[t].weight;
}

std::optional<error> never_within_quota(const fairness& tenants, tenant_id t, const resources& size,
                                        std::int64_t tasks)
{
    const resources& quota = tenants.quota(t);
    if (fits(scaled(size, tasks), quota)) {
        return std::nullopt;
    }
    if (tasks > 1 && fits(size, quota)) {
        std::int64_t most = tasks;
        while (most > 1 && !fits(scaled(size, most), quota)) {
            --most;
        }
        return error{error_code::unfit, step::admission, tenants.name(t),
                     "all " + std::to_string(tasks) +
                         " tasks at once are above the tenant's quota; within it are " +
                         std::to_string(most) + " of this size"};
    }
    const resources nearest{std::min(size.cpu_millis, quota.cpu_millis),
                            std::min(size.memory_mb, quota.memory_mb),
                            std::min(size.accelerators, quota.accelerators)};
    return error{error_code::unfit, step::admission, tenants.name(t),
                 "one task of " + to_string(size) +
                     " is above the tenant's quota; the nearest size within it is " +
                     to_string(nearest)};
}

double jain_index(const std::vector<double>& values)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const double v : values) {
        sum += v;
        squares += v * v;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1.0;
}

} // namespace sesamesill
