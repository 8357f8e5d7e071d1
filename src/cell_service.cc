// Polls the VM list; owners follow from the members by rendezvous hashing.

#include "cell_service.h"

#include <algorithm>

#include <xxhash.h>

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {

cell_service::cell_service(event_loop& loop, http_client& client, const node_settings& settings)
    : loop_(loop), client_(client), settings_(settings)
{
}

void cell_service::start()
{
    poll();
    loop_.every(settings_.vm_list_interval, [this] { poll(); });
}

void cell_service::poll()
{
    http_call call;
    call.path = "/vms";
    client_.send(settings_.vm_list, std::move(call),
                 [this](const std::optional<http_reply>& reply, const error& failure) {
                     error why = failure;
                     std::optional<std::vector<vm>> vms;
                     if (reply && reply->status == 200) {
                         vms = vms_from(json_from(reply->body).value_or(Json::Value()), why);
                     }
                     if (!vms) {
                         log_error("vm_list_failed", why);
                         return;
                     }
                     take(std::move(*vms));
                 });
}

void cell_service::take(std::vector<vm> vms)
{
    vms_ = std::move(vms);
    members_.clear();
    for (const vm& v : vms_) {
        if (v.role == vm_role::entry && v.state == vm_state::live) {
            members_.push_back({v.name, v.address, v.peer_address});
        }
    }
    std::sort(members_.begin(), members_.end(),
              [](const member& a, const member& b) { return a.name < b.name; });
    for (const std::function<void()>& action : changed_) {
        action();
    }
}

std::optional<member> cell_service::owner_of(std::string_view shard_or_key) const
{
    const member* best = nullptr;
    XXH64_hash_t best_score = 0;
    for (const member& m : members_) {
        const XXH64_hash_t seed = XXH3_64bits(m.name.data(), m.name.size());
        const XXH64_hash_t score =
            XXH3_64bits_withSeed(shard_or_key.data(), shard_or_key.size(), seed);
        if (best == nullptr || score > best_score) {
            best = &m;
            best_score = score;
        }
    }
    return best != nullptr ? std::optional<member>(*best) : std::nullopt;
}

bool cell_service::may_act(std::string_view shard_or_key) const
{
    const std::optional<member> owner = owner_of(shard_or_key);
    return owner && owner->name == settings_.name;
}

} // namespace sesamesill
