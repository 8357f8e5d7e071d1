// A loopback proxy for TCP connections that delays, holds up, resets or silences them.

#pragma once

#include <memory>
#include <set>

#include "sesamesill/http.h"

namespace soak {

using namespace sesamesill;

struct link_faults {
    millis delay{0};               ///< of bytes, each way
    bool blocks_to_server = false; ///< bytes towards the server wait until this ends
    bool blocks_to_client = false; ///< likewise, towards the client
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
    /// Open connections carry nothing any more, without a reset; new ones work.
    void silence();

    struct link;
    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace soak
