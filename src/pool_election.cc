// Suspects a leader that neither answers this member nor writes to the log.

#include "sesamesill/pool_election.h"

#include <algorithm>

#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr millis claim_pause{300}; ///< delay of the next claim after a failed one

} // namespace

std::string encode(const leader_record& leader)
{
    Json::Value value;
    value["name"] = leader.name;
    value["incarnation"] = leader.incarnation;
    value["address"] = to_string(leader.address);
    value["members"] = leader.members;
    value["memory_mb"] = leader.memory_mb;
    return to_text(value);
}

std::optional<leader_record> leader_from(const std::string& value, std::uint64_t offset)
{
    const std::optional<Json::Value> parsed = json_from(value);
    if (!parsed || !parsed->isObject() || !(*parsed)["name"].isString() ||
        !(*parsed)["incarnation"].isString() || !(*parsed)["address"].isString()) {
        return std::nullopt;
    }
    const std::optional<endpoint> address = endpoint_from((*parsed)["address"].asString());
    if (!address) {
        return std::nullopt;
    }
    const Json::Value& members = (*parsed)["members"]; // missing in older records
    const Json::Value& memory = (*parsed)["memory_mb"];
    constexpr int max_members = 10000;
    return leader_record{(*parsed)["name"].asString(),
                         (*parsed)["incarnation"].asString(),
                         *address,
                         offset + 1,
                         members.isInt() ? std::clamp(members.asInt(), 1, max_members) : 1,
                         memory.isNumeric() ? std::max(0.0, memory.asDouble()) : 0};
}

const std::pair<const std::string, peer>* successor_among(const std::map<std::string, peer>& peers,
                                                          millis failing, time_point now)
/// Exceeds the longest pause between a standby's reads.
{
    constexpr millis read_validity{2500};
    const bool store_fails = failing > millis(0);
    const time_point read_after = now - (store_fails ? failing : read_validity);
    const std::pair<const std::string, peer>* best = nullptr;
    for (const std::pair<const std::string, peer>& p : peers) {
        const peer& candidate = p.second;
        const bool usable = now - candidate.heard < heartbeat_validity && !candidate.leaving &&
                            candidate.store_read > read_after &&
                            (!store_fails || candidate.store_read_took < slow_read_threshold);
        const bool better = best == nullptr ||
                            candidate.processor_share > best->second.processor_share ||
                            (candidate.processor_share == best->second.processor_share &&
                             candidate.store_read > best->second.store_read);
        if (usable && better) {
            best = &p;
        }
    }
    return best;
}

election::election(std::string incarnation, millis delay, time_point now)
    : incarnation_(std::move(incarnation)), delay_(delay), last_activity_(now), claim_after_(now)
{
}

void election::on_leader(const leader_record& leader, time_point now)
{
    if (leader_ && leader.fence <= leader_->fence) {
        return;
    }
    leader_ = leader;
    last_activity_ = now;
    gone_since_.reset();
    unreachable_since_.reset();
    nominated_ = false;
}

void election::on_contact(time_point now)
{
    last_activity_ = now;
    gone_since_.reset();
    unreachable_since_.reset();
}

void election::on_leader_unreachable(time_point now)
{
    if (!unreachable_since_) {
        unreachable_since_ = now;
    }
}

void election::on_leader_gone(time_point now)
{
    if (!gone_since_) {
        gone_since_ = now;
    }
}

void election::on_log_record(time_point now)
{
    last_activity_ = now;
}

void election::on_nominated(time_point now)
{
    nominated_ = true;
    claim_after_ = now;
}

void election::on_lead_lost(time_point now)
{
    leads_ = false;
    on_claim_failed(now);
}

void election::on_claim_failed(time_point now)
{
    claim_after_ = now + claim_pause;
    nominated_ = false;
}

bool election::should_claim(time_point now) const
{
    if (now < claim_after_ || leads_) {
        return false;
    }
    if (nominated_ || is_own()) { // nobody leads by a claim whose sender doesn't know that it holds
        return true;
    }
    if (!leader_ || gone_since_) {
        return now >= (gone_since_ ? *gone_since_ : last_activity_) + delay_;
    }
    const millis silence = unreachable_since_ ? unreachable_timeout : silence_timeout_;
    return now >= last_activity_ + silence + delay_;
}

bool election::has_live_leader(time_point now) const
{
    const bool is_active = !is_own() && !gone_since_ && now < last_activity_ + silence_timeout_;
    return leader_ && (leads_ || is_active);
}

} // namespace sesamesill::pool
