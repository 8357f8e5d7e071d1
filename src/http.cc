// evhttp behind the project's own types.

#include "sesamesill/http.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <deque>
#include <stdexcept>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>

namespace sesamesill {
namespace {

timeval to_timeval(micros d)
{
    timeval tv{};
    tv.tv_sec = static_cast<time_t>(d.count() / 1000000);
    tv.tv_usec = static_cast<suseconds_t>(d.count() % 1000000);
    return tv;
}

std::string read_all(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_headers headers_of(const evkeyvalq* list)
{
    http_headers headers;
    for (const evkeyval* h = list->tqh_first; h != nullptr; h = h->next.tqe_next) {
        headers[lower(h->key)] = h->value;
    }
    return headers;
}

struct method_name {
    evhttp_cmd_type type;
    const char* name;
};

constexpr method_name method_names[] = {{EVHTTP_REQ_GET, "GET"},
                                        {EVHTTP_REQ_POST, "POST"},
                                        {EVHTTP_REQ_PUT, "PUT"},
                                        {EVHTTP_REQ_DELETE, "DELETE"},
                                        {EVHTTP_REQ_HEAD, "HEAD"}};

std::string method_of(evhttp_request* request)
{
    const evhttp_cmd_type type = evhttp_request_get_command(request);
    for (const method_name& m : method_names) {
        if (m.type == type) {
            return m.name;
        }
    }
    return "OTHER";
}

evhttp_cmd_type command_of(const std::string& method)
{
    for (const method_name& m : method_names) {
        if (method == m.name) {
            return m.type;
        }
    }
    return EVHTTP_REQ_GET;
}

http_request request_from(evhttp_request* raw)
{
    http_request request;
    request.method = method_of(raw);
    request.headers = headers_of(evhttp_request_get_input_headers(raw));
    request.body = read_all(evhttp_request_get_input_buffer(raw));
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
    const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
    request.path = path != nullptr ? path : "/";
    const char* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
    if (query != nullptr) {
        evkeyvalq parsed{};
        if (evhttp_parse_query_str(query, &parsed) == 0) {
            for (const evkeyval* q = parsed.tqh_first; q != nullptr; q = q->next.tqe_next) {
                request.query[q->key] = q->value;
            }
        }
        evhttp_clear_headers(&parsed);
    }
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection* connection = evhttp_request_get_connection(raw);
    if (connection != nullptr) {
        evhttp_connection_get_peer(connection, &address, &port);
        request.peer = address != nullptr ? address : "";
    }
    return request;
}

struct timer {
    event* handle = nullptr;
    bool once = false;
    std::function<void()> action;
};

} // namespace

std::string to_string(const endpoint& e)
{
    return e.address + ":" + std::to_string(e.port);
}

std::optional<endpoint> endpoint_from(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint result;
    result.address = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, result.address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    const std::from_chars_result read =
        std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size() || result.port == 0) {
        return std::nullopt;
    }
    return result;
}

struct event_loop::state {
    event_base* base = nullptr;
    std::vector<std::unique_ptr<timer>> timers; ///< repeating timers and signals
};

namespace {

void run_action(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    timer* t = static_cast<timer*>(argument);
    if (!t->once) {
        t->action();
        return;
    }
    const std::unique_ptr<timer> owned(t);
    event_free(owned->handle);
    owned->action();
}

} // namespace

event_loop::event_loop() : state_(std::make_unique<state>())
{
    std::signal(SIGPIPE, SIG_IGN);
    state_->base = event_base_new();
    if (state_->base == nullptr) {
        throw std::runtime_error("event_base_new failed");
    }
}

event_loop::~event_loop()
{
    for (const std::unique_ptr<timer>& t : state_->timers) {
        event_free(t->handle);
    }
    event_base_free(state_->base);
}

void event_loop::every(millis period, std::function<void()> action)
{
    std::unique_ptr<timer> t = std::make_unique<timer>();
    t->action = std::move(action);
    t->handle = event_new(state_->base, -1, EV_PERSIST, run_action, t.get());
    const timeval tv = to_timeval(period);
    event_add(t->handle, &tv);
    state_->timers.push_back(std::move(t));
}

void event_loop::after(millis delay, std::function<void()> action)
{
    std::unique_ptr<timer> t = std::make_unique<timer>();
    t->action = std::move(action);
    t->once = true;
    t->handle = event_new(state_->base, -1, 0, run_action, t.get());
    const timeval tv = to_timeval(delay);
    event_add(t->handle, &tv);
    static_cast<void>(t.release()); // run_action frees it
}

void event_loop::on_signal(int signal, std::function<void()> action)
{
    std::unique_ptr<timer> t = std::make_unique<timer>();
    t->action = std::move(action);
    t->handle = event_new(state_->base, signal, EV_SIGNAL | EV_PERSIST, run_action, t.get());
    event_add(t->handle, nullptr);
    state_->timers.push_back(std::move(t));
}

void event_loop::run()
{
    event_base_dispatch(state_->base);
}

void event_loop::stop()
{
    event_base_loopbreak(state_->base);
}

struct http_server::state {
    struct route_entry {
        std::string method;
        std::string prefix;
        http_handler handler;
    };

