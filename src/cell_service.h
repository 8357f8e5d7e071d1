// Knows the VMs and the members, and says who owns which shard and key, and whether this member
// may act on it now. Carries heartbeats to peers, and views and releases to the log.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "journal_service.h"
#include "sesamesill/coordination.h"
#include "sesamesill/http.h"
#include "sesamesill/platform.h"
#include "sesamesill/rpc.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class cell_service {
public:
    cell_service(event_loop& loop, http_client& client, const node_settings& settings,
                 journal_service& journal);

    void start();
    /// Adds the method `heartbeat` for peers and GET /v1/cell for operators.
    void serve(http_server& callers, rpc_server& rpc);

    const std::string& self() const { return settings_.name; }
    /// Members of the current view in order of their names; empty before the first view.
    const std::vector<member>& members() const { return coordinator_.owners().current().members; }
    const std::vector<vm>& vms() const { return vms_; }
    /// Returns whether this member is in the current view and not leaving.
    bool ready() const;

    /// Returns the owner of a shard or of a key, or nothing where there are no members.
    std::optional<member> owner_of(std::string_view shard_or_key) const;
    /// Returns whether this member may act now on a shard or key that it owns.
    bool may_act(std::string_view shard_or_key) const;
    /// Returns the offset + 1 of the current view's record, 0 before the first.
    std::uint64_t epoch() const { return coordinator_.owners().epoch(); }
    /// Returns how long `may_act` can hold without further news; bounds a batch and `valid_ms`.
    millis authority_left() const;
    /// Runs `action` after each change of VMs, of members or of what this member may act on.
    void on_change(std::function<void()> action) { change_actions_.push_back(std::move(action)); }

    /// Stops acting for good and hands over.
    void release();
    /// Returns how many items of this service the log has not confirmed yet.
    std::size_t waiting() const { return waiting_; }
    /// `idle` tells that nothing sent under earlier views is unanswered; owners that lost a shard
    /// let the next one act only then.
    void add_drained_check(std::function<bool()> idle)
    {
        drained_checks_.push_back(std::move(idle));
    }
    /// Adds `source()` to each heartbeat as `key`; `receiver` gets what a peer added.
    void share(const std::string& key, std::function<Json::Value()> source,
               std::function<void(const std::string& peer, const Json::Value&)> receiver);
    /// Tells that the process at `name` answered a call just now.
    void answered(const std::string& name);

    /// Returns view, members with their state, and owners of the shards.
    Json::Value status() const;

private:
    struct shared_value {
        std::string key;
        std::function<Json::Value()> source;
        std::function<void(const std::string& peer, const Json::Value&)> receiver;
    };

    void poll_vm_list();
    void on_vm_list(std::vector<vm> vms);
    void subscribe_to_log();
    void on_log_item(const journal_item& item);
    void advance();
    void notify_if_changed(time_point now);
    void probe(const member& to);
    void append(const std::string& type, Json::Value item);
    Json::Value encoded(const heartbeat& h) const;
    std::optional<heartbeat> decoded(const Json::Value& value, error& why);
    void log_view() const;

    event_loop& loop_;
    http_client& client_;
    const node_settings& settings_;
    journal_service& journal_;
    member self_;
    coordinator coordinator_;
    std::vector<vm> vms_;
    std::vector<std::function<void()>> change_actions_;
    std::vector<std::function<bool()>> drained_checks_;
    std::vector<shared_value> shared_;
    ownership::authority_state authority_state_;
    time_point applied_read_; ///< begin of the last log read that was taken into account
    std::uint64_t read_position_ = 0;
    std::size_t waiting_ = 0;
};

} // namespace sesamesill
