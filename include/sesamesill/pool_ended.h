// Jobs whose final state is stored. Clients may ask for that state for a while.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/json.h>

#include "sesamesill/pool_job.h"
#include "sesamesill/pool_memory.h"
#include "sesamesill/resources.h"

namespace sesamesill::pool {

struct ended_job {
    job_state state = job_state::complete;
    std::string queue;
    /// Capacity that a task of each step uses: runs of the job may still be stopping.
    std::vector<resources> needs;
    std::int64_t ended_ms = 0; ///< Unix time of the final state's record
};

/// Returns what is kept of a job with this specification.
ended_job ended_job_of(const job_spec& spec, job_state state, std::int64_t ended_ms);
/// Returns the value of the job's record.
std::string encode(const ended_job& job);
/// Returns the job, or nothing if the record has no final state. Throws `Json::Exception` if a
/// field has the wrong type.
std::optional<ended_job> ended_job_from(const Json::Value& value);

/// Invariant: `by_time_` has the elements of `jobs_`.
class ended_jobs {
public:
    explicit ended_jobs(memory_account& account) : charge_(account) {}

    void add(const std::string& id, ended_job job);
    /// Returns the job, or null.
    const ended_job* find(const std::string& id) const;
    /// Drops the jobs that ended before the Unix time `wall_ms`, and returns their ids.
    std::vector<std::string> take_before(std::int64_t wall_ms);
    std::size_t size() const { return jobs_.size(); }

private:
    std::map<std::string, ended_job> jobs_;
    std::set<std::pair<std::int64_t, std::string>> by_time_;
    memory_charge charge_;
};

} // namespace sesamesill::pool
