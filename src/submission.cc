// Parsing and validation of submissions, field by field.

#include "sesamesill/submission.h"

#include <algorithm>
#include <cstdio>

#include <xxhash.h>

namespace sesamesill {
namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::int64_t max_cpu_millis = 1024LL * 1000;
constexpr std::int64_t max_memory_mb = 16LL * 1024 * 1024;
constexpr std::int64_t max_accelerators = 1024;
constexpr std::int64_t max_run_ms = 366LL * 24 * 3600 * 1000;

bool refuse(error& why, const std::string& field, const std::string& reason)
{
    why = {error_code::invalid, step::admission, "", field + ": " + reason};
    return false;
}

bool read_name(const Json::Value& body, const char* field, std::string& target, error& why)
{
    const Json::Value& value = body[field];
    if (!value.isString() || value.asString().empty()) {
        return refuse(why, field, "must be a string that is not empty");
    }
    target = value.asString();
    if (target.size() > max_name_bytes) {
        return refuse(why, field, "must be at most 128 bytes");
    }
    return true;
}

bool read_number(const Json::Value& body, const char* field, std::int64_t low, std::int64_t high,
                 std::int64_t& target, error& why)
{
    const Json::Value& value = body[field];
    if (value.isNull()) {
        return true;
    }
    if (!value.isInt64() || value.asInt64() < low || value.asInt64() > high) {
        return refuse(why, field,
                      "must be a whole number from " + std::to_string(low) + " to " +
                          std::to_string(high));
    }
    target = value.asInt64();
    return true;
}

bool read_flag(const Json::Value& body, const char* field, bool& target, error& why)
{
    const Json::Value& value = body[field];
    if (value.isNull()) {
        return true;
    }
    if (!value.isBool()) {
        return refuse(why, field, "must be true or false");
    }
    target = value.asBool();
    return true;
}

bool read_class(const Json::Value& body, const environment& document, submission& s, error& why)
{
    if (!read_name(body, "organisation", s.organisation, why) ||
        !read_name(body, "class", s.work_class, why) || !read_name(body, "key", s.key, why)) {
        return false;
    }
    if (document.organisations.count(s.organisation) == 0) {
        return refuse(why, "organisation", "unknown organisation " + s.organisation);
    }
    const auto found = document.classes.find(s.work_class);
    if (found == document.classes.end()) {
        return refuse(why, "class", "unknown class " + s.work_class);
    }
    s.kind = found->second.kind;
    s.idempotent = found->second.idempotent;
    s.deadline = found->second.deadline;
    return true;
}

bool read_task(const Json::Value& body, const class_policy& policy, submission& s, error& why)
{
    std::int64_t run_ms = 0;
    if (!read_number(body, "tasks", 1, policy.max_tasks, s.tasks, why) ||
        !read_number(body, "cpu_millis", 1, max_cpu_millis, s.size.cpu_millis, why) ||
        !read_number(body, "memory_mb", 1, max_memory_mb, s.size.memory_mb, why) ||
        !read_number(body, "accelerators", 0, max_accelerators, s.size.accelerators, why) ||
        !read_number(body, "run_ms", 0, max_run_ms, run_ms, why)) {
        return false;
    }
    if (s.size.cpu_millis == 0) {
        return refuse(why, "cpu_millis", "must be set");
    }
    if (s.size.memory_mb == 0) {
        return refuse(why, "memory_mb", "must be set");
    }
    s.run_time = millis(run_ms);
    s.payload = body["payload"];
    if (!s.payload.isNull() && !s.payload.isObject()) {
        return refuse(why, "payload", "must be an object");
    }
    return true;
}

} // namespace

std::optional<submission> submission_from(const Json::Value& body, const environment& document,
                                          error& why)
{
    submission s;
    if (!body.isObject()) {
        refuse(why, "body", "must be a JSON object");
        return std::nullopt;
    }
    if (!read_class(body, document, s, why)) {
        return std::nullopt;
    }
    std::int64_t deadline_ms = s.deadline.count();
    if (!read_flag(body, "idempotent", s.idempotent, why) ||
        !read_number(body, "deadline_ms", 1, deadline_ms, deadline_ms, why)) {
        return std::nullopt;
    }
    s.deadline = millis(deadline_ms);
    const class_policy& policy = document.classes.at(s.work_class);
    if (s.kind != work_kind::call) {
        return read_task(body, policy, s, why) ? std::optional<submission>(s) : std::nullopt;
    }
    if (!body["body"].isString()) {
        refuse(why, "body", "must be a string");
        return std::nullopt;
    }
    s.body = body["body"].asString();
    return s;
}

Json::Value to_json(const submission& s)
{
    Json::Value body;
    body["organisation"] = s.organisation;
    body["class"] = s.work_class;
    body["key"] = s.key;
    body["idempotent"] = s.idempotent;
    body["deadline_ms"] = static_cast<Json::Int64>(s.deadline.count());
    if (s.kind == work_kind::call) {
        body["body"] = s.body;
        return body;
    }
    body["tasks"] = static_cast<Json::Int64>(s.tasks);
    body["cpu_millis"] = static_cast<Json::Int64>(s.size.cpu_millis);
    body["memory_mb"] = static_cast<Json::Int64>(s.size.memory_mb);
    body["accelerators"] = static_cast<Json::Int64>(s.size.accelerators);
    body["run_ms"] = static_cast<Json::Int64>(s.run_time.count());
    body["payload"] = s.payload;
    return body;
}

std::string request_id(const std::string& organisation, const std::string& key)
{
    const std::string text = organisation + "\n" + key;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return hex;
}

} // namespace sesamesill
