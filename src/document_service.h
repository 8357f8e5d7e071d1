// Keeps the documents of all environments as the log tells them, and this cell's one in force.

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

    /// The document in force here, or nothing where this member cannot know it.
    const std::optional<environment>& current() const { return current_; }
    std::uint64_t version() const { return version_; }
    /// Returns why no document is in force here, or nothing where one is.
    std::optional<error> not_ready() const;
    void on_change(std::function<void()> action) { change_listeners_.push_back(std::move(action)); }

    const publication* find(const std::string& environment_name) const;
    std::vector<std::string> environments() const;
    Json::Value status() const;

    /// The end of a publication: accepted, superseded, or nothing with the reason.
    using publish_callback = std::function<void(std::optional<publication_verdict>, const error&)>;
    /// Writes the record and waits for its place in log order, or for `limit`.
    void publish(const publication_record& record, millis limit, publish_callback done);

private:
    struct pending_publication {
        std::string environment;
        std::string id;
        append_ticket ticket = 0;
        time_point until;
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
    std::uint64_t version_ = 0; ///< in force here; never decreases
    time_point active_since_;
    std::vector<pending_publication> pending_;
    std::vector<std::function<void()>> change_listeners_;
    std::mt19937_64 random_; ///< which peer to ask next
    bool log_trimmed_ = false;
    bool confirming_ = false;
    std::size_t confirmed_by_ = 0;
};

} // namespace sesamesill
