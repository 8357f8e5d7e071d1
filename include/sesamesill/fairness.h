// Shares of organisations: weighted dominant-resource fairness, and quotas as hard caps.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamesill/environment.h"
#include "sesamesill/error.h"
#include "sesamesill/resources.h"

namespace sesamesill {

using organisation_id = std::uint32_t;

/// Invariant: what is known to run for an organisation never exceeds its quota by way of charge().
class fairness {
public:
    /// Adds an organisation, or takes over its new weight and quota.
    organisation_id put(const organisation_policy& policy);
    std::optional<organisation_id> find(std::string_view name) const;
    const std::string& name(organisation_id t) const { return organisations_[t].name; }
    std::size_t size() const { return organisations_.size(); }

    /// Shares are parts of this; raises version().
    void set_capacity(const resources& total);
    std::uint64_t version() const { return version_; }

    bool within_quota(organisation_id t, const resources& amount) const;
    /// Returns whether the quota allows it; counts it if so.
    bool charge(organisation_id t, const resources& amount);
    /// Counts what runs under the word of others, by their last report.
    void set_running_elsewhere(organisation_id t, const resources& running)
    {
        organisations_[t].running_elsewhere = running;
    }
    /// Counts what runs already, such as work found after a takeover, whatever the quota says.
    void charge_unchecked(organisation_id t, const resources& amount)
    {
        organisations_[t].running += amount;
    }
    void refund(organisation_id t, const resources& amount) { organisations_[t].running -= amount; }

    const resources& running(organisation_id t) const { return organisations_[t].running; }
    const resources& quota(organisation_id t) const { return organisations_[t].quota; }
    /// Returns the dominant share divided by the weight: the least goes first.
    double share(organisation_id t) const;

private:
    struct organisation {
        std::string name;
        double weight = 1.0;
        resources quota;
        resources running;
        resources running_elsewhere;
    };

    std::vector<organisation> organisations_;
    std::unordered_map<std::string, organisation_id> ids_;
    resources total_;
    std::uint64_t version_ = 0;
};

/// Returns an error where `tasks` tasks of `size` at once are above the quota of the organisation.
std::optional<error> check_against_quota(const fairness& organisations, organisation_id t,
                                         const resources& size, std::int64_t tasks);

/// Returns Jain's index of `values`: 1 where all are equal.
double jain_index(const std::vector<double>& values);

} // namespace sesamesill
