// One member of the cell: all services of a daemon on one event loop.

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

    /// Starts listening and tailing; returns false and the reason where an address is taken.
    bool start(error& why);
    /// Takes nothing new, finishes what is in flight, then ends the loop.
    void drain();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sesamesill
