// Serves calls: takes them from callers, passes them on once, sends them to executors.

#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "call_admission.h"
#include "cell_service.h"
#include "document_service.h"
#include "executor_pool.h"
#include "key_service.h"
#include "load_service.h"
#include "sesamesill/http.h"
#include "sesamesill/retry.h"
#include "sesamesill/submission.h"

namespace sesamesill {

class call_service {
public:
    call_service(event_loop& loop, http_client& client, cell_service& cell, key_service& keys,
                 document_service& documents, const node_settings& settings);

    void serve(http_server& callers, http_server& peers);
    std::size_t in_flight() const { return in_flight_; }

private:
    /// Why a call came to this member.
    enum class entrance : std::uint8_t {
        caller,
        key_owner,     ///< passed on because this member owns its key
        executor_owner ///< passed on because this member has slots
    };

    /// One call from its arrival to its answer.
    struct pending_call {
        submission what;
        std::string id;
        std::string bytes; ///< the body as it came, for passing it on
        std::string service;
        std::string last_executor;
        std::int32_t max_attempts = 1;
        std::int32_t attempt = 0;
        std::int32_t lost = 0; ///< attempts that may have run
        entrance from = entrance::caller;
        bool once_only = false; ///< this member holds the key's intent and must end it
        time_point until;
        http_respond respond;
    };
    using pending_pointer = std::shared_ptr<pending_call>;

    void receive(const http_request& request, const http_respond& respond, entrance from);
    pending_pointer read(const http_request& request, entrance from, error& why) const;
    void receive_once_only(const pending_pointer& call);
    void begin_key(const pending_pointer& call);
    void take_verdict(const pending_pointer& call, const key_answer& answer);
    void end_key(const pending_pointer& call, outcome final_outcome, const std::string& body);

    bool refuse_for_rate(const pending_pointer& call);
    void route_call(const pending_pointer& call);
    void enqueue(const pending_pointer& call);
    bool send(const pending_pointer& call);
    void pump(const std::string& service);
    void expire();

    void to_key_owner(const pending_pointer& call, const member& owner);
    void to_executor_owner(const pending_pointer& call, const std::string& peer);
    http_call passed_on(const pending_call& call, const char* path) const;
    void take_peer_answer(const pending_pointer& call, const member& peer,
                          const std::optional<http_reply>& reply, const error& why);

    void take_attempt(const pending_pointer& call, const attempt_result& result);
    void take_answer(const pending_pointer& call, const attempt_result& result);
    /// Tries again where that cannot make it run twice, else ends the call.
    void try_again(const pending_pointer& call, attempt_end end, const error& why);
    void refuse(const pending_pointer& call, const error& why, micros wait, int status);
    void end_call(const pending_pointer& call, outcome final_outcome, const error& why);
    void finish(const pending_pointer& call, http_reply reply);

    service_load load_of(const std::string& service, const std::string& organisation,
                         const std::string& work_class);
    load_summary summary();

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    key_service& keys_;
    document_service& documents_;
    const node_settings& settings_;
    executor_pool pool_;
    load_service loads_;
    call_admission admission_;
    retry_budget budget_;
    bool budgeted_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, pending_pointer> waiting_; ///< those in a queue, by queue id
    std::uint64_t next_id_ = 1;
    bool pumping_ = false;
    std::size_t in_flight_ = 0;
};

} // namespace sesamesill
