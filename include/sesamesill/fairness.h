// Tracks the resources that each organisation uses: weighted dominant-resource shares, and quotas
// as hard caps.

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

/// Computes shares and enforces quotas of organisations.
/// Invariant: charge() never raises the known use of an organisation above its quota.
class fairness {
public:
    /// Adds an organisation, or replaces the weight and quota of a known one.
    organisation_id put(const organisation_policy& policy);
    std::optional<organisation_id> find(std::string_view name) const;
    const std::string& name(organisation_id t) const { return organisations_[t].name; }
    std::size_t size() const { return organisations_.size(); }

    /// Sets the capacity that shares are fractions of. A change of it increments version().
    void set_capacity(const resources& total);
    /// Returns a number that grows whenever put() is called or the capacity changes.
    std::uint64_t version() const { return version_; }

    /// Returns whether the organisation may use `amount` more.
    bool within_quota(organisation_id t, const resources& amount) const;
    /// Adds `amount` to the use of the organisation if its quota allows it; returns whether it did.
    bool charge(organisation_id t, const resources& amount);
    /// Sets what other members run for the organisation, by their last reports.
    void set_running_elsewhere(organisation_id t, const resources& running)
    {
        organisations_[t].running_elsewhere = running;
    }
    /// Adds tasks that run already, such as those found after a takeover, without a check of the
    /// quota.
    void charge_unchecked(organisation_id t, const resources& amount)
    {
        organisations_[t].running += amount;
    }
    /// Subtracts `amount` from the use of the organisation, such as at the end of a task.
    void refund(organisation_id t, const resources& amount) { organisations_[t].running -= amount; }

    const resources& running(organisation_id t) const { return organisations_[t].running; }
    const resources& quota(organisation_id t) const { return organisations_[t].quota; }
    /// Returns the dominant share divided by the weight. The organisation with the least share is
    /// served first.
    double share(organisation_id t) const;

private:
    struct organisation {
        std::string name;
        double weight = 1.0;
        resources quota;
        resources running;
        resources running_elsewhere; ///< run by other members
    };

    std::vector<organisation> organisations_;
    std::unordered_map<std::string, organisation_id> ids_;
    resources total_;
    std::uint64_t version_ = 0;
};

/// Returns an error if `tasks` tasks of `size` at once exceed the quota of the organisation even
/// when nothing else runs for it.
std::optional<error> check_against_quota(const fairness& organisations, organisation_id t,
                                         const resources& size, std::int64_t tasks);

/// Returns Jain's fairness index of `values`: 1 if all are equal.
double jain_index(const std::vector<double>& values);

} // namespace sesamesill
