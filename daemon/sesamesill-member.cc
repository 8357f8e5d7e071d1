// Daemon of the pool: reads its settings, joins the control plane and serves until a signal stops
// it.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>

#include "directory.h"
#include "frontend.h"
#include "names.h"
#include "sesamesill/log.h"
#include "sesamesill/metrics.h"
#include "sesamesill/pool_configuration.h"
#include "sesamesill/pool_follower.h"
#include "sesamesill/pool_member.h"
#include "sesamesill/pool_settings.h"
#include "sesamesill/settings_file.h"
#include "store.h"
#include "workers.h"

DEFINE_string(settings, "", "settings file, INI; default: the file named in SESAMESILL_SETTINGS");
DEFINE_double(memory_mb, 0, "memory that this process may use; default: the setting memory_mb");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace sesamesill;

constexpr std::size_t max_idle_connections = 16; ///< for each peer
constexpr millis max_directory_pause{300};
/// Reads of the directory by the leader within the time in which a draining worker may start tasks.
constexpr int reads_per_drain_limit = 6;
constexpr millis standby_directory_pause{1000};
constexpr millis standby_directory_pause_per_member{100}; ///< about 10 reads a second in all
constexpr millis directory_timing_period{100};
constexpr millis shutdown_margin{1800}; ///< before the end of the grace period, for last answers
constexpr millis shutdown_check_period{50};
constexpr millis log_flush_period{20};    ///< lines below a warning are buffered so long
constexpr millis serve_after_leave{2500}; ///< the load balancer notices within about 2 s

/// The components of the process, and the followers of the platform's store that feed them.
class member_daemon {
public:
    member_daemon(event_loop& loop, const pool::daemon_settings& settings)
        : loop_(loop), settings_(settings), client_(loop, settings.name, max_idle_connections),
          pool_log_(client_, settings.store, platform::wire::pool_topic),
          operator_log_(client_, settings.store, platform::wire::operator_topic),
          directory_log_(client_, settings.store, platform::wire::directory_topic),
          executors_(client_), advisor_(client_, settings.advisor),
          member_(loop,
                  {settings.name, settings.data_center, settings.peer_listen, settings.peer_address,
                   settings.processor_share, settings.bounds, settings.link_mbps,
                   settings.memory_mb},
                  pool_log_, executors_, advisor_),
          declared_(loop, operator_log_, platform::wire::configuration_key,
                    platform::decode_configuration, settings.bounds.configuration),
          frontend_(loop, member_, declared_, {}), metrics_(loop),
          directory_follower_(loop, directory_log_, "directory", {millis(0), max_directory_pause},
                              [this](const pool::keyed_record& r) { on_directory_record(r); })
    {
        metrics_.route("GET", "/metrics", [](const http_request&, const http_respond& respond) {
            http_reply reply;
            reply.content_type = "text/plain; version=0.0.4";
            reply.body = process_metrics().text();
            respond(std::move(reply));
        });
    }

    /// Starts the member, its listeners and the followers; returns false and the reason in `why` if
    /// an address can't be listened on.
    bool start(error& why)
    {
        if (!member_.start(why) ||
            !frontend_.listen(settings_.listen, settings_.readiness_listen, why) ||
            !metrics_.listen(settings_.metrics_listen, why)) {
            return false;
        }
        member_.on_directory_wanted([this] { directory_follower_.read_now(); });
        directory_follower_.on_complete(
            [this](time_point started) { member_.on_directory_loaded(started); });
        directory_follower_.on_lost([this] { member_.on_directory_lost(); });
        loop_.every(directory_timing_period, [this] { update_directory_timing(); });
        member_.follow(declared_);
        declared_.start();
        return true;
    }

