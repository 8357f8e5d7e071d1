// What the sources over evhttp share: the loop's event base and small conversions.

#pragma once

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
        state* owner = nullptr; ///< of a timer that runs once
        std::function<void()> action;
    };

    event_base* base = nullptr;
    std::set<evhttp_connection*> to_free;       ///< to be freed outside of their own callbacks
    std::vector<std::unique_ptr<timer>> timers; ///< repeating timers and signals
    std::set<timer*> one_shot_timers;           ///< timers that run once and haven't run yet
};

namespace detail {

timeval to_timeval(micros d);
/// Takes all bytes out of `buffer`.
std::string read_all(evbuffer* buffer);
/// Returns the headers with their names in lower case.
http_headers headers_of(const evkeyvalq* list);
/// Returns the method's name, "OTHER" for those that are not served.
std::string method_of(evhttp_request* request);
evhttp_cmd_type command_of(const std::string& method);

} // namespace detail
} // namespace sesamesill
