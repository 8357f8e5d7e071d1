// HTTP server on top of evhttp, with limits on the number of connections and on the time that a
// request may take to arrive.

#include "sesamesill/http.h"

#include <algorithm>
#include <unordered_map>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "evhttp.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis sweep_interval{500};
/// File descriptors left for the log, peers and endpoints.
constexpr std::size_t reserved_descriptors = 128;

/// State of an open connection. Exists until evhttp closes the connection.
struct connection_record {
    bufferevent* handle = nullptr;
    bool receiving = false;     ///< a request has arrived in part
    time_point receive_started; ///< valid while `receiving`
};

using connection_records = std::unordered_map<bufferevent*, connection_record>;

void on_bytes(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
{
    connection_record* c = static_cast<connection_record*>(argument);
    if (info->n_added > 0 && !c->receiving) {
        c->receiving = true;
        c->receive_started = boot_clock::now();
    }
}

/// Returns evhttp's connection, which is the argument of the callbacks that evhttp sets on
/// `handle`.
evhttp_connection* connection_of(bufferevent* handle)
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(handle, &read, &write, &event, &argument);
    return static_cast<evhttp_connection*>(argument);
}

void on_close(evhttp_connection* connection, void* argument)
{
    connection_records* open = static_cast<connection_records*>(argument);
    const auto record = open->find(evhttp_connection_get_bufferevent(connection));
    if (record != open->end()) {
        evbuffer_remove_cb(bufferevent_get_input(record->first), on_bytes, &record->second);
        open->erase(record);
    }
}

std::size_t connection_limit(std::size_t requested)
{
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur <= 2 * reserved_descriptors) {
        return std::min(requested, reserved_descriptors);
    }
    return std::min<std::size_t>(requested, files.rlim_cur - reserved_descriptors);
}

http_request request_from(evhttp_request* raw)
{
    http_request request;
    request.method = detail::method_of(raw);
    request.headers = detail::headers_of(evhttp_request_get_input_headers(raw));
    request.body = detail::read_all(evhttp_request_get_input_buffer(raw));
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

void send_reply(evhttp_request* raw, const http_reply& reply)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Content-Type", reply.content_type.c_str());
    for (const http_headers::value_type& h : reply.headers) {
        evhttp_add_header(headers, h.first.c_str(), h.second.c_str());
    }
    evbuffer* body = evhttp_request_get_output_buffer(raw);
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(raw, reply.status, nullptr, nullptr);
}

struct pending_requests {
    std::size_t count = 0;
    bool server_destroyed = false;  ///< the server and its requests are destroyed
    bool close_connections = false; ///< each response closes its connection
};

/// Sends the response of one request. Sends status 500 where the handler never responds.
class responder {
public:
    responder(evhttp_request* raw, std::shared_ptr<pending_requests> pending)
        : raw_(raw), pending_(std::move(pending))
    {
        ++pending_->count;
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
        --pending_->count;
        if (pending_->server_destroyed) {
            return;
        }
        if (pending_->close_connections) {
            evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection", "close");
        }
        send_reply(raw, reply);
    }

private:
    evhttp_request* raw_;
    std::shared_ptr<pending_requests> pending_;
};

} // namespace

struct http_server::state {
    struct route_entry {
        std::string method;
        std::string prefix;
        http_handler handler;
    };

    event_loop& loop;
    http_limits limits;
    evhttp* http = nullptr;
    evhttp_bound_socket* socket = nullptr;
    event* sweep_event = nullptr;
    event* register_event = nullptr;
    std::vector<route_entry> routes;
    http_handler fallback;
    connection_records open;
    std::vector<bufferevent*> accepted; ///< not in `open` yet; added by register_accepted
    std::shared_ptr<pending_requests> pending = std::make_shared<pending_requests>();

