// HTTP client on top of evhttp: pools of keep-alive connections, and a timeout for each step of an
// exchange (connecting, response headers, complete response).

#include "sesamesill/http.h"

#include <algorithm>

#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "evhttp.h"

namespace sesamesill {
namespace {

constexpr micros max_idle_time{10000000};
constexpr micros sweep_interval{2000000};
/// Timeout of evhttp itself. The timers of an exchange expire before it.
constexpr timeval library_timeout{3600, 0};
/// A response that keeps arriving is given up after this time from its request.
constexpr millis max_response_time{30000};
constexpr ev_ssize_t max_answer_bytes = ev_ssize_t{16} * 1024 * 1024;
constexpr ev_ssize_t max_answer_header_bytes = ev_ssize_t{64} * 1024;
/// Assumed size of a message's header in bytes, for `bytes_sent` and `bytes_received`.
constexpr std::size_t header_estimate = 128;

struct idle_connection {
    evhttp_connection* handle = nullptr;
    time_point idle_since;
};

} // namespace

struct http_client::state {
    event_loop& loop;
    std::string name;
    std::size_t max_idle;
    std::map<endpoint, std::vector<idle_connection>> idle;
    time_point last_sweep;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    bool closed = false;
    http_faults faults;

    state(event_loop& l, std::string n, std::size_t idle_limit)
        : loop(l), name(std::move(n)), max_idle(idle_limit)
    {
    }
    evhttp_connection* acquire_connection(const endpoint& to, bool& opened);
    void close_idle(const endpoint& to);
    void return_connection(const endpoint& to, evhttp_connection* connection, bool healthy);
    void sweep(time_point now);
};

namespace {

/// One request in flight. Freed by `complete`.
struct exchange {
    std::weak_ptr<http_client::state> client;
    event_loop* loop = nullptr;
    evhttp_connection* connection = nullptr;
    evhttp_request* request = nullptr;
    event* timer = nullptr;
    endpoint to;
    http_done done;
    evbuffer_cb_entry* output_watch = nullptr;
    bool connecting = false;       ///< on a new connection, while nothing has been written
    bool reused = false;           ///< the connection has carried an earlier request
    bool headers_received = false; ///< the response headers have arrived
    time_point connect_deadline;
    time_point first_byte_deadline;
    time_point deadline;
    millis stall_timeout{0};
    time_point last_deadline;       ///< no progress extends `deadline` beyond it
    std::size_t received_bytes = 0; ///< of the body, when `deadline` was last extended
    const char* failure = "connection closed by the peer";

