// Follows all jobs in the log and manages those that this member owns: accepts them, places their
// tasks, records their outcomes and recovers them after a change of members.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell_service.h"
#include "document_service.h"
#include "job_items.h"
#include "job_queue.h"
#include "journal_service.h"
#include "key_service.h"
#include "sesamesill/http.h"
#include "sesamesill/recovery.h"
#include "sesamesill/rpc.h"
#include "worker_service.h"

namespace sesamesill {

class job_service {
public:
    job_service(event_loop& loop, http_client& client, cell_service& cell, journal_service& journal,
                document_service& documents, worker_service& workers, key_service& keys,
                const node_settings& settings);

    void start();
    void serve(http_server& callers, http_server& peers, rpc_server& rpc);
    const std::map<std::string, job>& jobs() const { return table_.jobs(); }

private:
    /// A caller that waits for the outcome of a job, at most until `until`.
    struct watcher {
        time_point until;
        http_respond respond;
    };

    /// A job whose accept record has not been read back from the log.
    struct pending_accept {
        append_ticket ticket = 0;
        time_point until;
        /// The callers were answered; if the record still arrives, the job ends as not run.
        bool given_up = false;
        std::vector<http_respond> callers;
    };

    struct submit_request {
        http_request request;
        submission what;
        time_point until;
        bool forwarded = false;
    };

    /// Tasks of one job that this member starts or asks another member to start.
    struct place_request {
        std::string id;
        std::vector<std::size_t> indices;
        std::vector<std::int32_t> attempts;
        std::vector<task_spec> specs;
        bool all = false; ///< start all tasks or none
    };

    void follow_log();
    void submit(const http_request& request, const http_respond& respond, bool forwarded);
    void show(const http_request& request, const http_respond& respond, bool forwarded);
    void list(const http_request& request, const http_respond& respond) const;
    void cancel(const http_request& request, const http_respond& respond, bool forwarded);
    void find_owner(const submit_request& s, const http_respond& respond);
    void forward(const http_request& request, const member& to, http_done done);
    void respond_from_log(const std::string& id, const http_respond& respond,
                          const error& why) const;
    void accept(const submission& what, const http_respond& respond);
    void handle_accept(const journal_item& item);
    void answer_watchers();
    void expire_accepts();
    void give_up(const std::string& id, pending_accept& p);

    std::optional<error> refusal(const submission& what) const;
    void publish_running();
    void sync_queue(time_point now);
    void place_waiting();
    job_queue::answer place(job& j, const job_queue::offer& offered);
    bool place_here(job& j, place_request& request, bool reserve_room);
    void place_remote(const place_request& request);
    void handle_place_reply(const place_request& request, const Json::Value& result);
    task_spec spec_of(const job& j, std::size_t index) const;
    Json::Value explain(const job& j) const;
    Json::Value explain_task(const job& j, std::size_t index) const;
    std::optional<Json::Value> rpc_place(const Json::Value& params, error& why);
    std::optional<Json::Value> rpc_stop(const Json::Value& params, error& why);

    void on_cell_change();
    void recover();
    void request_tasks(const member& to, const recovery_request& request);
    std::optional<Json::Value> rpc_tasks_of(const Json::Value& params, error& why);
    recovery_answer answer_of(const recovery_request& request);
    void task_end(const task_report& report, const std::function<void()>& acknowledge);
    std::optional<Json::Value> rpc_ended(const Json::Value& params, error& why);
    bool handle_end(const listed_task& report);
    void stop_cancelled();
    void stop(const std::string& task, const std::string& worker);

    void execute(const job_actions& actions);
    void add_to_snapshot(std::vector<journal_item>& items) const;
    static Json::Value describe(const job& j);

    event_loop& loop_;
    http_client& client_;
    cell_service& cell_;
    journal_service& journal_;
    document_service& documents_;
    worker_service& workers_;
    key_service& keys_;
    const node_settings& settings_;
    job_table table_;
    std::map<std::string, pending_accept> accepts_;
    std::map<std::string, std::vector<watcher>> watchers_;
    std::map<std::string, time_point> retry_at_; ///< by job that found no room
    std::set<std::string> remote_requests_; ///< jobs with a request to another member in flight
    std::set<std::string> cancelled_;       ///< jobs whose running tasks must be stopped
    std::map<std::string, std::uint64_t> fences_; ///< newest recovery round by owner
    std::uint64_t recovery_round_ = 0;            ///< recovery round of this member
    std::uint64_t recheck_epoch_ = 0; ///< epoch in which running tasks were last rechecked
    std::set<std::string> worker_names_;
    time_point worker_removed_at_; ///< when a worker was last removed from the VM list
    time_point started_;
    job_queue queue_;
    bool room_reserved_ = false; ///< room was reserved in this round; at most one task per round
    time_point synced_at_;       ///< when the queue was last synchronised with the table
    std::size_t next_peer_ = 0;  ///< index of the member to ask next for a place
};

} // namespace sesamesill
