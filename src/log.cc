// Implements structured logging. The only source that includes Boost.Log.

#include "sesamesill/log.h"

#include <chrono>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>

#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

#include "log_ring.h"
#include "sesamesill/clock.h"
#include "sesamesill/json.h"
#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<log_level, 4> level_names{{{log_level::debug, "debug"},
                                                {log_level::info, "info"},
                                                {log_level::warning, "warning"},
                                                {log_level::error, "error"}}};

/// Capacity of the buffer; holds one second of the busiest day's log.
constexpr std::size_t ring_bytes = std::size_t{512} * 1024;

/// Counts the lines of one event within one second.
struct line_budget {
    time_point second;
    int written = 0;
    std::int64_t dropped = 0;
};

/// Boost.Log backend that appends formatted lines to the buffer.
struct ring_backend
    : boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
    explicit ring_backend(std::shared_ptr<log_ring> to) : ring(std::move(to)) {}

    void consume(const boost::log::record_view& /*record*/, const string_type& line)
    {
        ring->push(line);
    }

    std::shared_ptr<log_ring> ring;
};

struct log_state {
    std::shared_ptr<log_ring> ring; ///< null where lines are written to standard error
    std::map<std::string, line_budget, std::less<>> budgets;
    std::string process = "sesamesill";
    log_level lowest = log_level::info;
    boost::log::sources::severity_logger<boost::log::trivial::severity_level> logger;
};

log_state& current_log()
{
    static log_state state;
    return state;
}

void write_value(json_writer& out, const std::string& text)
{
    write_string(out, text);
}

void write_value(json_writer& out, std::int64_t number)
{
    out.Int64(number);
}

void write_value(json_writer& out, double number)
{
    if (std::isfinite(number)) {
        out.Double(number);
    }
    else {
        out.Null();
    }
}

void add_text(json_writer& out, const char* key, std::string_view text)
{
    out.Key(key);
    write_string(out, std::string(text));
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

void start_bounded_log(std::string_view process, log_level lowest)
{
    log_state& state = current_log();
    state.process = std::string(process);
    state.lowest = lowest;
    state.ring = std::make_shared<log_ring>(STDOUT_FILENO, ring_bytes);
    using sink = boost::log::sinks::unlocked_sink<ring_backend>;
    const boost::shared_ptr<sink> frontend =
        boost::make_shared<sink>(boost::make_shared<ring_backend>(state.ring));
    frontend->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(frontend);
}

void flush_log()
{
    if (current_log().ring != nullptr) {
        current_log().ring->flush();
    }
}

namespace {

/// Returns whether one more line of the event may be written. Where a new second starts,
/// sets `dropped_before` to the number of lines dropped in the previous one.
bool within_budget(std::string_view event, std::int64_t& dropped_before)
{
    log_state& state = current_log();
    if (state.ring == nullptr) {
        return true;
    }
    constexpr millis second{1000};
    auto budget = state.budgets.find(event);
    if (budget == state.budgets.end()) {
        budget = state.budgets.emplace(std::string(event), line_budget{}).first;
    }
    const time_point now = boot_clock::now();
    if (now - budget->second.second > second) {
        dropped_before = budget->second.dropped;
        budget->second = {now, 0, 0};
    }
    if (++budget->second.written > max_lines_a_second) {
        ++budget->second.dropped;
        return false;
    }
    return true;
}

} // namespace

namespace {

template<typename Fields>
void write_event(log_level level, std::string_view event, const Fields& fields)
{
    std::int64_t dropped_before = 0;
    if (level < current_log().lowest || !within_budget(event, dropped_before)) {
        return;
    }
    log_state& state = current_log();
    const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    rapidjson::StringBuffer line;
    json_writer out(line);
    out.StartObject();
    add_text(out, "event", event);
    if (dropped_before > 0) {
        out.Key("left_out_before");
        out.Int64(dropped_before);
    }
    for (const log_field& f : fields) {
        out.Key(f.key.data(), static_cast<rapidjson::SizeType>(f.key.size()));
        std::visit([&](const auto& v) { write_value(out, v); }, f.value);
    }
    add_text(out, "level", name_in(level_names, level));
    add_text(out, "process", state.process);
    out.Key("time_ms");
    out.Int64(now);
    out.EndObject();
    BOOST_LOG_SEV(state.logger, boost::log::trivial::info) << line.GetString();
    if (level >= log_level::warning) {
        flush_log();
    }
}

} // namespace

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    write_event(level, event, fields);
}

void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields)
{
    write_event(level, event, fields);
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
