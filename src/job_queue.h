// The queue of waiting tasks of the jobs that this member owns, and the resources that the running
// tasks of each organisation use.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <json/json.h>

#include "sesamesill/environment.h"
#include "sesamesill/explain.h"
#include "sesamesill/fairness.h"
#include "sesamesill/queue.h"
#include "sesamesill/submission.h"

namespace sesamesill {

/// Invariant: a job has at most one entry in the queue, for all of its waiting tasks.
class job_queue {
public:
    /// Result of an offer: tasks were sent; no worker has room for a task of this size; or the job
    /// is skipped in this round for another reason.
    enum class verdict : std::uint8_t { placed, no_room, later };

    /// An offer to start waiting tasks of one job.
    struct offer {
        std::string job;
        /// Number of tasks that may be sent; for a gang all of them must be sent.
        std::int64_t max_tasks = 1;
    };

    struct answer {
        verdict what = verdict::later;
        std::int64_t tasks = 0; ///< number of tasks that were sent
    };

    job_queue();

    void set_document(const environment& document);
    /// Sets the total capacity of the cell's workers.
    void set_capacity(const resources& total) { organisations_.set_capacity(total); }

    /// Returns the reason why the job can never run or cannot be queued here; nullopt if it can.
    std::optional<error> refusal(const submission& what) const;
    /// Adds waiting tasks. The queue limit of the class does not apply to them: an admitted job is
    /// not refused later because the queue is full.
    void add(const std::string& job, const submission& what, std::int64_t tasks,
             time_point arrived);
    void cancel(const std::string& job);

    /// Offers jobs to `place` in the order of the queue, at most `limit` times.
    void round(time_point now, std::size_t limit, const std::function<answer(const offer&)>& place);
    /// Sets the number of waiting tasks of a job; 0 removes the job.
    void set_waiting(const std::string& job, const submission& what, std::int64_t tasks,
                     time_point arrived);
    /// Removes the jobs that are not in `ids`.
    void keep_jobs(const std::set<std::string>& ids);
    /// Sets the resources that the running tasks of owned jobs use, by organisation.
    void set_running(const std::map<std::string, resources>& by_organisation);
    /// Returns the resources of a placed task to the quota, after it ended or lost its place.
    void refund(const submission& what);

    /// Explains what a waiting task of the job waits for.
    explanation explain(const cell& where, const std::string& job, const std::string& task,
                        const task_need& need) const;
    std::size_t size() const { return queue_.size(); }

    /// Returns the resources used by each organisation here, as sent to the other members.
    Json::Value running() const;
    /// Handles the resources used by each organisation at `peer`.
    void handle_running(const std::string& peer, const Json::Value& value);
    /// Removes the reported usage of members that are not in `peers`.
    void keep_peers(const std::set<std::string>& peers);

private:
    struct waiting_job {
        submission what;
        ticket place = 0;
        std::uint64_t tag = 0;
        std::int64_t tasks = 0; ///< number of waiting tasks
        time_point arrived;
    };

    void update_peer_totals();
    organisation_id organisation_of(const submission& what) const;
    bool job_within_quota(const waiting_job& job) const;
    std::int64_t tasks_within_quota(const waiting_job& job) const;
    bool enqueue(const std::string& name, waiting_job& job);
    void charge_placed(const std::string& name, std::int64_t tasks);

    fairness organisations_;
    work_queue queue_;
    std::map<std::string, class_policy> classes_;
    std::map<std::string, waiting_job> jobs_;
    /// Job ids by the tag of their queue entries.
    std::unordered_map<std::uint64_t, std::string> jobs_by_tag_;
    std::uint64_t last_tag_ = 0;
    /// Resources that running tasks use, by peer and organisation.
    std::map<std::string, std::map<std::string, resources>> peer_running_;
};

} // namespace sesamesill