    /// Hands over the lead, continues to serve until the load balancer has noticed, then answers
    /// the remaining requests and stops the loop.
    void leave()
    {
        if (leaving_) {
            return;
        }
        leaving_ = true;
        shutdown_deadline_ = boot_clock::now() + settings_.bounds.grace - shutdown_margin / 2;
        log_event(log_level::info, "stopping",
                  {{"open", static_cast<std::int64_t>(frontend_.clients().connections())}});
        member_.leave();
        loop_.after(serve_after_leave, [this] { frontend_.clients().close_after_answers(); });
        loop_.every(shutdown_check_period, [this] {
            const time_point now = boot_clock::now();
            const bool idle = frontend_.clients().connections() == 0 && !member_.is_leader();
            const bool all_answered = now > shutdown_deadline_ - shutdown_margin / 2 &&
                                      frontend_.clients().pending() == 0;
            if (idle || all_answered || now > shutdown_deadline_) {
                log_event(
                    log_level::info, "stopped",
                    {{"unanswered", static_cast<std::int64_t>(frontend_.clients().pending())}});
                loop_.stop();
            }
            else if (member_.is_leader()) {
                member_.leave(); // no successor has taken over yet
            }
        });
    }

private:
    /// Reads the directory often on the leader, which schedules by it. The other members load it
    /// whole now and then, which takes fewer bytes than all the reports of workers in between.
    void update_directory_timing()
    {
        const bool is_leader = member_.is_leader();
        if (!directory_started_ && member_.has_loaded()) { // a member needs the log first to lead
            directory_started_ = true;
            directory_follower_.start();
        }
        const millis pause =
            std::min(max_directory_pause, settings_.bounds.drain_limit / reads_per_drain_limit);
        const millis idle =
            std::max(standby_directory_pause, standby_directory_pause_per_member *
                                                  static_cast<std::int64_t>(member_.members()));
        directory_follower_.set_timing({millis(0), is_leader ? pause : idle, !is_leader});
    }

    void on_directory_record(const pool::keyed_record& record)
    {
        if (record.value.empty()) {
            member_.unlist_worker(record.key);
            return;
        }
        error why;
        const std::optional<pool::worker_entry> entry =
            platform::decode_worker(record.key, record.value, why);
        if (!entry) {
            log_error("worker_entry_unreadable", why);
            return;
        }
        member_.list_worker(*entry);
    }

    event_loop& loop_;
    pool::daemon_settings settings_;
    http_client client_;
    platform::store_topic pool_log_;
    platform::store_topic operator_log_;
    platform::store_topic directory_log_;
    platform::executor_gateway executors_;
    platform::advice_client advisor_;
    pool::member member_;
    pool::declared_configuration declared_;
    platform::frontend frontend_;
    http_server metrics_;
    pool::keyed_follower directory_follower_;
    bool directory_started_ = false;
    bool leaving_ = false;
    time_point shutdown_deadline_;
};

std::string settings_path()
{
    const char* from_environment = std::getenv(platform::wire::settings_variable);
    return !FLAGS_settings.empty()       ? FLAGS_settings
           : from_environment != nullptr ? from_environment
                                         : "";
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGHUP, SIG_IGN); // until the loop handles it: the settings are read below anyway
    gflags::SetUsageMessage("one member of a pool's control plane\n"
                            "  sesamesill-member --settings FILE");
    gflags::SetVersionString(SESAMESILL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = settings_path();
    std::optional<pool::daemon_settings> settings =
        read_settings_file(path, pool::parse_daemon_settings);
    if (!settings || FLAGS_memory_mb < 0) {
        return exit_invalid_settings;
    }
    settings->memory_mb = FLAGS_memory_mb > 0 ? FLAGS_memory_mb : settings->memory_mb;
    if (FLAGS_check) {
        std::cout << path << ": good\n";
        return 0;
    }
    start_bounded_log(settings->name, log_level::info);
    log_event(log_level::info, "starting",
              {{"version", SESAMESILL_VERSION},
               {"processor_share", settings->processor_share},
               {"link_mbps", settings->link_mbps},
               {"memory_mb", settings->memory_mb}});
    event_loop loop;
    member_daemon daemon(loop, *settings);
    error why;
    if (!daemon.start(why)) {
        log_error("start_failed", why);
        flush_log();
        return 1;
    }
    loop.on_signal(SIGTERM, [&daemon] { daemon.leave(); });
    loop.on_signal(SIGINT, [&daemon] { daemon.leave(); });
    loop.on_signal(SIGHUP, [&path] {
        const bool valid = read_settings_file(path, pool::parse_daemon_settings).has_value();
        log_event(log_level::info, "reload", {{"good", valid ? "yes" : "no"}});
    });
    loop.every(log_flush_period, flush_log);
    loop.run();
    flush_log();
    return 0;
}
