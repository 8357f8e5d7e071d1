// The waiting tasks of the jobs that have their home here, and what runs for each organisation.

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

/// Invariant: a job has at most one entry in the queue, for all of its tasks that wait.
class job_queue {
public:
    /// What became of an offer: tasks were sent, there is no room for the size, or it is not to be
    /// tried again in this round for another reason.
    enum class verdict : std::uint8_t { placed, no_room, later };

    struct offer {
        std::string job;
        std::int64_t max_tasks = 1; ///< tasks that may be sent; all-at-once jobs: all of them
    };

    struct answer {
        verdict what = verdict::later;
        std::int64_t tasks = 0; ///< that were sent
    };

    job_queue();

    void set_document(const environment& document);
    /// All workers of the cell together.
    void set_capacity(const resources& total) { organisations_.set_capacity(total); }

    /// Returns why the job can never run or cannot wait here, if so.
    std::optional<error> refusal(const submission& what) const;
    /// Adds tasks that wait; they never wait in vain for room in the queue once admitted.
    void add(const std::string& job, const submission& what, std::int64_t tasks,
             time_point arrived);
    void cancel(const std::string& job);

    /// Offers jobs in order, at most `limit` times.
    void round(time_point now, std::size_t limit, const std::function<answer(const offer&)>& place);
    /// Takes over how many tasks of a job wait; 0 removes it.
    void set_waiting(const std::string& job, const submission& what, std::int64_t tasks,
                     time_point arrived);
    /// Removes the jobs that are not in `ids`.
    void keep_jobs(const std::set<std::string>& ids);
    /// Takes over what the jobs of this home hold by organisation.
    void set_running(const std::map<std::string, resources>& by_organisation);
    /// A task that was placed ended, or lost its place.
    void refund(const submission& what);

    /// Returns what a task of the job waits for.
    explanation explain(const cell& where, const std::string& job, const std::string& task,
                        const task_need& need) const;
    std::size_t size() const { return queue_.size(); }

    /// What runs for each organisation here, for the other members.
    Json::Value running() const;
    void handle_running(const std::string& peer, const Json::Value& value);
    /// Forgets what runs under peers that are not among `peers`.
    void keep_peers(const std::set<std::string>& peers);

private:
    struct waiting_job {
        submission what;
        ticket place = 0;
        std::uint64_t tag = 0;
        std::int64_t tasks = 0; ///< that wait
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
    std::unordered_map<std::uint64_t, std::string> names_; ///< by the tag of their entries
    std::uint64_t tags_ = 0;
    std::map<std::string, std::map<std::string, resources>>
        peer_running_; ///< by peer and organisation
};

} // namespace sesamesill
