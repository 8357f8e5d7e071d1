// Decides which environment document is in force. All readers of the log reach the same decision.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace sesamesill {

/// The operator's action that created a version.
enum class publication_origin : std::uint8_t { publish, promote, rollback };

std::string_view name_of(publication_origin origin);
std::optional<publication_origin> publication_origin_from(std::string_view name);

/// A request to put a document in force, as stored in the log.
struct publication_record {
    std::string environment;
    std::string id;         ///< chosen by the publisher; retries use the same id
    std::uint64_t base = 0; ///< version that the document was derived from, 0 for none
    std::string text;
    std::string digest;
    publication_origin origin = publication_origin::publish;
    std::string operator_name;
    std::int64_t when_ms = 0; ///< wall clock of the accepting entry, for auditing only
};

Json::Value to_json(const publication_record& record);
/// Returns the record, or nothing if a field is missing or the digest does not match the text.
std::optional<publication_record> publication_record_from(const Json::Value& value);

enum class publication_verdict : std::uint8_t {
    accepted,
    superseded, ///< another record was accepted after the base of this one
    repeated,   ///< retry of a record that was already accepted
    outdated,   ///< the record's version is not above the current version
    deferred    ///< the current version is not known yet; the record is applied once it is
};

std::string_view name_of(publication_verdict verdict);

/// A published document. A version is the log offset of its record plus one, so it grows with the
/// log.
struct published_version {
    std::uint64_t version = 0; ///< 0 if no document was published yet
    publication_record record;
    bool was_in_force = false; ///< all members had this version in force at the same time
};

/// The published versions of one environment.
/// Invariant: version() never decreases; the base of each accepted record is the version before it.
class publication {
public:
    /// Notes that the oldest records were trimmed from the log. The current version stays unknown
    /// until a snapshot or a peer reports it, unless a version is known already.
    void mark_log_trimmed();
    /// Applies the record at `offset` of the log. Records must be applied in log order.
    publication_verdict apply_record(const publication_record& record, std::uint64_t offset);
    /// Adopts a version reported by a snapshot or a peer, then applies the deferred records.
    /// Returns false if a version is known and `reported` is not newer.
    bool adopt(const published_version& reported);
    /// Notes that all members had the version in force.
    void mark_in_force(std::uint64_t version);

    /// Returns whether the current version is known.
    bool known() const { return known_; }
    std::uint64_t version() const { return history_.empty() ? 0 : history_.back().version; }
    /// Returns the current version, or null if it is unknown or no document was published.
    const published_version* current() const;
    /// Returns the version if it is still in the history, or null.
    const published_version* find(std::uint64_t version) const;
    /// Returns at most `history_limit` versions, the newest last.
    const std::deque<published_version>& history() const { return history_; }
    /// Returns the verdict on the record with this id, or nothing if the id is unknown or no longer
    /// kept.
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
    std::deque<published_version> history_; ///< versions ascend
    std::vector<deferred_record> deferred_; ///< records read while the version is unknown
    std::map<std::string, publication_verdict> verdicts_; ///< by record id
    std::deque<std::string> verdict_order_;               ///< ids in `verdicts_`, oldest first
};

} // namespace sesamesill
