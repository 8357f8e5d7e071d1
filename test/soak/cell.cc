// Starts the processes and stand-ins of the cell under test and applies faults to them.

#include "cell.h"

#include <csignal>
#include <fstream>
#include <random>

#include <json/json.h>

#include "sesamesill/rpc.h"

namespace soak {
namespace {

constexpr int ports_per_member = 10;
constexpr int ports_per_worker = 2;
constexpr int members_offset = 10;
constexpr std::int64_t worker_cores = 8;
constexpr int workers_per_rack = 4;
constexpr millis restart_delay{300};
constexpr millis stop_grace{6000};           ///< time from SIGTERM until a process has to exit
constexpr millis paused_process_grace{1500}; ///< added because the process may have been paused
constexpr millis collect_period{20};
constexpr millis drain_notice{2500};
constexpr millis configuration_limit{2000}; ///< a version applies at all members this late
constexpr millis recut_length{8000};        ///< of `workers_recut`: longer than a lease
constexpr int max_version_step = 3;

enum member_links { peer_link, store_link, advice_link, links_per_member };

enum member_ports { clients, readiness, peers, metrics, peer_proxy, store_proxy, advice_proxy };

int place_of(const fleet_worker& w)
{
    return std::stoi(w.place().machine.substr(std::string("machine-").size()));
}

} // namespace

cell::cell(event_loop& loop, const cell_settings& settings, promises& checks)
    : loop_(loop), settings_(settings), checks_(checks), store_(loop, settings.seed),
      store_server_(loop), advice_server_(loop), fleet_(loop, store_, checks, {}, settings.seed)
{
    store_.serve(store_server_);
    fleet_.serve_advice(advice_server_);
    checks_.set_leader_check([this] { return leader_is_sound(); });
}

endpoint cell::member_port(int member, int which) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(settings_.first_port + members_offset +
                                                    member * ports_per_member + which)};
}

endpoint cell::worker_port(int place, int which) const
{
    const int workers_offset = members_offset + settings_.members * ports_per_member;
    return {"127.0.0.1", static_cast<std::uint16_t>(settings_.first_port + workers_offset +
                                                    place * ports_per_worker + which)};
}

bool cell::write_settings(int member, error& why) const
{
    const std::string path = settings_.run_dir + "/" + member_name(member) + ".ini";
    std::ofstream file(path);
    file << "[member]\nname = " << member_name(member) << "\ndata_center = d" << member % 3
         << "\nlisten = " << to_string(member_port(member, clients))
         << "\nreadiness_listen = " << to_string(member_port(member, readiness))
         << "\npeer_listen = " << to_string(member_port(member, peers))
         << "\npeer_address = " << to_string(member_port(member, peer_proxy))
         << "\nmetrics_listen = " << to_string(member_port(member, metrics))
         << "\nprocessor_share = 0.25\n[platform]\nstore = "
         << to_string(member_port(member, store_proxy))
         << "\nadvisor = " << to_string(member_port(member, advice_proxy))
         << "\n[bounds]\nmax_lease_ms = 6000\nstop_timeout_ms = 200\ngang_timeout_ms = 3000\n"
            "drain_limit_ms = 2000\nstatus_kept_s = 120\ngrace_s = 6\nremote_factor = 2\n"
            "restore_ms = 100\n";
    if (!file) {
        why = {error_code::unavailable, step::settings, path, "cannot be written"};
    }
    return static_cast<bool>(file);
}