    state(event_loop& l, http_limits h) : loop(l), limits(h) {}
    const route_entry* find(const std::string& method, const std::string& path,
                            bool& path_known) const;
    bufferevent* accept(event_base* base);
    void register_accepted();
    void serve(evhttp_request* raw);
    void sweep();
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

bufferevent* http_server::state::accept(event_base* base)
{
    bufferevent* handle = bufferevent_socket_new(base, -1, 0);
    if (handle != nullptr) {
        accepted.push_back(handle); // registered later: evhttp has not set its callbacks yet
        event_active(register_event, EV_TIMEOUT, 0);
    }
    return handle;
}

void http_server::state::register_accepted()
{
    for (bufferevent* handle : accepted) {
        if (open.size() >= limits.max_connections) {
            // evhttp sees end of file and closes the connection.
            shutdown(bufferevent_getfd(handle), SHUT_RDWR);
            continue;
        }
        connection_record& c = open[handle];
        c.handle = handle;
        evbuffer_add_cb(bufferevent_get_input(handle), on_bytes, &c);
        evhttp_connection_set_closecb(connection_of(handle), on_close, &open);
    }
    accepted.clear();
}

void http_server::state::sweep()
{
    const time_point now = boot_clock::now();
    for (const connection_records::value_type& c : open) {
        if (c.second.receiving && now - c.second.receive_started > limits.request_timeout) {
            shutdown(bufferevent_getfd(c.first), SHUT_RDWR);
        }
    }
}

void http_server::state::serve(evhttp_request* raw)
{
    evhttp_connection* connection = evhttp_request_get_connection(raw);
    const auto record = open.find(evhttp_connection_get_bufferevent(connection));
    if (record != open.end()) {
        record->second.receiving = false;
    }
    const http_request request = request_from(raw);
    const std::shared_ptr<responder> r = std::make_shared<responder>(raw, pending);
    bool path_known = false;
    const route_entry* found = find(request.method, request.path, path_known);
    if (found == nullptr && !fallback) {
        r->answer({path_known ? 405 : 404, "{\"error\":\"no such call\"}", {}, "application/json"});
        return;
    }
    const http_handler& handler = found != nullptr ? found->handler : fallback;
    try {
        handler(request, [r](const http_reply& reply) { r->answer(reply); });
    }
    catch (const std::exception& e) {
        // evhttp's C code can't pass on exceptions. The responder answers with status 500.
        log_error("request_failed", {error_code::internal, step::http, request.peer,
                                     request.method + " " + request.path + ": " + e.what()});
    }
}

http_server::http_server(event_loop& loop, http_limits limits)
    : state_(std::make_unique<state>(loop, limits))
{
    state& s = *state_;
    s.limits.max_connections = connection_limit(limits.max_connections);
    s.http = evhttp_new(loop.internals().base);
    evhttp_set_max_headers_size(s.http, static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(s.http, static_cast<ev_ssize_t>(limits.max_body_bytes));
    const std::int64_t idle_seconds = to_millis(limits.idle_timeout) / 1000;
    evhttp_set_timeout(s.http, static_cast<int>(std::max<std::int64_t>(1, idle_seconds)));
    evhttp_set_allowed_methods(s.http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(
        s.http,
        [](evhttp_request* raw, void* argument) { static_cast<state*>(argument)->serve(raw); }, &s);
    evhttp_set_bevcb(
        s.http,
        [](event_base* base, void* argument) {
            return static_cast<state*>(argument)->accept(base);
        },
        &s);
    s.sweep_event = event_new(
        loop.internals().base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* argument) { static_cast<state*>(argument)->sweep(); }, &s);
    s.register_event = event_new(
        loop.internals().base, -1, 0,
        [](evutil_socket_t, short, void* argument) {
            static_cast<state*>(argument)->register_accepted();
        },
        &s);
    const timeval interval = detail::to_timeval(sweep_interval);
    event_add(s.sweep_event, &interval);
}

http_server::~http_server()
{
    state_->pending->server_destroyed = true;
    event_free(state_->sweep_event);
    event_free(state_->register_event);
    evhttp_free(state_->http);
}

void http_server::route(std::string method, std::string prefix, http_handler handler)
{
    state_->routes.push_back({std::move(method), std::move(prefix), std::move(handler)});
}

void http_server::fallback(http_handler handler)
{
    state_->fallback = std::move(handler);
}

bool http_server::listen(const endpoint& at, error& why)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    evconnlistener* listener = nullptr;
    if (inet_pton(AF_INET, at.address.c_str(), &address.sin_addr) == 1) {
        listener = evconnlistener_new_bind(
            state_->loop.internals().base, nullptr, nullptr,
            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
            state_->limits.backlog, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    state_->socket = listener != nullptr ? evhttp_bind_listener(state_->http, listener) : nullptr;
    if (state_->socket == nullptr) {
        why = {error_code::unavailable, step::http, to_string(at), "cannot listen on this address"};
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

void http_server::close_after_answers()
{
    state_->pending->close_connections = true;
}

std::size_t http_server::pending() const
{
    std::size_t unsent = 0;
    for (const connection_records::value_type& c : state_->open) {
        unsent += evbuffer_get_length(bufferevent_get_output(c.first)) > 0 ? 1 : 0;
    }
    return state_->pending->count + unsent;
}

std::size_t http_server::connections() const
{
    return state_->open.size();
}

} // namespace sesamesill
