// Draining: endpoints that leave and get no new calls, and the phases of a member's planned stop.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Source of the notice that an endpoint is leaving.
enum class leaving_source : std::uint8_t { vm_list, endpoint };

/// Endpoints that get no new calls. A notice from either source is enough. A notice from the
/// endpoint itself holds until its health check reports otherwise, because the VM list lags behind.
class leaving_endpoints {
public:
    /// Returns true if this is the first notice for the endpoint.
    bool on_leaving_notice(const std::string& name, leaving_source source, time_point now);
    /// Withdraws the notice of the VM list, which shows the endpoint as live.
    void on_listed_live(const std::string& name);
    /// Withdraws the endpoint's own notice: a health check sent at `probed` reports that it isn't
    /// draining. A check sent before the notice has no effect.
    void on_healthy(const std::string& name, time_point probed);
    void remove(const std::string& name) { leaving_.erase(name); }

    bool is_leaving(const std::string& name) const { return leaving_.count(name) > 0; }
    /// Returns whether a health check is due for an endpoint that reported itself as leaving.
    bool wants_probe(const std::string& name, time_point now) const;
    void on_probe_sent(const std::string& name, time_point now);

private:
    static constexpr millis probe_interval{2000};

    struct record {
        bool by_list = false;
        bool by_endpoint = false; ///< at least one of by_list and by_endpoint is true
        time_point last_notice;   ///< of the endpoint itself
        time_point last_probe;
    };

    std::map<std::string, record> leaving_;
};

enum class stop_phase : std::uint8_t {
    running,
    announced, ///< reports not ready, still serves calls that the load balancer sends
    finishing, ///< accepts no connections, completes calls in flight
    stopped    ///< no calls in flight, or the time limit has passed
};

/// Phases of a planned stop.
class stop_plan {
public:
    /// Starts the stop: `announce` is the time spent in phase `announced`, and `limit` the longest
    /// time in phase `finishing`.
    void begin(time_point now, millis announce, millis limit);
    /// Ends the stop at once, without waiting for calls in flight, on a second stop request.
    void stop_now(time_point now) { limit_ = now; }
    stop_phase phase(time_point now, std::size_t in_flight) const;

private:
    bool begun_ = false;
    time_point announced_until_;
    time_point limit_;
};

} // namespace sesamesill
