// Connects each client socket to a socket of the server with two libevent bufferevents.

#include "proxy.h"

#include <cstring>
#include <deque>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include "evhttp.h"

namespace soak {
namespace {

constexpr int accept_backlog = 128;

sockaddr_in address_of(const endpoint& e)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(e.port);
    inet_pton(AF_INET, e.address.c_str(), &address.sin_addr);
    return address;
}

/// Makes a later close of the socket send a TCP reset.
void reset_on_close(bufferevent* socket)
{
    const linger zero_linger{1, 0};
    setsockopt(bufferevent_getfd(socket), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
}

} // namespace

/// One connection, owned by its proxy. Timers of delayed writes hold weak references to it.
struct proxy::link : std::enable_shared_from_this<proxy::link> {
    proxy::state* owner = nullptr;
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
    bool silent = false;
    std::deque<std::string>
        delayed[2]; ///< towards the client, towards the server; in order of arrival

    link() = default;
    ~link() { close(false); }
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    link(link&&) = delete;
    link& operator=(link&&) = delete;

    void close(bool reset)
    {
        for (bufferevent** side : {&client, &server}) {
            if (*side != nullptr) {
                if (reset) {
                    reset_on_close(*side);
                }
                bufferevent_free(*side);
                *side = nullptr;
            }
        }
    }
};

struct proxy::state {
    state(event_loop& l, endpoint at, endpoint to)
        : loop(l), listen(std::move(at)), server(std::move(to))
    {
    }

    event_loop& loop;
    endpoint listen;
    endpoint server;
    evconnlistener* listener = nullptr;
    link_faults faults;
    std::set<std::shared_ptr<link>> links;
    std::vector<evutil_socket_t> fillers; ///< connections that fill the queue of the listener

    void apply(link& l) const
    {
        const auto set = [](bufferevent* side, bool reads) {
            if (side != nullptr) {
                reads ? bufferevent_enable(side, EV_READ) : bufferevent_disable(side, EV_READ);
            }
        };
        set(l.client, !l.silent && !faults.blocks_to_server);
        set(l.server, !l.silent && !faults.blocks_to_client);
    }

    void drop_connects();
    void resume_connects();
    void accept(evutil_socket_t socket);
    static void on_data(bufferevent* from, void* argument);
    static void on_event(bufferevent* from, short what, void* argument);
};

/// Stops accepting and fills the queue of the listener, after which the kernel drops the packets
/// that open connections.
void proxy::state::drop_connects()
{
    constexpr int queue_size = 2; ///< with a backlog of 0, with one to spare
    evconnlistener_disable(listener);
    ::listen(evconnlistener_get_fd(listener), 0);
    const sockaddr_in to = address_of(listen);
    while (fillers.size() < queue_size) {
        const evutil_socket_t filler =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (filler < 0) {
            return;
        }
        fillers.push_back(filler);
        if (connect(filler, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
            errno != EINPROGRESS) {
            return;
        }
    }
}

void proxy::state::resume_connects()
{
    for (const evutil_socket_t filler : fillers) {
        evutil_closesocket(filler);
    }
    fillers.clear();
    ::listen(evconnlistener_get_fd(listener), accept_backlog);
    evconnlistener_enable(listener);
}

void proxy::state::accept(evutil_socket_t socket)
{
    event_base* base = loop.internals().base;
    const std::shared_ptr<link> l = std::make_shared<link>();
    l->owner = this;
    l->client = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    l->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in to = address_of(server);
    for (bufferevent* side : {l->client, l->server}) {
        bufferevent_setcb(side, on_data, nullptr, on_event, l.get());
        bufferevent_enable(side, EV_WRITE);
    }
    links.insert(l);
    if (bufferevent_socket_connect(l->server, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
        0) {
        l->close(true);
        links.erase(l);
        return;
    }
    apply(*l);
}

void proxy::state::on_data(bufferevent* from, void* argument)
{
    link* l = static_cast<link*>(argument);
    const std::string bytes = detail::read_all(bufferevent_get_input(from));
    const bool from_client = from == l->client;
    const auto forward = [](link& to, bool to_server, const std::string& text) {
        bufferevent* side = to_server ? to.server : to.client;
        if (side != nullptr) {
            bufferevent_write(side, text.data(), text.size());
        }
    };
    const std::size_t direction = from_client ? 1 : 0;
    if (l->owner->faults.delay == millis(0) && l->delayed[direction].empty()) {
        forward(*l, from_client, bytes);
        return;
    }
    // Each timer forwards the oldest bytes, so that the order stays when the delay changes.
    l->delayed[direction].push_back(bytes);
    const std::weak_ptr<link> weak = l->weak_from_this();
    l->owner->loop.after(l->owner->faults.delay, [weak, direction, forward] {
        const std::shared_ptr<link> shared_link = weak.lock();
        if (shared_link && !shared_link->delayed[direction].empty()) {
            const std::string oldest = shared_link->delayed[direction].front();
            shared_link->delayed[direction].pop_front();
            forward(*shared_link, direction == 1, oldest);
        }
    });
}

void proxy::state::on_event(bufferevent* from, short what, void* argument)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    link* l = static_cast<link*>(argument);
    const std::shared_ptr<link> shared_link = l->shared_from_this();
    state* owner = l->owner;
    bufferevent* other = from == l->client ? l->server : l->client;
    const bool clean = (what & BEV_EVENT_EOF) != 0;
    if (clean && other != nullptr && !l->silent &&
        evbuffer_get_length(bufferevent_get_output(other)) > 0) {
        // Delays the close so that the buffered bytes can be sent first.
        bufferevent_disable(from, EV_READ);
        owner->loop.after(millis(20), [owner, weak = std::weak_ptr<link>(shared_link)] {
            const std::shared_ptr<link> closing_link = weak.lock();
            if (closing_link) {
                closing_link->close(false);
                owner->links.erase(closing_link);
            }
        });
        return;
    }
    shared_link->close(!clean);
    owner->links.erase(shared_link);
}

proxy::proxy(event_loop& loop, endpoint listen, endpoint server)
    : state_(std::make_shared<state>(loop, std::move(listen), std::move(server)))
{
}

proxy::~proxy()
{
    state_->links.clear();
    for (const evutil_socket_t filler : state_->fillers) {
        evutil_closesocket(filler);
    }
    if (state_->listener != nullptr) {
        evconnlistener_free(state_->listener);
    }
}

bool proxy::start(error& why)
{
    const sockaddr_in at = address_of(state_->listen);
    state_->listener = evconnlistener_new_bind(
        state_->loop.internals().base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
            static_cast<state*>(argument)->accept(socket);
        },
        state_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        accept_backlog, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
    if (state_->listener == nullptr) {
        why = {error_code::unavailable, step::rpc, to_string(state_->listen), std::strerror(errno)};
    }
    return state_->listener != nullptr;
}

void proxy::set_faults(const link_faults& faults)
{
    if (faults.drops_connects != state_->faults.drops_connects) {
        faults.drops_connects ? state_->drop_connects() : state_->resume_connects();
    }
    state_->faults = faults;
    for (const std::shared_ptr<link>& l : state_->links) {
        state_->apply(*l);
    }
}

void proxy::reset()
{
    for (const std::shared_ptr<link>& l : state_->links) {
        l->close(true);
    }
    state_->links.clear();
}

void proxy::silence()
{
    for (const std::shared_ptr<link>& l : state_->links) {
        l->silent = true;
        state_->apply(*l);
    }
}

} // namespace soak