bool cell::start(error& why)
{
    const endpoint store{"127.0.0.1", settings_.first_port};
    const endpoint advisor{"127.0.0.1", static_cast<std::uint16_t>(settings_.first_port + 1)};
    if (!store_server_.listen(store, why) || !advice_server_.listen(advisor, why)) {
        return false;
    }
    const auto link = [this, &why](const endpoint& from, const endpoint& to) {
        links_.push_back(std::make_unique<proxy>(loop_, from, to));
        return links_.back()->start(why);
    };
    publish_configuration();
    for (int p = 0; p < settings_.workers; ++p) {
        if (!link(worker_port(p, 1), worker_port(p, 0)) || !add_worker(p, "", why)) {
            return false;
        }
    }
    for (int m = 0; m < settings_.members; ++m) {
        if (!link(member_port(m, peer_proxy), member_port(m, peers)) ||
            !link(member_port(m, store_proxy), store) ||
            !link(member_port(m, advice_proxy), advisor) || !write_settings(m, why)) {
            return false;
        }
        start_member(m);
    }
    loop_.every(collect_period, [this] {
        collect_exited();
        watch_leader();
    });
    return true;
}

std::vector<endpoint> cell::entries() const
{
    std::vector<endpoint> all;
    all.reserve(static_cast<std::size_t>(settings_.members));
    for (int m = 0; m < settings_.members; ++m) {
        all.push_back(member_port(m, clients));
    }
    return all;
}

void cell::publish_configuration(bool with_plain_route)
{
    published_.version += 1 + published_.version % max_version_step;
    published_.at = boot_clock::now();
    Json::Value config;
    config["Version"] = published_.version;
    const auto route = [&config](const std::string& name, const std::string& prefix) {
        Json::Value row;
        row["Name"] = name;
        row["Host"] = host;
        row["PathPrefix"] = prefix;
        row["Service"] = fleet::service_name;
        row["MaxAttempts"] = 3;
        row["Stretch"] = 2;
        row["TargetLatencyMs"] = 1000;
        row["TimeoutMs"] = 3000;
        return row;
    };
    if (with_plain_route) {
        config["Routes"].append(route("plain", plain_prefix));
    }
    Json::Value advised = route("placed", advised_prefix);
    advised["Advice"]["DecideMs"] = 5;
    advised["Advice"]["PerWorkerMs"] = 1;
    advised["Advice"]["ValidMs"] = 2000;
    config["Routes"].append(advised);
    config["Routes"].append(
        route("version" + std::to_string(published_.version), version_prefix(published_.version)));
    Json::Value service;
    service["Name"] = fleet::service_name;
    config["Services"].append(service);
    store_.put("keyed.op", "config", to_text(config));
}

void cell::start_member(int member)
{
    const std::string name = member_name(member);
    if (processes_.running(name)) {
        return;
    }
    expected_signals_.erase(name);
    disturb(member);
    ++starts_[member];
    processes_.start(name,
                     {settings_.program, "--settings", settings_.run_dir + "/" + name + ".ini"},
                     settings_.run_dir + "/" + name + ".log");
}

void cell::start_later(int member)
{
    loop_.after(restart_delay, [this, member] { start_member(member); });
}

/// Collects and restarts exited processes. Reports those that exited without being told to and
/// kills those that missed their stop deadline.
void cell::collect_exited()
{
    for (const std::pair<std::string, int>& ended : processes_.collect_exited()) {
        if (expected_signals_.count(ended.first) == 0) {
            checks_.report("runs", ended.first + " exited unexpectedly with status " +
                                       std::to_string(ended.second));
        }
        stop_deadlines_.erase(ended.first);
        start_later(std::stoi(ended.first.substr(1)));
    }
    const time_point now = boot_clock::now();
    for (auto s = stop_deadlines_.begin(); s != stop_deadlines_.end();) {
        const bool overdue = now > s->second;
        if (overdue) {
            checks_.report("grace", s->first + " is still running after its stop grace period");
            processes_.signal(s->first, SIGKILL);
        }
        s = overdue ? stop_deadlines_.erase(s) : std::next(s);
    }
}

/// Returns the member named in the latest leader record, or -1 if there is none.
int cell::leader() const
{
    const std::optional<Json::Value> record = json_from(store_.value_of("keyed.pool", "leader"));
    return record && record->isObject() ? std::stoi((*record)["name"].asString().substr(1)) : -1;
}

