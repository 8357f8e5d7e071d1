// The configuration of the pool's benchmarks.

#pragma once

#include "sesamesill/pool_ports.h"

namespace bench {

/// Returns a configuration with one queue, which has this target for the latency of its jobs.
inline sesamesill::pool::configuration one_queue(sesamesill::millis latency_target)
{
    sesamesill::pool::configuration config;
    config.version = 1;
    sesamesill::pool::queue_policy queue;
    queue.name = "q";
    queue.service = "s";
    queue.max_attempts = 3;
    queue.stretch = 4;
    queue.latency_target = latency_target;
    config.queues = {queue};
    return config;
}

} // namespace bench
