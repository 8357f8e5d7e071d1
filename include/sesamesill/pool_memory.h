// The memory that accepted work takes at a leader: one account with a limit, and the estimates by
// which jobs are charged to it.
//
// A job is charged when it is accepted or restored, for each occurrence that is open, for what its
// tasks accumulate, and less once it has ended. New work is accepted up to a share of the limit;
// the rest serves occurrences that come due and what accepted tasks accumulate. A successor charges
// the same amounts, so it needs no more than its predecessor had allowed.

#pragma once

#include <cstddef>

#include "sesamesill/pool_job.h"

namespace sesamesill::pool {

/// Returns the bytes that accepted work may take at a process that may use `memory_mb`. The rest is
/// for the program, its connections, messages, and the pages and records that are being decoded.
std::size_t accepted_work_limit(double memory_mb);

/// Memory limit of a process, in MB, that isn't told its own.
constexpr double default_memory_mb = 256;

/// Sum of the charges of one scheduler. Charges point to it, so it can't be moved.
class memory_account {
public:
    explicit memory_account(std::size_t limit) : limit_(limit) {}
    ~memory_account() = default;
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    memory_account(memory_account&&) = delete;
    memory_account& operator=(memory_account&&) = delete;

    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// Returns whether accepted work may grow by `bytes`.
    bool fits(std::size_t bytes) const { return used_ + bytes <= limit_; }
    /// Returns whether new work of this size may be accepted.
    bool accepts(std::size_t bytes) const { return used_ + bytes <= limit_ - reserve(); }
    /// Returns the part of the limit that is kept for work that is accepted already.
    std::size_t reserve() const { return limit_ / reserve_divisor; }

private:
    friend class memory_charge;
    static constexpr std::size_t reserve_divisor = 4;

    std::size_t limit_; ///< may be less than `used_` after it was lowered
    std::size_t used_ = 0;
};

/// An amount in an account, released with the object. Invariant: `account_` isn't null if `bytes_`
/// isn't 0.
class memory_charge {
public:
    memory_charge() = default;
    explicit memory_charge(memory_account& account, std::size_t bytes = 0);
    ~memory_charge();
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;

    std::size_t bytes() const { return bytes_; }
    /// Changes the amount, also beyond the account's limit.
    void resize(std::size_t bytes);

private:
    memory_account* account_ = nullptr;
    std::size_t bytes_ = 0;
};

/// Upper estimates in bytes, with the copies of the stored form at the leader.
struct job_memory {
    std::size_t job = 0;        ///< without its tasks, with the marks of those that are done
    std::size_t occurrence = 0; ///< each open one: its steps, tasks and their runs
};

job_memory memory_of(const job_spec& spec);

/// Returns what a job takes as soon as it is accepted. One with times has no tasks by then.
std::size_t bytes_when_accepted(const job_spec& spec);

/// Returns what a job with so many steps takes after it has ended.
std::size_t ended_bytes(std::size_t steps);

/// What the failure of a run adds to its task.
constexpr std::size_t failure_bytes = 160;
/// What a stored part of a job's progress takes at most, without the rows of open occurrences.
constexpr std::size_t progress_part_bytes = 400;
/// What an advisor's verdict on a worker adds to a step, without the text of its ticket.
constexpr std::size_t verdict_bytes = 128;
/// What a remembered cancellation takes.
constexpr std::size_t cancellation_bytes = 640;

/// Returns what a checkpoint takes with its stored form and the orders that carry it.
constexpr std::size_t checkpoint_bytes(std::size_t length)
{
    constexpr std::size_t copies = 3;
    return copies * length;
}

} // namespace sesamesill::pool
