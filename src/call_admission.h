// Admission of calls: rate limits of organisations and classes, deadline checks, and one bounded
// queue for each service.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/call_queue.h"
#include "sesamesill/environment.h"
#include "sesamesill/limiter.h"
#include "sesamesill/routing.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class call_admission {
public:
    explicit call_admission(const node_settings& settings);

    /// Applies the limits of a document, of which each of `members` holds a share.
    void configure(const environment& document, std::size_t members);
    /// Updates the shares of the limits from the demand at the other members.
    void set_peer_demand(std::size_t members, const peer_table& peers, time_point now);
    /// Counts an arrival; returns the time until a retry may be admitted if a limit refuses it,
    /// else nothing.
    std::optional<micros> refuse_for_rate(const std::string& organisation,
                                          const std::string& work_class, time_point now);
    /// Returns the expected wait of a new call.
    micros wait_of(const std::string& service, const std::string& organisation,
                   const std::string& work_class, std::int32_t slots,
                   const latency_estimate& latency) const;
    /// Returns the time until a retry may be admitted if the call would miss its deadline, else
    /// nothing.
    std::optional<micros> refuse_for_deadline(micros wait, const latency_estimate& latency,
                                              micros time_left) const;

    call_queue& queue(const std::string& service) { return queues_[service]; }
    std::size_t waiting(const std::string& service) const;
    /// Removes the calls whose deadline has passed from all queues and returns their ids.
    std::vector<std::uint64_t> take_expired(time_point now);
    /// Sets the demands of `load` to those at this member.
    void add_demand(load_summary& load, time_point now) const;
    /// Returns this member's share of a class's queue limit: an even part, at least 1.
    static std::size_t queue_share(std::int64_t limit, std::size_t members);

private:
    void configure_queues(const environment& document, std::size_t members);

    bool enforce_rates_;
    bool check_deadlines_;
    rate_limiter organisations_;
    rate_limiter classes_;
    std::map<std::string, call_queue> queues_; ///< by service
};

} // namespace sesamesill
