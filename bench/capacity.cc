// Computes the load of the cell expected in two years from measured slopes (cost per unit of load)
// and prints the tables of docs/CAPACITY.md.

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <gflags/gflags.h>

DEFINE_string(slopes, "docs/capacity.ini", "file with the measured slopes");
DEFINE_string(check, "",
              "page to compare with the tables; exit status 1 if it does not contain them");

namespace {

using slope_table = boost::property_tree::ptree;

// The load that the users expect in two years.
constexpr double workers = 28000;
constexpr double tasks = 440000;
constexpr double jobs_a_day = 120000;
constexpr double peak_starts = 11000; // a second
constexpr double organisations = 570;
constexpr double changes_a_day = 20000;
constexpr double failures_a_day = 340;
constexpr double restarts_a_day = 3000;
constexpr double data_centers = 13;
constexpr double rack_workers = 6;
constexpr double append_budget = 300; // a second, over all members
constexpr double limit_core = 0.04;
constexpr double limit_memory_mb = 256;
constexpr double limit_bytes = 6 * 1024; // a second
constexpr double seconds_a_day = 86400;
constexpr double kilobyte = 1024;
constexpr double megabyte = 1048576;
constexpr double micro = 1e-6;

double slope(const slope_table& slopes, const std::string& name)
{
    return slopes.get<double>(name + ".value");
}

std::string format_number(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string format_fit(double value, double limit)
{
    return value <= limit ? "fits" : format_number(value / limit, 1) + " x over";
}

/// Load on one member of a cell.
struct member_load {
    double decision_core = 0;
    double sync_core = 0;
    double heartbeat_core = 0;
    double sync_bytes = 0;
    double heartbeat_bytes = 0;
    double log_bytes = 0;
    double document_bytes = 0;
    double memory_mb = 0;

    double control_core() const { return sync_core + heartbeat_core; }
    double control_bytes() const
    {
        return sync_bytes + heartbeat_bytes + log_bytes + document_bytes;
    }
};

double sync_bytes_of_worker(const slope_table& s, double period)
{
    return (slope(s, "sync_bytes_worker") + slope(s, "sync_bytes_task") * tasks / workers) / period;
}

double document_bytes(const slope_table& s)
{
    return slope(s, "document_text_bytes") + slope(s, "organisation_text_bytes") * organisations;
}

/// Returns the log bytes per second, averaged over the day, of job records and task records.
double log_bytes_mean(const slope_table& s)
{
    const double starts_a_job = 20; // mean number of tasks per job
    return jobs_a_day / seconds_a_day *
           (slope(s, "job_record_bytes") + slope(s, "task_record_bytes") * starts_a_job);
}

double log_bytes_peak(const slope_table& s)
{
    return peak_starts * slope(s, "task_record_bytes");
}

/// Returns the load on each of `members` members that synchronise every worker each `period`
/// seconds.
member_load load_of(const slope_table& s, double members, double period)
{
    member_load m;
    m.decision_core = peak_starts * slope(s, "decision_us") * micro / members;
    m.sync_core = (workers * slope(s, "sync_us_worker") + tasks * slope(s, "sync_us_task")) *
                  micro / period / members;
    m.heartbeat_core = slope(s, "heartbeat_core_ratio");
    m.sync_bytes = sync_bytes_of_worker(s, period) * workers / members;
    m.heartbeat_bytes = slope(s, "heartbeat_bytes");
    m.log_bytes = log_bytes_mean(s);
    m.document_bytes = changes_a_day / seconds_a_day * document_bytes(s);
    m.memory_mb = slope(s, "decision_memory_mb") / members;
    return m;
}

void write_slopes(std::ostream& out, const slope_table& slopes)
{
    out << "### Slopes\n\n| slope | value | unit | command |\n|---|---|---|---|\n";
    for (const slope_table::value_type& s : slopes) {
        out << "| " << s.first << " | " << s.second.get<std::string>("value") << " | "
            << s.second.get<std::string>("unit") << " | `" << s.second.get<std::string>("command")
            << "` |\n";
    }
    out << '\n';
}

void write_members(std::ostream& out, const slope_table& s)
{
    out << "### A member (`sesamesilld`), by the number of members\n\n"
           "| demand on one member | 6 | 60 | 300 | 1,000 |\n|---|---|---|---|---|\n";
    const double counts[] = {6, 60, 300, 1000};
    struct row {
        const char* name;
        double member_load::*value;
        double unit;
        int digits;
    };
    const row rows[] = {
        {"decisions at 11,000 starts/s, cores", &member_load::decision_core, 1, 4},
        {"worker synchronisation each 1 s, cores", &member_load::sync_core, 1, 3},
        {"heartbeats, cores", &member_load::heartbeat_core, 1, 4},
        {"worker synchronisation, KB/s", &member_load::sync_bytes, kilobyte, 1},
        {"heartbeats, KB/s", &member_load::heartbeat_bytes, kilobyte, 1},
        {"log read at the day's mean, KB/s", &member_load::log_bytes, kilobyte, 1},
        {"documents read, KB/s", &member_load::document_bytes, kilobyte, 1},
        {"memory of workers and tasks, MB", &member_load::memory_mb, 1, 1},
    };
    for (const row& r : rows) {
        out << "| " << r.name;
        for (const double members : counts) {
            out << " | " << format_number(load_of(s, members, 1.0).*r.value / r.unit, r.digits);
        }
        out << " |\n";
    }
    out << "| processor against 4% | ";
    for (const double members : counts) {
        out << format_fit(load_of(s, members, 1.0).control_core(), limit_core) << " | ";
    }
    out << "\n| bytes against 6 KB/s | ";
    for (const double members : counts) {
        out << format_fit(load_of(s, members, 1.0).control_bytes(), limit_bytes) << " | ";
    }
    out << "\n| memory against 256 MB | ";
    for (const double members : counts) {
        out << format_fit(load_of(s, members, 1.0).memory_mb, limit_memory_mb) << " | ";
    }
    out << "\n\n";
}

void write_worker(std::ostream& out, const slope_table& s)
{
    out << "### A worker, at " << format_number(tasks / workers, 1)
        << " running tasks\n\n| synchronised each | bytes a second | against 6 KB/s "
           "|\n|---|---|---|\n";
    for (const double period : {0.5, 1.0, 2.0}) {
        const double bytes = sync_bytes_of_worker(s, period);
        out << "| " << format_number(period, 1) << " s | " << format_number(bytes, 0) << " | "
            << format_fit(bytes, limit_bytes) << " |\n";
    }
    out << '\n';
}

void write_log(std::ostream& out, const slope_table& s)
{
    const double changes = changes_a_day / seconds_a_day;
    const double member_events = (failures_a_day + restarts_a_day) / seconds_a_day;
    out << "### The log\n\n| writer | appends a second | bytes a second | mechanism "
           "|\n|---|---|---|---|\n"
        << "| group commits, all members | at most " << format_number(append_budget, 0) << " | "
        << format_number(log_bytes_mean(s), 0) << " at the mean, "
        << format_number(log_bytes_peak(s), 0)
        << " at 11,000 starts/s | one record of many items, interval from the share |\n"
        << "| documents | " << format_number(changes, 2) << " | "
        << format_number(changes * document_bytes(s), 0) << " | one record a change, "
        << format_number(document_bytes(s), 0) << " bytes with " << format_number(organisations, 0)
        << " organisations |\n"
        << "| views, if each of the " << format_number(failures_a_day + restarts_a_day, 0)
        << " VM events a day hit an entry | " << format_number(member_events, 3)
        << " | | one record a change of members |\n\n";
}

void write_failures(std::ostream& out, const slope_table& s)
{
    constexpr double members = 60;
    const double per_worker = tasks / workers;
    const double share = members / (workers + members);
    const double kills = failures_a_day * share;
    const double stops = restarts_a_day * share;
    const double lost_data_center = workers / data_centers * per_worker;
    out << "### Failures, with 60 members\n\n| event | how often | work | reduced service "
           "|\n|---|---|---|---|\n"
        << "| worker VM fails | " << format_number(failures_a_day - kills, 0) << " a day | "
        << format_number((failures_a_day - kills) * per_worker, 0)
        << " tasks placed again a day | none beyond those tasks |\n"
        << "| worker VM restarted | " << format_number(restarts_a_day - stops, 0) << " a day | "
        << format_number((restarts_a_day - stops) * per_worker, 0)
        << " tasks placed again a day | none |\n"
        << "| entry fails | " << format_number(kills, 2)
        << " a day | one view | 1/60 of the shards for "
        << format_number(slope(s, "takeover_ms") / 1000, 1) << " s |\n"
        << "| entry restarted | " << format_number(stops, 1)
        << " a day | two views | 1/60 of the shards for "
        << format_number(slope(s, "handover_ms"), 0) << " ms |\n"
        << "| rack or switch lost | weekly | " << format_number(rack_workers * per_worker, 0)
        << " tasks placed again | one shard |\n"
        << "| data centre lost | every other month | " << format_number(lost_data_center, 0)
        << " tasks placed again, " << format_number(lost_data_center / peak_starts, 1)
        << " s at 11,000 starts/s | its tasks; 1/13 of the shards for "
        << format_number(slope(s, "takeover_ms") / 1000, 1) << " s |\n\n";
}

void write_vm_list(std::ostream& out, const slope_table& s)
{
    const double bytes = workers * slope(s, "vm_entry_bytes");
    out << "### The VM list\n\nOne whole list is " << format_number(bytes / megabyte, 1)
        << " MB. Polled each second that is " << format_number(bytes / limit_bytes, 0)
        << " times 6 KB/s; changes alone ("
        << format_number((failures_a_day + restarts_a_day) / seconds_a_day, 3) << " a second) are "
        << format_number(
               (failures_a_day + restarts_a_day) / seconds_a_day * slope(s, "vm_entry_bytes"), 1)
        << " bytes a second.\n";
}

std::string tables(const slope_table& slopes)
{
    std::ostringstream out;
    write_slopes(out, slopes);
    write_members(out, slopes);
    write_worker(out, slopes);
    write_log(out, slopes);
    write_failures(out, slopes);
    write_vm_list(out, slopes);
    return out.str();
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("prints the tables of docs/CAPACITY.md from measured slopes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    slope_table slopes;
    boost::property_tree::ini_parser::read_ini(FLAGS_slopes, slopes);
    const std::string text = tables(slopes);
    if (FLAGS_check.empty()) {
        std::cout << text;
        return 0;
    }
    const bool same = read_file(FLAGS_check).find(text) != std::string::npos;
    std::cout << FLAGS_check
              << (same ? ": the tables match the slopes\n"
                       : ": the tables differ from the slopes; replace them by the output of "
                         "bench_capacity\n");
    return same ? 0 : 1;
}
