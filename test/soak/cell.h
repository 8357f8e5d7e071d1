// The cell under test in a soak: members as real processes, stand-ins for the store and the
// workers, and a proxy on each link between them.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../platform_standin/store.h"
#include "../platform_standin/workers.h"
#include "../scenario/process.h"
#include "plan.h"
#include "promises.h"
#include "proxy.h"

namespace soak {

struct cell_settings {
    std::string program; ///< path of the member executable
    std::string run_dir; ///< directory of the settings and logs of members
    std::uint16_t first_port = 24000;
    int members = 6;
    int workers = 12;
    std::uint64_t seed = 1;
};

/// The newest version of the configuration.
struct published_version {
    int version = 0;
    time_point at;
};

class cell {
public:
    cell(event_loop& loop, const cell_settings& settings, promises& checks);

    bool start(error& why);
    void apply(const planned_fault& fault);
    /// Ends all faults. Killed members and crashed workers restart after their delay.
    void heal();
    /// Returns the client endpoints of all members, running or not.
    std::vector<endpoint> entries() const;
    std::uint64_t store_calls() const { return store_.calls(); }
    const published_version& published() const { return published_; }
    /// Returns how often the member's process was started.
    int starts_of(int member) const;
    /// Returns whether the version that applies at a member may lack the plain route.
    bool may_lack_plain_route() const { return boot_clock::now() < plain_route_back_at_; }
    /// Returns whether neither the member nor the store nor a link had a fault lately.
    bool is_sound(int member) const;
    /// Returns the path prefix of the route that only this version has.
    static std::string version_prefix(int version)
    {
        return "/version" + std::to_string(version) + "/";
    }

    static constexpr const char* host = "soak.example";
    static constexpr const char* plain_prefix = "/plain/"; ///< route whose tasks any worker may run
    static constexpr const char* advised_prefix =
        "/placed/"; ///< route that needs approval by the advisor

private:
    using method = void (cell::*)(const planned_fault&);

    endpoint member_port(int member, int which) const;
    endpoint worker_port(int place, int which) const;
    std::string member_name(int member) const { return "m" + std::to_string(member); }
    bool write_settings(int member, error& why) const;
    void start_member(int member);
    void start_later(int member);
    void collect_exited();
    void publish_configuration(bool with_plain_route = true);
    /// Returns the member's link to the store or, by `which`, to its peers or the advisor.
    proxy& link_of(int member, int which) const;
    int leader() const;
    int target_member(const planned_fault& fault) const;
    fleet_worker* target_worker(const planned_fault& fault);
    bool add_worker(int place, const std::string& id, error& why, millis report_delay = millis(0));
    void add_worker_later(int place, const std::string& id, millis delay,
                          millis report_delay = millis(0));
    void after(millis delay, std::function<void()> action);
    /// Notes a fault of one member.
    void disturb(int member) { disturbed_[member] = boot_clock::now(); }
    /// Notes a fault that concerns all members.
    void disturb_all() { all_disturbed_ = boot_clock::now(); }
    void watch_leader();
    bool leader_is_sound() const;

    void kill(int member);
    void pause(int member, millis length);
    void member_killed(const planned_fault& fault);
    void member_stopped(const planned_fault& fault);
    void member_paused(const planned_fault& fault);
    void leader_killed(const planned_fault& fault);
    void leader_paused(const planned_fault& fault);
    void all_killed(const planned_fault& fault);
    void settings_reread(const planned_fault& fault);
    void link_fault(const planned_fault& fault);
    void link_reset(const planned_fault& fault);
    void link_silenced(const planned_fault& fault);
    void store_fault(const planned_fault& fault);
    void store_trimmed(const planned_fault& fault);
    void worker_crashed(const planned_fault& fault);
    void worker_leaves(const planned_fault& fault);
    void worker_fault(const planned_fault& fault);
    void configuration_changes(const planned_fault& fault);
    void connections_silenced(const planned_fault& fault);
    void store_cut(const planned_fault& fault);
    void leader_cut(const planned_fault& fault);
    void leader_stopped(const planned_fault& fault);
    void worker_cut(const planned_fault& fault);
    void entries_expire(const planned_fault& fault);
    void odd_entries(const planned_fault& fault);
    void worker_bounces(const planned_fault& fault);
    void workers_recut(const planned_fault& fault);
    void queue_dropped(const planned_fault& fault);
    void set_faults(const std::map<int, std::string>& workers, const worker_faults& faults);
    void bounce(const std::string& id, bool hangs, millis down);
    void stop(int member);
    /// Blocks the links in both directions for the time.
    void cut(const std::vector<proxy*>& links, millis length);
    static const std::map<fault_kind, method>& methods();

    event_loop& loop_;
    cell_settings settings_;
    promises& checks_;
    platform_store store_;
    http_server store_server_;
    http_server advice_server_;
    fleet fleet_;
    std::vector<std::unique_ptr<proxy>> links_; ///< of the workers, then three of each member
    scenario::process_group processes_;
    std::map<std::string, int> expected_signals_; ///< by member: the signal that was sent to end it
    std::map<std::string, time_point> stop_deadlines_; ///< of members that got SIGTERM
    published_version published_;
    time_point plain_route_back_at_;      ///< at all members, after it was dropped
    std::map<int, int> starts_;           ///< of a member's process, by member
    std::map<int, time_point> disturbed_; ///< by member: its last fault, or its last start
    time_point all_disturbed_ = boot_clock::now();
    int last_leader_ = -1;
    time_point leader_since_;
    int heal_count_ = 0; ///< calls of `heal`; a timer set before the last one does nothing
};

} // namespace soak
