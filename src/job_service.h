// Keeps the jobs whose home this member is: accepts them, finds places, tells their ends.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell_service.h"
#include "document_service.h"
#include "journal_service.h"
#include "sesamesill/http.h"
#include "sesamesill/rpc.h"
#include "sesamesill/submission.h"
#include "worker_service.h"

namespace sesamesill {

class job_service {
public:
    job_service(event_loop& loop, http_client& client, cell_service& cell, journal_service& journal,
                document_service& documents, worker_service& workers);

    void start();
    void serve(http_server& callers, http_server& peers, rpc_server& rpc);

private:
    enum class task_phase : std::uint8_t { waiting, placing, running, done, failed };

    struct task {
        task_phase phase = task_phase::waiting;
        std::int32_t attempt = 0;
        std::string worker;
        std::string result;
    };

    struct watcher {
        time_point until;
        http_respond respond;
    };

    struct job {
        submission what;
        std::string id;
        time_point arrived;
        outcome ending = outcome::pending;
        error reason;
        std::vector<task> tasks;
        std::vector<watcher> watchers;
    };

    void submit(const http_request& request, const http_respond& respond, bool forwarded);
    void show(const http_request& request, const http_respond& respond, bool forwarded);
    void pass_on(const http_request& request, const http_respond& respond, const member& to);
    void accept(const submission& what, const http_respond& respond);
    void place_waiting();
    void place(job& j, std::size_t index);
    void place_remote(job& j, std::size_t index);
    void set_phase(const std::string& id, std::size_t index, task_phase phase,
                   const std::string& worker);
    void task_end(const task_report& report, const std::function<void()>& acknowledge);
    void apply_end(const std::string& task, bool done, const std::string& result);
    void finish_if_ended(job& j);
    void answer_watchers();
    std::optional<Json::Value> rpc_place(const Json::Value& params, error& why);
    std::optional<Json::Value> rpc_ended(const Json::Value& params, error& why);
    static Json::Value describe(const job& j);
    task_spec spec_of(const job& j, std::size_t index) const;

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    journal_service& journal_;
    document_service& documents_;
    worker_service& workers_;
    std::map<std::string, job> jobs_;
    std::size_t next_peer_ = 0; ///< whom to ask next for a place
};

} // namespace sesamesill
