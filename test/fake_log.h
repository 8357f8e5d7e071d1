// A log in memory for tests: loses answers, refuses, stores late, is trimmed or unavailable.

#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sesamesill/pool_ports.h"

namespace sesamesill::pool::testing {

/// A loop in simulated time: what a test checks doesn't depend on the machine's load.
struct simulated_loop : event_loop {
    simulated_loop() { simulate_time(); }
};

/// A log in memory. Each append uses up the first of `faults`.
class fake_log : public record_log {
public:
    /// With `no_answer` an append is lost, and the caller learns so at its timeout.
    enum class fault { none, lost_answer, lost_request, refused, delayed, no_answer };

    explicit fake_log(event_loop& loop) : loop_(loop) {}

    void append(const std::vector<keyed_record>& added, std::uint64_t at, millis timeout,
                std::function<void(append_result)> done) override
    {
        ++appends;
        fault now = fault::none;
        if (!faults.empty()) {
            now = faults.front();
            faults.pop_front();
        }
        append_result r;
        if (now == fault::refused) {
            r.verdict = append_verdict::refused;
        }
        else if (now == fault::no_answer) {
            loop_.after(timeout, [done = std::move(done)] { done(append_result{}); });
            return;
        }
        else if (now == fault::lost_request) {
            r.verdict = append_verdict::unknown;
        }
        else if (now == fault::delayed) {
            loop_.after(timeout * 2, [this, added, at] { store(added, at); });
            r.verdict = append_verdict::unknown;
        }
        else if (exceeds_limits(added)) {
            r.verdict = append_verdict::rejected;
        }
        else {
            r = store(added, at);
            if (now == fault::lost_answer) {
                r = {};
            }
        }
        loop_.after(millis(2), [r, done = std::move(done)] { done(r); });
    }

    void read(std::uint64_t from, std::size_t max_bytes, millis /*wait*/, millis timeout,
              std::function<void(read_result)> done) override
    {
        read_result r;
        r.end = records.size();
        r.trimmed = from < first_retained;
        r.ok = !r.trimmed && !unavailable;
        std::size_t bytes = 0;
        const std::uint64_t shown = std::exchange(hides_next_page, false) ? from : records.size();
        for (std::uint64_t i = from;
             r.ok && i < shown && bytes < std::min(max_bytes, max_read_bytes); ++i) {
            r.records.push_back(records[i]);
            bytes += records[i].value.size();
        }
        bytes_read += bytes;
        const millis transfer(bytes_per_ms > 0 ? static_cast<std::int64_t>(bytes / bytes_per_ms)
                                               : 0);
        if (transfer > timeout) {
            loop_.after(timeout, [done = std::move(done)] { done(read_result{}); });
            return;
        }
        loop_.after(millis(1) + transfer, [r, done = std::move(done)] { done(r); });
    }

    void newest(const std::string& after, millis /*timeout*/,
                std::function<void(newest_result)> done) override
    {
        constexpr std::size_t page_size = 2;
        loads += after.empty() ? 1 : 0;
        std::map<std::string, keyed_record> latest;
        for (const keyed_record& r : records) {
            latest[r.key] = r;
        }
        newest_result result;
        result.ok = !unavailable;
        result.end = records.size();
        for (auto r = latest.upper_bound(after); r != latest.end(); ++r) {
            if (r->second.value.empty()) {
                continue;
            }
            if (result.records.size() == page_size) {
                result.more = true;
                break;
            }
            result.records.push_back(r->second);
        }
        loop_.after(millis(1), [result, done = std::move(done)] { done(result); });
    }

    append_result store(const std::vector<keyed_record>& added, std::uint64_t at)
    {
        append_result r;
        r.end = records.size();
        if (at != records.size()) {
            r.verdict = append_verdict::conflict;
            return r;
        }
        r.verdict = append_verdict::stored;
        r.first = at;
        for (keyed_record record : added) {
            record.offset = records.size();
            records.push_back(record);
        }
        r.end = records.size();
        return r;
    }

    std::vector<keyed_record> records;
    std::deque<fault> faults;
    std::size_t max_record_bytes = 262144; ///< a larger record is refused, with its whole append
    std::size_t max_append_bytes = 2097152;
    std::size_t max_read_bytes = 1048576; ///< of one read, whatever the caller asks for
    std::uint64_t first_retained = 0;
    bool unavailable = false;
    std::size_t bytes_per_ms = 0; ///< of the link that answers to reads pass; 0 is unlimited
    std::size_t bytes_read = 0;
    int appends = 0;
    bool hides_next_page = false; ///< the next read has no records, whatever its end says
    int loads = 0;                ///< reads of the newest records from the first key on

private:
    bool exceeds_limits(const std::vector<keyed_record>& added) const
    {
        std::size_t total = 0;
        bool any = false;
        for (const keyed_record& r : added) {
            const std::size_t bytes = 1 + r.key.size() + r.value.size();
            total += bytes + 4;
            any = any || bytes > max_record_bytes;
        }
        return any || total > max_append_bytes;
    }

    event_loop& loop_;
};

} // namespace sesamesill::pool::testing
