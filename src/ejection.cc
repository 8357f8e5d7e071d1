// Ejects endpoints after consecutive failures, up to the largest allowed number of endpoints.

#include "sesamesill/ejection.h"

#include <algorithm>

namespace sesamesill {

void ejection::add(const std::string& name)
{
    records_[name];
}

void ejection::remove(const std::string& name)
{
    const auto found = records_.find(name);
    if (found != records_.end()) {
        ejected_ -= found->second.ejected ? 1 : 0;
        records_.erase(found);
    }
}

void ejection::on_success(const std::string& name)
{
    const auto found = records_.find(name);
    if (found != records_.end()) {
        found->second.failures = 0;
    }
}

bool ejection::on_failure(const std::string& name, time_point now)
{
    const auto found = records_.find(name);
    if (found == records_.end() || found->second.ejected) {
        return false;
    }
    record& r = found->second;
    ++r.failures;
    const double cap = policy_.max_ejected_ratio * static_cast<double>(records_.size());
    const std::size_t max_ejected = std::max<std::size_t>(1, static_cast<std::size_t>(cap));
    if (r.failures < policy_.failures || ejected_ >= max_ejected) {
        return false;
    }
    r.ejected = true;
    r.returning = false;
    r.next_probe = now + ejection_time(r);
    ++r.ejections;
    ++ejected_;
    return true;
}

millis ejection::ejection_time(const record& r) const
{
    constexpr std::int32_t max_doublings = 20;
    const std::int64_t factor = std::int64_t{1} << std::min(r.ejections, max_doublings);
    return std::min(policy_.max_ejection, millis(policy_.base_ejection.count() * factor));
}

bool ejection::wants_probe(const std::string& name, time_point now) const
{
    const auto found = records_.find(name);
    return found != records_.end() && found->second.ejected && now >= found->second.next_probe;
}

void ejection::on_probe_sent(const std::string& name, time_point now)
{
    const auto found = records_.find(name);
    if (found != records_.end() && found->second.ejected) {
        found->second.next_probe = std::max(found->second.next_probe, now + probe_interval);
    }
}

void ejection::on_probe(const std::string& name, bool passed, time_point now)
{
    const auto found = records_.find(name);
    if (found == records_.end() || !found->second.ejected) {
        return;
    }
    record& r = found->second;
    if (!passed) {
        r.next_probe = now + ejection_time(r);
        ++r.ejections;
        return;
    }
    r.ejected = false;
    --ejected_;
    r.failures = 0;
    r.returning = true;
    r.returned_at = now;
}

bool ejection::is_ejected(const std::string& name) const
{
    const auto found = records_.find(name);
    return found != records_.end() && found->second.ejected;
}

double ejection::weight(const std::string& name, time_point now) const
{
    const auto found = records_.find(name);
    if (found == records_.end() || !(found->second.ejected || found->second.returning)) {
        return 1.0;
    }
    if (found->second.ejected) {
        return 0.0;
    }
    const micros since = now - found->second.returned_at;
    const double ramp = static_cast<double>(since.count()) /
                        static_cast<double>(micros(policy_.return_ramp).count());
    return std::clamp(ramp, policy_.return_weight, 1.0);
}

} // namespace sesamesill