void cell::watch_leader()
{
    const int now_leading = leader();
    if (now_leading != last_leader_) {
        last_leader_ = now_leading;
        leader_since_ = boot_clock::now();
    }
}

int cell::starts_of(int member) const
{
    const auto known = starts_.find(member);
    return known != starts_.end() ? known->second : 0;
}

bool cell::is_sound(int member) const
{
    const time_point now = boot_clock::now();
    const millis quiet = checks_.bounds().fault_free_period;
    const auto own = disturbed_.find(member);
    return now - all_disturbed_ > quiet && (own == disturbed_.end() || now - own->second > quiet);
}

/// Returns whether the leader has led so long that orders of the previous one have expired, and
/// neither it nor the store nor a link had a fault lately.
bool cell::leader_is_sound() const
{
    constexpr millis order_validity{1600};
    return last_leader_ >= 0 && boot_clock::now() - leader_since_ > order_validity &&
           is_sound(last_leader_);
}

int cell::target_member(const planned_fault& fault) const
{
    return static_cast<int>(fault.target % static_cast<std::uint32_t>(settings_.members));
}

fleet_worker* cell::target_worker(const planned_fault& fault)
{
    const std::vector<std::string> ids = fleet_.ids();
    return ids.empty() ? nullptr : fleet_.find(ids[fault.target % ids.size()]);
}

bool cell::add_worker(int place, const std::string& id, error& why, millis report_delay)
{
    worker_place new_place;
    new_place.machine = "machine-" + std::to_string(place);
    new_place.rack = "r1-" + std::to_string(place / workers_per_rack);
    new_place.capacity = {worker_cores * 1000, 64000, 0};
    new_place.listen = worker_port(place, 0);
    new_place.advertised = worker_port(place, 1);
    new_place.report_delay = report_delay;
    const std::optional<std::string> added = fleet_.add(new_place, id, why);
    if (added) {
        checks_.on_worker(*added, new_place.capacity);
    }
    return added.has_value();
}

void cell::add_worker_later(int place, const std::string& id, millis delay, millis report_delay)
{
    loop_.after(delay, [this, place, id, report_delay] {
        error why;
        if (!add_worker(place, id, why, report_delay)) {
            add_worker_later(place, id, restart_delay,
                             report_delay); // the previous worker still uses the port
        }
    });
}

/// Runs `action` after `delay` unless `heal` is called first.
void cell::after(millis delay, std::function<void()> action)
{
    loop_.after(delay, [this, heal_count = heal_count_, action = std::move(action)] {
        if (heal_count == heal_count_) {
            action();
            checks_.on_fault();
        }
    });
}

void cell::kill(int member)
{
    disturb(member);
    expected_signals_[member_name(member)] = SIGKILL;
    processes_.signal(member_name(member), SIGKILL);
}

void cell::pause(int member, millis length)
{
    const std::string name = member_name(member);
    if (processes_.signal(name, SIGSTOP)) {
        disturb(member);
        after(length, [this, name, member] {
            processes_.signal(name, SIGCONT);
            disturb(member);
        });
    }
}

void cell::member_killed(const planned_fault& fault)
{
    kill(target_member(fault));
}

void cell::stop(int member)
{
    const std::string name = member_name(member);
    if (expected_signals_.count(name) == 0 && processes_.signal(name, SIGTERM)) {
        disturb(member);
        expected_signals_[name] = SIGTERM;
        stop_deadlines_[name] = boot_clock::now() + stop_grace + paused_process_grace;
    }
}

void cell::member_stopped(const planned_fault& fault)
{
    stop(target_member(fault));
}

void cell::member_paused(const planned_fault& fault)
{
    pause(target_member(fault), fault.length);
}

void cell::leader_killed(const planned_fault& /*fault*/)
{
    if (leader() >= 0) {
        kill(leader());
    }
}

