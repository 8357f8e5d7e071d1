// Sends calls to the owned executors and updates their slots, latency, ejection and leaving state
// from answers and health checks.

#include "executor_pool.h"

#include <algorithm>

#include <xxhash.h>

#include "sesamesill/log.h"
#include "sesamesill/rpc.h"

namespace sesamesill {
namespace {

constexpr millis probe_tick{50};
constexpr millis probe_timeout{500};
constexpr millis max_connect_timeout{200};
/// Time after which an earlier owner's last call has arrived: it may still be connecting when that
/// owner loses the shard.
constexpr millis handover_delay = max_connect_timeout + millis(50);
constexpr micros unknown_latency{1000};

attempt_result result_of(std::optional<http_reply> reply, const error& why, const std::string& name)
{
    attempt_result result;
    result.executor = name;
    if (!reply) {
        result.end = never_sent(why.code) ? attempt_outcome::never_sent : attempt_outcome::lost;
        result.why = {why.code, step::dispatch, name, why.reason};
        return result;
    }
    result.end = reply->headers.count("x-not-started") > 0 ? attempt_outcome::not_started
                                                           : attempt_outcome::answered;
    if (result.end == attempt_outcome::not_started) {
        result.why = {error_code::unavailable, step::dispatch, name,
                      "the executor did not start the call"};
    }
    result.reply = std::move(*reply);
    return result;
}

} // namespace

executor_pool::executor::executor(vm v, time_point now)
    : target(std::move(v)), shard(shard_of(target)), slots(target.slots, now, handover_delay)
{
}

executor_pool::executor_pool(event_loop& loop, http_client& client, cell_service& cell,
                             const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), watch_leaving_(!is_disabled(settings, "leaving")),
      watch_outliers_(!is_disabled(settings, "ejection")),
      track_lost_calls_(!is_disabled(settings, "slots")),
      random_(XXH3_64bits(settings.name.data(), settings.name.size()))
{
    cell_.on_change([this] { update(); });
    cell_.add_drained_check([this] { return is_drained(); });
    loop_.every(probe_tick, [this] { probe_all(); });
}

void executor_pool::update()
{
    const time_point now = boot_clock::now();
    std::map<std::string, executor_pointer> kept;
    by_service_.clear();
    for (const vm& v : cell_.vms()) {
        if (v.role != vm_role::executor || !cell_.may_act(shard_of(v))) {
            continue;
        }
        executor_pointer& e = kept[v.name];
        const auto before = executors_.find(v.name);
        if (before != executors_.end() && before->second->target.address == v.address) {
            e = before->second;
            e->target = v;
            e->slots.resize(v.slots);
        }
        else {
            e = std::make_shared<executor>(v, now);
            ejection_.add(v.name);
        }
        by_service_[v.service].push_back(e);
    }
    executors_.swap(kept);
    for (const std::pair<const std::string, executor_pointer>& old : kept) {
        const auto still = executors_.find(old.first);
        if (still == executors_.end()) {
            ejection_.remove(old.first);
            leaving_.remove(old.first);
        }
        if (still == executors_.end() || still->second != old.second) {
            old.second->owned = false;
            last_sent_to_lost_ = std::max(last_sent_to_lost_, old.second->last_sent);
            client_.close_idle(old.second->target.address);
        }
    }
    update_leaving(cell_.vms());
}

bool executor_pool::is_drained() const
{
    return boot_clock::now() - last_sent_to_lost_ >= handover_delay;
}

void executor_pool::update_leaving(const std::vector<vm>& vms)
{
    if (!watch_leaving_) {
        return;
    }
    for (const vm& v : vms) {
        if (executors_.count(v.name) == 0) {
            continue;
        }
        if (v.state == vm_state::live) {
            leaving_.on_listed_live(v.name);
        }
        else if (leaving_.on_leaving_notice(v.name, leaving_source::vm_list, boot_clock::now())) {
            log_event(log_level::info, "executor_leaving",
                      {{"executor", v.name}, {"sign", "vm_list"}});
        }
    }
}

std::int32_t executor_pool::free_slots(const executor& e, time_point now) const
{
    if (watch_leaving_ && leaving_.is_leaving(e.target.name)) {
        return 0;
    }
    const double weight = watch_outliers_ ? ejection_.weight(e.target.name, now) : 1.0;
    if (weight <= 0.0) {
        return 0;
    }
    const std::int32_t allowed =
        std::max(1, static_cast<std::int32_t>(weight * static_cast<double>(e.slots.slots())));
    const std::int32_t free =
        track_lost_calls_ ? e.slots.free(now) : e.slots.slots() - e.slots.busy();
    return std::min(free, allowed - e.slots.busy());
}

executor_view executor_pool::view(const executor& e, time_point now) const
{
    const micros latency = e.latency.known() ? e.latency.mean() : unknown_latency;
    return {free_slots(e, now), e.slots.busy(), latency, ejection_.weight(e.target.name, now)};
}

executor_pool::executor_pointer executor_pool::choose(const std::string& service,
                                                      const std::string& avoid)
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
        return nullptr;
    }
    const std::vector<executor_pointer>& all = found->second;
    const time_point now = boot_clock::now();
    const auto usable = [&](std::size_t i) { return view(*all[i], now); };
    const auto except_avoided = [&](std::size_t i) {
        executor_view v = view(*all[i], now);
        v.free = all[i]->target.name == avoid ? 0 : v.free;
        return v;
    };
    std::optional<std::size_t> chosen;
    if (!avoid.empty()) {
        chosen = choose_executor(all.size(), except_avoided, random_);
    }
    if (!chosen) {
        chosen = choose_executor(all.size(), usable, random_);
    }
    // The authority over the shard may have ended since the last update of the executors.
    return chosen && cell_.may_act(all[*chosen]->shard) ? all[*chosen] : nullptr;
}

