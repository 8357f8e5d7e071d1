// Daemon of a cell member: reads its settings and runs one node until a signal drains it.

#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "sesamesill/log.h"
#include "sesamesill/node.h"
#include "sesamesill/settings.h"
#include "sesamesill/settings_file.h"

DEFINE_string(settings, "", "INI file with the settings of this member");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(log_level, "info", "lowest level that is logged: debug, info, warning or error");

namespace {

sesamesill::log_level level_from(const std::string& name)
{
    if (name == "debug") {
        return sesamesill::log_level::debug;
    }
    if (name == "warning") {
        return sesamesill::log_level::warning;
    }
    return name == "error" ? sesamesill::log_level::error : sesamesill::log_level::info;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs one member of a sesamesill cell\n  sesamesilld --settings FILE");
    gflags::SetVersionString(SESAMESILL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::optional<sesamesill::node_settings> settings =
        sesamesill::read_settings_file(FLAGS_settings, sesamesill::parse_settings);
    if (!settings) {
        return sesamesill::exit_invalid_settings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return 0;
    }
    sesamesill::start_log(settings->name, level_from(FLAGS_log_level));
    sesamesill::event_loop loop;
    sesamesill::node node(loop, *settings);
    sesamesill::error why;
    if (!node.start(why)) {
        sesamesill::log_error("start_failed", why);
        return 1;
    }
    loop.on_signal(SIGTERM, [&node] { node.drain(); });
    loop.on_signal(SIGINT, [&node] { node.drain(); });
    loop.run();
    return 0;
}
