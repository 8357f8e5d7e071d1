// Each version of the configuration adds a route of its own and removes that of the one before.

#include "configuration_probe.h"

namespace soak {
namespace {

constexpr millis probe_period{30};
constexpr millis probe_timeout{1000};
constexpr millis apply_limit{2000}; ///< a version applies this long after it was published

} // namespace

configuration_probe::configuration_probe(event_loop& loop, const cell& tested, promises& checks,
                                         std::uint64_t seed)
    : loop_(loop), client_(loop, "probe"), cell_(tested), checks_(checks), random_(seed)
{
}

void configuration_probe::start()
{
    loop_.every(probe_period, [this] { ask(); });
}

void configuration_probe::ask()
{
    const std::vector<endpoint> entries = cell_.entries();
    const int member = static_cast<int>(random_() % entries.size());
    const published_version asked = cell_.published();
    http_call call;
    call.path = cell::version_prefix(asked.version);
    call.headers["Host"] = cell::host;
    call.headers["Sesamesill-Timeout-Ms"] = std::to_string(probe_timeout.count());
    call.timeout = probe_timeout;
    client_.send(entries[static_cast<std::size_t>(member)], std::move(call),
                 [this, member, asked,
                  sent = boot_clock::now()](const std::optional<http_reply>& reply, const error&) {
                     if (reply) {
                         on_status(member, asked, sent, reply->status);
                     }
                 });
}

void configuration_probe::on_status(int member, const published_version& asked, time_point sent,
                                    int status)
{
    const int process = cell_.starts_of(member);
    if (status == 200) {
        served_[member] = {process, asked.version};
        return;
    }
    if (status != 404 || cell_.published().version != asked.version) {
        return; // the route was removed meanwhile
    }
    const auto served = served_.find(member);
    const std::string what = "m" + std::to_string(member) +
                             " answers 404 for the route of version " +
                             std::to_string(asked.version);
    if (served != served_.end() && served->second == std::make_pair(process, asked.version)) {
        checks_.report("configuration", what + ", which it has served before");
    }
    if (sent - asked.at > apply_limit && cell_.is_sound(member)) {
        checks_.report("configuration", what + ", published " +
                                            std::to_string(to_millis(sent - asked.at)) +
                                            " ms before");
    }
}

} // namespace soak
