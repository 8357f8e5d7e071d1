// Builds the services of a member and ties them together.

#include "sesamesill/node.h"

#include "call_service.h"
#include "cell_service.h"
#include "document_api.h"
#include "document_service.h"
#include "job_service.h"
#include "journal_service.h"
#include "key_service.h"
#include "replies.h"
#include "sesamesill/drain.h"
#include "sesamesill/log.h"
#include "sesamesill/rpc.h"
#include "worker_service.h"

namespace sesamesill {
namespace {

constexpr millis drain_check_interval{20};
constexpr millis quiet_time{200};

std::string new_incarnation()
{
    return std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

struct node::state {
    event_loop& loop;
    node_settings settings;
    http_client client;
    http_server callers;
    http_server peers;
    rpc_server rpc;
    journal_service journal;
    cell_service cell;
    document_service documents;
    document_api document_calls;
    worker_service workers;
    key_service keys;
    call_service calls;
    job_service jobs;
    stop_plan stop;
    bool draining = false;
    time_point busy_at; ///< while draining: when something was last in flight

    state(event_loop& l, const node_settings& s)
        : loop(l), settings(s), client(l, s.name), callers(l), peers(l),
          journal(l, client, settings, new_incarnation()), cell(l, client, settings),
          documents(l, client, cell, journal, settings), document_calls(documents, settings),
          workers(l, client, cell, settings), keys(l, cell, journal, settings),
          calls(l, client, cell, keys, documents, settings),
          jobs(l, client, cell, journal, documents, workers)
    {
    }

    bool ready() const
    {
        return !draining && journal.caught_up() && documents.current() && cell.ready();
    }

    void serve();
    void check_drained();
};

void node::state::serve()
{
    documents.serve(rpc);
    document_calls.serve(callers);
    calls.serve(callers, peers, rpc);
    jobs.serve(callers, peers, rpc);
    peers.route("POST", "/rpc", [this](const http_request& r, const http_respond& respond) {
        respond({200, rpc.handle(r.body), {}, "application/json"});
    });
    callers.route("GET", "/healthz", [](const http_request&, const http_respond& respond) {
        respond({200, "ok\n", {}, "text/plain"});
    });
    callers.route("GET", "/readyz", [this](const http_request&, const http_respond& respond) {
        respond({ready() ? 200 : 503, ready() ? "ready\n" : "not ready\n", {}, "text/plain"});
    });
}

void node::state::check_drained()
{
    const time_point now = boot_clock::now();
    const std::size_t in_flight = callers.pending() + peers.pending() + journal.waiting();
    if (in_flight > 0) {
        busy_at = now;
    }
    // Answers leave the process and late requests on kept connections arrive in the quiet time.
    const bool quiet = now - busy_at >= quiet_time;
    const stop_phase phase = stop.phase(now, quiet ? 0 : 1);
    if (phase == stop_phase::finishing) {
        callers.stop_listening();
    }
    if (phase == stop_phase::stopped) {
        log_event(in_flight == 0 ? log_level::info : log_level::error, "drained",
                  {{"cut_off", static_cast<std::int64_t>(in_flight)}});
        loop.stop();
    }
}

node::node(event_loop& loop, const node_settings& settings)
    : state_(std::make_unique<state>(loop, settings))
{
}

node::~node() = default;

bool node::start(error& why)
{
    state& s = *state_;
    s.serve();
    if (!s.callers.listen(s.settings.listen, why) || !s.peers.listen(s.settings.peer_listen, why)) {
        return false;
    }
    s.journal.start();
    s.cell.start();
    s.documents.start();
    s.workers.start();
    s.calls.start();
    s.jobs.start();
    log_event(log_level::info, "started", {{"listen", to_string(s.settings.listen)}});
    return true;
}

void node::drain()
{
    state& s = *state_;
    const time_point now = boot_clock::now();
    if (s.draining) {
        s.stop.hurry(now);
        return;
    }
    s.draining = true;
    s.busy_at = now;
    s.stop.begin(now, s.settings.stop_announce, s.settings.drain_limit);
    s.callers.close_after_answers();
    s.loop.every(drain_check_interval, [&s] { s.check_drained(); });
    log_event(log_level::info, "draining");
}

} // namespace sesamesill
