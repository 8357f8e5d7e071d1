// Implements the account of accepted work, and estimates the memory of jobs.

#include "sesamesill/pool_memory.h"

#include <algorithm>
#include <utility>

#include "sesamesill/pool_ended.h"
#include "sesamesill/pool_order.h"
#include "sesamesill/pool_progress.h"
#include "sesamesill/pool_worker.h"

namespace sesamesill::pool {
namespace {

constexpr double accepted_work_share = 0.5; ///< of a process's memory
constexpr double bytes_per_mb = 1e6;

constexpr std::size_t node_bytes = 64;  ///< of a map or set, with the allocator's overhead
constexpr std::size_t name_bytes = 64;  ///< text of a key or of a task's name, with the overhead
constexpr std::size_t text_copies = 2;  ///< of a job's texts: decoded, and in its record
constexpr std::size_t record_names = 4; ///< keys of a job's records, and entries of indexes
/// The JSON text of a step's numbers and flags, without its texts.
constexpr std::size_t stored_step_bytes = 400;
/// A task's row in a progress record, without its checkpoint.
constexpr std::size_t stored_task_bytes = 80;
constexpr std::size_t bits_per_byte = 8;
constexpr std::size_t stored_end_bytes = 120; ///< the JSON text of an ended job without its steps
constexpr std::size_t stored_need_bytes = 40; ///< a step's row in it
constexpr std::size_t ended_names = 3;        ///< its record's key, and its entries in two indexes
constexpr std::size_t stored_job_bytes = 400; ///< the JSON text of a job without its steps

constexpr std::size_t job_entry_bytes =
    sizeof(job_progress) + sizeof(queue_policy) + record_names * (node_bytes + name_bytes);
/// With the run, which a task has from its start order on.
constexpr std::size_t task_bytes =
    sizeof(task_record) + sizeof(run_record) + 2 * node_bytes + 3 * name_bytes + stored_task_bytes;
constexpr std::size_t step_bytes =
    sizeof(step_record) + sizeof(waiting_step) + 2 * node_bytes + 2 * name_bytes;

} // namespace

std::size_t accepted_work_limit(double memory_mb)
{
    return static_cast<std::size_t>(memory_mb * bytes_per_mb * accepted_work_share);
}

memory_charge::memory_charge(memory_account& account, std::size_t bytes) : account_(&account)
{
    resize(bytes);
}

memory_charge::~memory_charge()
{
    resize(0);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(other.account_), bytes_(std::exchange(other.bytes_, 0))
{
}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    if (this != &other) {
        resize(0);
        account_ = other.account_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

void memory_charge::resize(std::size_t bytes)
{
    if (account_ != nullptr) {
        account_->used_ += bytes - bytes_;
        bytes_ = bytes;
    }
}

job_memory memory_of(const job_spec& spec)
{
    job_memory memory;
    memory.job = job_entry_bytes + stored_job_bytes + text_copies * spec.payload.size();
    std::size_t tasks = 0;
    for (const step_spec& step : spec.steps) {
        const std::size_t text =
            step.required_label.size() + step.preferred_rack.size() + step.image.size();
        memory.job += sizeof(step_spec) + stored_step_bytes + text_copies * text +
                      step.after.size() * (sizeof(int) + name_bytes / 8);
        memory.occurrence += step_bytes + static_cast<std::size_t>(step.tasks) * task_bytes;
        tasks += static_cast<std::size_t>(step.tasks);
    }
    // Marks of complete occurrences, here and in the stored parts of the progress.
    const std::size_t occurrences = static_cast<std::size_t>(std::max(1, spec.occurrences));
    memory.job += occurrences / bits_per_byte +
                  (occurrences * tasks / tasks_per_part + 1) * progress_part_bytes;
    return memory;
}

std::size_t ended_bytes(std::size_t steps)
{
    return sizeof(ended_job) + ended_names * (node_bytes + name_bytes) + stored_end_bytes +
           steps * (sizeof(resources) + stored_need_bytes);
}

std::size_t bytes_when_accepted(const job_spec& spec)
{
    const job_memory memory = memory_of(spec);
    return memory.job + (spec.occurrences > 0 ? 0 : memory.occurrence);
}

} // namespace sesamesill::pool
