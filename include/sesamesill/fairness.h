// Shares of tenants: weighted dominant-resource fairness, and quotas as hard caps.

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

using tenant_id = std::uint32_t;

/// Invariant: what is known to run for a tenant never exceeds its quota by way of charge().
class fairness {
public:
    /// Adds a tenant, or takes over its new weight and quota.
    tenant_id put(const tenant_policy& policy);
    std::optional<tenant_id> find(std::string_view name) const;
    const std::string& name(tenant_id t) const { return tenants_[t].name; }
    std::size_t size() const { return tenants_.size(); }

    /// Shares are parts of this; raises version().
    void set_capacity(const resources& total);
    std::uint64_t version() const { return version_; }

    bool within_quota(tenant_id t, const resources& more) const;
    /// Returns whether the quota allows it; counts it if so.
    bool charge(tenant_id t, const resources& more);
    /// Counts what runs under the word of others, by their last report.
    void set_elsewhere(tenant_id t, const resources& running) { tenants_[t].elsewhere = running; }
    /// Counts what runs already, such as work found after a takeover, whatever the quota says.
    void adopt(tenant_id t, const resources& more) { tenants_[t].running += more; }
    void refund(tenant_id t, const resources& less) { tenants_[t].running -= less; }

    const resources& running(tenant_id t) const { return tenants_[t].running; }
    const resources& quota(tenant_id t) const { return tenants_[t].quota; }
    /// Returns the dominant share divided by the weight: the least goes first.
    double share(tenant_id t) const;

private:
    struct tenant {
        std::string name;
        double weight = 1.0;
        resources quota;
        resources running;
        resources elsewhere;
    };

    std::vector<tenant> tenants_;
    std::unordered_map<std::string, tenant_id> ids_;
    resources total_;
    std::uint64_t version_ = 0;
};

/// Returns an error where `tasks` tasks of `size` at once are above the quota of the tenant.
std::optional<error> never_within_quota(const fairness& tenants, tenant_id t, const resources& size,
                                        std::int64_t tasks);

/// Returns Jain's index of `values`: 1 where all are equal.
double jain_index(const std::vector<double>& values);

} // namespace sesamesill
