// Runs one scenario. Exits with status 0 if the script completed and every invariant held, else 1.

#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>

#include "script.h"

DEFINE_string(script, "", "Lua script of the scenario");
DEFINE_string(build, "build/release", "directory of the programs");
DEFINE_string(source, ".", "root of the sources");
DEFINE_string(run_dir, "", "directory for settings, journals and logs");
DEFINE_string(disable, "", "mechanisms that the daemons switch off, comma-separated");
DEFINE_uint64(seed, 1, "seed of the scenario");
DEFINE_int32(first_port, 28000, "first port of the range that is searched for free ports");
DEFINE_int32(last_port, 31250, "end of the port range, exclusive");
DEFINE_bool(table, false, "print the table of figures");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a scenario on loopback\n  scenario --script FILE --run_dir DIR");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::optional<std::uint16_t> port = scenario::reserve_port_block(
        static_cast<std::uint16_t>(FLAGS_first_port), static_cast<std::uint16_t>(FLAGS_last_port));
    if (!port) {
        std::cerr << "no free block of ports between --first_port and --last_port\n";
        return EXIT_FAILURE;
    }
    scenario::testbed bed(
        {FLAGS_build, FLAGS_source, FLAGS_run_dir, FLAGS_disable, *port, FLAGS_seed});
    std::string why;
    const bool script_succeeded = scenario::run_script(bed, FLAGS_script, FLAGS_seed, why);
    const bool invariants_hold = bed.finish();
    if (FLAGS_table || !script_succeeded || !invariants_hold) {
        std::cout << bed.table();
    }
    if (!script_succeeded || !invariants_hold) {
        std::cout << "seed " << FLAGS_seed << "\n" << bed.timeline();
        std::cout << "FAILED " << FLAGS_script << ": " << why << "\n";
        return EXIT_FAILURE;
    }
    std::cout << "ok " << FLAGS_script << " (seed " << FLAGS_seed << ")\n";
    return EXIT_SUCCESS;
}
