// Keeps the documents of all environments that are in the log, and the one in force in this cell.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cell_service.h"
#include "journal_service.h"
#include "sesamesill/environment.h"
#include "sesamesill/http.h"
#include "sesamesill/publication.h"
#include "sesamesill/rpc.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class document_service {
public:
    document_service(event_loop& loop, http_client& client, cell_service& cell,
                     journal_service& journal, const node_settings& settings);

    void start();
    void serve(rpc_server& rpc);

    /// Returns the document in force on this member, or nothing if it is unknown or unreadable.
    const std::optional<environment>& current() const { return current_; }
    /// Returns the version in force on this member, 0 for none.
    std::uint64_t version() const { return version_; }
    /// Returns why no document is in force on this member, or nothing if one is.
    std::optional<error> not_ready() const;
    /// Adds an action that runs each time a document comes into force.
    void on_change(std::function<void()> action) { change_listeners_.push_back(std::move(action)); }

    /// Returns the versions of an environment, or null if it is unknown.
    const publication* find(const std::string& environment_name) const;
    std::vector<std::string> environments() const;
    Json::Value status() const;

    /// Receives the verdict on a publication, or nothing and the reason.
    using publish_callback = std::function<void(std::optional<publication_verdict>, const error&)>;
    /// Appends the record to the log and calls `done` once its verdict is known or `limit` has
    /// passed.
    void publish(const publication_record& record, millis limit, publish_callback done);

private:
    struct pending_publication {
        std::string environment;
        std::string id;
        append_ticket ticket = 0;
        time_point deadline;
        publish_callback done;
    };

    void apply_record(const journal_item& item);
    void apply_snapshot(const journal_item& item);
    void apply_confirmation(const journal_item& item);
    void activate_newest();
    void answer_pending();
    void poll_peer();
    void confirm_in_force();
    void count_confirmation(std::uint64_t version, std::size_t members);
    void write_snapshots();
    bool is_first_member() const;
    Json::Value rpc_status(const Json::Value& params) const;
    void on_peer_status(const Json::Value& answer);

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    journal_service& journal_;
    const node_settings& settings_;
    std::map<std::string, publication> publications_;
    std::optional<environment> current_;
    std::uint64_t version_ = 0; ///< version in force on this member; never decreases
    time_point active_since_;   ///< when `version_` came into force
    std::vector<pending_publication> pending_;
    std::vector<std::function<void()>> change_listeners_;
    std::mt19937_64 random_;       ///< selects the next peer to poll
    bool log_trimmed_ = false;     ///< the oldest document records are gone
    bool confirming_ = false;      ///< a round of confirm_in_force() is running
    std::size_t confirmed_by_ = 0; ///< members that have `version_`, in this round
};

} // namespace sesamesill
