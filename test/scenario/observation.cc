// Converts JSON lines of the journals to observations.

#include "observation.h"

#include "sesamesill/names.h"
#include "sesamesill/rpc.h"

namespace scenario {
namespace {

using sesamesill::name_table;

constexpr name_table<observation_kind, 18> event_names{
    {{observation_kind::start, "start"},
     {observation_kind::start, "start_again"},
     {observation_kind::end, "end"},
     {observation_kind::end, "done"},
     {observation_kind::end, "failed"},
     {observation_kind::end, "stopped"},
     {observation_kind::end, "lapsed"},
     {observation_kind::refused, "refused"},
     {observation_kind::sent, "sent"},
     {observation_kind::answered, "answered"},
     {observation_kind::closed, "closed"},
     {observation_kind::leaving, "leaving"},
     {observation_kind::live, "live"},
     {observation_kind::stopping, "stopping"},
     {observation_kind::exited, "exited"},
     {observation_kind::launched, "launched"},
     {observation_kind::document, "document"},
     {observation_kind::checkpoint, "checkpointed"}}};

constexpr name_table<attempt_end, 9> ending_names{{{attempt_end::done, "done"},
                                                   {attempt_end::accepted, "accepted"},
                                                   {attempt_end::not_run, "not_run"},
                                                   {attempt_end::failed, "failed"},
                                                   {attempt_end::unknown, "unknown"},
                                                   {attempt_end::rejected, "rejected"},
                                                   {attempt_end::timed_out, "timed_out"},
                                                   {attempt_end::cut, "cut"},
                                                   {attempt_end::unconnected, "unconnected"}}};

std::string text_at(const Json::Value& line, const char* key)
{
    return line[key].isString() ? line[key].asString() : std::string();
}

std::int64_t number_at(const Json::Value& line, const char* key)
{
    return line[key].isInt64() ? line[key].asInt64() : 0;
}

sesamesill::resources resources_at(const Json::Value& line, const std::string& prefix)
{
    return {number_at(line, (prefix + "cpu_millis").c_str()),
            number_at(line, (prefix + "memory_mb").c_str()),
            number_at(line, (prefix + "accelerators").c_str())};
}

void read_worker(const Json::Value& line, observation& seen)
{
    seen.on_worker = true;
    seen.place = text_at(line, "worker");
    seen.task = text_at(line, "task");
    seen.request = seen.task.substr(0, seen.task.find('/'));
    seen.held = resources_at(line, "held_");
    seen.size = resources_at(line, "size_");
}

void read_executor(const Json::Value& line, observation& seen)
{
    seen.place = text_at(line, "executor");
    seen.run = text_at(line, "run");
    seen.busy = number_at(line, "busy");
    seen.slots = number_at(line, "slots");
}

void read_caller(const Json::Value& line, observation& seen)
{
    seen.place = text_at(line, "entry");
    seen.attempt = number_at(line, "attempt");
    seen.expected_digest = text_at(line, "wanted");
    seen.actual_digest = text_at(line, "got");
    seen.status = number_at(line, "status");
    seen.version = static_cast<std::uint64_t>(number_at(line, "version"));
    seen.digest = text_at(line, "digest");
    seen.closed_as = text_at(line, "final");
    if (seen.place.empty()) {
        seen.place = text_at(line, "vm");
    }
}

} // namespace

std::optional<observation> observation_from(const std::string& line)
{
    const std::optional<Json::Value> parsed = sesamesill::json_from(line);
    if (!parsed || !parsed->isObject()) {
        return std::nullopt;
    }
    const std::optional<observation_kind> kind = value_in(event_names, text_at(*parsed, "event"));
    if (!kind) {
        return std::nullopt;
    }
    observation seen;
    seen.kind = *kind;
    seen.time_us = number_at(*parsed, "time_us");
    seen.request = text_at(*parsed, "request");
    seen.organisation = text_at(*parsed, "organisation");
    seen.work_class = text_at(*parsed, "class");
    seen.idempotent = parsed->get("idempotent", true).asBool();
    seen.ending = value_in(ending_names, text_at(*parsed, "ending")).value_or(attempt_end::unknown);
    if (parsed->isMember("worker")) {
        read_worker(*parsed, seen);
    }
    else if (parsed->isMember("executor")) {
        read_executor(*parsed, seen);
    }
    else {
        read_caller(*parsed, seen);
    }
    return seen;
}

std::string_view name_of(attempt_end ending)
{
    return name_in(ending_names, ending);
}

} // namespace scenario
