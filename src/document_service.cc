// Appends and reads document records and exchanges versions with the peers.

#include "document_service.h"

#include <algorithm>

#include <xxhash.h>

#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis gossip_interval{1000};
constexpr millis confirm_interval{250};
constexpr millis pending_check_interval{10};
constexpr millis rpc_timeout{1000};

Json::Value version_json(const published_version& v)
{
    Json::Value value;
    value["version"] = static_cast<Json::UInt64>(v.version);
    value["was_in_force"] = v.was_in_force;
    value["record"] = to_json(v.record);
    return value;
}

std::optional<published_version> version_from(const Json::Value& value)
{
    if (!value.isObject() || !value["version"].isUInt64()) {
        return std::nullopt;
    }
    const std::optional<publication_record> record = publication_record_from(value["record"]);
    if (!record) {
        return std::nullopt;
    }
    return published_version{value["version"].asUInt64(), *record,
                             value.get("was_in_force", false).asBool()};
}

} // namespace

document_service::document_service(event_loop& loop, http_client& client, cell_service& cell,
                                   journal_service& journal, const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), journal_(journal), settings_(settings),
      random_(XXH3_64bits(settings.name.data(), settings.name.size()))
{
    publications_[settings_.environment];
    journal_.on("document", [this](const journal_item& item) { apply_record(item); });
    journal_.on("document_snapshot", [this](const journal_item& item) { apply_snapshot(item); });
    journal_.on("in_force", [this](const journal_item& item) { apply_confirmation(item); });
    journal_.on("gap", [this](const journal_item& item) {
        if (item.value["stream"].asString() == "config") {
            log_trimmed_ = true;
            for (std::pair<const std::string, publication>& entry : publications_) {
                entry.second.mark_log_trimmed();
            }
        }
    });
}

void document_service::start()
{
    if (!is_disabled(settings_, "document_gossip")) {
        loop_.every(gossip_interval, [this] { poll_peer(); });
    }
    loop_.every(confirm_interval, [this] { confirm_in_force(); });
    loop_.every(pending_check_interval, [this] { answer_pending(); });
    if (!is_disabled(settings_, "document_snapshot")) {
        loop_.every(settings_.document_snapshot_interval, [this] { write_snapshots(); });
    }
}

void document_service::serve(rpc_server& rpc)
{
    rpc.add("document_status", [this](const Json::Value& params, error&) {
        return std::optional<Json::Value>(rpc_status(params));
    });
}

std::optional<error> document_service::not_ready() const
{
    if (current_) {
        return std::nullopt;
    }
    const publication& own = publications_.at(settings_.environment);
    const char* reason = "no document has been published yet";
    if (!journal_.caught_up() && own.version() == 0) {
        reason = "the log has not been read to its end yet";
    }
    else if (!own.known()) {
        reason = "the log is trimmed and no snapshot or peer has reported the current version";
    }
    else if (own.version() > 0) {
        reason = "the current document cannot be parsed by this version of sesamesill";
    }
    return error{error_code::unavailable, step::document, settings_.environment, reason};
}

const publication* document_service::find(const std::string& environment_name) const
{
    const auto found = publications_.find(environment_name);
    return found == publications_.end() ? nullptr : &found->second;
}

std::vector<std::string> document_service::environments() const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, publication>& entry : publications_) {
        names.push_back(entry.first);
    }
    return names;
}

void document_service::publish(const publication_record& record, millis limit,
                               publish_callback done)
{
    pending_publication w;
    w.environment = record.environment;
    w.id = record.id;
    w.deadline = boot_clock::now() + limit;
    w.done = std::move(done);
    Json::Value item = to_json(record);
    item["type"] = "document";
    w.ticket = journal_.append("config", item, nullptr);
    pending_.push_back(std::move(w));
}

