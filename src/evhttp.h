// Shared by the sources that use evhttp: the state of the event loop and conversions of types.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "sesamesill/http.h"

namespace sesamesill {

struct event_loop::state {
    struct timer {
        event* handle = nullptr;
        bool once = false;
        state* owner = nullptr; ///< the loop that lists this timer; set only where `once` is true
        std::function<void()> action;
    };

    struct simulated_timer {
        std::function<void()> action;
        millis period{0}; ///< 0 if it runs once
    };

    event_base* base = nullptr;
    bool simulates_time = false;
    bool stopped = false; ///< set by `stop`; used only while time is simulated
    std::multimap<time_point, simulated_timer> simulated_timers; ///< by the time at which they run
    std::set<evhttp_connection*> to_free; ///< closed connections, freed outside of their callbacks
    std::vector<std::unique_ptr<timer>> timers; ///< repeating timers and signal handlers
    std::set<timer*> one_shot_timers;           ///< one-shot timers that haven't run yet
};

namespace detail {

timeval to_timeval(micros d);
/// Removes all bytes from `buffer` and returns them.
std::string read_all(evbuffer* buffer);
/// Returns the headers with their names in lower case.
http_headers headers_of(const evkeyvalq* list);
/// Returns the name of the request's method, or "OTHER" for a method that the server doesn't
/// support.
std::string method_of(evhttp_request* request);
/// Returns evhttp's constant for `method`, or that of GET where the method isn't supported.
evhttp_cmd_type command_of(const std::string& method);

} // namespace detail
} // namespace sesamesill
