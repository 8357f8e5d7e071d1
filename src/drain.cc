// Combines the notices of leaving endpoints, and computes the phase of a planned stop.

#include "sesamesill/drain.h"

namespace sesamesill {

bool leaving_endpoints::on_leaving_notice(const std::string& name, leaving_source source,
                                          time_point now)
{
    const bool first = leaving_.count(name) == 0;
    record& r = leaving_[name];
    if (source == leaving_source::vm_list) {
        r.by_list = true;
    }
    else {
        r.by_endpoint = true;
        r.last_notice = now;
        r.last_probe = now;
    }
    return first;
}

void leaving_endpoints::on_listed_live(const std::string& name)
{
    const auto found = leaving_.find(name);
    if (found != leaving_.end()) {
        found->second.by_list = false;
        if (!found->second.by_endpoint) {
            leaving_.erase(found);
        }
    }
}

void leaving_endpoints::on_healthy(const std::string& name, time_point probed)
{
    const auto found = leaving_.find(name);
    if (found != leaving_.end() && probed >= found->second.last_notice) {
        found->second.by_endpoint = false;
        if (!found->second.by_list) {
            leaving_.erase(found);
        }
    }
}

bool leaving_endpoints::wants_probe(const std::string& name, time_point now) const
{
    const auto found = leaving_.find(name);
    return found != leaving_.end() && found->second.by_endpoint &&
           now - found->second.last_probe >= probe_interval;
}

void leaving_endpoints::on_probe_sent(const std::string& name, time_point now)
{
    const auto found = leaving_.find(name);
    if (found != leaving_.end()) {
        found->second.last_probe = now;
    }
}

void stop_plan::begin(time_point now, millis announce, millis limit)
{
    begun_ = true;
    announced_until_ = now + announce;
    limit_ = now + announce + limit;
}

stop_phase stop_plan::phase(time_point now, std::size_t in_flight) const
{
    if (!begun_) {
        return stop_phase::running;
    }
    if (now >= limit_) {
        return stop_phase::stopped;
    }
    if (now < announced_until_) {
        return stop_phase::announced;
    }
    return in_flight == 0 ? stop_phase::stopped : stop_phase::finishing;
}

} // namespace sesamesill