    ~exchange()
    {
        if (timer != nullptr) {
            event_free(timer);
        }
    }

    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
};

void free_connections(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    std::set<evhttp_connection*>& to_free = *static_cast<std::set<evhttp_connection*>*>(argument);
    for (evhttp_connection* connection : to_free) {
        evhttp_connection_free(connection);
    }
    to_free.clear();
}

/// Frees the connection after its callback has returned, at the latest when the loop is destroyed.
void free_later(event_loop& loop, evhttp_connection* connection)
{
    event_loop::state& state = loop.internals();
    state.to_free.insert(connection);
    if (state.to_free.size() == 1) {
        const timeval now{};
        event_base_once(state.base, -1, EV_TIMEOUT, free_connections, &state.to_free, &now);
    }
}

bool is_connected(evhttp_connection* connection)
{
    const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return fd >= 0 && getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

evbuffer* output_of(const exchange& x)
{
    return bufferevent_get_output(evhttp_connection_get_bufferevent(x.connection));
}

/// Notes that bytes have left the output buffer. The state of the socket doesn't tell that: it
/// isn't connected after a reset either.
void on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* change, void* argument)
{
    exchange* x = static_cast<exchange*>(argument);
    x->connecting = x->connecting && change->n_deleted == 0;
}

/// Returns the connection to the pool or closes it, then passes the result to the sender.
void complete(std::unique_ptr<exchange> x, std::optional<http_reply> reply, const error& why)
{
    evbuffer_remove_cb_entry(output_of(*x), x->output_watch);
    event_free(x->timer);
    x->timer = nullptr;
    const std::shared_ptr<http_client::state> client = x->client.lock();
    if (client != nullptr) {
        client->received += reply ? reply->body.size() + header_estimate : 0;
        client->return_connection(x->to, x->connection,
                                  reply && reply->headers.count("connection") == 0);
    }
    else {
        free_later(*x->loop, x->connection);
    }
    x->done(std::move(reply), why);
}

void on_answer(evhttp_request* raw, void* argument)
{
    std::unique_ptr<exchange> x(static_cast<exchange*>(argument));
    const int status = raw != nullptr ? evhttp_request_get_response_code(raw) : 0;
    if (status != 0) {
        http_reply reply;
        reply.status = status;
        reply.headers = detail::headers_of(evhttp_request_get_input_headers(raw));
        reply.body = detail::read_all(evhttp_request_get_input_buffer(raw));
        complete(std::move(x), std::move(reply), {});
        return;
    }
    const std::string peer = to_string(x->to);
    if (raw != nullptr) {
        complete(std::move(x), std::nullopt,
                 {error_code::unavailable, step::http, peer, "cannot connect"});
        return;
    }
    const std::string reason = std::string("incomplete response: ") + x->failure;
    complete(std::move(x), std::nullopt, {error_code::timeout, step::http, peer, reason});
}

void on_failure(evhttp_request_error failure, void* argument)
{
    exchange* x = static_cast<exchange*>(argument);
    switch (failure) {
    case EVREQ_HTTP_INVALID_HEADER:
        x->failure = "malformed";
        break;
    case EVREQ_HTTP_DATA_TOO_LONG:
        x->failure = "response too large";
        break;
    default:
        break;
    }
}

int on_headers(evhttp_request* /*raw*/, void* argument)
{
    static_cast<exchange*>(argument)->headers_received = true;
    return 0;
}

/// Returns the earliest deadline of the steps that are not completed.
time_point next_deadline(const exchange& x)
{
    time_point limit = x.deadline;
    if (x.connecting) {
        limit = std::min(limit, x.connect_deadline);
    }
    if (!x.headers_received) {
        limit = std::min(limit, x.first_byte_deadline);
    }
    return limit;
}

void schedule_timer(const exchange& x, time_point now)
{
    const timeval left = detail::to_timeval(std::max(micros(0), next_deadline(x) - now));
    event_add(x.timer, &left);
}

void fail_exchange(exchange* expired, error_code code, const char* reason)
{
    std::unique_ptr<exchange> x(expired);
    const error why{code, step::http, to_string(x->to), reason};
    const std::shared_ptr<http_client::state> client = x->client.lock();
    if (client != nullptr && x->reused && !x->headers_received) {
        // The path may have lost all connections without a reset; new ones show whether the peer
        // itself is silent.
        client->close_idle(x->to);
    }
    evhttp_cancel_request(x->request); // doesn't call on_answer
    complete(std::move(x), std::nullopt, why);
}

/// Returns the number of bytes of the response's body that have arrived so far.
std::size_t body_bytes(const exchange& x)
{
    return evbuffer_get_length(
               bufferevent_get_input(evhttp_connection_get_bufferevent(x.connection))) +
           evbuffer_get_length(evhttp_request_get_input_buffer(x.request));
}

/// Extends the deadline if more of the response has arrived since it was set.
void extend_deadline(exchange& x, time_point now)
{
    if (x.stall_timeout == millis(0) || !x.headers_received || now < x.deadline) {
        return;
    }
    const std::size_t received = body_bytes(x);
    if (received > x.received_bytes) {
        x.received_bytes = received;
        x.deadline = std::min(now + x.stall_timeout, x.last_deadline);
    }
}

void on_timer(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    exchange* x = static_cast<exchange*>(argument);
    const time_point now = boot_clock::now();
    extend_deadline(*x, now);
    if (now < next_deadline(*x)) {
        schedule_timer(*x, now);
        return;
    }
    if (x->connecting) {
        fail_exchange(x, error_code::unreachable, "connection not established before the timeout");
        return;
    }
    fail_exchange(x, error_code::timeout,
                  now >= x->deadline ? "response incomplete at the timeout"
                                     : "no response headers before the timeout");
}

} // namespace

evhttp_connection* http_client::state::acquire_connection(const endpoint& to, bool& opened)
{
    std::vector<idle_connection>& pool = idle[to];
    opened = pool.empty();
    if (!opened) {
        evhttp_connection* connection = pool.back().handle;
        pool.pop_back();
        opened = !is_connected(connection);
        return connection;
    }
    evhttp_connection* connection =
        evhttp_connection_base_new(loop.internals().base, nullptr, to.address.c_str(), to.port);
    evhttp_connection_set_timeout_tv(connection, &library_timeout);
    evhttp_connection_set_max_body_size(connection, max_answer_bytes);
    evhttp_connection_set_max_headers_size(connection, max_answer_header_bytes);
    return connection;
}

void http_client::state::return_connection(const endpoint& to, evhttp_connection* connection,
                                           bool healthy)
{
    std::vector<idle_connection>& pool = idle[to];
    if (!healthy || closed || pool.size() >= max_idle) {
        free_later(loop, connection);
        return;
    }
    pool.push_back({connection, boot_clock::now()});
}

void http_client::state::sweep(time_point now)
{
    if (now - last_sweep < sweep_interval) {
        return;
    }
    last_sweep = now;
    for (auto pool = idle.begin(); pool != idle.end();) {
        std::vector<idle_connection>& connections = pool->second;
        // The most recently used connections are at the end.
        while (!connections.empty() && now - connections.front().idle_since > max_idle_time) {
            evhttp_connection_free(connections.front().handle);
            connections.erase(connections.begin());
        }
        pool = connections.empty() ? idle.erase(pool) : std::next(pool);
    }
}

http_client::http_client(event_loop& loop, std::string name, std::size_t max_idle)
    : state_(std::make_shared<state>(loop, std::move(name), max_idle))
{
}

http_client::~http_client()
{
    state_->closed = true;
    for (const std::pair<const endpoint, std::vector<idle_connection>>& pool : state_->idle) {
        for (const idle_connection& c : pool.second) {
            evhttp_connection_free(c.handle);
        }
    }
}

void http_client::state::close_idle(const endpoint& to)
{
    const auto pool = idle.find(to);
    if (pool == idle.end()) {
        return;
    }
    for (const idle_connection& c : pool->second) {
        free_later(loop, c.handle);
    }
    idle.erase(pool);
}

void http_client::close_idle(const endpoint& to)
{
    state_->close_idle(to);
}

namespace {

evhttp_request* build_request(exchange& x, const http_call& call, const std::string& name)
{
    evhttp_request* raw = evhttp_request_new(on_answer, &x);
    evhttp_request_set_error_cb(raw, on_failure);
    evhttp_request_set_header_cb(raw, on_headers);
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", x.to.address.c_str());
    evhttp_add_header(headers, "X-Client", name.c_str());
    for (const http_headers::value_type& h : call.headers) {
        evhttp_add_header(headers, h.first.c_str(), h.second.c_str());
    }
    if (!call.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(raw), call.body.data(), call.body.size());
    }
    return raw;
}

/// Reports a request that evhttp refused to start. Runs from the event loop, so that `done` is
/// never called within `send`.
void fail_later(event_base* base, exchange* x)
{
    const timeval now{};
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument) {
            std::unique_ptr<exchange> failed(static_cast<exchange*>(argument));
            const std::string peer = to_string(failed->to);
            complete(std::move(failed), std::nullopt,
                     {error_code::unreachable, step::http, peer, "cannot open a connection"});
        },
        x, &now);
}

} // namespace

