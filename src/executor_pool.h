// Executors of this member's shards: chooses one for each call, accounts for their slots, and
// tracks which ones are leaving or ejected.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cell_service.h"
#include "sesamesill/drain.h"
#include "sesamesill/ejection.h"
#include "sesamesill/http.h"
#include "sesamesill/limiter.h"
#include "sesamesill/retry.h"
#include "sesamesill/routing.h"
#include "sesamesill/slots.h"

namespace sesamesill {

struct attempt_result {
    attempt_outcome end = attempt_outcome::lost;
    http_reply reply; ///< set if `end` is answered
    error why;        ///< set for any other `end`
    std::string executor;
};

using attempt_done = std::function<void(const attempt_result&)>;

class executor_pool {
public:
    executor_pool(event_loop& loop, http_client& client, cell_service& cell,
                  const node_settings& settings);

    /// Sends `call` to a free executor, if possible not to `avoid`. Returns false if none is free.
    /// The work of the call ends at `until` at the latest.
    bool send(const std::string& service, const std::string& avoid, http_call call,
              time_point until, attempt_done done);
    bool has_free(const std::string& service);
    /// Returns the number of free slots of a service.
    std::int32_t free(const std::string& service) const;
    /// Returns the number of usable slots of a service, both free and busy.
    std::int32_t usable(const std::string& service) const;
    const latency_estimate& latency(const std::string& service) { return latency_[service]; }
    std::vector<std::string> services() const;
    /// Runs `action` when a slot of the service may have become free.
    void on_free(std::function<void(const std::string& service)> action)
    {
        on_free_ = std::move(action);
    }

private:
    struct executor {
        vm target;
        std::string shard;
        slot_account slots;
        latency_estimate latency;
        time_point last_sent;
        bool owned = true; ///< false once its shard belongs to another owner or it is replaced

        executor(vm v, time_point now);
    };
    using executor_pointer = std::shared_ptr<executor>;

    /// Returns whether all calls that were sent to executors of lost shards have arrived.
    bool is_drained() const;
    /// Updates the executors from the VM list and the shards of this member.
    void update();
    /// Applies the states of the VM list to the leaving executors.
    void update_leaving(const std::vector<vm>& vms);
    executor_view view(const executor& e, time_point now) const;
    /// Returns how many calls may be sent to the executor now; may be negative.
    std::int32_t free_slots(const executor& e, time_point now) const;
    executor_pointer choose(const std::string& service, const std::string& avoid);
    void finish(const executor_pointer& e, time_point sent, time_point until,
                std::optional<http_reply> reply, const error& why, const attempt_done& done);
    void record_result(executor& e, const attempt_result& result, time_point sent,
                       time_point until);
    void probe_all();
    void probe(const executor_pointer& e, time_point now);
    void on_health_reply(const executor_pointer& e, const std::optional<http_reply>& reply,
                         time_point sent);

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    bool watch_leaving_;
    bool watch_outliers_;
    bool track_lost_calls_;
    std::mt19937_64 random_;
    std::map<std::string, executor_pointer> executors_; ///< by name
    std::map<std::string, std::vector<executor_pointer>> by_service_;
    std::map<std::string, latency_estimate> latency_; ///< by service
    leaving_endpoints leaving_;
    ejection ejection_;
    std::function<void(const std::string&)> on_free_;
    time_point last_sent_to_lost_; ///< last call to an executor that is no longer owned
};

} // namespace sesamesill
