// Serves calls: takes them from callers, passes them on once, sends them to executors.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell_service.h"
#include "document_service.h"
#include "key_service.h"
#include "sesamesill/http.h"
#include "sesamesill/submission.h"

namespace sesamesill {

class call_service {
public:
    call_service(event_loop& loop, http_client& client, cell_service& cell, key_service& keys,
                 document_service& documents);

    void serve(http_server& callers, http_server& peers);
    std::size_t in_flight() const { return in_flight_; }

private:
    struct executor_state {
        vm target;
        std::int32_t busy = 0;
    };

    /// One call from its arrival to its answer.
    struct pending_call {
        submission what;
        std::string id;
        std::int32_t attempt = 0;
        bool forwarded = false;
        bool once_only = false; ///< this member holds the key's intent and must end it
        time_point until;
        http_respond respond;
    };
    using pending_pointer = std::shared_ptr<pending_call>;

    void receive(const http_request& request, const http_respond& respond, bool forwarded);
    void receive_once_only(const pending_pointer& call);
    void take_verdict(const pending_pointer& call, const key_answer& answer);
    void end_key(const pending_pointer& call, outcome ending, const std::string& body);
    void forward(const pending_pointer& call, const member& to);
    void dispatch(const pending_pointer& call);
    void send(const pending_pointer& call, executor_state& executor);
    void finish(const pending_pointer& call, const http_reply& reply);
    void update_executors();
    executor_state* free_executor(const std::string& service);

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    key_service& keys_;
    document_service& documents_;
    std::map<std::string, executor_state> executors_; ///< of the shards that this member owns
    std::vector<pending_pointer> waiting_;
    std::size_t in_flight_ = 0;
};

} // namespace sesamesill