    event_loop& loop;
    evhttp* http = nullptr;
    evhttp_bound_socket* socket = nullptr;
    std::vector<route_entry> routes;
    std::shared_ptr<std::size_t> pending = std::make_shared<std::size_t>(0);

    explicit state(event_loop& l) : loop(l) {}
    const route_entry* find(const std::string& method, const std::string& path,
                            bool& path_known) const;
};

const http_server::state::route_entry*
http_server::state::find(const std::string& method, const std::string& path, bool& path_known) const
{
    for (const route_entry& r : routes) {
        const bool matches = r.prefix.back() == '/' && r.prefix.size() > 1
                                 ? path.compare(0, r.prefix.size(), r.prefix) == 0
                                 : path == r.prefix;
        if (matches) {
            path_known = true;
            if (r.method == method) {
                return &r;
            }
        }
    }
    return nullptr;
}

namespace {

void send_reply(evhttp_request* raw, const http_reply& reply)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Content-Type", reply.content_type.c_str());
    for (const http_headers::value_type& h : reply.headers) {
        evhttp_add_header(headers, h.first.c_str(), h.second.c_str());
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(raw, reply.status, nullptr, body);
    evbuffer_free(body);
}

/// Answers once; a handler that forgets to answer leaves a 500.
class responder {
public:
    responder(evhttp_request* raw, std::shared_ptr<std::size_t> pending)
        : raw_(raw), pending_(std::move(pending))
    {
        ++*pending_;
    }

    ~responder()
    {
        if (raw_ != nullptr) {
            answer({500, "{\"error\":\"no answer\"}", {}, "application/json"});
        }
    }

    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    responder(responder&&) = delete;
    responder& operator=(responder&&) = delete;

