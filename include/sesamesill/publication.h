// Which environment document is in force, decided alike by each reader of the log.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace sesamesill {

/// How a version came about.
enum class publication_origin : std::uint8_t { publish, promote, rollback };

std::string_view name_of(publication_origin origin);
std::optional<publication_origin> publication_origin_from(std::string_view name);

/// One document on its way into force, as written into the log.
struct publication_record {
    std::string environment;
    std::string id;         ///< chosen by the publisher, the same for each retry
    std::uint64_t base = 0; ///< version that it was derived from, 0 for none
    std::string text;
    std::string digest;
    publication_origin origin = publication_origin::publish;
    std::string operator_name;
    std::int64_t when_ms = 0; ///< wall clock of the entry that took it, for the audit only
};

Json::Value to_json(const publication_record& record);
/// Returns the record, or nothing where a field is missing or the digest is not that of the text.
std::optional<publication_record> publication_record_from(const Json::Value& value);

enum class publication_verdict : std::uint8_t {
    accepted,
    superseded, ///< another record with the same base came first
    repeated,   ///< a retry of a record that was accepted
    outdated,   ///< at or below the version that is known
    deferred    ///< the current version is not known yet
};

std::string_view name_of(publication_verdict verdict);

/// A version is the offset of its record plus one, so versions grow with the log.
struct published_version {
    std::uint64_t version = 0; ///< 0: no document yet
    publication_record record;
    bool was_in_force = false; ///< on all members at once
};

/// The versions of one environment.
/// Invariant: version() never decreases; each accepted record's base was the version before it.
class publication {
public:
    /// The oldest records are gone: what is in force is unknown until a snapshot tells.
    void mark_log_trimmed();
    /// Takes the record at `offset`. Call in log order.
    publication_verdict apply_record(const publication_record& record, std::uint64_t offset);
    /// Takes a version vouched for by a snapshot or by a peer; false where it is not newer.
    bool adopt(const published_version& reported);
    /// Notes that a version was in force on all members.
    void mark_in_force(std::uint64_t version);

    bool known() const { return known_; }
    std::uint64_t version() const { return history_.empty() ? 0 : history_.back().version; }
    /// The version in force, or nothing where there is none.
    const published_version* current() const;
    const published_version* find(std::uint64_t version) const;
    /// Newest last, at most `history_limit` versions.
    const std::deque<published_version>& history() const { return history_; }
    /// Returns the verdict on the record with this id, where it was seen lately.
    std::optional<publication_verdict> verdict_of(const std::string& id) const;

    static constexpr std::size_t history_limit = 64;

private:
    struct deferred_record {
        publication_record record;
        std::uint64_t offset = 0;
    };

    void store_verdict(const std::string& id, publication_verdict verdict);
    void append(published_version version);

    bool known_ = true;
    std::deque<published_version> history_;
    std::vector<deferred_record> deferred_;
    std::map<std::string, publication_verdict> verdicts_;
    std::deque<std::string> verdict_order_;
};

} // namespace sesamesill
