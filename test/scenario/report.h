// Computes the figures of a run from the journals: endings, waiting time, packing.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <json/json.h>

#include "observation.h"

namespace scenario {

class run_report {
public:
    void record(const observation& seen);
    /// Returns the number of requests that were accepted or sent and never got an ending.
    std::int64_t lost() const;
    /// Returns totals and the waiting time by class, for scripts.
    Json::Value to_json() const;
    /// Returns the figures as a table for people to read.
    std::string to_text() const;

private:
    struct row {
        std::int64_t sent = 0;
        std::map<std::string, std::int64_t> endings;
        std::vector<std::int64_t> waits_us; ///< time from the first send to the first start
    };

    struct worker_load {
        double held = 0; ///< cpu_millis held by the tasks
        double size = 0;
    };

    using row_key = std::pair<std::string, std::string>; ///< class and organisation

    void on_start(const observation& seen);
    void on_worker(const observation& seen);
    std::int64_t count(const std::string& ending) const;
    double packing() const;

    struct request_state {
        row_key key;
        std::int64_t sent_us = 0;
        bool closed = false;
    };

    std::map<std::string, request_state> requests_;
    std::map<std::string, std::int64_t> first_starts_; ///< request or task: time of its first start
    std::map<row_key, row> rows_;
    std::map<std::string, worker_load> workers_;
    double held_time_ = 0; ///< integral of held over time, on workers that hold something
    double size_time_ = 0;
    std::int64_t last_us_ = 0;
};

} // namespace scenario
