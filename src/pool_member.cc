// A member beside its calls: follows the log, and takes the lead when it falls vacant.

#include "sesamesill/pool_member.h"

#include <algorithm>
#include <random>

#include "pool_keys.h"
#include "pool_member_parts.h"
#include "sesamesill/log.h"

namespace sesamesill::pool {
namespace {

constexpr millis heartbeat_period{150};
constexpr millis heartbeat_period_a_member{12}; ///< some 80 heartbeats a second at the leader
constexpr millis standby_pause_a_member{33};    ///< some 30 reads of the log a second in all
constexpr millis heartbeat_timeout{400};
constexpr millis election_period{20};
constexpr millis standby_pause{200};  ///< a standby is at most this far behind the log
constexpr millis worker_memory{8000}; ///< entries that expired: longest lease and a margin
constexpr std::uint32_t max_claim_delay_ms = 60; ///< spreads the claims of like members
constexpr millis smaller_member_delay{60}; ///< leaves the claim to a member with more processor

std::string random_text()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

} // namespace

member::parts::parts(event_loop& l, member_settings s, record_log& records, worker_gateway& w,
                     advisor& a)
    : loop(l), settings(std::move(s)), log(records), workers(w), advice(a),
      peers(l, settings.name, 16), peer_server(l), incarnation(random_text()),
      vote(incarnation, millis(std::hash<std::string>{}(settings.name) % max_claim_delay_ms),
           boot_clock::now()),
      follower(l, records, "pool", {millis(0), standby_pause},
               [this](const keyed_record& r) { on_record(r); })
{
}

Json::Value to_json(const leader_record& leader)
{
    Json::Value value;
    value["name"] = leader.name;
    value["incarnation"] = leader.incarnation;
    value["address"] = to_string(leader.address);
    value["fence"] = static_cast<Json::UInt64>(leader.fence);
    return value;
}

/// Takes word of a leader from another member: one that is cut off from the store passes requests
/// on all the same. A claim of one's own rests on the log alone.
void member::parts::learn_leader(const Json::Value& value)
{
    if (!value.isObject() || !value["fence"].isUInt64() || value["fence"].asUInt64() == 0) {
        return;
    }
    const std::optional<leader_record> named =
        leader_from(to_text(value), value["fence"].asUInt64() - 1);
    if (named && (!vote.leader() || vote.leader()->fence < named->fence)) {
        vote.on_leader(*named, boot_clock::now());
        log_event(log_level::info, "leader_told",
                  {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
    }
}

void member::parts::learn_peers(const Json::Value& addresses)
{
    if (!addresses.isObject()) {
        return;
    }
    for (const std::string& name : addresses.getMemberNames()) {
        const std::optional<endpoint> address = endpoint_from(addresses[name][0].asString());
        if (address && name != settings.name) {
            known_peers[name] = {*address, addresses[name][1].asDouble()};
        }
    }
    const bool smaller = std::any_of(known_peers.begin(), known_peers.end(),
                                     [this](const std::pair<const std::string, known_peer>& p) {
                                         return p.second.processor_share > settings.processor_share;
                                     });
    const millis spread(std::hash<std::string>{}(settings.name) % max_claim_delay_ms);
    vote.set_delay(spread + (smaller ? smaller_member_delay : millis(0)));
}

void member::parts::ask_peers_for_leader()
{
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        call_rpc(peers, p.second.address, "leader", Json::Value(Json::objectValue),
                 heartbeat_timeout, [this](const std::optional<Json::Value>& answer, const error&) {
                     if (answer) { // a peer that doesn't answer is one of several asked
                         learn_leader(*answer);
                     }
                 });
    }
}

void member::parts::announce(const leader_record& self)
{
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        call_rpc(peers, p.second.address, "leader", to_json(self), heartbeat_timeout,
                 [](const std::optional<Json::Value>&, const error&) {
                     // The log tells those that this doesn't reach.
                 });
    }
}

void member::parts::on_record(const keyed_record& record)
{
    const time_point now = boot_clock::now();
    vote.on_log_record(now);
    if (record.key != leader_key) {
        return;
    }
    const std::optional<leader_record> named = leader_from(record.value, record.offset);
    if (!named) {
        log_event(log_level::warning, "leader_unreadable",
                  {{"offset", static_cast<std::int64_t>(record.offset)}});
        return;
    }
    vote.on_leader(*named, now);
    log_event(log_level::info, "leader_known",
              {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
}

bool member::parts::start(error& why)
{
    serve_peers();
    if (!peer_server.listen(settings.peer_listen, why)) {
        return false;
    }
    follower.start();
    heartbeat_later();
    loop.every(election_period, [this] { elect(); });
    return true;
}

/// Keeps what the leader and the store get from all members together within bounds.
void member::parts::heartbeat_later()
{
    const std::int64_t count = static_cast<std::int64_t>(known_peers.size()) + 1;
    const millis period = std::max(heartbeat_period, heartbeat_period_a_member * count);
    constexpr int missed_heartbeats = 2;
    vote.set_patience(missed_heartbeats * period + heartbeat_timeout / 2);
    follower.set_timing({millis(0), std::max(standby_pause, standby_pause_a_member * count)});
    loop.after(period, [this] {
        heartbeat();
        heartbeat_later();
    });
}

void member::parts::heartbeat()
{
    if (leads() || !vote.leader() || vote.is_own() || beating) {
        return;
    }
    beating = true;
    Json::Value params;
    params["name"] = settings.name;
    params["address"] = to_string(settings.peer_address);
    params["read_age_ms"] =
        static_cast<Json::Int64>(to_millis(boot_clock::now() - follower.last_read()));
    params["read_took_ms"] = static_cast<Json::Int64>(follower.last_read_duration().count());
    params["leaving"] = leaving;
    params["peers_known"] = static_cast<Json::UInt64>(known_peers.size());
    params["processor_share"] = settings.processor_share;
    params["fence"] = static_cast<Json::UInt64>(vote.leader()->fence);
    call_rpc(peers, vote.leader()->address, "heartbeat", params, heartbeat_timeout,
             [this, asked = vote.leader()->incarnation](const std::optional<Json::Value>& answer,
                                                        const error& why) {
                 beating = false;
                 const time_point now = boot_clock::now();
                 if (!vote.leader() || vote.leader()->incarnation != asked) {
                     return;
                 }
                 if (answer) {
                     learn_peers((*answer)["peers"]);
                     learn_leader((*answer)["leader"]);
                 }
                 if (vote.leader()->incarnation != asked) {
                     return;
                 }
                 if (answer && (*answer)["incarnation"].asString() == asked &&
                     (*answer)["leads"].asBool()) {
                     vote.on_contact(now);
                     return;
                 }
                 ask_peers_for_leader();
                 if (answer || why.code == error_code::unavailable) {
                     vote.on_leader_gone(now);
                 }
             });
}

void member::parts::elect()
{
    const time_point now = boot_clock::now();
    for (auto w = forgotten_workers.begin(); w != forgotten_workers.end();) {
        w = now - w->second.since > worker_memory ? forgotten_workers.erase(w) : std::next(w);
    }
    if (!claiming && !leaving && !leads() && follower.is_loaded() && vote.should_claim(now)) {
        claim();
    }
}

/// Claims the lead where the log, read to its end, names no live leader.
void member::parts::claim()
{
    claiming = true;
    follower.pause();
    follower.catch_up([this](bool good) {
        const time_point now = boot_clock::now();
        if (!good || !vote.should_claim(now)) {
            claiming = false;
            if (!good) {
                vote.on_claim_failed(now);
            }
            follower.resume();
            return;
        }
        append_claim();
    });
}

void member::parts::append_claim()
{
    const leader_record self{settings.name, incarnation, settings.peer_address, 0};
    constexpr millis claim_timeout{1000};
    log.append({{leader_key, encode(self), 0}}, follower.next(), claim_timeout,
               [this](const append_result& r) {
                   claiming = false;
                   if (r.verdict == append_verdict::stored) {
                       take_lead(r.first);
                       return;
                   }
                   log_event(log_level::info, "claim_failed",
                             {{"reason", r.why.reason},
                              {"next", static_cast<std::int64_t>(follower.next())}});
                   vote.on_claim_failed(boot_clock::now());
                   follower.resume();
               });
}

std::vector<worker_entry> member::parts::all_workers() const
{
    std::vector<worker_entry> all;
    for (const std::pair<const std::string, worker_entry>& w : known_workers) {
        all.push_back(w.second);
    }
    for (const std::pair<const std::string, forgotten_worker>& w : forgotten_workers) {
        all.push_back(w.second.entry);
    }
    return all;
}

void member::parts::take_lead(std::uint64_t claim_offset)
{
    leader_record self{settings.name, incarnation, settings.peer_address, claim_offset + 1};
    follower.apply_records({{leader_key, encode(self), claim_offset}}, claim_offset + 1);
    lead = std::make_unique<leader>(
        loop, settings, self, log, workers, advice, peers, claim_offset + 1,
        [this, fence = self.fence] {
            loop.after(millis(0), [this, fence] {
                if (leads() && lead->fence() == fence) {
                    lose_lead();
                }
            });
        },
        [this](const std::vector<keyed_record>& records, std::uint64_t end) {
            follower.apply_records(records, end);
        });
    lead->restore(follower.values(), all_workers(), config);
    for (const std::pair<const std::string, forgotten_worker>& w : forgotten_workers) {
        lead->unlist_worker(w.first);
    }
    announce(self);
    if (on_lead) {
        on_lead();
    }
}

void member::parts::lose_lead()
{
    log_event(log_level::warning, "lead_lost",
              {{"fence", static_cast<std::int64_t>(lead->fence())}});
    lead.reset();
    vote.on_claim_failed(boot_clock::now());
    follower.resume();
}

std::optional<Json::Value> member::parts::on_heartbeat(const Json::Value& params, error& why)
{
    const std::optional<endpoint> address = endpoint_from(params["address"].asString());
    if (!address) {
        why = {error_code::invalid, step::rpc, params["name"].asString(), "bad address"};
        return std::nullopt;
    }
    if (leads()) {
        peer seen;
        seen.address = *address;
        seen.heard = boot_clock::now();
        seen.store_read = seen.heard - millis(params["read_age_ms"].asInt64());
        seen.store_read_took = millis(params["read_took_ms"].asInt64());
        seen.leaving = params["leaving"].asBool();
        seen.processor_share = params["processor_share"].asDouble();
        seen.fence = params["fence"].asUInt64();
        lead->on_peer(params["name"].asString(), seen);
    }
    known_peers[params["name"].asString()] = {*address, params["processor_share"].asDouble()};
    Json::Value answer;
    const auto add_peer = [&answer](const std::string& name, const known_peer& p) {
        Json::Value row;
        row.append(to_string(p.address));
        row.append(p.processor_share);
        answer["peers"][name] = row;
    };
    add_peer(settings.name, {settings.peer_address, settings.processor_share});
    if (params["peers_known"].asUInt64() != known_peers.size()) {
        for (const std::pair<const std::string, known_peer>& p : known_peers) {
            add_peer(p.first, p.second);
        }
    }
    if (vote.leader()) {
        answer["leader"] = to_json(*vote.leader());
    }
    answer["incarnation"] = incarnation;
    // A claim under way counts as leading: its record is ahead of the answer.
    answer["leads"] = leads() || claiming;
    return answer;
}

member::member(event_loop& loop, member_settings settings, record_log& log, worker_gateway& workers,
               advisor& advice)
    : parts_(std::make_unique<parts>(loop, std::move(settings), log, workers, advice))
{
}

member::~member() = default;

bool member::start(error& why)
{
    return parts_->start(why);
}

void member::configure(const configuration& config)
{
    parts_->config = config;
    if (parts_->leads()) {
        parts_->lead->configure(config);
    }
}

void member::list_worker(const worker_entry& entry)
{
    parts_->known_workers[entry.id] = entry;
    parts_->forgotten_workers.erase(entry.id);
    if (parts_->leads()) {
        parts_->lead->list_worker(entry);
    }
}

void member::unlist_worker(const std::string& id)
{
    const auto known = parts_->known_workers.find(id);
    if (known == parts_->known_workers.end()) {
        return;
    }
    parts_->forgotten_workers[id] = {known->second, boot_clock::now()};
    parts_->known_workers.erase(known);
    if (parts_->leads()) {
        parts_->lead->unlist_worker(id);
    }
}

void member::directory_known(time_point begun)
{
    if (parts_->leads()) {
        parts_->lead->directory_known(begun);
    }
}

void member::on_lead(std::function<void()> leads)
{
    parts_->on_lead = std::move(leads);
}

bool member::is_leader() const
{
    return parts_->leads();
}

std::size_t member::members() const
{
    return parts_->known_peers.size() + 1;
}

bool member::ready() const
{
    return !parts_->leaving && parts_->config.version > 0 && parts_->follower.is_loaded() &&
           parts_->vote.leader().has_value();
}

void member::leave()
{
    parts_->leaving = true;
    if (parts_->leads()) {
        parts_->lead->hand_over(planned_stop);
    }
}

} // namespace sesamesill::pool
