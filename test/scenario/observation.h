// What the stand-ins and the runner saw: one typed observation for each line of their journals.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sesamesill/resources.h"

namespace scenario {

enum class observation_kind : std::uint8_t {
    start,      ///< a worker or executor was given work, and runs it
    end,        ///< the work holds its place no more
    checkpoint, ///< likewise, and the task may start again from here
    refused,    ///< a draining executor was given work, and did not start it
    sent,       ///< a caller sent an attempt of a request
    answered,   ///< that attempt ended
    closed,     ///< the caller is done with the request
    leaving,    ///< the VM list shows that an endpoint leaves
    live,       ///< the VM list shows that an endpoint is back
    stopping,   ///< a planned stop of an entry began
    exited,     ///< that entry's process ended
    launched,   ///< an entry's process began
    document    ///< an entry was asked which document it has in force
};

/// How an attempt ended for its caller.
enum class attempt_end : std::uint8_t {
    done,
    accepted, ///< a job was taken in and goes on
    not_run,
    failed,
    unknown,
    rejected,   ///< 4xx
    timed_out,  ///< no answer within the caller's patience
    cut,        ///< the connection ended before the whole answer
    unconnected ///< the request never left the caller
};

struct observation {
    observation_kind kind = observation_kind::start;
    std::int64_t time_us = 0;
    std::string place;   ///< worker, executor, entry or VM
    std::string request; ///< id of the request, the same for each retry of its key
    std::string task;    ///< workers: request id, '/', index
    std::string run;     ///< executors: one execution, unique in the journal
    std::string organisation;
    std::string work_class;
    bool idempotent = true;
    bool on_worker = false;
    sesamesill::resources held; ///< workers: by all tasks, this one included
    sesamesill::resources size; ///< workers
    std::int64_t busy = 0;      ///< executors: calls, this one included
    std::int64_t slots = 0;     ///< executors
    std::int64_t attempt = 0;   ///< callers: number of the attempt within its request
    attempt_end ending = attempt_end::done;
    std::string expected_digest; ///< callers: digest of the answer that belongs to the request
    std::string actual_digest;   ///< callers: digest of the answer that came
    std::int64_t status = 0;     ///< exited
    std::uint64_t version = 0;   ///< document
    std::string digest;          ///< document
    std::string closed_as;       ///< closed: how the caller counts the request
};

/// Returns the observation, or nothing where the line says nothing that is checked.
std::optional<observation> observation_from(const std::string& line);

std::string_view name_of(attempt_end ending);

} // namespace scenario