bool executor_pool::has_free(const std::string& service)
{
    return choose(service, "") != nullptr;
}

bool executor_pool::send(const std::string& service, const std::string& avoid, http_call call,
                         time_point until, attempt_done done)
{
    const executor_pointer e = choose(service, avoid);
    if (e == nullptr) {
        return false;
    }
    e->slots.on_sent();
    call.connect_timeout = std::min(call.connect_timeout, max_connect_timeout);
    const time_point sent = boot_clock::now();
    e->last_sent = sent;
    client_.send(e->target.address, std::move(call),
                 [this, e, sent, until, done = std::move(done)](std::optional<http_reply> reply,
                                                                const error& why) {
                     finish(e, sent, until, std::move(reply), why, done);
                 });
    return true;
}

void executor_pool::finish(const executor_pointer& e, time_point sent, time_point until,
                           std::optional<http_reply> reply, const error& why,
                           const attempt_done& done)
{
    const attempt_result result = result_of(std::move(reply), why, e->target.name);
    record_result(*e, result, sent, until);
    if (!e->owned) {
        client_.close_idle(e->target.address);
    }
    done(result);
    if (on_free_) {
        on_free_(e->target.service);
    }
}

void executor_pool::record_result(executor& e, const attempt_result& result, time_point sent,
                                  time_point until)
{
    const time_point now = boot_clock::now();
    if (result.end == attempt_outcome::lost) {
        e.slots.on_lost(until);
    }
    else {
        e.slots.on_ended();
    }
    if (result.end == attempt_outcome::not_started && watch_leaving_ &&
        leaving_.on_leaving_notice(e.target.name, leaving_source::endpoint, now)) {
        log_event(log_level::info, "executor_leaving",
                  {{"executor", e.target.name}, {"sign", "endpoint"}});
    }
    if (result.end == attempt_outcome::answered && result.reply.status < 500) {
        ejection_.on_success(e.target.name);
        e.latency.add(now - sent);
        latency_[e.target.service].add(now - sent);
    }
    else if (result.end != attempt_outcome::not_started && watch_outliers_ &&
             ejection_.on_failure(e.target.name, now)) {
        log_event(log_level::warning, "executor_ejected", {{"executor", e.target.name}});
    }
}

void executor_pool::probe_all()
{
    const time_point now = boot_clock::now();
    for (const std::pair<const std::string, executor_pointer>& item : executors_) {
        executor& e = *item.second;
        if ((track_lost_calls_ && e.slots.wants_probe(now)) ||
            ejection_.wants_probe(item.first, now) || leaving_.wants_probe(item.first, now)) {
            probe(item.second, now);
        }
    }
}

void executor_pool::probe(const executor_pointer& e, time_point now)
{
    e->slots.on_probe_sent(now);
    leaving_.on_probe_sent(e->target.name, now);
    ejection_.on_probe_sent(e->target.name, now);
    http_call call;
    call.path = "/health";
    call.timeout = probe_timeout;
    call.connect_timeout = max_connect_timeout;
    client_.send(e->target.address, std::move(call),
                 [this, e, sent = now](const std::optional<http_reply>& reply, const error&) {
                     on_health_reply(e, reply, sent);
                     if (e->owned && on_free_) {
                         on_free_(e->target.service);
                     }
                 });
}

void executor_pool::on_health_reply(const executor_pointer& e,
                                    const std::optional<http_reply>& reply, time_point sent)
{
    const time_point now = boot_clock::now();
    const Json::Value health = reply && reply->status == 200
                                   ? json_from(reply->body).value_or(Json::Value())
                                   : Json::Value();
    const std::string& name = e->target.name;
    const bool readable = health.isObject() && health["busy"].isInt();
    if (!readable) {
        e->slots.on_probe_failed();
    }
    else {
        e->slots.on_probe(health["busy"].asInt(), now);
    }
    if (!e->owned) {
        return;
    }
    ejection_.on_probe(name, readable, now);
    if (readable && health["draining"].isBool() && health["draining"].asBool()) {
        if (watch_leaving_) {
            leaving_.on_leaving_notice(name, leaving_source::endpoint, now);
        }
    }
    else if (readable) {
        leaving_.on_healthy(name, sent);
    }
}

std::int32_t executor_pool::free(const std::string& service) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
        return 0;
    }
    const time_point now = boot_clock::now();
    std::int32_t sum = 0;
    for (const executor_pointer& e : found->second) {
        sum += std::max(0, free_slots(*e, now));
    }
    return sum;
}

std::int32_t executor_pool::usable(const std::string& service) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
        return 0;
    }
    const time_point now = boot_clock::now();
    std::int32_t sum = 0;
    for (const executor_pointer& e : found->second) {
        sum += std::max(0, free_slots(*e, now)) + e->slots.busy();
    }
    return sum;
}

std::vector<std::string> executor_pool::services() const
{
    std::vector<std::string> names;
    names.reserve(by_service_.size());
    for (const std::pair<const std::string, std::vector<executor_pointer>>& s : by_service_) {
        names.push_back(s.first);
    }
    return names;
}

} // namespace sesamesill
