// Converts jobs to and from JSON, validates them and formats and parses task names.

#include "sesamesill/pool_job.h"

#include <algorithm>
#include <charconv>

#include "sesamesill/json.h"
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

void write(json_writer& out, const step_spec& step)
{
    out.StartObject();
    const auto add = [&out](const char* name, std::int64_t value) {
        out.Key(name);
        out.Int64(value);
    };
    add("tasks", step.tasks);
    add("cpu", step.need.cpu_millis);
    add("memory", step.need.memory_mb);
    add("accelerators", step.need.accelerators);
    add("estimate_ms", step.estimate.count());
    if (!step.after.empty()) {
        out.Key("after");
        out.StartArray();
        for (const int earlier : step.after) {
            out.Int(earlier);
        }
        out.EndArray();
    }
    for (const flag_field& f : flag_fields) {
        if (step.*f.member) {
            out.Key(f.name);
            out.Bool(true);
        }
    }
    for (const text_field& f : text_fields) {
        if (!(step.*f.member).empty()) {
            out.Key(f.name);
            write_string(out, step.*f.member);
        }
    }
    for (const count_field& f : count_fields) {
        if (step.*f.member != 0) {
            add(f.name, step.*f.member);
        }
    }
    if (step.latency_target > millis(0)) {
        add("latency_target_ms", step.latency_target.count());
    }
    out.EndObject();
}

step_spec step_from(const json_value& value)
{
    step_spec step;
    step.tasks = to_int(field(value, "tasks"));
    step.need = {to_integer(field(value, "cpu")), to_integer(field(value, "memory")),
                 to_integer(field(value, "accelerators"))};
    step.estimate = millis(to_integer(field(value, "estimate_ms")));
    for (const json_value& earlier : to_array(field(value, "after"))) {
        step.after.push_back(to_int(earlier));
    }
    for (const flag_field& f : flag_fields) {
        step.*f.member = to_flag(field(value, f.name));
    }
    for (const text_field& f : text_fields) {
        step.*f.member = sesamesill::to_string(field(value, f.name));
    }
    for (const count_field& f : count_fields) {
        step.*f.member = to_int(field(value, f.name));
    }
    step.latency_target = millis(to_integer(field(value, "latency_target_ms")));
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

namespace {

void write(json_writer& out, const job_spec& spec)
{
    out.StartObject();
    out.Key("id");
    write_string(out, spec.id);
    out.Key("queue");
    write_string(out, spec.queue);
    out.Key("payload");
    write_string(out, spec.payload);
    out.Key("steps");
    out.StartArray();
    for (const step_spec& step : spec.steps) {
        write(out, step);
    }
    out.EndArray();
    if (spec.occurrences > 0) {
        out.Key("occurrences");
        out.Int(spec.occurrences);
        out.Key("first_due_ms");
        out.Int64(spec.first_due_ms);
        out.Key("interval_ms");
        out.Int64(spec.interval_ms);
    }
    out.EndObject();
}

/// Reads a valid job; throws `json_error` if a field has the wrong type or the job isn't valid.
job_spec spec_from(const json_value& value)
{
    job_spec spec;
    spec.id = sesamesill::to_string(field(value, "id"));
    spec.queue = sesamesill::to_string(field(value, "queue"));
    spec.payload = sesamesill::to_string(field(value, "payload"));
    for (const json_value& step : to_array(field(value, "steps"))) {
        spec.steps.push_back(step_from(step));
    }
    spec.occurrences = to_int(field(value, "occurrences"));
    spec.first_due_ms = to_integer(field(value, "first_due_ms"));
    spec.interval_ms = to_integer(field(value, "interval_ms"));
    const std::string fault = validation_error(spec);
    if (!fault.empty()) {
        throw json_error(fault);
    }
    return spec;
}

} // namespace

std::string encode(const job_spec& spec)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    write(writer, spec);
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<job_spec> decode_job_spec(const std::string& text, error& why)
{
    try {
        json_document value;
        parse_object(value, text);
        return spec_from(value);
    }
    catch (const json_error& e) {
        why = {error_code::invalid, step::admission, "", e.what()};
        return std::nullopt;
    }
}

namespace {

void write_terms(json_writer& out, const queue_policy& terms)
{
    out.StartObject();
    out.Key("service");
    write_string(out, terms.service);
    out.Key("max_attempts");
    out.Int(terms.max_attempts);
    out.Key("priority");
    out.Int(terms.priority);
    out.Key("stretch");
    out.Double(terms.stretch);
    out.Key("latency_target_ms");
    out.Int64(terms.latency_target.count());
    if (terms.advice) {
        out.Key("advice");
        out.StartObject();
        out.Key("base_ms");
        out.Double(terms.advice->base_ms);
        out.Key("per_worker_ms");
        out.Double(terms.advice->per_worker_ms);
        out.Key("valid_ms");
        out.Int64(terms.advice->valid.count());
        out.EndObject();
    }
    out.EndObject();
}

/// Reads the policy under which a job was accepted; nothing if the record has none.
std::optional<queue_policy> terms_from(const json_value& value)
{
    if (!value.IsObject()) {
        return std::nullopt;
    }
    queue_policy terms;
    terms.service = sesamesill::to_string(field(value, "service"));
    terms.max_attempts = to_int(field(value, "max_attempts"));
    terms.priority = to_int(field(value, "priority"));
    terms.stretch = to_number(field(value, "stretch"));
    terms.latency_target = millis(to_integer(field(value, "latency_target_ms")));
    const json_value& advice = field(value, "advice");
    if (advice.IsObject()) {
        terms.advice = advice_terms{to_number(field(advice, "base_ms")),
                                    to_number(field(advice, "per_worker_ms")),
                                    millis(to_integer(field(advice, "valid_ms")))};
    }
    return terms;
}

} // namespace

std::string encode(const job_record& job)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("accepted_ms");
    writer.Int64(job.accepted_ms);
    if (job.terms) {
        writer.Key("terms");
        write_terms(writer, *job.terms);
    }
    writer.Key("spec");
    write(writer, job.spec);
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<job_record> decode_job_record(const std::string& text, error& why)
{
    try {
        json_document value;
        parse_object(value, text);
        return job_record{spec_from(field(value, "spec")), to_integer(field(value, "accepted_ms")),
                          terms_from(field(value, "terms"))};
    }
    catch (const json_error& e) {
        why = {error_code::corrupt, step::recovery, "", std::string("job record: ") + e.what()};
        return std::nullopt;
    }
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
