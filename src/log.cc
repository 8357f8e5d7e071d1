// The only source that includes Boost.Log.

#include "sesamesill/log.h"

#include <chrono>
#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <json/json.h>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<log_level, 4> level_names{{{log_level::debug, "debug"},
                                                {log_level::info, "info"},
                                                {log_level::warning, "warning"},
                                                {log_level::error, "error"}}};

struct log_state {
    std::string process = "sesamesill";
    log_level lowest = log_level::info;
    boost::log::sources::severity_logger<boost::log::trivial::severity_level> logger;
};

log_state& current_log()
{
    static log_state state;
    return state;
}

void write(log_level level, Json::Value& line)
{
    log_state& state = current_log();
    const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    line["time_ms"] = static_cast<Json::Int64>(now);
    line["level"] = std::string(name_in(level_names, level));
    line["process"] = state.process;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    BOOST_LOG_SEV(state.logger, boost::log::trivial::info) << Json::writeString(builder, line);
}

} // namespace

void start_log(std::string_view process, log_level lowest)
{
    current_log().process = std::string(process);
    current_log().lowest = lowest;
    boost::log::add_console_log(std::cerr,
                                boost::log::keywords::format = boost::log::expressions::stream
                                                               << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < current_log().lowest) {
        return;
    }
    Json::Value line;
    line["event"] = std::string(event);
    for (const log_field& f : fields) {
        std::visit([&](const auto& v) { line[std::string(f.key)] = Json::Value(v); }, f.value);
    }
    write(level, line);
}

void log_error(std::string_view event, const error& e)
{
    log_event(log_level::warning, event,
              {{"step", std::string(name_of(e.where))},
               {"code", std::string(name_of(e.code))},
               {"peer", e.peer},
               {"reason", e.reason}});
}

} // namespace sesamesill
