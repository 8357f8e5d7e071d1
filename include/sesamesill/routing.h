// Where a call goes: an executor of this member, its queue, or, once, another member.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"

namespace sesamesill {

/// Members pass a call on at most this many times.
constexpr std::int32_t max_hops = 1;

/// What the owner of an executor knows of it when it chooses.
struct executor_view {
    std::int32_t free = 0; ///< calls that may be sent now
    std::int32_t busy = 0;
    micros latency{0};   ///< observed
    double weight = 1.0; ///< below 1 while it returns slowly
};

namespace detail {

constexpr int max_executor_draws = 4; ///< before all executors are looked at

double expected_time(const executor_view& e);
std::size_t draw(std::size_t count, std::mt19937_64& random);

} // namespace detail

/// Returns the index of the better of two random executors with free slots, by expected time.
/// `view(i)` returns what is known of executor `i` of `count`.
template<typename View>
std::optional<std::size_t> choose_executor(std::size_t count, const View& view,
                                           std::mt19937_64& random)
{
    std::optional<std::size_t> best;
    double best_time = 0.0;
    int found = 0;
    for (int i = 0; count > 0 && i < detail::max_executor_draws && found < 2; ++i) {
        const std::size_t at = detail::draw(count, random);
        const executor_view e = view(at);
        if (e.free <= 0 || (best && *best == at)) {
            continue;
        }
        ++found;
        if (!best || detail::expected_time(e) < best_time) {
            best = at;
            best_time = detail::expected_time(e);
        }
    }
    const std::size_t first = best || count == 0 ? 0 : detail::draw(count, random);
    for (std::size_t i = 0; !best && i < count; ++i) {
        const std::size_t at = (first + i) % count;
        best = view(at).free > 0 ? std::optional<std::size_t>(at) : std::nullopt;
    }
    return best;
}

/// What a member offers for one service.
struct service_load {
    std::int32_t free = 0;
    std::int32_t slots = 0;   ///< usable, free or busy
    std::int32_t waiting = 0; ///< calls in its queue
    millis wait{0};           ///< expected for a new call
};

/// What a member tells the others with its heartbeat. At most `max_names` of each kind, so that
/// its size does not grow with the cell.
struct load_summary {
    static constexpr std::size_t max_names = 32;

    std::map<std::string, service_load> services;
    std::map<std::string, double>
        organisation_demand;                    ///< arrivals a second of limited organisations
    std::map<std::string, double> class_demand; ///< the same of limited classes
};

Json::Value to_json(const load_summary& load);
/// Returns the summary, or nothing and the reason.
std::optional<load_summary> load_from(const Json::Value& value, error& why);

/// The other members' loads as last heard, less what was passed on to them since.
class peer_table {
public:
    explicit peer_table(millis stale_after) : stale_after_(stale_after) {}

    void report(const std::string& member, load_summary load, time_point now);
    /// Takes the load of one service, heard with an answer.
    void report(const std::string& member, const std::string& service, const service_load& load,
                time_point now);
    void set_stale_after(millis time) { stale_after_ = time; }
    void keep_only(const std::vector<std::string>& members);
    void on_forwarded(const std::string& member, const std::string& service);
    /// The member could not be reached: nothing is passed to it before its next report.
    void on_unreachable(const std::string& member);

    /// Returns the better of two random members with free slots.
    std::optional<std::string> choose_free(const std::string& service, time_point now,
                                           std::mt19937_64& random) const;
    /// Returns the member with the shortest expected wait and that wait.
    std::optional<std::pair<std::string, millis>> shortest_wait(const std::string& service,
                                                                time_point now) const;
    /// Returns the sum of the others' demand, of members that were heard of lately.
    std::map<std::string, double> organisation_demand(time_point now) const;
    std::map<std::string, double> class_demand(time_point now) const;

private:
    struct peer {
        load_summary load;
        time_point reported_at;
        std::map<std::string, std::int32_t> forwarded; ///< by service, since `reported_at`
    };

    bool is_fresh(const peer& p, time_point now) const
    {
        return now - p.reported_at <= stale_after_;
    }
    static std::int32_t free_slots_of(const peer& p, const std::string& service);

    millis stale_after_;
    std::map<std::string, peer> peers_;
};

enum class route_kind : std::uint8_t { local, peer, queue, refuse };

struct route {
    route_kind kind = route_kind::refuse;
    std::string peer;
    millis wait{0}; ///< expected at the peer
};

/// What this member can do itself for a call.
struct local_capacity {
    std::int32_t free = 0;
    std::int32_t slots = 0;
    millis wait{0};
};

/// Returns where a call goes that has been passed on `hops` times.
route choose_route(const local_capacity& local, std::int32_t hops, const std::string& service,
                   const peer_table& peers, time_point now, std::mt19937_64& random);

} // namespace sesamesill