void cell::leader_paused(const planned_fault& fault)
{
    if (leader() >= 0) {
        pause(leader(), fault.length);
    }
}

void cell::all_killed(const planned_fault& /*fault*/)
{
    for (int m = 0; m < settings_.members; ++m) {
        kill(m);
    }
}

void cell::settings_reread(const planned_fault& fault)
{
    disturb(target_member(fault));
    processes_.signal(member_name(target_member(fault)), SIGHUP);
}

void cell::link_fault(const planned_fault& fault)
{
    constexpr std::uint32_t max_delay_ms = 400;
    link_faults faults;
    if (fault.kind == fault_kind::link_delayed) {
        faults.delay = millis(1 + fault.target / links_.size() % max_delay_ms);
    }
    faults.blocks_to_server =
        fault.kind == fault_kind::link_held_up || fault.kind == fault_kind::link_cut;
    faults.blocks_to_client =
        fault.kind == fault_kind::link_held_down || fault.kind == fault_kind::link_cut;
    proxy& link = *links_[fault.target % links_.size()];
    link.set_faults(faults);
    disturb_all();
    after(fault.length, [this, &link] {
        link.set_faults({});
        disturb_all();
    });
}

void cell::link_reset(const planned_fault& fault)
{
    disturb_all();
    links_[fault.target % links_.size()]->reset();
}

void cell::link_silenced(const planned_fault& fault)
{
    disturb_all();
    links_[fault.target % links_.size()]->silence();
}

void cell::store_fault(const planned_fault& fault)
{
    constexpr millis slow{400};
    store_faults faults;
    faults.refuses = fault.kind == fault_kind::store_refuses;
    faults.silent = fault.kind == fault_kind::store_silent;
    faults.delay = fault.kind == fault_kind::store_slow ? slow : faults.delay;
    faults.lost_answers_apply_late = fault.kind == fault_kind::store_late;
    if (faults.lost_answers_apply_late || fault.kind == fault_kind::store_loses_answers) {
        faults.lost_answers = 0.3;
    }
    store_.set_faults(faults);
    disturb_all();
    after(fault.length, [this] {
        store_.set_faults({});
        disturb_all();
    });
}

void cell::store_trimmed(const planned_fault& /*fault*/)
{
    disturb_all();
    for (const char* topic : {"keyed.pool", "keyed.op", "keyed.servers"}) {
        store_.trim(topic);
    }
}

void cell::worker_crashed(const planned_fault& fault)
{
    const fleet_worker* w = target_worker(fault);
    if (w == nullptr) {
        return;
    }
    const bool keeps_name = fault.kind == fault_kind::worker_restarts;
    const std::string id = w->id();
    const int place = place_of(*w);
    fleet_.crash(id);
    add_worker_later(place, keeps_name ? id : "", fault.length);
}

void cell::worker_leaves(const planned_fault& fault)
{
    fleet_worker* w = target_worker(fault);
    if (w != nullptr && !w->draining()) {
        w->drain(drain_notice, fault.length);
        const int place = place_of(*w);
        add_worker_later(place, "", drain_notice + 2 * fault.length);
    }
}

void cell::worker_fault(const planned_fault& fault)
{
    constexpr double late_order_share = 0.5;
    constexpr double slowness = 4;
    worker_faults faults;
    faults.late_orders = fault.kind == fault_kind::worker_late ? late_order_share : 0;
    faults.fails_all = fault.kind == fault_kind::worker_fails_all;
    faults.stalled = fault.kind == fault_kind::worker_stands_still;
    faults.slowness = fault.kind == fault_kind::worker_slow ? slowness : 1;
    faults.refuses = fault.kind == fault_kind::worker_refuses;
    fleet_worker* w = target_worker(fault);
    if (w == nullptr) {
        return;
    }
    w->set_faults(faults);
    after(fault.length, [this, id = w->id()] {
        if (fleet_.find(id) != nullptr) {
            fleet_.find(id)->set_faults({});
        }
    });
}