    void answer(const http_reply& reply)
    {
        if (raw_ == nullptr) {
            return;
        }
        evhttp_request* raw = raw_;
        raw_ = nullptr;
        --*pending_;
        send_reply(raw, reply);
    }

private:
    evhttp_request* raw_;
    std::shared_ptr<std::size_t> pending_;
};

} // namespace

http_server::http_server(event_loop& loop, http_limits limits)
    : state_(std::make_unique<state>(loop))
{
    state_->http = evhttp_new(loop.internals().base);
    evhttp_set_max_headers_size(state_->http, static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(state_->http, static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_timeout(state_->http, static_cast<int>(std::max<std::int64_t>(
                                         1, to_millis(limits.idle_timeout) / 1000)));
    evhttp_set_allowed_methods(state_->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(
        state_->http,
        [](evhttp_request* raw, void* argument) {
            const state* s = static_cast<state*>(argument);
            const http_request request = request_from(raw);
            const std::shared_ptr<responder> r = std::make_shared<responder>(raw, s->pending);
            bool path_known = false;
            const state::route_entry* found = s->find(request.method, request.path, path_known);
            if (found == nullptr) {
                r->answer({path_known ? 405 : 404,
                           "{\"error\":\"no such call\"}",
                           {},
                           "application/json"});
                return;
            }
            found->handler(request, [r](const http_reply& reply) { r->answer(reply); });
        },
        state_.get());
}

http_server::~http_server()
{
    evhttp_free(state_->http);
}

void http_server::route(std::string method, std::string prefix, http_handler handler)
{
    state_->routes.push_back({std::move(method), std::move(prefix), std::move(handler)});
}

bool http_server::listen(const endpoint& at, error& why)
{
    state_->socket = evhttp_bind_socket_with_handle(state_->http, at.address.c_str(), at.port);
    if (state_->socket == nullptr) {
        why = {error_code::unavailable, step::http, to_string(at), "cannot listen"};
        return false;
    }
    return true;
}

void http_server::stop_listening()
{
    if (state_->socket != nullptr) {
        evhttp_del_accept_socket(state_->http, state_->socket);
        state_->socket = nullptr;
    }
}

std::size_t http_server::pending() const
{
    return *state_->pending;
}

struct http_client::state {
    event_loop& loop;
    std::string name;
    std::map<endpoint, std::vector<evhttp_connection*>> idle;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    bool closed = false;
    http_faults faults;

    state(event_loop& l, std::string n) : loop(l), name(std::move(n)) {}
    evhttp_connection* take(const endpoint& to);
    void give_back(const endpoint& to, evhttp_connection* connection, bool healthy);
};

namespace {

constexpr std::size_t max_idle_connections = 64; ///< per peer

/// One request in flight. Freed by its completion.
struct exchange {
    std::weak_ptr<http_client::state> client;
    evhttp_connection* connection = nullptr;
    endpoint to;
    http_done done;
};

void free_later(evhttp_connection* connection)
{
    // A connection must not be freed inside its own callback.
    const timeval now{};
    event_base_once(
        evhttp_connection_get_base(connection), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* c) {
            evhttp_connection_free(static_cast<evhttp_connection*>(c));
        },
        connection, &now);
}

void finish_exchange(evhttp_request* raw, void* argument);

} // namespace

evhttp_connection* http_client::state::take(const endpoint& to)
{
    std::vector<evhttp_connection*>& pool = idle[to];
    if (!pool.empty()) {
        evhttp_connection* connection = pool.back();
        pool.pop_back();
        return connection;
    }
    return evhttp_connection_base_new(loop.internals().base, nullptr, to.address.c_str(), to.port);
}

void http_client::state::give_back(const endpoint& to, evhttp_connection* connection, bool healthy)
{
    std::vector<evhttp_connection*>& pool = idle[to];
    if (!healthy || closed || pool.size() >= max_idle_connections) {
        free_later(connection);
        return;
    }
    pool.push_back(connection);
}

namespace {

void finish_exchange(evhttp_request* raw, void* argument)
{
    const std::unique_ptr<exchange> x(static_cast<exchange*>(argument));
    std::optional<http_reply> reply;
    error why;
    const int status = raw != nullptr ? evhttp_request_get_response_code(raw) : 0;
    if (status != 0) {
        reply.emplace();
        reply->status = status;
        reply->headers = headers_of(evhttp_request_get_input_headers(raw));
        reply->body = read_all(evhttp_request_get_input_buffer(raw));
    }
    else {
        why = {raw == nullptr ? error_code::timeout : error_code::unavailable, step::http,
               to_string(x->to), raw == nullptr ? "no whole answer" : "cannot connect"};
    }
    const std::shared_ptr<http_client::state> client = x->client.lock();
    if (client != nullptr) {
        client->received += reply ? reply->body.size() + 128 : 0;
        const bool keep = reply && reply->headers.count("connection") == 0;
        client->give_back(x->to, x->connection, keep);
    }
    else {
        free_later(x->connection);
    }
    x->done(std::move(reply), why);
}

} // namespace

http_client::http_client(event_loop& loop, std::string name)
    : state_(std::make_shared<state>(loop, std::move(name)))
{
}

http_client::~http_client()
{
    state_->closed = true;
    for (const std::pair<const endpoint, std::vector<evhttp_connection*>>& pool : state_->idle) {
        for (evhttp_connection* connection : pool.second) {
            evhttp_connection_free(connection);
        }
    }
}

void http_client::set_faults(http_faults faults)
{
    state_->faults = std::move(faults);
}

void http_client::send(const endpoint& to, http_call call, http_done done)
{
    if (state_->faults.cut.count(to) > 0) {
        state_->loop.after(call.timeout, [to, done = std::move(done)] {
            done(std::nullopt, {error_code::timeout, step::http, to_string(to), "no whole answer"});
        });
        return;
    }
    if (state_->faults.delay.count() > 0) {
        state_->loop.after(state_->faults.delay,
                           [this, to, call, done = std::move(done)] { send_now(to, call, done); });
        return;
    }
    send_now(to, std::move(call), std::move(done));
}

void http_client::send_now(const endpoint& to, http_call call, http_done done)
{
    std::unique_ptr<exchange> x = std::make_unique<exchange>();
    x->client = state_;
    x->to = to;
    x->done = std::move(done);
    x->connection = state_->take(to);
    const timeval limit = to_timeval(call.timeout);
    evhttp_connection_set_timeout_tv(x->connection, &limit);
    evhttp_connection* connection = x->connection;
    evhttp_request* raw = evhttp_request_new(finish_exchange, x.get());
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", to.address.c_str());
    evhttp_add_header(headers, "X-Client", state_->name.c_str());
    for (const http_headers::value_type& h : call.headers) {
        evhttp_add_header(headers, h.first.c_str(), h.second.c_str());
    }
    if (!call.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(raw), call.body.data(), call.body.size());
    }
    state_->sent += call.body.size() + call.path.size() + 128;
    static_cast<void>(x.release()); // finish_exchange frees it
    evhttp_make_request(connection, raw, command_of(call.method), call.path.c_str());
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
