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
    read  ///< a read of the records since
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

    std::int64_t version() const { return version_; }
    configuration_source source() const { return source_; }
    /// Returns since when the version is known to have been the newest one, or nothing if no read
    /// has shown that.
    std::optional<time_point> newest_at() const { return newest_at_; }

    /// Returns whether the version was the newest one at most `max_age` ago.
    bool is_fresh(millis max_age, time_point now) const
    {
        return newest_at_ && now - *newest_at_ <= max_age;
    }

    /// Returns the fields of a log line about a decision that rests on this knowledge.
    std::vector<log_field> fields(time_point now) const;

private:
    std::int64_t version_ = 0;
    configuration_source source_ = configuration_source::none;
    std::optional<time_point> newest_at_;
};

/// Follows the declared configuration in the platform's store.
class declared_configuration {
public:
    /// Decodes the value of a record; returns nothing and sets the reason if it can't be read.
    using decoder =
        std::function<std::optional<configuration>(const std::string& value, error& why)>;

    /// Follows the record `key` of `log`. A version has to apply `apply_limit` after it was stored.
    declared_configuration(event_loop& loop, record_log& log, std::string key, decoder decode,
                           millis apply_limit);

    void start();
    /// Sets a callback that runs when a newer version replaces the current one.
    void on_change(std::function<void(const configuration&)> callback)
    {
        on_change_ = std::move(callback);
    }
    /// Returns the configuration in force at this member; its version is 0 before the first read.
    const configuration& current() const { return current_; }
    const configuration_knowledge& knowledge() const { return knowledge_; }
    /// Returns whether a decision may rest on what the current version lacks.
    bool is_fresh() const;
    /// Passes to `done` whether the current version is fresh, after a read if it isn't yet.
    void confirm(std::function<void(bool)> done);

private:
    void on_record(const keyed_record& record);
    void refresh(int attempts);

    std::string key_;
    millis apply_limit_;
    decoder decode_;
    configuration current_;
    configuration_knowledge knowledge_;
    keyed_follower follower_;
    std::function<void(const configuration&)> on_change_;
    std::vector<std::function<void(bool)>> waiting_; ///< calls of `confirm` until the read's end
};

} // namespace sesamesill::pool
