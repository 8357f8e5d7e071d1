// Stand-in for the platform's store: topics of records, conditional appends, the newest record of
// each key, long-polling reads and fault injection.

#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "sesamesill/http.h"

namespace standin {

using namespace sesamesill;

struct store_faults {
    bool refuses = false;                 ///< answers 503
    bool silent = false;                  ///< accepts calls but never replies
    millis delay{4};                      ///< of each reply
    double lost_answers = 0;              ///< share of appends that are applied without a reply
    bool lost_answers_apply_late = false; ///< these appends are applied after `late`
    static constexpr millis late{1500};
};

class platform_store {
public:
    platform_store(event_loop& loop, std::uint64_t seed);

    void serve(http_server& server);
    /// Writes a record regardless of faults, for workers and operators.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Returns the newest value of the key, or an empty string.
    std::string value_of(const std::string& topic, const std::string& key) const;
    void set_faults(const store_faults& faults) { faults_ = faults; }
    /// Returns whether faults keep all calls from the store.
    bool is_down() const { return faults_.refuses || faults_.silent; }
    /// Drops all records of the log but keeps the newest record of each key.
    void trim(const std::string& topic);
    std::uint64_t calls() const { return calls_; }

private:
    struct record {
        std::string key;
        std::string value;
        std::uint64_t offset = 0;
    };

    /// Invariant: `records` holds the offsets from `first` up to, but excluding, `end` without
    /// gaps.
    struct topic_log {
        std::uint64_t first = 0;
        std::uint64_t end = 0;
        std::deque<record> records;
        std::map<std::string, record> newest;
    };

    struct waiting_read {
        std::string topic;
        std::uint64_t from = 0;
        std::size_t max_bytes = 0;
        time_point until;
        http_respond respond;
    };

    bool apply_call_faults(const http_respond& respond);
    void answer(const http_respond& respond, http_reply reply);
    void append(const http_request& request, const http_respond& respond);
    http_reply append_now(const http_request& request);
    void add(topic_log& log, const std::string& key, const std::string& value);
    void read(const http_request& request, const http_respond& respond);
    void newest(const http_request& request, const http_respond& respond);
    void wake_readers();
    static http_reply read_from(const topic_log& log, std::uint64_t from, std::size_t max_bytes);

    event_loop& loop_;
    std::mt19937_64 random_;
    store_faults faults_;
    std::map<std::string, topic_log> topics_;
    std::list<waiting_read> waiting_;
    std::uint64_t calls_ = 0;
};

} // namespace standin