void document_service::apply_record(const journal_item& item)
{
    const std::optional<publication_record> record = publication_record_from(item.value);
    if (!record) {
        log_error("record_skipped", {error_code::corrupt, step::document, item.writer,
                                     "document at offset " + std::to_string(item.offset)});
        return;
    }
    const bool is_new = publications_.count(record->environment) == 0;
    publication& p = publications_[record->environment];
    if (is_new && log_trimmed_) {
        p.mark_log_trimmed();
    }
    const publication_verdict verdict = p.apply_record(*record, item.offset);
    log_event(log_level::info, "document_record",
              {{"environment", record->environment},
               {"offset", static_cast<std::int64_t>(item.offset)},
               {"base", static_cast<std::int64_t>(record->base)},
               {"digest", record->digest},
               {"operator", record->operator_name},
               {"origin", std::string(name_of(record->origin))},
               {"verdict", std::string(name_of(verdict))}});
    activate_newest();
    answer_pending();
}

void document_service::apply_snapshot(const journal_item& item)
{
    const std::string name = item.value["environment"].asString();
    const std::optional<published_version> reported = version_from(item.value);
    const bool empty = item.value["version"] == Json::Value(Json::UInt64(0));
    if (name.empty() || (!reported && !empty)) {
        log_error("record_skipped", {error_code::corrupt, step::document, item.writer,
                                     "snapshot at offset " + std::to_string(item.offset)});
        return;
    }
    publications_[name].adopt(reported.value_or(published_version()));
    activate_newest();
}

void document_service::apply_confirmation(const journal_item& item)
{
    const auto found = publications_.find(item.value["environment"].asString());
    if (found != publications_.end() && item.value["version"].isUInt64()) {
        found->second.mark_in_force(item.value["version"].asUInt64());
    }
}

void document_service::activate_newest()
{
    const publication& own = publications_.at(settings_.environment);
    const published_version* newest = own.current();
    if (newest == nullptr || newest->version <= version_) {
        return;
    }
    std::vector<fault> faults;
    current_ = parse_environment(newest->record.text, faults);
    version_ = newest->version;
    active_since_ = boot_clock::now();
    confirmed_by_ = 0;
    if (!current_) {
        log_error("document_unreadable",
                  {error_code::corrupt, step::document, settings_.environment,
                   faults.empty() ? "" : to_string(faults.front())});
        return;
    }
    log_event(log_level::info, "document_in_force",
              {{"version", static_cast<std::int64_t>(version_)}, {"digest", current_->digest}});
    for (const std::function<void()>& action : change_listeners_) {
        action();
    }
}

void document_service::answer_pending()
{
    std::vector<pending_publication> still_pending;
    std::vector<pending_publication> to_check;
    to_check.swap(pending_);
    for (pending_publication& w : to_check) {
        const std::optional<publication_verdict> verdict =
            publications_[w.environment].verdict_of(w.id);
        if (verdict) {
            w.done(verdict, {});
        }
        else if (boot_clock::now() < w.deadline) {
            still_pending.push_back(std::move(w));
        }
        else if (journal_.cancel(w.ticket)) {
            w.done(std::nullopt, {error_code::unavailable, step::log_append, "log",
                                  "not published: the log is unreachable"});
        }
        else {
            w.done(std::nullopt, {error_code::timeout, step::log_append, "log",
                                  "unknown whether published: retry with the same id"});
        }
    }
    std::move(still_pending.begin(), still_pending.end(), std::back_inserter(pending_));
}

bool document_service::is_first_member() const
{
    const std::vector<member>& members = cell_.members();
    const auto first =
        std::min_element(members.begin(), members.end(),
                         [](const member& a, const member& b) { return a.name < b.name; });
    return first != members.end() && first->name == cell_.self();
}

Json::Value document_service::rpc_status(const Json::Value& params) const
{
    Json::Value answer = status();
    const publication& own = publications_.at(settings_.environment);
    const bool asker_is_behind =
        params["version"].isUInt64() && params["version"].asUInt64() < own.version();
    if (asker_is_behind && own.current() != nullptr &&
        params["environment"].asString() == settings_.environment) {
        answer["newest"] = version_json(*own.current());
    }
    return answer;
}

