// HTTP server and client on top of evhttp, and the event loop with its timers and signals.
// No function blocks, except event_loop::run.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"

namespace sesamesill {

/// An IPv4 address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
};

inline bool operator==(const endpoint& a, const endpoint& b)
{
    return a.port == b.port && a.address == b.address;
}

inline bool operator<(const endpoint& a, const endpoint& b)
{
    return a.port != b.port ? a.port < b.port : a.address < b.address;
}

std::string to_string(const endpoint& e);

/// Parses an endpoint such as "10.0.0.1:80"; returns nothing where `text` is malformed or the port
/// is 0.
std::optional<endpoint> endpoint_from(std::string_view text);

/// The event loop of a process. Not thread-safe: all callbacks of a process run on its thread.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs `action` every `period` until the loop ends.
    void every(millis period, std::function<void()> action);
    /// Runs `action` once, `delay` from now.
    void after(millis delay, std::function<void()> action);
    /// Runs `action` on each arrival of the signal.
    void on_signal(int signal, std::function<void()> action);
    void run();
    void stop();
    /// Test only: timers run in order without waiting, and the process's clock shows their times.
    /// Set before the first timer. Sockets are served between timers, but have real timeouts.
    void simulate_time();

    struct state;
    state& internals() { return *state_; }

private:
    std::unique_ptr<state> state_;
};

using http_headers = std::map<std::string, std::string>;

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers; ///< names in lower case
    std::string body;
    std::string peer; ///< IP address of the sender
};

struct http_reply {
    int status = 200;
    std::string body;
    http_headers headers;
    std::string content_type = "application/json";
};

using http_respond = std::function<void(http_reply)>;
/// Handles a request. Calls `respond` once, before it returns or later.
using http_handler = std::function<void(const http_request&, http_respond respond)>;

struct http_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::size_t max_connections = 4096;
    int backlog = 1024;            ///< maximum number of connections waiting to be accepted
    millis idle_timeout{30000};    ///< limit between two requests of a connection
    millis request_timeout{10000}; ///< limit from a request's first byte to its last
};

class http_server {
public:
    http_server(event_loop& loop, http_limits limits = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Registers `handler` for `method` on paths that equal `prefix`, or that start with it where
    /// it ends in '/'.
    void route(std::string method, std::string prefix, http_handler handler);
    /// Sets the handler of requests that no route matches.
    void fallback(http_handler handler);
    /// Starts listening. Returns false and sets `why` where the address cannot be bound.
    bool listen(const endpoint& at, error& why);
    /// Stops accepting connections; open connections continue.
    void stop_listening();
    /// Adds `Connection: close` to all further responses, so that each connection ends after its
    /// next response.
    void close_after_answers();
    /// Returns the number of requests without a response plus the number of connections with unsent
    /// response bytes.
    std::size_t pending() const;
    /// Returns the number of open connections.
    std::size_t connections() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

struct http_call {
    std::string method = "GET";
    std::string path;
    http_headers headers;
    std::string body;
    millis timeout{1000};        ///< limit from sending to the complete response
    millis connect_timeout{500}; ///< limit for opening a connection, where none is idle
    millis first_byte_timeout{}; ///< limit from sending to the response headers; 0 for no limit
    /// If it isn't 0, a response whose headers have arrived may exceed `timeout` as long as more of
    /// its body arrives within each such time.
    millis stall_timeout{};
};

/// Receives the complete response, or an error: `unavailable` or `unreachable` where the request
/// was never sent, `timeout` where it may have been sent.
using http_done = std::function<void(std::optional<http_reply>, const error&)>;

/// Test only: faults that a client injects into its own requests.
struct http_faults {
    std::set<endpoint> unreachable; ///< requests to these peers time out
    millis delay{0};                ///< added before each request is sent
};

/// Sends requests over keep-alive connections, one request at a time on each connection. A request
/// without an answer closes the peer's idle connections if it went over one of them.
class http_client {
public:
    /// Keeps at most `max_idle` idle connections to each peer.
    http_client(event_loop& loop, std::string name, std::size_t max_idle = 256);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends `call` and passes the complete response or the error to `done`.
    void send(const endpoint& to, http_call call, http_done done);
    /// Closes the idle connections to `to`.
    void close_idle(const endpoint& to);
    /// Test only: applies `faults` to all further requests.
    void set_faults(http_faults faults);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    struct state;

private:
    void send_now(const endpoint& to, const http_call& call, http_done done);

    std::shared_ptr<state> state_;
};

} // namespace sesamesill
