// Accounts for the resources in use by each organisation, and formats quota errors.

#include "sesamesill/fairness.h"

namespace sesamesill {

organisation_id fairness::put(const organisation_policy& policy)
{
    const auto insertion =
        ids_.emplace(policy.name, static_cast<organisation_id>(organisations_.size()));
    const organisation_id t = insertion.first->second;
    if (insertion.second) {
        organisations_.emplace_back();
        organisations_[t].name = policy.name;
    }
    organisations_[t].weight = policy.weight;
    organisations_[t].quota = policy.quota;
    ++version_;
    return t;
}

std::optional<organisation_id> fairness::find(std::string_view name) const
{
    const auto found = ids_.find(std::string(name));
    return found == ids_.end() ? std::nullopt : std::optional<organisation_id>(found->second);
}

void fairness::set_capacity(const resources& total)
{
    if (total != total_) {
        total_ = total;
        ++version_;
    }
}

bool fairness::within_quota(organisation_id t, const resources& amount) const
{
    return fits(organisations_[t].running + organisations_[t].running_elsewhere + amount,
                organisations_[t].quota);
}

bool fairness::charge(organisation_id t, const resources& amount)
{
    if (!within_quota(t, amount)) {
        return false;
    }
    organisations_[t].running += amount;
    return true;
}

double fairness::share(organisation_id t) const
{
    return dominant_share(organisations_[t].running + organisations_[t].running_elsewhere, total_) /
           organisations_[t].weight;
}

std::optional<error> check_against_quota(const fairness& organisations, organisation_id t,
                                         const resources& size, std::int64_t tasks)
{
    const resources& quota = organisations.quota(t);
    if (fits(scaled(size, tasks), quota)) {
        return std::nullopt;
    }
    if (tasks > 1 && fits(size, quota)) {
        std::int64_t max_tasks = tasks;
        while (max_tasks > 1 && !fits(scaled(size, max_tasks), quota)) {
            --max_tasks;
        }
        return error{error_code::unfit, step::admission, organisations.name(t),
                     "a gang of " + std::to_string(tasks) +
                         " tasks exceeds the organisation's quota, which allows " +
                         std::to_string(max_tasks) + " tasks of this size at once"};
    }
    const resources nearest{std::min(size.cpu_millis, quota.cpu_millis),
                            std::min(size.memory_mb, quota.memory_mb),
                            std::min(size.accelerators, quota.accelerators)};
    return error{error_code::unfit, step::admission, organisations.name(t),
                 "one task of " + to_string(size) +
                     " exceeds the organisation's quota; the nearest size within the quota is " +
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
