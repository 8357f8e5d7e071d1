// Converts jobs to and from JSON, validates them and formats and parses task names.

#include "sesamesill/pool_job.h"

#include <algorithm>
#include <charconv>

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<job_state, 5> state_names{{{job_state::queued, "queued"},
                                                {job_state::running, "running"},
                                                {job_state::complete, "complete"},
                                                {job_state::failed, "failed"},
                                                {job_state::cancelled, "cancelled"}}};

struct flag_field {
    const char* name;
    bool step_spec::*member;
};

constexpr flag_field flag_fields[] = {
    {"saves_progress", &step_spec::saves_progress}, {"gang", &step_spec::gang},
    {"same_rack", &step_spec::same_rack},           {"speculative", &step_spec::speculative},
    {"long_running", &step_spec::long_running},     {"uses_leftover", &step_spec::uses_leftover}};

struct text_field {
    const char* name;
    std::string step_spec::*member;
};

constexpr text_field text_fields[] = {{"required_label", &step_spec::required_label},
                                      {"preferred_rack", &step_spec::preferred_rack},
                                      {"image", &step_spec::image}};

struct count_field {
    const char* name;
    int step_spec::*member;
};

constexpr count_field count_fields[] = {{"max_per_worker", &step_spec::max_per_worker},
                                        {"max_unavailable", &step_spec::max_unavailable}};

std::string step_validation_error(const step_spec& step, int number)
{
    if (step.tasks < 1 || step.tasks > max_tasks_per_step) {
        return "step " + std::to_string(number) + ": the number of tasks is out of range";
    }
    if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 || step.need.accelerators < 0) {
        return "step " + std::to_string(number) +
               ": cpu, memory and accelerators must not be negative";
    }
    for (const int earlier : step.after) {
        if (earlier < 0 || earlier >= number) {
            return "step " + std::to_string(number) +
                   ": after lists a step that isn't an earlier one";
        }
    }
    return {};
}

Json::Value to_json(const step_spec& step)
{
    Json::Value value;
    value["tasks"] = step.tasks;
    value["cpu"] = static_cast<Json::Int64>(step.need.cpu_millis);
    value["memory"] = static_cast<Json::Int64>(step.need.memory_mb);
    value["accelerators"] = static_cast<Json::Int64>(step.need.accelerators);
    value["estimate_ms"] = static_cast<Json::Int64>(step.estimate.count());
    for (const int earlier : step.after) {
        value["after"].append(earlier);
    }
    for (const flag_field& f : flag_fields) {
        if (step.*f.member) {
            value[f.name] = true;
        }
    }
    for (const text_field& f : text_fields) {
        if (!(step.*f.member).empty()) {
            value[f.name] = step.*f.member;
        }
    }
    for (const count_field& f : count_fields) {
        if (step.*f.member != 0) {
            value[f.name] = step.*f.member;
        }
    }
    if (step.latency_target > millis(0)) {
        value["latency_target_ms"] = static_cast<Json::Int64>(step.latency_target.count());
    }
    return value;
}

step_spec step_from(const Json::Value& value)
{
    step_spec step;
    step.tasks = value["tasks"].asInt();
    step.need = {value["cpu"].asInt64(), value["memory"].asInt64(),
                 value["accelerators"].asInt64()};
    step.estimate = millis(value["estimate_ms"].asInt64());
    for (const Json::Value& earlier : value["after"]) {
        step.after.push_back(earlier.asInt());
    }
    for (const flag_field& f : flag_fields) {
        step.*f.member = value[f.name].asBool();
    }
    for (const text_field& f : text_fields) {
        step.*f.member = value[f.name].asString();
    }
    for (const count_field& f : count_fields) {
        step.*f.member = value[f.name].asInt();
    }
    step.latency_target = millis(value["latency_target_ms"].asInt64());
    return step;
}

bool read_number(std::string_view& text, int& number)
{
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc() || number < 0) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return true;
}

bool skip_dot(std::string_view& text)
{
    if (text.empty() || text.front() != '.') {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

resources capacity_used_by(const step_spec& step)
{
    resources used = step.need;
    if (step.uses_leftover) {
        used.cpu_millis = 0;
    }
    return used;
}

std::string_view name_of(job_state state)
{
    return name_in(state_names, state);
}

std::optional<job_state> job_state_from(std::string_view name)
{
    return value_in(state_names, name);
}

std::string validation_error(const job_spec& spec)
{
    if (spec.payload.size() > max_payload_bytes) {
        return "the payload has more than " + std::to_string(max_payload_bytes) + " bytes";
    }
    if (spec.steps.empty() || spec.steps.size() > static_cast<std::size_t>(max_steps)) {
        return "the number of steps is out of range";
    }
    if (spec.occurrences < 0 || spec.first_due_ms < 0 || spec.interval_ms < 0) {
        return "occurrences, first_due_ms and interval_ms must not be negative";
    }
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        std::string fault = step_validation_error(spec.steps[i], static_cast<int>(i));
        if (!fault.empty()) {
            return fault;
        }
        tasks += spec.steps[i].tasks;
    }
    if (tasks * std::max(1, spec.occurrences) > max_tasks_per_job) {
        return "more than " + std::to_string(max_tasks_per_job) + " tasks over all occurrences";
    }
    return {};
}

Json::Value to_json(const job_spec& spec)
{
    Json::Value value;
    value["id"] = spec.id;
    value["queue"] = spec.queue;
    value["payload"] = spec.payload;
    for (const step_spec& step : spec.steps) {
        value["steps"].append(to_json(step));
    }
    if (spec.occurrences > 0) {
        value["occurrences"] = spec.occurrences;
        value["first_due_ms"] = static_cast<Json::Int64>(spec.first_due_ms);
        value["interval_ms"] = static_cast<Json::Int64>(spec.interval_ms);
    }
    return value;
}

std::optional<job_spec> job_spec_from(const Json::Value& value, error& why)
{
    try {
        job_spec spec;
        spec.id = value["id"].asString();
        spec.queue = value["queue"].asString();
        spec.payload = value["payload"].asString();
        for (const Json::Value& step : value["steps"]) {
            spec.steps.push_back(step_from(step));
        }
        spec.occurrences = value["occurrences"].asInt();
        spec.first_due_ms = value["first_due_ms"].asInt64();
        spec.interval_ms = value["interval_ms"].asInt64();
        const std::string fault = validation_error(spec);
        if (fault.empty()) {
            return spec;
        }
        why = {error_code::invalid, step::admission, "", fault};
    }
    catch (const Json::Exception& e) {
        why = {error_code::corrupt, step::admission, "", e.what()};
    }
    return std::nullopt;
}

std::string step_name(const task_id& id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step);
}

std::string to_string(const task_id& id)
{
    return step_name(id) + "." + std::to_string(id.index);
}

std::optional<task_id> task_id_from(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    task_id id;
    id.job = std::string(text.substr(0, dot));
    text.remove_prefix(dot);
    if (!skip_dot(text) || !read_number(text, id.occurrence) || !skip_dot(text) ||
        !read_number(text, id.step) || !skip_dot(text) || !read_number(text, id.index) ||
        !text.empty()) {
        return std::nullopt;
    }
    return id;
}

} // namespace sesamesill::pool
