// Accepts the first record in log order whose base is the current version. This order is the same
// for all readers, so that they agree on the version in force.

#include "sesamesill/publication.h"

#include <algorithm>

#include "sesamesill/environment.h"
#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<publication_origin, 3> origin_names{
    {{publication_origin::publish, "publish"},
     {publication_origin::promote, "promote"},
     {publication_origin::rollback, "rollback"}}};

constexpr name_table<publication_verdict, 5> verdict_names{
    {{publication_verdict::accepted, "accepted"},
     {publication_verdict::superseded, "superseded"},
     {publication_verdict::repeated, "repeated"},
     {publication_verdict::outdated, "old"},
     {publication_verdict::deferred, "deferred"}}};

constexpr std::size_t verdict_limit = 1024;  // record ids
constexpr std::size_t deferred_limit = 1024; // records

} // namespace

std::string_view name_of(publication_origin origin)
{
    return name_in(origin_names, origin);
}

std::optional<publication_origin> publication_origin_from(std::string_view name)
{
    return value_in(origin_names, name);
}

std::string_view name_of(publication_verdict verdict)
{
    return name_in(verdict_names, verdict);
}

Json::Value to_json(const publication_record& record)
{
    Json::Value value;
    value["environment"] = record.environment;
    value["id"] = record.id;
    value["base"] = static_cast<Json::UInt64>(record.base);
    value["text"] = record.text;
    value["digest"] = record.digest;
    value["origin"] = std::string(name_of(record.origin));
    value["operator"] = record.operator_name;
    value["when_ms"] = static_cast<Json::Int64>(record.when_ms);
    return value;
}

std::optional<publication_record> publication_record_from(const Json::Value& value)
{
    const bool has_all_fields =
        value.isObject() && value["environment"].isString() && value["id"].isString() &&
        value["base"].isUInt64() && value["text"].isString() && value["digest"].isString() &&
        value["origin"].isString() && value["operator"].isString() && value["when_ms"].isInt64();
    if (!has_all_fields) {
        return std::nullopt;
    }
    publication_record record;
    record.environment = value["environment"].asString();
    record.id = value["id"].asString();
    record.base = value["base"].asUInt64();
    record.text = value["text"].asString();
    record.digest = value["digest"].asString();
    record.operator_name = value["operator"].asString();
    record.when_ms = value["when_ms"].asInt64();
    const std::optional<publication_origin> origin =
        publication_origin_from(value["origin"].asString());
    if (!origin || digest_of(record.text) != record.digest) {
        return std::nullopt;
    }
    record.origin = *origin;
    return record;
}

void publication::mark_log_trimmed()
{
    known_ = !history_.empty();
}

publication_verdict publication::apply_record(const publication_record& record,
                                              std::uint64_t offset)
{
    const std::uint64_t new_version = offset + 1;
    if (!known_) {
        if (deferred_.size() < deferred_limit) {
            deferred_.push_back({record, offset});
        }
        return publication_verdict::deferred;
    }
    if (new_version <= version()) {
        return publication_verdict::outdated;
    }
    const std::optional<publication_verdict> earlier = verdict_of(record.id);
    if (earlier == publication_verdict::accepted) {
        return publication_verdict::repeated;
    }
    if (record.base != version()) {
        store_verdict(record.id, publication_verdict::superseded);
        return publication_verdict::superseded;
    }
    append({new_version, record, false});
    store_verdict(record.id, publication_verdict::accepted);
    return publication_verdict::accepted;
}

bool publication::adopt(const published_version& reported)
{
    const bool newer = !known_ || reported.version > version();
    if (!newer) {
        return false;
    }
    known_ = true;
    if (reported.version > version()) {
        append(reported);
        store_verdict(reported.record.id, publication_verdict::accepted);
    }
    std::vector<deferred_record> records;
    records.swap(deferred_);
    for (const deferred_record& d : records) {
        apply_record(d.record, d.offset);
    }
    return true;
}

void publication::mark_in_force(std::uint64_t version)
{
    for (published_version& v : history_) {
        v.was_in_force = v.was_in_force || v.version == version;
    }
}

const published_version* publication::current() const
{
    return known_ && !history_.empty() ? &history_.back() : nullptr;
}

const published_version* publication::find(std::uint64_t version) const
{
    const auto found =
        std::find_if(history_.begin(), history_.end(),
                     [version](const published_version& v) { return v.version == version; });
    return found == history_.end() ? nullptr : &*found;
}

std::optional<publication_verdict> publication::verdict_of(const std::string& id) const
{
    const auto found = verdicts_.find(id);
    return found == verdicts_.end() ? std::nullopt
                                    : std::optional<publication_verdict>(found->second);
}

void publication::store_verdict(const std::string& id, publication_verdict verdict)
{
    if (!verdicts_.emplace(id, verdict).second) {
        verdicts_[id] = verdict;
        return;
    }
    verdict_order_.push_back(id);
    if (verdict_order_.size() > verdict_limit) {
        verdicts_.erase(verdict_order_.front());
        verdict_order_.pop_front();
    }
}

void publication::append(published_version version)
{
    history_.push_back(std::move(version));
    if (history_.size() > history_limit) {
        history_.pop_front();
    }
}

} // namespace sesamesill
