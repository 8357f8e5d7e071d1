// Runs the coordinator of this member: polls the VM list, exchanges heartbeats with peers and
// appends views, checkpoints and releases to the log. Answers who owns a shard or key and whether
// this member may act on it now.

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
    /// Adds the RPC method `heartbeat` for peers and the route GET /v1/cell for operators.
    void serve(http_server& callers, rpc_server& rpc);

    const std::string& self() const { return settings_.name; }
    /// Returns the members of the current view sorted by name; empty before the first view.
    const std::vector<member>& members() const { return coordinator_.owners().current().members; }
    const std::vector<vm>& vms() const { return vms_; }
    /// Returns whether this member is in the current view and has not been released.
    bool ready() const;

    /// Returns the owner of a shard or key, or nothing if there are no members.
    std::optional<member> owner_of(std::string_view shard_or_key) const;
    /// Returns whether this member owns the shard or key and may act on it now.
    bool may_act(std::string_view shard_or_key) const;
    /// Returns the log offset of the current view's record + 1, or 0 before the first view.
    std::uint64_t epoch() const { return coordinator_.owners().epoch(); }
    /// Returns how long `may_act` can stay true without another log read or lease grant. Limits the
    /// duration of a batch and `valid_ms`.
    millis authority_left() const;
    /// Adds an action that runs after each update of the VM list and each change of the members or
    /// of what this member may act on.
    void on_change(std::function<void()> action) { change_actions_.push_back(std::move(action)); }

    /// Stops acting permanently and appends a release and a view without this member, so that other
    /// members take over.
    void release();
    /// Returns the number of appended items that the log has not confirmed yet.
    std::size_t waiting() const { return waiting_; }
    /// Adds a check that returns whether every request sent under earlier views is answered.
    /// Members that lost a shard report it as drained only if all checks return true, and the next
    /// owner may act earlier then.
    void add_drained_check(std::function<bool()> idle)
    {
        drained_checks_.push_back(std::move(idle));
    }
    /// Adds `source()` to each heartbeat under `key` and calls `receiver` with the value of a peer.
    void share(const std::string& key, std::function<Json::Value()> source,
               std::function<void(const std::string& peer, const Json::Value&)> receiver);
    /// Records that the member `name` answered a call just now, which is evidence of life.
    void answered(const std::string& name);

    /// Returns the current view, the state of its members and the owners of the shards.
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
    time_point applied_read_; ///< start of the last log read that was applied
    std::uint64_t read_position_ = 0;
    std::size_t waiting_ = 0;
};

} // namespace sesamesill
