// A member of the cell: all services of the daemon on one event loop.

#pragma once

#include <memory>

#include "sesamesill/error.h"
#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class node {
public:
    node(event_loop& loop, const node_settings& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Starts to listen and to read the log. Returns false and sets `why` if an address cannot be
    /// bound.
    bool start(error& why);
    /// Reports not ready, later stops listening, finishes requests in flight and then stops the
    /// event loop. A second call ends the drain at once.
    void drain();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sesamesill