void cell::configuration_changes(const planned_fault& /*fault*/)
{
    publish_configuration();
}

/// Drops the plain route for the fault's length. What was accepted goes on.
void cell::queue_dropped(const planned_fault& fault)
{
    publish_configuration(false);
    plain_route_back_at_ = time_point::max();
    loop_.after(fault.length, [this] { // also after `heal`
        publish_configuration();
        plain_route_back_at_ = boot_clock::now() + configuration_limit;
    });
}

void cell::cut(const std::vector<proxy*>& links, millis length)
{
    for (proxy* link : links) {
        link->set_faults({millis(0), true, true, true});
    }
    disturb_all();
    after(length, [this, links] {
        for (proxy* link : links) {
            link->set_faults({});
        }
        disturb_all();
    });
}

proxy& cell::link_of(int member, int which) const
{
    const int link = settings_.workers + links_per_member * member + which;
    return *links_[static_cast<std::size_t>(link)];
}

void cell::connections_silenced(const planned_fault& /*fault*/)
{
    disturb_all();
    for (const std::unique_ptr<proxy>& link : links_) {
        link->silence();
    }
}

/// Cuts each second member from the store. Its peers tell it of new versions, so that only the
/// first moments excuse an answer by an older one.
void cell::store_cut(const planned_fault& fault)
{
    disturb_all();
    for (int m = static_cast<int>(fault.target % 2); m < settings_.members; m += 2) {
        link_of(m, store_link).set_faults({millis(0), true, true, true});
        after(2 * fault.length, [this, m] { link_of(m, store_link).set_faults({}); });
    }
}

void cell::leader_cut(const planned_fault& fault)
{
    if (leader() >= 0) {
        cut({&link_of(leader(), peer_link), &link_of(leader(), store_link)}, fault.length);
    }
}

void cell::leader_stopped(const planned_fault& /*fault*/)
{
    if (leader() >= 0) {
        stop(leader());
    }
}

void cell::worker_cut(const planned_fault& fault)
{
    // Longer than an entry lasts, and shorter than a lease: the worker's ends are reported again.
    constexpr millis cut_length{4900};
    fleet_worker* w = target_worker(fault);
    if (w == nullptr) {
        return;
    }
    const int place = place_of(*w);
    cut({links_[static_cast<std::size_t>(place)].get()}, cut_length);
    worker_faults faults;
    faults.cut_from_store = true;
    w->set_faults(faults);
    after(cut_length, [this, id = w->id()] {
        if (fleet_.find(id) != nullptr) {
            fleet_.find(id)->set_faults({});
        }
    });
}

void cell::entries_expire(const planned_fault& fault)
{
    store_faults faults;
    faults.silent = true;
    store_.set_faults(faults);
    disturb_all();
    fleet_.expire_entries();
    after(fault.length, [this] {
        store_.set_faults({});
        disturb_all();
    });
}

void cell::odd_entries(const planned_fault& fault)
{
    const std::string deep = R"({"Service":)" + std::string(100000, '[');
    const std::string entry = R"({"Service":"places","State":"ready","Capacity":{"Cpu":)";
    const std::vector<std::string> values{
        deep,
        std::string(100000, '{'),
        R"({"a":)" + std::string(2000, '[') + std::string(2000, ']') + "}",
        entry + R"(1e999},"Addr":"127.0.0.1:9"})",
        entry + R"(99999999999999999999999},"Addr":"127.0.0.1:9"})",
        entry + R"(9000000000000000000,"MemMb":9e18},"Addr":"127.0.0.1:9"})",
        entry + R"(8000},"Addr":"127.0.0.1:99999"})",
        entry + R"(8000},"Addr":"127.0.0.1:-1"})",
        entry + R"(8000},"Addr":"::"})",
        entry + R"(8000},"Addr":"127.0.0.1:9","born":1e300,"Seq":-1})",
        "\xff\xfe",
        "[]",
        "7"};
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string key = "odd" + std::to_string(i);
        store_.put("keyed.servers", key, values[i]);
        after(fault.length, [this, key] { store_.put("keyed.servers", key, ""); });
    }
    // An agent of another system on each worker's machine, started after it.
    for (const std::string& id : fleet_.ids()) {
        const std::string key = "agent-" + id;
        Json::Value agent;
        agent["Service"] = "node-agent";
        agent["State"] = "ready";
        agent["Addr"] = "127.0.0.1:9";
        agent["Machine"] = fleet_.find(id)->place().machine;
        agent["Capacity"]["Cpu"] = 8000;
        agent["born"] = static_cast<Json::Int64>(9000000000000);
        store_.put("keyed.servers", key, to_text(agent));
        after(fault.length, [this, key] { store_.put("keyed.servers", key, ""); });
    }
}

