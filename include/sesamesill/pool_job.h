// Jobs that clients submit to a pool. A job consists of steps, a step of equal tasks.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/pool_ports.h"
#include "sesamesill/resources.h"

namespace sesamesill::pool {

constexpr std::size_t max_payload_bytes = 4000;    ///< the platform's limit for a payload
constexpr int max_steps = 64;                      ///< bounds the memory that one job can take
constexpr int max_tasks_per_step = 4096;           ///< bounds the memory that one step can take
constexpr std::int64_t max_tasks_per_job = 50'000; ///< over all occurrences

/// A set of equal tasks.
struct step_spec {
    int tasks = 1;
    resources need;              ///< resources of one task
    millis estimate{0};          ///< the client's estimate of a task's run time
    std::vector<int> after;      ///< numbers of earlier steps that must be done first
    bool saves_progress = false; ///< whether a task resumes from its last checkpoint
    bool gang = false;           ///< whether all tasks start together or none does
    bool same_rack = false;      ///< whether tasks run slower when spread over racks
    bool speculative = false;    ///< whether copies of a task may run at the same time
    bool long_running = false;   ///< whether tasks restart after any end until a cancellation
    bool uses_leftover = false;  ///< whether tasks run on CPU that other tasks leave idle
    std::string required_label;  ///< label that a worker must have; empty for any
    std::string preferred_rack;  ///< rack that holds the data; empty for none
    std::string image;           ///< name of the program image; tasks of one image behave alike
    int max_per_worker = 0;      ///< maximum number of tasks on a worker; 0 for no limit
    int max_unavailable = 0;  ///< maximum number of long-running tasks that are stopped at a time
    millis latency_target{0}; ///< target for a long-running task; 0 for none
};

/// Returns the capacity that a task of the step uses on its worker.
resources capacity_used_by(const step_spec& step);

struct job_spec {
    std::string id;
    std::string queue;
    std::string payload; ///< passed to each task unchanged
    std::vector<step_spec> steps;
    int occurrences = 0;           ///< 0 for a job that runs once, immediately
    std::int64_t first_due_ms = 0; ///< Unix time of the first occurrence
    std::int64_t interval_ms = 0;  ///< time between occurrences
};

enum class job_state : std::uint8_t { queued, running, complete, failed, cancelled };

std::string_view name_of(job_state state);
std::optional<job_state> job_state_from(std::string_view name);

/// Returns whether a job never leaves this state.
constexpr bool is_final(job_state state)
{
    return state == job_state::complete || state == job_state::failed ||
           state == job_state::cancelled;
}

/// Returns the reason why the job is invalid for any pool, or "" if it is valid.
std::string validation_error(const job_spec& spec);

std::string encode(const job_spec& spec);
/// Returns the job, or nothing and the reason in `why` if it's malformed or invalid.
std::optional<job_spec> decode_job_spec(const std::string& text, error& why);

/// What is stored of an accepted job.
struct job_record {
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Unix time
    /// The policy of its queue when the job was accepted; its name and route aren't stored. Missing
    /// in records of earlier versions.
    std::optional<queue_policy> terms;
};

std::string encode(const job_record& job);
std::optional<job_record> decode_job_record(const std::string& text, error& why);

/// Identifies one task of a job. The text form is "JOB.OCCURRENCE.STEP.INDEX".
struct task_id {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

std::string to_string(const task_id& id);
/// Returns "JOB.OCCURRENCE.STEP", the name of a step in advice calls.
std::string step_name(const task_id& id);
std::optional<task_id> task_id_from(std::string_view text);

} // namespace sesamesill::pool