Json::Value document_service::status() const
{
    Json::Value answer;
    answer["environment"] = settings_.environment;
    answer["version"] = static_cast<Json::UInt64>(version_);
    answer["digest"] = current_ ? current_->digest : "";
    answer["age_ms"] =
        static_cast<Json::Int64>(version_ > 0 ? to_millis(boot_clock::now() - active_since_) : 0);
    return answer;
}

/// Asks a random peer for a newer version, so that members that cannot read the log get it too.
void document_service::poll_peer()
{
    const std::vector<member>& members = cell_.members();
    if (members.empty()) {
        return;
    }
    const member& peer = members[random_() % members.size()];
    if (peer.name == cell_.self()) {
        return;
    }
    Json::Value params;
    params["environment"] = settings_.environment;
    params["version"] =
        static_cast<Json::UInt64>(publications_.at(settings_.environment).version());
    call_rpc(client_, peer.peer_address, "document_status", params, rpc_timeout,
             [this](const std::optional<Json::Value>& answer, const error&) {
                 if (answer) {
                     on_peer_status(*answer);
                 }
             });
}

void document_service::on_peer_status(const Json::Value& answer)
{
    const std::optional<published_version> reported = version_from(answer["newest"]);
    if (reported && reported->record.environment == settings_.environment &&
        publications_.at(settings_.environment).adopt(*reported)) {
        log_event(log_level::info, "document_from_peer",
                  {{"version", static_cast<std::int64_t>(reported->version)}});
        activate_newest();
    }
}

/// Asks all members for their version and records in the log that all have the current one. Only
/// the first member by name does so, and repeats it until the log confirms the version.
void document_service::confirm_in_force()
{
    const published_version* newest = publications_.at(settings_.environment).current();
    if (confirming_ || newest == nullptr || newest->was_in_force || newest->version != version_ ||
        !is_first_member()) {
        return;
    }
    confirming_ = true;
    confirmed_by_ = 0;
    const std::uint64_t version = version_;
    const std::size_t members = cell_.members().size();
    Json::Value params;
    params["environment"] = settings_.environment;
    for (const member& m : cell_.members()) {
        if (m.name == cell_.self()) {
            count_confirmation(version, members);
            continue;
        }
        call_rpc(client_, m.peer_address, "document_status", params, rpc_timeout,
                 [this, version, members](const std::optional<Json::Value>& answer, const error&) {
                     if (answer && (*answer)["version"].asUInt64() >= version) {
                         count_confirmation(version, members);
                     }
                 });
    }
    loop_.after(rpc_timeout + millis(50), [this] { confirming_ = false; });
}

void document_service::count_confirmation(std::uint64_t version, std::size_t members)
{
    if (version != version_ || ++confirmed_by_ < members) {
        return;
    }
    Json::Value item;
    item["type"] = "in_force";
    item["environment"] = settings_.environment;
    item["version"] = static_cast<Json::UInt64>(version);
    item["digest"] = current_ ? current_->digest : "";
    item["members"] = static_cast<Json::UInt64>(members);
    journal_.append("config", item, nullptr);
    log_event(log_level::info, "document_in_force_everywhere",
              {{"version", static_cast<std::int64_t>(version)},
               {"members", static_cast<std::int64_t>(members)}});
}

/// Appends the current documents to the log again, so that they outlast its retention. Only the
/// first member by name writes them.
void document_service::write_snapshots()
{
    if (!is_first_member() || !journal_.caught_up()) {
        return;
    }
    for (const std::pair<const std::string, publication>& entry : publications_) {
        if (!entry.second.known()) {
            continue;
        }
        Json::Value item = entry.second.current() != nullptr ? version_json(*entry.second.current())
                                                             : Json::Value(Json::objectValue);
        item["type"] = "document_snapshot";
        item["environment"] = entry.first;
        item["version"] = static_cast<Json::UInt64>(entry.second.version());
        journal_.append("config", item, nullptr);
    }
}

} // namespace sesamesill
