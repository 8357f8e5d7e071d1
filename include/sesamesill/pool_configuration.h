// The declared configuration as one member knows it: which version it holds, how it learned of it,
// and how fresh that knowledge is. Decisions and log lines ask here.

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/log.h"
#include "sesamesill/pool_follower.h"
#include "sesamesill/pool_ports.h"

namespace sesamesill::pool {

/// How a member learned of the version that it holds.
enum class configuration_source : std::uint8_t {
    none, ///< it holds no version yet
    load, ///< a read of the newest records
    read, ///< a read of the records since
    peer  ///< another member
};

std::string_view name_of(configuration_source source);

/// What a member knows of the configuration's versions. Invariant: `version` never decreases.
class configuration_knowledge {
public:
    /// Handles a version that was read; returns whether it replaces the one that is held.
    bool on_version(std::int64_t version, configuration_source source);
    /// Handles a complete read that was begun at `begun`: no version stored before it is newer than
    /// the one that is held.
    void on_read(time_point begun);
    /// Handles that `peer` holds `version`, which was the newest one at `newest_at` if that is
    /// known.
    void on_told(std::int64_t version, const std::string& peer, std::optional<time_point> newest_at,
                 time_point now);

    std::int64_t version() const { return version_; }
    configuration_source source() const { return source_; }
    /// Returns the time before which no newer version than the one that is held was stored, or
    /// nothing if no read has shown that.
    std::optional<time_point> newest_at() const { return newest_at_; }
    /// Returns since when another member is known to hold a newer version, or nothing if none is.
    std::optional<time_point> behind_since() const { return behind_since_; }

    /// Returns whether the version is known to have been the newest one at most `max_age` ago.
    bool is_fresh(millis max_age, time_point now) const
    {
        return !behind_since_ && newest_at_ && now - *newest_at_ <= max_age;
    }

    /// Returns the fields of a log line about a decision that rests on this knowledge.
    std::vector<log_field> fields(time_point now) const;

private:
    std::int64_t version_ = 0;
    configuration_source source_ = configuration_source::none;
    std::optional<time_point> newest_at_;
    std::int64_t told_version_ = 0; ///< the newest one that another member holds
    std::string told_by_;
    std::optional<time_point> behind_since_; ///< set while `told_version_` exceeds `version_`
};

/// Follows the declared configuration in the platform's store. Other members tell of newer versions
/// and pass them on, as the store may not answer this member.
class declared_configuration {
public:
    /// Decodes the value of a record; returns nothing and sets the reason if it can't be read.
    using decoder =
        std::function<std::optional<configuration>(const std::string& value, error& why)>;

    /// Follows the record `key` of `log`.
    declared_configuration(event_loop& loop, record_log& log, std::string key, decoder decode,
                           configuration_bounds bounds);

    void start();
    /// Sets a callback that runs when a newer version replaces the current one.
    void on_change(std::function<void(const configuration&)> callback)
    {
        on_change_ = std::move(callback);
    }
    /// Returns the configuration in force at this member; its version is 0 before the first read.
    const configuration& current() const { return current_; }
    const configuration_knowledge& knowledge() const { return knowledge_; }
    /// Returns the current version as it was stored, for other members; empty before the first
    /// read.
    const std::string& text() const { return text_; }
    /// See `configuration_knowledge::on_told`.
    void on_told(std::int64_t version, const std::string& peer,
                 std::optional<time_point> newest_at);
    /// Returns whether a member that holds a newer version should be asked for it now: reads of the
    /// store have had time to bring it.
    bool should_ask_peer(time_point now) const;
    /// Adopts the version that `peer` has sent if it is newer.
    void adopt(const std::string& text, const std::string& peer);
    /// Returns whether a decision may rest on what the current version lacks.
    bool is_fresh() const;
    /// Passes to `done` whether a request that came now may be decided by the version that is the
    /// current one then: it's fresh, after a read if needed, and didn't come so late that requests
    /// after this one have been served by an older one.
    void confirm(std::function<void(bool)> done);

private:
    struct unconfirmed_request {
        std::int64_t version = 0; ///< the current one when it came
        time_point came;
        std::function<void(bool)> done;
    };

    void on_record(const keyed_record& record);
    void adopt(const std::string& text, configuration_source source,
               const std::vector<log_field>& details);
    void refresh(int attempts);

    std::string key_;
    configuration_bounds bounds_;
    decoder decode_;
    configuration current_;
    std::string text_;
    configuration_knowledge knowledge_;
    keyed_follower follower_;
    std::function<void(const configuration&)> on_change_;
    std::vector<unconfirmed_request> waiting_; ///< for the read in progress that confirms
};

} // namespace sesamesill::pool
