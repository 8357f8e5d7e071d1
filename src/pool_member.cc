// Exchanges heartbeats, follows the log, and claims the lead when no leader is alive.

#include "sesamesill/pool_member.h"

#include <algorithm>
#include <random>

#include "pool_keys.h"
#include "pool_member_parts.h"
#include "sesamesill/log.h"

namespace sesamesill::pool {
namespace {

/// Spreads the loads of members that start together over this time divided by their processor
/// share, as they share the store's bandwidth. Large members, which lead, are done first. The time
/// is for `load_spread_members` members; more take longer in proportion.
constexpr double load_spread_ms = 150;
constexpr double load_spread_members = 50;
constexpr double max_load_spread_ms = 5000;
/// A member that has heard from a leader isn't needed to lead soon and loads the log later.
constexpr millis standby_load_spread_per_member{15};
constexpr millis max_standby_load_spread{4000};
constexpr millis leader_read_timeout{500};
constexpr millis catch_up_timeout{900}; ///< of each page that a claim rests on
constexpr double min_load_share = 0.05;
constexpr millis election_period{20}; ///< between checks whether to claim the lead
/// The leader answers a forwarded job after an append; later than this, it is congested.
constexpr millis late_submit{400};

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
      leader_election(incarnation,
                      millis(std::hash<std::string>{}(settings.name) % max_claim_delay_ms),
                      boot_clock::now()),
      follower(l, records, "pool", {millis(0), standby_pause},
               [this](const keyed_record& r) { on_record(r); }),
      directory(settings.bounds.entry_return), submit_window(late_submit)
{
}

Json::Value to_json(const leader_record& leader)
{
    Json::Value value;
    value["name"] = leader.name;
    value["incarnation"] = leader.incarnation;
    value["address"] = to_string(leader.address);
    value["fence"] = static_cast<Json::UInt64>(leader.fence);
    value["memory_mb"] = leader.memory_mb;
    return value;
}

void member::parts::on_record(const keyed_record& record)
{
    const time_point now = boot_clock::now();
    leader_election.on_log_record(now);
    if (record.key != leader_key) {
        return;
    }
    const std::optional<leader_record> named = leader_from(record.value, record.offset);
    if (!named) {
        log_event(log_level::warning, "leader_unreadable",
                  {{"offset", static_cast<std::int64_t>(record.offset)}});
        return;
    }
    const bool is_new = !leader_election.leader() || leader_election.leader()->fence < named->fence;
    leader_election.on_leader(*named, now);
    if (is_new) {
        greet_leader();
    }
    log_event(log_level::info, "leader_known",
              {{"peer", named->name}, {"fence", static_cast<std::int64_t>(named->fence)}});
}

bool member::parts::start(error& why)
{
    serve_peers();
    if (!peer_server.listen(settings.peer_listen, why)) {
        return false;
    }
    follower.on_lost([this] { directory.on_store_lost(); });
    follower.on_complete([this](time_point) {
        if (report_next_read) {
            report_next_read = false;
            heartbeat();
        }
    });
    load();
    schedule_heartbeat();
    loop.every(election_period, [this] { check_election(); });
    return true;
}

/// Returns how many members there are; before the first answer of a leader, as many as the last
/// leader knew.
int member::parts::expected_members() const
{
    if (!known_peers.empty()) {
        return static_cast<int>(known_peers.size()) + 1;
    }
    return leader_election.leader() ? leader_election.leader()->members : 1;
}

/// Returns the least memory of any member's process: what this one accepts, each later leader must
/// be able to restore. Before the first answer of a leader, as much as the last leader knew.
double member::parts::least_memory_mb() const
{
    double least = settings.memory_mb;
    const auto take = [&least](double memory_mb) {
        least = memory_mb > 0 ? std::min(least, memory_mb) : least;
    };
    for (const std::pair<const std::string, known_peer>& p : known_peers) {
        take(p.second.memory_mb);
    }
    if (known_peers.empty() && leader_election.leader()) {
        take(leader_election.leader()->memory_mb);
    }
    return least;
}

/// Reads who leads, then loads the whole log after a delay that differs between members. Requests
/// can be forwarded to the leader before the log is loaded.
void member::parts::load()
{
    log.newest(before_leader_key, leader_read_timeout, [this](const newest_result& r) {
        for (const keyed_record& record : r.records) {
            if (record.key == leader_key) {
                on_record(record);
            }
        }
        const double members = std::max(1.0, expected_members() / load_spread_members);
        const double longest =
            members * load_spread_ms / std::max(min_load_share, settings.processor_share);
        std::uniform_real_distribution<> spread(0, std::min(max_load_spread_ms, longest));
        loop.after(millis(static_cast<std::int64_t>(spread(random))), [this] { start_follower(); });
    });
}

/// Starts to load the log, later if a leader answers: the loads of other members come first.
void member::parts::start_follower()
{
    const bool has_leader = has_leader_contact(boot_clock::now());
    std::uniform_int_distribution<std::int64_t> spread(
        0, std::min(max_standby_load_spread, standby_load_spread_per_member * expected_members())
               .count());
    loop.after(has_leader ? millis(spread(random)) : millis(0), [this] { follower.start(); });
}

bool member::parts::has_leader_contact(time_point now) const
{
    return has_answering_leader && leader_election.has_live_leader(now);
}

void member::parts::check_election()
{
    const time_point now = boot_clock::now();
    arrivals.on_turn(now);
    for (auto w = removed_workers.begin(); w != removed_workers.end();) {
        w = now - w->second.removed_at > removed_worker_retention ? removed_workers.erase(w)
                                                                  : std::next(w);
    }
    if (!claiming && !leaving && !leads() && follower.is_loaded() &&
        leader_election.should_claim(now)) {
        claim();
    }
}

/// Reads the log to its end and claims the lead if it names no live leader.
void member::parts::claim()
{
    claiming = true;
    follower.pause();
    follower.catch_up(catch_up_timeout, [this](bool ok) {
        const time_point now = boot_clock::now();
        if (!ok || !leader_election.should_claim(now)) {
            claiming = false;
            if (!ok) {
                leader_election.on_claim_failed(now);
            }
            follower.resume();
            return;
        }
        append_claim();
    });
}

void member::parts::append_claim()
{
    const leader_record self{settings.name,      incarnation,      settings.peer_address, 0,
                             expected_members(), least_memory_mb()};
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
                   leader_election.on_claim_failed(boot_clock::now());
                   follower.resume();
               });
}