void cell::worker_bounces(const planned_fault& fault)
{
    // Time for some ends of each process to be acknowledged before the next one.
    constexpr millis bounce_period{600};
    constexpr std::uint32_t min_down_ms = 15;
    constexpr std::uint32_t max_extra_down_ms = 40;
    const fleet_worker* w = target_worker(fault);
    if (w == nullptr) {
        return;
    }
    const millis down(min_down_ms + fault.target % max_extra_down_ms);
    for (int n = 0; n * bounce_period <= fault.length; ++n) {
        after(n * bounce_period,
              [this, id = w->id(), hangs = n % 2 == 0, down] { bounce(id, hangs, down); });
    }
}

/// Restarts a worker under its id. Its open connections are closed or, if it `hangs`, carry no more
/// bytes, so that a poll of the previous process gets no answer while the new one accepts starts.
void cell::bounce(const std::string& id, bool hangs, millis down)
{
    const fleet_worker* w = fleet_.find(id);
    if (w == nullptr || w->draining()) {
        return;
    }
    const int place = place_of(*w);
    proxy& link = *links_[static_cast<std::size_t>(place)];
    disturb_all();
    hangs ? link.silence() : link.reset();
    fleet_.crash(id);
    add_worker_later(place, id, down);
}

void cell::set_faults(const std::map<int, std::string>& workers, const worker_faults& faults)
{
    for (const std::pair<const int, std::string>& w : workers) {
        if (fleet_.find(w.second) != nullptr) {
            fleet_.find(w.second)->set_faults(faults);
        }
    }
}

/// Restarts all workers of a rack under their ids and cuts them off soon after. In each second case
/// some orders before the restart and between it and the cut are late, so that the next process
/// executes orders that were meant for the previous one.
void cell::workers_recut(const planned_fault& fault)
{
    constexpr millis late_lead{600};
    constexpr double late_order_share = 0.3;
    std::mt19937 random(fault.target);
    const millis down(std::uniform_int_distribution<>(200, 600)(random));
    const millis up(std::uniform_int_distribution<>(500, 1800)(random));
    const millis report_delay(std::uniform_int_distribution<>(0, 500)(random));
    const bool hangs = std::bernoulli_distribution()(random);
    const bool has_late_orders = std::bernoulli_distribution()(random);
    const int racks = std::max(1, settings_.workers / workers_per_rack);
    const std::string rack =
        "r1-" + std::to_string(std::uniform_int_distribution<>(0, racks - 1)(random));
    std::map<int, std::string> workers; // by place
    for (const std::string& id : fleet_.ids()) {
        const fleet_worker* w = fleet_.find(id);
        if (w->place().rack == rack && !w->draining()) {
            workers[place_of(*w)] = id;
        }
    }
    worker_faults late;
    late.late_orders = has_late_orders ? late_order_share : 0;
    set_faults(workers, late);
    const millis restart = has_late_orders ? late_lead : millis(0);
    after(restart, [this, workers, hangs, down, report_delay, late] {
        disturb_all();
        for (const std::pair<const int, std::string>& w : workers) {
            proxy& link = *links_[static_cast<std::size_t>(w.first)];
            hangs ? link.silence() : link.reset();
            fleet_.crash(w.second);
            add_worker_later(w.first, w.second, down, report_delay);
        }
        after(down + collect_period, [this, workers, late] { set_faults(workers, late); });
    });
    after(restart + down + up, [this, workers] {
        std::vector<proxy*> links;
        links.reserve(workers.size());
        for (const std::pair<const int, std::string>& w : workers) {
            links.push_back(links_[static_cast<std::size_t>(w.first)].get());
        }
        cut(links, recut_length);
        worker_faults faults;
        faults.cut_from_store = true;
        set_faults(workers, faults);
        after(recut_length, [this, workers] { set_faults(workers, {}); });
    });
}