void http_client::set_faults(http_faults faults)
{
    state_->faults = std::move(faults);
}

void http_client::send(const endpoint& to, http_call call, http_done done)
{
    if (state_->faults.unreachable.count(to) > 0) {
        state_->loop.after(call.timeout, [to, done = std::move(done)] {
            done(std::nullopt,
                 {error_code::timeout, step::http, to_string(to), "incomplete response"});
        });
        return;
    }
    if (state_->faults.delay.count() > 0) {
        state_->loop.after(state_->faults.delay,
                           [this, to, call = std::move(call), done = std::move(done)] {
                               send_now(to, call, done);
                           });
        return;
    }
    send_now(to, call, std::move(done));
}

void http_client::send_now(const endpoint& to, const http_call& call, http_done done)
{
    const time_point now = boot_clock::now();
    state_->sweep(now);
    std::unique_ptr<exchange> x = std::make_unique<exchange>();
    x->client = state_;
    x->loop = &state_->loop;
    x->to = to;
    x->done = std::move(done);
    x->connection = state_->acquire_connection(to, x->connecting);
    x->reused = !x->connecting;
    x->deadline = now + call.timeout;
    x->stall_timeout = call.stall_timeout;
    x->last_deadline = now + std::max(call.timeout, max_response_time);
    x->connect_deadline = now + call.connect_timeout;
    x->first_byte_deadline =
        call.first_byte_timeout > millis(0) ? now + call.first_byte_timeout : x->deadline;
    x->request = build_request(*x, call, state_->name);
    x->output_watch = evbuffer_add_cb(output_of(*x), on_output, x.get());
    state_->sent += call.body.size() + call.path.size() + header_estimate;
    exchange* in_flight = x.release(); // freed by `complete`
    in_flight->timer = event_new(state_->loop.internals().base, -1, 0, on_timer, in_flight);
    schedule_timer(*in_flight, now);
    if (evhttp_make_request(in_flight->connection, in_flight->request,
                            detail::command_of(call.method), call.path.c_str()) != 0) {
        event_del(in_flight->timer);
        fail_later(state_->loop.internals().base, in_flight);
    }
}

std::uint64_t http_client::bytes_sent() const
{
    return state_->sent;
}

std::uint64_t http_client::bytes_received() const
{
    return state_->received;
}

} // namespace sesamesill
