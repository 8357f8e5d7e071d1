// Leaving: endpoints that take nothing new, and the steps of a member's planned stop.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

/// Who said first that an endpoint leaves.
enum class leaving_source : std::uint8_t { vm_list, endpoint };

/// The endpoints that get nothing new. The first sign from either source counts; an endpoint's own
/// sign lasts until its own health says otherwise, whatever the lagging list says.
class leaving_endpoints {
public:
    /// Returns true where this is the first sign.
    bool on_leaving_notice(const std::string& name, leaving_source source, time_point now);
    /// The list calls it live: takes back the list's own sign only.
    void on_listed_live(const std::string& name);
    /// The endpoint's health says that it is not draining: takes back the endpoint's own sign.
    void on_healthy(const std::string& name);
    void remove(const std::string& name) { leaving_.erase(name); }

    bool is_leaving(const std::string& name) const { return leaving_.count(name) > 0; }
    /// Returns whether an endpoint that called itself leaving should be asked again.
    bool wants_probe(const std::string& name, time_point now) const;
    void on_probe_sent(const std::string& name, time_point now);

private:
    static constexpr millis probe_interval{2000};

    struct record {
        bool by_list = false;
        bool by_endpoint = false; ///< one of the two holds
        time_point last_probe;
    };

    std::map<std::string, record> leaving_;
};

enum class stop_phase : std::uint8_t {
    running,
    announced, ///< not ready, still serving whatever the balancer sends
    finishing, ///< takes no connections, ends what is in flight
    stopped    ///< nothing in flight, or the limit has come
};

/// The steps of a planned stop.
class stop_plan {
public:
    void begin(time_point now, millis announce, millis limit);
    /// A second request to stop: what is in flight is cut off.
    void stop_now(time_point now) { limit_ = now; }
    stop_phase phase(time_point now, std::size_t in_flight) const;

private:
    bool begun_ = false;
    time_point announced_until_;
    time_point limit_;
};

} // namespace sesamesill