const std::map<fault_kind, cell::method>& cell::methods()
{
    static const std::map<fault_kind, method> table{
        {fault_kind::member_killed, &cell::member_killed},
        {fault_kind::member_stopped, &cell::member_stopped},
        {fault_kind::member_paused, &cell::member_paused},
        {fault_kind::leader_killed, &cell::leader_killed},
        {fault_kind::leader_paused, &cell::leader_paused},
        {fault_kind::all_killed, &cell::all_killed},
        {fault_kind::settings_reread, &cell::settings_reread},
        {fault_kind::link_delayed, &cell::link_fault},
        {fault_kind::link_held_up, &cell::link_fault},
        {fault_kind::link_held_down, &cell::link_fault},
        {fault_kind::link_cut, &cell::link_fault},
        {fault_kind::link_reset, &cell::link_reset},
        {fault_kind::link_silenced, &cell::link_silenced},
        {fault_kind::store_refuses, &cell::store_fault},
        {fault_kind::store_silent, &cell::store_fault},
        {fault_kind::store_slow, &cell::store_fault},
        {fault_kind::store_loses_answers, &cell::store_fault},
        {fault_kind::store_late, &cell::store_fault},
        {fault_kind::store_trimmed, &cell::store_trimmed},
        {fault_kind::worker_crashes, &cell::worker_crashed},
        {fault_kind::worker_restarts, &cell::worker_crashed},
        {fault_kind::worker_leaves, &cell::worker_leaves},
        {fault_kind::worker_late, &cell::worker_fault},
        {fault_kind::worker_fails_all, &cell::worker_fault},
        {fault_kind::worker_stands_still, &cell::worker_fault},
        {fault_kind::worker_slow, &cell::worker_fault},
        {fault_kind::worker_refuses, &cell::worker_fault},
        {fault_kind::configuration_changes, &cell::configuration_changes},
        {fault_kind::connections_silenced, &cell::connections_silenced},
        {fault_kind::store_cut, &cell::store_cut},
        {fault_kind::leader_cut, &cell::leader_cut},
        {fault_kind::leader_stopped, &cell::leader_stopped},
        {fault_kind::worker_cut, &cell::worker_cut},
        {fault_kind::entries_expire, &cell::entries_expire},
        {fault_kind::odd_entries, &cell::odd_entries},
        {fault_kind::worker_bounces, &cell::worker_bounces},
        {fault_kind::workers_recut, &cell::workers_recut},
        {fault_kind::queue_dropped, &cell::queue_dropped}};
    return table;
}

void cell::apply(const planned_fault& fault)
{
    checks_.on_fault();
    (this->*methods().at(fault.kind))(fault);
}

void cell::heal()
{
    ++heal_count_;
    disturb_all();
    store_.set_faults({});
    for (const std::unique_ptr<proxy>& link : links_) {
        link->set_faults({});
    }
    for (const std::string& id : fleet_.ids()) {
        fleet_.find(id)->set_faults({});
    }
    for (int m = 0; m < settings_.members; ++m) {
        processes_.signal(member_name(m), SIGCONT);
    }
    checks_.on_fault();
}

} // namespace soak