std::vector<worker_entry> member::parts::all_workers() const
{
    std::vector<worker_entry> all;
    for (const std::pair<const std::string, worker_entry>& w : known_workers) {
        all.push_back(w.second);
    }
    for (const std::pair<const std::string, removed_worker>& w : removed_workers) {
        all.push_back(w.second.entry);
    }
    return all;
}

void member::parts::take_lead(std::uint64_t claim_offset)
{
    const leader_record self{settings.name,    incarnation,        settings.peer_address,
                             claim_offset + 1, expected_members(), least_memory_mb()};
    leader_election.on_lead_taken();
    follower.apply_records({{leader_key, encode(self), claim_offset}});
    lead = std::make_unique<leader>(
        loop, settings, self, log, workers, advice, peers, declared, claim_offset + 1,
        [this, fence = self.fence] {
            loop.after(millis(0), [this, fence] {
                if (leads() && lead->fence() == fence) {
                    lose_lead();
                }
            });
        },
        [this](const std::vector<keyed_record>& records, std::uint64_t /*end*/) {
            follower.apply_records(records);
        });
    lead->restore(follower.values(), all_workers(), directory, config);
    for (const std::pair<const std::string, removed_worker>& w : removed_workers) {
        lead->unlist_worker(w.first);
    }
    announce_leader(self);
    if (read_directory) {
        lead->on_directory_wanted(read_directory);
        read_directory();
    }
}

void member::parts::lose_lead()
{
    log_event(log_level::warning, "lead_lost",
              {{"fence", static_cast<std::int64_t>(lead->fence())}});
    lead.reset();
    leader_election.on_lead_lost(boot_clock::now());
    follower.resume();
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

void member::follow(declared_configuration& declared)
{
    parts_->declared = &declared;
    declared.on_change([this](const configuration& config) { configure(config); });
}

void member::list_worker(const worker_entry& entry)
{
    const auto known = parts_->known_workers.find(entry.id);
    if (known != parts_->known_workers.end() && is_outdated(entry, known->second)) {
        log_event(log_level::info, "worker_entry_outdated",
                  {{"worker", entry.id},
                   {"revision", static_cast<std::int64_t>(entry.revision)},
                   {"known", static_cast<std::int64_t>(known->second.revision)}});
        return;
    }
    worker_entry& listed = parts_->known_workers[entry.id];
    listed = entry;
    listed.written_after = parts_->directory.read_begun();
    parts_->removed_workers.erase(entry.id);
    if (parts_->leads()) {
        parts_->lead->list_worker(listed);
    }
}

void member::unlist_worker(const std::string& id)
{
    const auto known = parts_->known_workers.find(id);
    if (known == parts_->known_workers.end()) {
        return;
    }
    parts_->removed_workers[id] = {known->second, boot_clock::now()};
    parts_->known_workers.erase(known);
    if (parts_->leads()) {
        parts_->lead->unlist_worker(id);
    }
}

void member::on_directory_loaded(time_point begun)
{
    parts_->directory.on_read(begun, boot_clock::now());
    if (parts_->leads()) {
        parts_->lead->on_directory(parts_->directory);
    }
}

void member::on_directory_lost()
{
    parts_->directory.on_lost(boot_clock::now());
    if (parts_->leads()) {
        parts_->lead->on_directory(parts_->directory);
    }
}

void member::on_directory_wanted(std::function<void()> read)
{
    parts_->read_directory = std::move(read);
}

bool member::is_leader() const
{
    return parts_->leads();
}

std::size_t member::members() const
{
    return parts_->known_peers.size() + 1;
}

bool member::has_loaded() const
{
    return parts_->follower.is_loaded();
}

bool member::ready() const
{
    const bool can_answer =
        parts_->follower.is_loaded() || parts_->has_leader_contact(boot_clock::now());
    return !parts_->leaving && parts_->config.version > 0 && can_answer &&
           parts_->leader_election.leader().has_value();
}

void member::leave()
{
    parts_->leaving = true;
    if (parts_->leads()) {
        parts_->lead->hand_over(planned_stop);
    }
}

} // namespace sesamesill::pool
