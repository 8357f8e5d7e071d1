// Observations of the stand-ins and the runner, one for each line of their journals.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sesamesill/resources.h"

namespace scenario {

enum class observation_kind : std::uint8_t {
    start,      ///< a worker or executor got work and runs it
    end,        ///< the work ended and released its place
    checkpoint, ///< the task released its place at a checkpoint and may restart from it
    refused,    ///< a draining executor got work and did not start it
    sent,       ///< a caller sent an attempt of a request
    answered,   ///< an attempt of a request ended for its caller
    closed,     ///< the caller makes no further attempt of the request
    leaving,    ///< the VM list shows that an endpoint leaves
    live,       ///< the VM list shows that an endpoint is back
    stopping,   ///< a planned stop of an entry began
    exited,     ///< the process of an entry ended
    launched,   ///< the process of an entry started
    document    ///< an entry reported which document it has in force
};

/// How an attempt ended for its caller.
enum class attempt_end : std::uint8_t {
    done,
    accepted, ///< the job was accepted and is not finished yet
    not_run,
    failed,
    unknown,
    rejected,   ///< HTTP status 4xx
    timed_out,  ///< no answer within the caller's timeout
    cut,        ///< the connection ended before the whole answer
    unconnected ///< the request never left the caller
};

struct observation {
    observation_kind kind = observation_kind::start;
    std::int64_t time_us = 0;
    std::string place;   ///< worker, executor, entry or VM
    std::string request; ///< id of the request, the same for all retries with its key
    std::string task;    ///< workers: request id, '/', index
    std::string run;     ///< executors: id of one execution, unique in the journal
    std::string organisation;
    std::string work_class;
    bool idempotent = true;
    bool on_worker = false;
    sesamesill::resources held; ///< workers: held by all tasks, including this one
    sesamesill::resources size; ///< workers: total size
    std::int64_t busy = 0;      ///< executors: running calls, including this one
    std::int64_t slots = 0;     ///< executors: number of slots
    std::int64_t attempt = 0;   ///< callers: number of the attempt within its request
    attempt_end ending = attempt_end::done;
    std::string expected_digest; ///< callers: digest of the answer that belongs to the request
    std::string actual_digest;   ///< callers: digest of the answer that came
    std::int64_t status = 0;     ///< exited: exit status
    std::uint64_t version = 0;   ///< document: its version
    std::string digest;          ///< document: digest of its content
    std::string closed_as;       ///< closed: how the caller counts the request
};

/// Returns the observation in a journal line, or nothing if the line has no event of these kinds.
std::optional<observation> observation_from(const std::string& line);

std::string_view name_of(attempt_end ending);

} // namespace scenario
