// Reads the declared configuration and keeps the newest version of it.

#include "sesamesill/pool_configuration.h"

#include "sesamesill/metrics.h"
#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<configuration_source, 4> source_names{{{configuration_source::none, "none"},
                                                            {configuration_source::load, "load"},
                                                            {configuration_source::read, "read"},
                                                            {configuration_source::peer, "peer"}}};

constexpr millis read_pause{20}; ///< time between reads, prevents a busy loop
/// Shares of the time in which a version has to apply. A read waits for a new version; the store
/// may miss one that arrives together with the read. What is older than the validity is confirmed
/// before a decision rests on it.
constexpr int waits_per_limit = 4;
constexpr int validities_per_limit = 2;
/// A peer is asked for a newer version after this share, as the store usually brings it first.
constexpr int peer_delays_per_limit = 8;
/// The second read takes a new connection if the first got no answer. Both end within the slack:
/// meanwhile, other requests are served by the version that is to be confirmed.
constexpr int confirmation_attempts = 2;
constexpr int confirmations_per_slack = 3;

} // namespace

std::string_view name_of(configuration_source source)
{
    return name_in(source_names, source);
}

bool configuration_knowledge::on_version(std::int64_t version, configuration_source source)
{
    if (version <= version_) {
        return false;
    }
    version_ = version;
    source_ = source;
    if (version_ >= told_version_) {
        behind_since_.reset();
    }
    return true;
}

void configuration_knowledge::on_read(time_point begun)
{
    newest_at_ = std::max(newest_at_.value_or(begun), begun);
}

void configuration_knowledge::on_told(std::int64_t version, const std::string& peer,
                                      std::optional<time_point> newest_at, time_point now)
{
    if (version == version_ && newest_at) {
        on_read(*newest_at);
    }
    if (version <= std::max(version_, told_version_)) {
        return;
    }
    told_version_ = version;
    told_by_ = peer;
    behind_since_ = behind_since_.value_or(now);
}

std::vector<log_field> configuration_knowledge::fields(time_point now) const
{
    std::vector<log_field> fields{{"configuration", version_},
                                  {"source", std::string(name_of(source_))}};
    if (newest_at_) {
        fields.push_back({"read_age_ms", to_millis(now - *newest_at_)});
    }
    if (behind_since_) {
        fields.push_back({"newer", told_version_});
        fields.push_back({"newer_by", told_by_});
    }
    return fields;
}

declared_configuration::declared_configuration(event_loop& loop, record_log& log, std::string key,
                                               decoder decode, configuration_bounds bounds)
    : key_(std::move(key)), bounds_(bounds), decode_(std::move(decode)),
      follower_(loop, log, "declared", {bounds.limit / waits_per_limit, read_pause},
                [this](const keyed_record& r) { on_record(r); })
{
    follower_.on_complete([this](time_point begun) { knowledge_.on_read(begun); });
}

void declared_configuration::start()
{
    follower_.start();
}

bool declared_configuration::is_fresh() const
{
    return knowledge_.is_fresh(bounds_.limit / validities_per_limit, boot_clock::now());
}

void declared_configuration::confirm(std::function<void(bool)> done)
{
    if (is_fresh() || follower_.is_failing()) {
        done(is_fresh());
        return;
    }
    waiting_.push_back({current_.version, boot_clock::now(), std::move(done)});
    if (waiting_.size() == 1) {
        refresh(confirmation_attempts);
    }
}

void declared_configuration::refresh(int attempts)
{
    follower_.catch_up(
        bounds_.rollback_slack / confirmations_per_slack, [this, attempts](bool complete) {
            if (!complete && !is_fresh() && attempts > 1) {
                refresh(attempts - 1);
                return;
            }
            const time_point now = boot_clock::now();
            const bool confirmed = (complete && !knowledge_.behind_since()) || is_fresh();
            std::vector<unconfirmed_request> waiting;
            waiting.swap(waiting_);
            for (const unconfirmed_request& r : waiting) {
                const bool in_order =
                    r.version == current_.version || now - r.came <= bounds_.rollback_slack;
                r.done(in_order && confirmed);
            }
        });
}

void declared_configuration::on_told(std::int64_t version, const std::string& peer,
                                     std::optional<time_point> newest_at)
{
    const time_point now = boot_clock::now();
    const bool was_behind = knowledge_.behind_since().has_value();
    knowledge_.on_told(version, peer, newest_at, now);
    if (!was_behind && knowledge_.behind_since()) {
        log_event(log_level::info, "configuration_behind", knowledge_.fields(now));
    }
}

bool declared_configuration::should_ask_peer(time_point now) const
{
    return knowledge_.behind_since() &&
           now - *knowledge_.behind_since() > bounds_.limit / peer_delays_per_limit;
}

void declared_configuration::adopt(const std::string& text, const std::string& peer)
{
    adopt(text, configuration_source::peer, {{"peer", peer}});
}

void declared_configuration::on_record(const keyed_record& record)
{
    if (record.key != key_ || record.value.empty()) {
        return;
    }
    adopt(record.value,
          follower_.is_applying_load() ? configuration_source::load : configuration_source::read,
          {{"offset", static_cast<std::int64_t>(record.offset)},
           {"read_took_ms", to_millis(boot_clock::now() - follower_.last_read())}});
}

/// Makes the version in `text` the current one if it is newer; `details` tell where it is from.
void declared_configuration::adopt(const std::string& text, configuration_source source,
                                   const std::vector<log_field>& details)
{
    error why;
    const std::optional<configuration> read = decode_(text, why);
    if (!read) {
        log_error("configuration_unreadable", why);
        return;
    }
    const std::int64_t held = knowledge_.version();
    if (!knowledge_.on_version(read->version, source)) {
        return; // an older version never replaces a newer one
    }
    current_ = *read;
    text_ = text;
    process_metrics().gauge("sesamesill_pool_configuration_version",
                            "Version of the configuration in force at this member") =
        static_cast<double>(current_.version);
    std::vector<log_field> fields{{"version", current_.version},
                                  {"queues", static_cast<std::int64_t>(current_.queues.size())},
                                  {"held", held},
                                  {"source", std::string(name_of(source))}};
    fields.insert(fields.end(), details.begin(), details.end());
    log_event(log_level::info, "configuration", fields);
    if (on_change_) {
        on_change_(current_);
    }
}

} // namespace sesamesill::pool
