// Creates the services of a member, routes requests to them, and drains them on shutdown.

#include "sesamesill/node.h"

#include <algorithm>

#include <sys/resource.h>

#include "admin_service.h"
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
#include "sesamesill/metrics.h"
#include "sesamesill/rpc.h"
#include "worker_service.h"

namespace sesamesill {
namespace {

constexpr millis drain_check_interval{20};
constexpr millis min_idle_time{200}; ///< time without work before a draining member stops
/// Longest time that a draining member waits for the log to accept its release.
constexpr millis max_release_wait{2000};

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
    admin_service admin;
    stop_plan stop;
    bool draining = false;
    time_point last_busy; ///< when work was last in flight, updated while draining
    time_point release_deadline;

    state(event_loop& l, const node_settings& s)
        : loop(l), settings(s), client(l, s.name), callers(l), peers(l),
          journal(l, client, settings, new_incarnation()), cell(l, client, settings, journal),
          documents(l, client, cell, journal, settings), document_calls(documents, settings),
          workers(l, client, cell, settings), keys(l, cell, journal, settings),
          calls(l, client, cell, keys, documents, settings),
          jobs(l, client, cell, journal, documents, workers, keys, settings),
          admin(client, cell, settings)
    {
    }

    std::string not_ready() const;
    void serve();
    void serve_status();
    void refresh_gauges();
    void serve_faults();
    void check_drained();
};

void node::state::serve()
{
    cell.serve(callers, rpc);
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
        const std::string reason = not_ready();
        respond({reason.empty() ? 200 : 503,
                 reason.empty() ? "ready\n" : reason + "\n",
                 {},
                 "text/plain"});
    });
    serve_status();
}

/// Returns why this member accepts no work, or "" if it does.
std::string node::state::not_ready() const
{
    if (draining) {
        return "draining";
    }
    if (const std::optional<error> why = documents.not_ready()) {
        return to_string(*why);
    }
    if (!cell.ready()) {
        return "not in a membership view of the cell";
    }
    if (journal.halted()) {
        return "the log holds a record of a newer version";
    }
    return journal.caught_up() ? "" : "the log was not read to its end yet";
}

void node::state::serve_status()
{
    admin.add_status("document", [this] { return documents.status(); });
    admin.add_status("load", [this] {
        Json::Value load;
        load["calls_in_flight"] = static_cast<Json::UInt64>(calls.in_flight());
        load["appends_waiting"] = static_cast<Json::UInt64>(journal.waiting());
        load["used_cpu_millis"] = static_cast<Json::Int64>(workers.used().cpu_millis);
        load["size_cpu_millis"] = static_cast<Json::Int64>(workers.size().cpu_millis);
        return load;
    });
    admin.add_status("not_ready", [this] { return Json::Value(not_ready()); });
    admin.before_metrics([this] { refresh_gauges(); });
    admin.serve(callers, rpc);
}

void node::state::refresh_gauges()
{
    metrics_registry& m = process_metrics();
    m.gauge("sesamesill_document_version", "version of the document in force here") =
        static_cast<double>(documents.version());
    m.gauge("sesamesill_calls_in_flight", "calls taken and not answered") =
        static_cast<double>(calls.in_flight());
    m.gauge("sesamesill_appends_waiting", "items that wait for the log") =
        static_cast<double>(journal.waiting());
    m.gauge("sesamesill_log_appends_total", "appends sent to the log") =
        static_cast<double>(journal.appends());
    m.gauge("sesamesill_log_appended_items_total", "items in those appends") =
        static_cast<double>(journal.appended_items());
    m.gauge("sesamesill_log_appended_bytes_total", "bytes of those appends") =
        static_cast<double>(journal.appended_bytes());
    m.gauge("sesamesill_sent_bytes_total",
            "bytes of requests sent to peers, endpoints and platform") =
        static_cast<double>(client.bytes_sent());
    m.gauge("sesamesill_received_bytes_total", "bytes of answers received") =
        static_cast<double>(client.bytes_received());
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    m.gauge("process_cpu_seconds_total", "processor time of this process") =
        static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
        static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    m.gauge("process_max_resident_bytes", "largest resident memory so far") =
        static_cast<double>(usage.ru_maxrss) * 1024.0;
    const resources size = workers.size();
    const resources used = workers.used();
    m.gauge("sesamesill_packing_ratio", "reserved share of the fullest resource of owned workers") =
        dominant_share(used, size);
}

/// Serves a test-only route that injects faults into the requests that this member sends. Its body:
/// {"cut_to":["127.0.0.1:7101"],"delay_ms":0}
void node::state::serve_faults()
{
    callers.route(
        "POST", "/test/faults", [this](const http_request& r, const http_respond& respond) {
            const Json::Value body = json_from(r.body).value_or(Json::Value());
            if (!body.isObject()) {
                respond({400, "{}", {}, "application/json"});
                return;
            }
            http_faults faults;
            for (const Json::Value& peer : body["cut_to"]) {
                faults.unreachable.insert(endpoint_from(peer.asString()).value_or(endpoint{}));
            }
            faults.delay = millis(body["delay_ms"].asInt64());
            client.set_faults(std::move(faults));
            respond(json_reply(200, body));
        });
}

void node::state::check_drained()
{
    const time_point now = boot_clock::now();
    const bool released = cell.waiting() == 0 || now >= release_deadline;
    const std::size_t appends = journal.waiting() - std::min(journal.waiting(), cell.waiting());
    const std::size_t in_flight = callers.pending() + peers.pending() + appends;
    if (in_flight > 0 || !released) {
        last_busy = now;
    }
    // During the idle time, replies leave the process and late requests arrive on open connections.
    const bool idle = now - last_busy >= min_idle_time;
    const stop_phase phase = stop.phase(now, idle ? 0 : 1);
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
    s.admin.on_drain([this] { drain(); });
    if (s.settings.faults) {
        s.serve_faults();
    }
    if (!s.callers.listen(s.settings.listen, why) || !s.peers.listen(s.settings.peer_listen, why)) {
        return false;
    }
    s.journal.start();
    s.cell.start();
    s.documents.start();
    s.documents.on_change([&s] { s.workers.set_policy(s.documents.current()->placement); });
    s.workers.start();
    s.jobs.start();
    log_event(log_level::info, "started", {{"listen", to_string(s.settings.listen)}});
    return true;
}

void node::drain()
{
    state& s = *state_;
    const time_point now = boot_clock::now();
    if (s.draining) {
        s.stop.stop_now(now);
        return;
    }
    s.draining = true;
    s.last_busy = now;
    s.release_deadline = now + max_release_wait;
    s.stop.begin(now, s.settings.stop_announce, s.settings.drain_limit);
    s.callers.close_after_answers();
    s.cell.release();
    s.loop.every(drain_check_interval, [&s] { s.check_drained(); });
    log_event(log_level::info, "draining");
}

} // namespace sesamesill
