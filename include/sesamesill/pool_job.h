// What clients ask a pool of workers to run: jobs made of steps, steps made of equal tasks.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "sesamesill/clock.h"
#include "sesamesill/error.h"
#include "sesamesill/resources.h"

namespace sesamesill::pool {

constexpr std::size_t max_payload_bytes = 4000;    ///< the platform's bound on a job's text
constexpr int max_steps = 64;                      ///< bounds the memory that one job can take
constexpr int max_tasks_per_step = 4096;           ///< likewise
constexpr std::int64_t max_tasks_per_job = 50'000; ///< likewise, in all occurrences: some 10 MB

/// A set of equal tasks.
struct step_spec {
    int tasks = 1;
    resources need;              ///< of one task
    millis estimate{0};          ///< the client's guess of a task's run time
    std::vector<int> after;      ///< earlier steps that must be done first
    bool saves_progress = false; ///< a task resumes from its last checkpoint
    bool gang = false;           ///< all tasks start together, or none
    bool same_rack = false;      ///< slower when spread over racks
    bool speculative = false;    ///< copies of a task may run at the same time
    bool long_running = false;   ///< restarted however it ends, until the job is cancelled
    bool uses_leftover = false;  ///< runs on capacity that others leave idle
    std::string required_label;  ///< of the worker; empty for any
    std::string preferred_rack;  ///< where its data is; empty for none
    std::string image;           ///< tasks of one image behave alike
    int max_per_worker = 0;      ///< 0 for no limit
    int max_unavailable = 0;     ///< long-running tasks that may be stopped at the same time
    millis latency_target{0};    ///< of a long-running task; 0 for none
};

/// Returns the capacity that a task of the step takes from others.
resources capacity_used_by(const step_spec& step);

struct job_spec {
    std::string id;
    std::string queue;
    std::string payload; ///< handed to each task as it is
    std::vector<step_spec> steps;
    int occurrences = 0;           ///< 0: runs once, at once
    std::int64_t first_due_ms = 0; ///< Unix time of the first occurrence
    std::int64_t interval_ms = 0;  ///< between occurrences
};

enum class job_state : std::uint8_t { queued, running, complete, failed, cancelled };

std::string_view name_of(job_state state);
std::optional<job_state> job_state_from(std::string_view name);

/// Returns whether a job in this state never runs again.
constexpr bool is_final(job_state state)
{
    return state == job_state::complete || state == job_state::failed ||
           state == job_state::cancelled;
}

/// Returns why the job can't be run by any pool, or "" where nothing is wrong with it.
std::string fault_in(const job_spec& spec);

Json::Value to_json(const job_spec& spec);
std::optional<job_spec> job_spec_from(const Json::Value& value, error& why);

/// Names one task of a job. Invariant: text form is ID.OCCURRENCE.STEP.INDEX.
struct task_id {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

std::string to_string(const task_id& id);
/// Returns "ID.OCCURRENCE.STEP", the name under which a step is advised on.
std::string step_name(const task_id& id);
std::optional<task_id> task_id_from(std::string_view text);

} // namespace sesamesill::pool
