// Serves calls: accepts them from callers, forwards them to another member or sends them to
// executors, and returns their outcome.

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

    /// Adds the routes for callers and for other members.
    void serve(http_server& callers, http_server& peers);
    std::size_t in_flight() const { return in_flight_; }

private:
    /// Reason for which this member received a call.
    enum class call_source : std::uint8_t {
        caller,
        key_owner,     ///< forwarded because this member owns its key
        executor_owner ///< forwarded because this member has slots
    };

    /// State of a call from its arrival to its answer.
    struct pending_call {
        submission submitted;
        std::string id;
        std::string raw_body; ///< body as received, for forwarding
        std::string service;
        std::string last_executor;
        std::int32_t max_attempts = 1;
        std::int32_t attempt = 0;
        std::int32_t lost = 0; ///< number of attempts that may have run
        call_source source = call_source::caller;
        bool once_only = false; ///< this member wrote the key's intent and must record its outcome
        time_point deadline;
        http_respond respond;
    };
    using pending_pointer = std::shared_ptr<pending_call>;

    void receive(const http_request& request, const http_respond& respond, call_source source);
    pending_pointer read(const http_request& request, call_source source, error& why) const;
    /// Handles a call that isn't idempotent: its key's owner ensures that it runs at most once.
    void receive_once_only(const pending_pointer& call);
    void begin_key(const pending_pointer& call);
    void on_verdict(const pending_pointer& call, const key_answer& answer);
    void end_key(const pending_pointer& call, outcome final_outcome, const std::string& body);

    /// Refuses a call over its rate limit; returns whether it did.
    bool refuse_for_rate(const pending_pointer& call);
    void route_call(const pending_pointer& call);
    void enqueue(const pending_pointer& call);
    /// Sends a call to an executor; returns false if none is free.
    bool send(const pending_pointer& call);
    /// Sends queued calls of a service while it has free slots.
    void dispatch_waiting(const std::string& service);
    void end_expired();

    void forward_to_key_owner(const pending_pointer& call, const member& owner);
    void forward_to_executor_owner(const pending_pointer& call, const std::string& peer);
    http_call forwarded_call(const pending_call& call, const char* path) const;
    void on_peer_answer(const pending_pointer& call, const member& peer,
                        const std::optional<http_reply>& reply, const error& why);

    void on_attempt_result(const pending_pointer& call, const attempt_result& result);
    void on_executor_answer(const pending_pointer& call, const attempt_result& result);
    /// Repeats the attempt if the work can't run twice and time, attempts and the retry budget
    /// allow it, else ends the call.
    void retry_or_end(const pending_pointer& call, attempt_outcome end, const error& why);
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
    bool limit_retries_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, pending_pointer> waiting_; ///< queued calls by queue id
    std::uint64_t next_id_ = 1;
    bool dispatching_ = false;
    std::size_t in_flight_ = 0;
};

} // namespace sesamesill
