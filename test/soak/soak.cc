// Runs one soak: applies faults drawn from a seed to a cell of real processes and checks the
// promises of the control plane. Exits with status 1 if a promise was broken and 2 if the soak
// cannot start.

#include <algorithm>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "cell.h"
#include "clients.h"
#include "configuration_probe.h"
#include "sesamesill/log.h"

DEFINE_string(program, "build/release/sesamesill-member", "path of the member executable");
DEFINE_string(run_dir, "", "directory of settings and logs");
DEFINE_uint64(seed, 1, "seed of the faults and jobs");
DEFINE_int32(seconds, 20, "duration of the faults in seconds");
DEFINE_int32(members, 6, "processes");
DEFINE_int32(workers, 12, "number of worker stand-ins");
DEFINE_int32(fault_gap_ms, 600, "mean time between faults");
DEFINE_int32(job_gap_ms, 80, "mean time between jobs");
DEFINE_int32(long_percent, 0, "share of jobs whose tasks outlast a lease, in percent");
DEFINE_int32(first_port, 24000, "first of about 300 ports in use");
DEFINE_string(only, "", "apply only faults of this kind");
DEFINE_string(
    series, "",
    "instead of random faults, repeat these kinds, one series each fault_gap_ms: KIND,KIND");
DEFINE_int32(series_gap_ms, 400, "time between two faults of a series");
DEFINE_bool(pairs, false, "draw pairs of faults aimed at the leader, one each fault_gap_ms");
DEFINE_bool(changes, false,
            "draw faults of all kinds among changes of the configuration, one each fault_gap_ms");
DEFINE_bool(verbose, false, "print each fault when it is applied");

namespace {

using namespace soak;

constexpr millis warm_up_period{3000};
constexpr millis recovery_timeout{
    12000}; ///< the platform's bound on the time from the last fault until jobs are accepted
constexpr millis completion_timeout{30000}; ///< accepted jobs have to end within this time
constexpr millis check_period{100};
constexpr millis post_recovery_load{3000}; ///< time of submitting jobs after the recovery
constexpr std::size_t served_divisor = 4;  ///< at least a quarter of these jobs has to be accepted

/// Returns the kinds named in a list with commas, or nothing if one is unknown.
std::optional<std::vector<fault_kind>> kinds_in(const std::string& list)
{
    std::vector<fault_kind> kinds;
    std::istringstream names(list);
    for (std::string name; std::getline(names, name, ',');) {
        const std::optional<fault_kind> kind = fault_kind_from(name);
        if (!kind) {
            return std::nullopt;
        }
        kinds.push_back(*kind);
    }
    return kinds;
}

class run {
public:
    explicit run(event_loop& loop)
        : loop_(loop), checks_(promise_bounds{}),
          cell_(loop,
                {FLAGS_program, FLAGS_run_dir, static_cast<std::uint16_t>(FLAGS_first_port),
                 FLAGS_members, FLAGS_workers, FLAGS_seed},
                checks_),
          clients_(loop, cell_.entries(), checks_, FLAGS_seed,
                   [this] { return cell_.may_lack_plain_route(); }),
          probe_(loop, cell_, checks_, FLAGS_seed)
    {
    }

    bool start(error& why)
    {
        if (!cell_.start(why)) {
            return false;
        }
        started_at_ = boot_clock::now();
        loop_.after(warm_up_period, [this] {
            clients_.start(millis(FLAGS_job_gap_ms), FLAGS_long_percent);
            probe_.start();
            plan();
        });
        loop_.every(check_period, [this] {
            if (!checks_.violations().empty()) {
                finish();
            }
        });
        return true;
    }

    bool ok() const { return checks_.violations().empty(); }

    void print() const
    {
        const client_counts& c = clients_.counts();
        std::cout << (ok() ? "ok" : "FAILED") << " soak seed " << FLAGS_seed << ": " << c.sent
                  << " jobs, " << c.accepted << " accepted, " << c.refused << " refused, "
                  << c.unknown << " unknown, " << checks_.starts() << " starts, " << faults_
                  << " faults, " << cell_.store_calls() << " store calls\n";
        constexpr std::size_t max_printed = 10;
        for (std::size_t n = 0; n < std::min(max_printed, checks_.violations().size()); ++n) {
            std::cout << "  " << checks_.violations()[n] << '\n';
        }
    }

private:
    static std::vector<planned_fault> faults_of(millis duration)
    {
        const millis gap(FLAGS_fault_gap_ms);
        if (FLAGS_pairs) {
            return draw_pairs(FLAGS_seed, duration, gap);
        }
        if (FLAGS_changes) {
            return draw_changes(FLAGS_seed, duration, gap);
        }
        return FLAGS_series.empty() ? draw_faults(FLAGS_seed, duration, gap)
                                    : repeat_series(*kinds_in(FLAGS_series), FLAGS_seed, duration,
                                                    gap, millis(FLAGS_series_gap_ms));
    }

    void plan()
    {
        const millis duration(FLAGS_seconds * 1000);
        for (const planned_fault& f : faults_of(duration)) {
            if (!FLAGS_only.empty() && FLAGS_only != name_of(f.kind)) {
                continue;
            }
            loop_.after(f.at, [this, f] {
                ++faults_;
                if (FLAGS_verbose) {
                    std::cout << to_millis(boot_clock::now() - started_at_) << " ms "
                              << name_of(f.kind) << ' ' << f.target << ' ' << f.length.count()
                              << " ms\n";
                }
                cell_.apply(f);
            });
        }
        loop_.after(duration, [this] {
            cell_.heal();
            loop_.after(recovery_timeout, [this] { after_recovery(); });
        });
    }

    void after_recovery()
    {
        const client_counts before = clients_.counts();
        loop_.after(post_recovery_load, [this, before] {
            const client_counts& now = clients_.counts();
            if ((now.accepted - before.accepted) * served_divisor < now.sent - before.sent) {
                checks_.report("recover", std::to_string(now.accepted - before.accepted) + " of " +
                                              std::to_string(now.sent - before.sent) +
                                              " jobs were accepted after the recovery");
            }
            clients_.stop();
            await_ends(boot_clock::now() + completion_timeout);
        });
    }

    void await_ends(time_point until)
    {
        const std::vector<std::string> unfinished = checks_.unfinished();
        if (!unfinished.empty() && boot_clock::now() < until) {
            loop_.after(check_period, [this, until] { await_ends(until); });
            return;
        }
        for (const std::string& id : unfinished) {
            checks_.report("lost", id + " was accepted and hasn't ended");
        }
        finish();
    }

    void finish() { loop_.stop(); }

    event_loop& loop_;
    promises checks_;
    cell cell_;
    clients clients_;
    configuration_probe probe_;
    time_point started_at_;
    std::size_t faults_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs the control plane under random faults and checks its promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!kinds_in(FLAGS_series)) {
        std::cerr << "--series: unknown kind of fault in " << FLAGS_series << '\n';
        return 2;
    }
    event_loop loop;
    run soak(loop);
    error why;
    if (!soak.start(why)) {
        std::cerr << to_string(why) << '\n';
        return 2;
    }
    loop.run();
    soak.print();
    return soak.ok() ? 0 : 1;
}
