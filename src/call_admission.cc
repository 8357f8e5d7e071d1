// Applies this member's shares of the document's limits to rates and queues.

#include "call_admission.h"

#include <algorithm>

namespace sesamesill {

call_admission::call_admission(const node_settings& settings)
    : enforce_rates_(!is_disabled(settings, "limits")),
      check_deadlines_(!is_disabled(settings, "admission"))
{
}

std::size_t call_admission::queue_share(std::int64_t limit, std::size_t members)
{
    const std::int64_t parts = std::max<std::int64_t>(1, static_cast<std::int64_t>(members));
    return static_cast<std::size_t>(std::max<std::int64_t>(1, limit / parts));
}

void call_admission::configure(const environment& document, std::size_t members)
{
    for (const std::pair<const std::string, organisation_policy>& t : document.organisations) {
        organisations_.set_limit(t.first, t.second.rate);
    }
    for (const std::pair<const std::string, class_policy>& c : document.classes) {
        classes_.set_limit(c.first, c.second.rate);
    }
    configure_queues(document, members);
}

void call_admission::configure_queues(const environment& document, std::size_t members)
{
    for (const std::pair<const std::string, class_policy>& c : document.classes) {
        if (c.second.kind != work_kind::call) {
            continue;
        }
        call_queue& q = queues_[c.second.service];
        q.set_class(c.first, c.second.priority, queue_share(c.second.queue_limit, members));
        for (const std::pair<const std::string, organisation_policy>& t : document.organisations) {
            q.set_organisation(t.first, t.second.weight);
        }
    }
}

void call_admission::set_peer_demand(std::size_t members, const peer_table& peers, time_point now)
{
    organisations_.set_peer_demand(members, peers.organisation_demand(now), now);
    classes_.set_peer_demand(members, peers.class_demand(now), now);
}

std::optional<micros> call_admission::refuse_for_rate(const std::string& organisation,
                                                      const std::string& work_class, time_point now)
{
    if (!enforce_rates_) {
        return std::nullopt;
    }
    const std::optional<micros> wait = organisations_.admit(organisation, now);
    return wait ? wait : classes_.admit(work_class, now);
}

micros call_admission::wait_of(const std::string& service, const std::string& organisation,
                               const std::string& work_class, std::int32_t slots,
                               const latency_estimate& latency) const
{
    const auto found = queues_.find(service);
    const double ahead =
        found == queues_.end() ? 0.0 : found->second.calls_ahead_of(work_class, organisation);
    return expected_wait(ahead, slots, latency.mean());
}

std::optional<micros> call_admission::refuse_for_deadline(micros wait,
                                                          const latency_estimate& latency,
                                                          micros time_left) const
{
    return check_deadlines_ ? refuse_for_wait(wait, latency.bound(), time_left) : std::nullopt;
}

std::size_t call_admission::waiting(const std::string& service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.size();
}

std::vector<std::uint64_t> call_admission::take_expired(time_point now)
{
    std::vector<std::uint64_t> all;
    for (std::pair<const std::string, call_queue>& q : queues_) {
        const std::vector<std::uint64_t> expired = q.second.take_expired(now);
        all.insert(all.end(), expired.begin(), expired.end());
    }
    return all;
}

void call_admission::add_demand(load_summary& load, time_point now) const
{
    load.organisation_demand = organisations_.demand(now);
    load.class_demand = classes_.demand(now);
}

} // namespace sesamesill
