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
#include "sesamesill/log.h"
#include "sesamesill/rpc.h"
#include "worker_service.h"

namespace sesamesill {
namespace {

constexpr millis drain_check_interval{20};

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
    bool draining = false;
    time_point drain_until;

    state(event_loop& l, const node_settings& s)
        : loop(l), settings(s), client(l, s.name), callers(l), peers(l),
          journal(l, client, settings, new_incarnation()), cell(l, client, settings),
          documents(l, client, cell, journal, settings), document_calls(documents, settings),
          workers(l, client, cell, settings), keys(l, cell, journal, settings),
          calls(l, client, cell, keys, documents),
          jobs(l, client, cell, journal, documents, workers)
    {
    }

    bool ready() const
    {
        return !draining && journal.caught_up() && documents.current() && cell.ready();
    }

    void serve();
    void serve_faults();
    void check_drained();
};

void node::state::serve()
{
    documents.serve(rpc);
    document_calls.serve(callers);
    calls.serve(callers, peers);
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

/// Test only: {"cut_to":["127.0.0.1:7101"],"delay_ms":0} for the requests of this member.
void node::state::serve_faults()
{
    callers.route("POST", "/test/faults",
                  [this](const http_request& r, const http_respond& respond) {
                      const Json::Value body = json_from(r.body).value_or(Json::Value());
                      if (!body.isObject()) {
                          respond({400, "{}", {}, "application/json"});
                          return;
                      }
                      http_faults faults;
                      for (const Json::Value& peer : body["cut_to"]) {
                          faults.cut.insert(endpoint_from(peer.asString()).value_or(endpoint{}));
                      }
                      faults.delay = millis(body["delay_ms"].asInt64());
                      client.set_faults(std::move(faults));
                      respond(json_reply(200, body));
                  });
}

void node::state::check_drained()
{
    const bool idle = callers.pending() == 0 && peers.pending() == 0 && journal.waiting() == 0;
    if (idle || boot_clock::now() >= drain_until) {
        log_event(idle ? log_level::info : log_level::error, "drained",
                  {{"cut_off", static_cast<std::int64_t>(callers.pending())}});
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
    if (s.settings.faults) {
        s.serve_faults();
    }
    if (!s.callers.listen(s.settings.listen, why) || !s.peers.listen(s.settings.peer_listen, why)) {
        return false;
    }
    s.journal.start();
    s.cell.start();
    s.documents.start();
    s.workers.start();
    s.jobs.start();
    log_event(log_level::info, "started", {{"listen", to_string(s.settings.listen)}});
    return true;
}

void node::drain()
{
    state& s = *state_;
    if (s.draining) {
        s.drain_until = boot_clock::now();
        return;
    }
    s.draining = true;
    s.drain_until = boot_clock::now() + s.settings.drain_limit;
    s.loop.every(drain_check_interval, [&s] { s.check_drained(); });
    log_event(log_level::info, "draining");
}

} // namespace sesamesill
