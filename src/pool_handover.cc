// When a leader asks another member to take over, and whether its lead is confirmed.

#include "pool_leader.h"
#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

/// Another member is asked to take over if the store answers neither appends nor reads of this
/// member for longer than this, and than twice the lag of its event loop.
constexpr millis handover_delay{400};
/// The same if the store turns this member's appends away for longer than this.
constexpr millis rejection_limit{600};
constexpr const char* store_fails = "the store fails for this member";
constexpr millis handover_retry_period{600}; ///< between two requests to take over
/// Writes pause for this long for a successor to claim, which takes it up to 20 ms: it reads the
/// log to its end and appends its claim.
constexpr millis handover_write_pause{250};

} // namespace

/// Returns how long the store has failed for this member, or 0 if it doesn't or only for so short
/// that the cause may be this member's own lag.
millis leader::store_fails_for(time_point now) const
{
    const millis unreachable = writer_.unreachable_for(now);
    if (unreachable > std::max(handover_delay, 2 * loop_lag_.worst(now))) {
        return unreachable;
    }
    const millis rejected = writer_.rejected_for(now);
    return rejected > rejection_limit ? rejected : millis(0);
}

/// Hands the lead over if this member can't reach the store, or if a handover was requested.
void leader::check_store()
{
    const time_point now = boot_clock::now();
    const bool failing = store_fails_for(now) > millis(0);
    if (failing) {
        handover_reason_ = store_fails;
    }
    else if (handover_reason_ == store_fails) {
        handover_reason_ = nullptr; // the store answers again
    }
    if (handover_reason_ != nullptr && !failing && !writer_.is_idle()) {
        // A successor is asked once the append in flight is answered.
        writer_.pause_until(now + handover_write_pause);
    }
    if (handover_reason_ != nullptr && now - nominated_at_ > handover_retry_period &&
        (failing || writer_.is_idle())) {
        nominated_at_ = now;
        nominate_successor();
    }
}

void leader::hand_over(const char* why)
{
    if (handover_reason_ == nullptr) {
        handover_reason_ = why;
        check_store();
    }
}

const std::pair<const std::string, peer>* leader::best_successor(time_point now) const
{
    return successor_among(peers_, store_fails_for(now), now);
}

/// Hands the lead over to a member with a larger processor share, as scheduling is the largest load
/// of any member.
void leader::find_larger_member(time_point now)
{
    // Most members send their first heartbeat within this time.
    constexpr millis peer_discovery_time{1000};
    constexpr double min_share_ratio = 1.5; ///< of the other member's processor share to this one's
    if (handover_reason_ != nullptr || now - leading_since_ < peer_discovery_time) {
        return;
    }
    const std::pair<const std::string, peer>* best = best_successor(now);
    if (best != nullptr &&
        best->second.processor_share >= min_share_ratio * settings_.processor_share) {
        hand_over("another member has a larger processor share");
    }
}

void leader::nominate_successor()
{
    const time_point now = boot_clock::now();
    const std::pair<const std::string, peer>* best = best_successor(now);
    if (best == nullptr) {
        nominated_at_ = {}; // the next tick looks for a successor again
        return;
    }
    writer_.pause_until(now + handover_write_pause);
    log_event(log_level::info, "successor_asked",
              {{"peer", best->first}, {"reason", std::string(handover_reason_)}});
    if (handover_reason_ != store_fails && handover_reason_ != planned_stop) {
        handover_reason_ = nullptr; // asks only once, as the reason may no longer hold
        leading_since_ = now;
    }
    Json::Value params;
    params["fence"] = static_cast<Json::UInt64>(self_.fence);
    constexpr millis nominate_timeout{500};
    call_rpc(peer_client_, best->second.address, "succeed", params, nominate_timeout,
             [name = best->first](const std::optional<Json::Value>& answer, const error& e) {
                 if (!answer) {
                     log_event(log_level::warning, "successor_silent",
                               {{"peer", name}, {"reason", e.reason}});
                 }
             });
}

/// Returns whether this leader may send orders and say what it doesn't know: it stored a record
/// lately, or at least half of the other members sent a heartbeat lately and know of no newer
/// claim.
bool leader::lead_is_confirmed(time_point now) const
{
    if (now - writer_.last_stored() < unconfirmed_order_limit) {
        return true;
    }
    std::size_t agreeing = 0;
    for (const std::pair<const std::string, peer>& p : peers_) {
        agreeing +=
            now - p.second.heard < heartbeat_validity && p.second.fence <= self_.fence ? 1 : 0;
    }
    // Members that haven't sent a heartbeat to this leader yet may follow another one.
    const std::size_t others =
        std::max(peers_.size(), static_cast<std::size_t>(std::max(1, self_.members) - 1));
    return agreeing * 2 >= others;
}

} // namespace sesamesill::pool
