// Implements the event loop, the text form of endpoints and conversions from evhttp's types.

#include "sesamesill/http.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>

#include "evhttp.h"

namespace sesamesill {
namespace detail {

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

namespace {

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

http_headers headers_of(const evkeyvalq* list)
{
    http_headers headers;
    for (const evkeyval* h = list->tqh_first; h != nullptr; h = h->next.tqe_next) {
        headers[to_lower(h->key)] = h->value;
    }
    return headers;
}

namespace {

struct method_name {
    evhttp_cmd_type type;
    const char* name;
};

constexpr method_name method_names[] = {{EVHTTP_REQ_GET, "GET"},
                                        {EVHTTP_REQ_POST, "POST"},
                                        {EVHTTP_REQ_PUT, "PUT"},
                                        {EVHTTP_REQ_DELETE, "DELETE"},
                                        {EVHTTP_REQ_HEAD, "HEAD"}};

} // namespace

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

} // namespace detail

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
    const std::from_chars_result parse_result =
        std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (parse_result.ec != std::errc() || parse_result.ptr != digits.data() + digits.size() ||
        result.port == 0) {
        return std::nullopt;
    }
    return result;
}

namespace {

void run_action(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    event_loop::state::timer* t = static_cast<event_loop::state::timer*>(argument);
    if (!t->once) {
        t->action();
        return;
    }
    const std::unique_ptr<event_loop::state::timer> owned(t);
    owned->owner->one_shot_timers.erase(t);
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
    for (const std::unique_ptr<state::timer>& t : state_->timers) {
        event_free(t->handle);
    }
    for (state::timer* t : state_->one_shot_timers) {
        event_free(t->handle);
        delete t; // frees the action without running it
    }
    for (evhttp_connection* connection : state_->to_free) {
        evhttp_connection_free(connection);
    }
    event_base_free(state_->base);
}

void event_loop::simulate_time()
{
    state_->simulates_time = true;
    boot_clock::simulate(boot_clock::now());
}

void event_loop::every(millis period, std::function<void()> action)
{
    if (state_->simulates_time) {
        state_->simulated_timers.insert({boot_clock::now() + period, {std::move(action), period}});
        return;
    }
    std::unique_ptr<state::timer> t = std::make_unique<state::timer>();
    t->action = std::move(action);
    t->handle = event_new(state_->base, -1, EV_PERSIST, run_action, t.get());
    const timeval tv = detail::to_timeval(period);
    event_add(t->handle, &tv);
    state_->timers.push_back(std::move(t));
}

void event_loop::after(millis delay, std::function<void()> action)
{
    if (state_->simulates_time) {
        state_->simulated_timers.insert({boot_clock::now() + delay, {std::move(action)}});
        return;
    }
    std::unique_ptr<state::timer> t = std::make_unique<state::timer>();
    t->action = std::move(action);
    t->once = true;
    t->handle = event_new(state_->base, -1, 0, run_action, t.get());
    const timeval tv = detail::to_timeval(delay);
    event_add(t->handle, &tv);
    t->owner = state_.get();
    state_->one_shot_timers.insert(
        t.release()); // freed by run_action or by the destructor of the loop
}

void event_loop::on_signal(int signal, std::function<void()> action)
{
    std::unique_ptr<state::timer> t = std::make_unique<state::timer>();
    t->action = std::move(action);
    t->handle = event_new(state_->base, signal, EV_SIGNAL | EV_PERSIST, run_action, t.get());
    event_add(t->handle, nullptr);
    state_->timers.push_back(std::move(t));
}

void event_loop::run()
{
    if (!state_->simulates_time) {
        event_base_dispatch(state_->base);
        return;
    }
    state_->stopped = false;
    while (!state_->stopped && !state_->simulated_timers.empty()) {
        const auto first = state_->simulated_timers.begin();
        const time_point at = first->first;
        const state::simulated_timer timer = std::move(first->second);
        state_->simulated_timers.erase(first);
        boot_clock::simulate(at);
        if (timer.period > millis(0)) {
            state_->simulated_timers.insert({at + timer.period, timer});
        }
        timer.action();
        event_base_loop(state_->base, EVLOOP_NONBLOCK);
    }
}

void event_loop::stop()
{
    state_->stopped = true;
    event_base_loopbreak(state_->base);
}

} // namespace sesamesill
