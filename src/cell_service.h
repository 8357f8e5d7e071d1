// Knows the VMs and the members, and says who owns which shard and key.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sesamesill/http.h"
#include "sesamesill/platform.h"
#include "sesamesill/settings.h"

namespace sesamesill {

struct member {
    std::string name;
    endpoint address;
    endpoint peer_address;
};

class cell_service {
public:
    cell_service(event_loop& loop, http_client& client, const node_settings& settings);

    void start();

    const std::string& self() const { return settings_.name; }
    /// Members that may own something, this one included, in order of their names.
    const std::vector<member>& members() const { return members_; }
    const std::vector<vm>& vms() const { return vms_; }
    bool ready() const { return !members_.empty(); }

    /// Returns the owner of a shard or of a key, or nothing where there are no members.
    std::optional<member> owner_of(std::string_view shard_or_key) const;
    /// Returns whether this member may act now on a shard or key that it owns.
    bool may_act(std::string_view shard_or_key) const;
    /// Runs `action` after each change of VMs or members.
    void on_change(std::function<void()> action) { changed_.push_back(std::move(action)); }

private:
    void poll();
    void take(std::vector<vm> vms);

    event_loop& loop_;
    http_client& client_;
    const node_settings& settings_;
    std::vector<vm> vms_;
    std::vector<member> members_;
    std::vector<std::function<void()>> changed_;
};

} // namespace sesamesill
