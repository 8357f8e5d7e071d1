// A loopback TCP proxy that can delay, block, reset or silence its connections.

#pragma once

#include <memory>
#include <set>

#include "sesamesill/http.h"

namespace soak {

using namespace sesamesill;

struct link_faults {
    millis delay{0};               ///< applied to the bytes in each direction
    bool blocks_to_server = false; ///< bytes towards the server wait until this is false
    bool blocks_to_client = false; ///< bytes towards the client wait until this is false
    bool drops_connects = false;   ///< new connections aren't established, as behind a partition
};

class proxy {
public:
    proxy(event_loop& loop, endpoint listen, endpoint server);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    proxy(proxy&&) = delete;
    proxy& operator=(proxy&&) = delete;

    bool start(error& why);
    void set_faults(const link_faults& faults);
    /// Resets all open connections.
    void reset();
    /// Stops forwarding on all open connections without closing them. New connections work.
    void silence();

    struct link;
    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace soak
