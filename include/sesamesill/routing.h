// Routing of calls: to an executor of this member, to its queue or to another member. A call is
// forwarded to another member's executors at most once.

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

/// Largest number of times that a call is forwarded to another member's executors.
constexpr std::int32_t max_hops = 1;

/// State of an executor as its owner knows it, the input of choose_executor.
struct executor_view {
    std::int32_t free = 0; ///< number of calls that may be sent now
    std::int32_t busy = 0;
    micros latency{0};   ///< mean of the answered calls
    double weight = 1.0; ///< below 1 while its load ramps up after an ejection
};

namespace detail {

constexpr int max_executor_draws = 4; ///< random tries before a scan of all executors

double expected_time(const executor_view& e);
std::size_t draw(std::size_t count, std::mt19937_64& random);

} // namespace detail

/// Returns the one of two random executors with free slots that has the shorter expected time, or
/// nothing if no executor has a free slot. `view(i)` returns the state of executor `i` of `count`.
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

/// Capacity that a member offers for one service.
struct service_load {
    std::int32_t free = 0;
    std::int32_t slots = 0;   ///< usable slots, both free and busy
    std::int32_t waiting = 0; ///< calls in its queue
    millis wait{0};           ///< expected wait of a new call
};

/// Load that a member reports to the others with its heartbeat. It holds at most `max_names` of
/// each kind, so that its size does not grow with the cell.
struct load_summary {
    static constexpr std::size_t max_names = 32;

    std::map<std::string, service_load> services;
    std::map<std::string, double>
        organisation_demand; ///< arrivals per second of each limited organisation
    std::map<std::string, double> class_demand; ///< arrivals per second of each limited class
};

Json::Value to_json(const load_summary& load);
/// Returns the summary, or nothing after setting `why`.
std::optional<load_summary> load_from(const Json::Value& value, error& why);

/// Last reported loads of the other members, less the calls that were forwarded to them since.
class peer_table {
public:
    explicit peer_table(millis stale_after) : stale_after_(stale_after) {}

    /// Replaces the load of a member.
    void report(const std::string& member, load_summary load, time_point now);
    /// Updates the load of one service, which came with an answer.
    void report(const std::string& member, const std::string& service, const service_load& load,
                time_point now);
    void set_stale_after(millis time) { stale_after_ = time; }
    /// Removes all members but these.
    void keep_only(const std::vector<std::string>& members);
    /// Counts a call that was forwarded to the member.
    void on_forwarded(const std::string& member, const std::string& service);
    /// Excludes a member that could not be reached until its next report.
    void on_unreachable(const std::string& member);

    /// Returns the one of two random members with free slots that has more of them.
    std::optional<std::string> choose_free(const std::string& service, time_point now,
                                           std::mt19937_64& random) const;
    /// Returns the member with the shortest expected wait and that wait.
    std::optional<std::pair<std::string, millis>> shortest_wait(const std::string& service,
                                                                time_point now) const;
    /// Returns the demand for each limited organisation, summed over the members whose report is
    /// fresh.
    std::map<std::string, double> organisation_demand(time_point now) const;
    /// Returns the demand for each limited class, summed over the members whose report is fresh.
    std::map<std::string, double> class_demand(time_point now) const;

private:
    struct peer {
        load_summary load;
        time_point reported_at;
        std::map<std::string, std::int32_t> forwarded; ///< calls by service, since `reported_at`
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
    millis wait{0}; ///< expected wait at the peer
};

/// Capacity of this member for the service of a call.
struct local_capacity {
    std::int32_t free = 0;
    std::int32_t slots = 0;
    millis wait{0};
};

/// Returns the route of a call that has been forwarded `hops` times.
route choose_route(const local_capacity& local, std::int32_t hops, const std::string& service,
                   const peer_table& peers, time_point now, std::mt19937_64& random);

} // namespace sesamesill
