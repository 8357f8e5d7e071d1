// Counts endings and computes percentiles of the waiting time.

#include "report.h"

#include <algorithm>
#include <cstdio>

namespace scenario {
namespace {

using wait_table = std::map<std::pair<std::string, std::string>, std::vector<std::int64_t>>;

double percentile_ms(std::vector<std::int64_t> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t rank =
        static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[rank]) / 1000.0;
}

std::int64_t ending_in(const std::map<std::string, std::int64_t>& endings, const std::string& name)
{
    const auto found = endings.find(name);
    return found == endings.end() ? 0 : found->second;
}

} // namespace

void run_report::record(const observation& seen)
{
    if (seen.kind == observation_kind::sent && seen.attempt == 1) {
        requests_[seen.request] = {{seen.work_class, seen.organisation}, seen.time_us, false};
        ++rows_[{seen.work_class, seen.organisation}].sent;
    }
    else if (seen.kind == observation_kind::closed) {
        requests_[seen.request].closed = true;
        ++rows_[{seen.work_class, seen.organisation}].endings[seen.closed_as];
    }
    else if (seen.kind == observation_kind::start) {
        on_start(seen);
    }
    if (seen.on_worker) {
        on_worker(seen);
    }
}

void run_report::on_start(const observation& seen)
{
    first_starts_.emplace(seen.task.empty() ? seen.request : seen.task, seen.time_us);
}

void run_report::on_worker(const observation& seen)
{
    if (last_us_ > 0 && seen.time_us > last_us_) {
        const double passed = static_cast<double>(seen.time_us - last_us_);
        for (const std::pair<const std::string, worker_load>& w : workers_) {
            held_time_ += w.second.held * passed;
            size_time_ += w.second.held > 0 ? w.second.size * passed : 0.0;
        }
    }
    last_us_ = std::max(last_us_, seen.time_us);
    workers_[seen.place] = {static_cast<double>(seen.held.cpu_millis),
                            static_cast<double>(seen.size.cpu_millis)};
}

std::int64_t run_report::count(const std::string& ending) const
{
    std::int64_t sum = 0;
    for (const std::pair<const row_key, row>& r : rows_) {
        sum += ending_in(r.second.endings, ending);
    }
    return sum;
}

std::int64_t run_report::lost() const
{
    std::int64_t open = 0;
    for (const std::pair<const std::string, request_state>& r : requests_) {
        open += r.second.closed ? 0 : 1;
    }
    return open + count("lost");
}

double run_report::packing() const
{
    return size_time_ > 0 ? held_time_ / size_time_ : 0.0;
}

Json::Value run_report::to_json() const
{
    wait_table waits;
    std::map<std::string, std::vector<std::int64_t>> by_class;
    for (const std::pair<const std::string, std::int64_t>& start : first_starts_) {
        const auto request = requests_.find(start.first.substr(0, start.first.find('/')));
        if (request != requests_.end()) {
            const std::int64_t wait = start.second - request->second.sent_us;
            waits[request->second.key].push_back(wait);
            by_class[request->second.key.first].push_back(wait);
        }
    }
    Json::Value all;
    for (const char* ending :
         {"done", "not_run", "failed", "unknown", "unreached", "rejected", "cancelled"}) {
        all[ending] = static_cast<Json::Int64>(count(ending));
    }
    std::int64_t sent = 0;
    for (const std::pair<const row_key, row>& r : rows_) {
        sent += r.second.sent;
        Json::Value line;
        line["class"] = r.first.first;
        line["organisation"] = r.first.second;
        line["sent"] = static_cast<Json::Int64>(r.second.sent);
        for (const char* ending : {"done", "not_run", "failed", "unknown", "lost", "unreached",
                                   "rejected", "cancelled"}) {
            line[ending] = static_cast<Json::Int64>(ending_in(r.second.endings, ending));
        }
        line["wait_p50_ms"] = percentile_ms(waits[r.first], 0.5);
        line["wait_p99_ms"] = percentile_ms(waits[r.first], 0.99);
        all["rows"].append(line);
        Json::Value& total = all["classes"][r.first.first];
        for (const char* figure : {"sent", "done", "not_run", "unknown", "lost"}) {
            total[figure] = total[figure].asInt64() + line[figure].asInt64();
        }
    }
    for (const std::pair<const std::string, std::vector<std::int64_t>>& c : by_class) {
        all["waiting"][c.first]["p50_ms"] = percentile_ms(c.second, 0.5);
        all["waiting"][c.first]["p99_ms"] = percentile_ms(c.second, 0.99);
    }
    all["sent"] = static_cast<Json::Int64>(sent);
    all["lost"] = static_cast<Json::Int64>(lost());
    all["packing"] = packing();
    return all;
}

std::string run_report::to_text() const
{
    const Json::Value all = to_json();
    std::string text;
    char line[200];
    std::snprintf(line, sizeof line, "%-10s %-10s %7s %7s %7s %7s %7s %5s %9s %9s\n", "class",
                  "organisation", "sent", "done", "not_run", "failed", "unknown", "lost",
                  "wait p50", "wait p99");
    text += line;
    for (const Json::Value& r : all["rows"]) {
        std::snprintf(line, sizeof line,
                      "%-10s %-10s %7lld %7lld %7lld %7lld %7lld %5lld %6.1f ms %6.1f ms\n",
                      r["class"].asCString(), r["organisation"].asCString(),
                      static_cast<long long>(r["sent"].asInt64()),
                      static_cast<long long>(r["done"].asInt64()),
                      static_cast<long long>(r["not_run"].asInt64()),
                      static_cast<long long>(r["failed"].asInt64()),
                      static_cast<long long>(r["unknown"].asInt64()),
                      static_cast<long long>(r["lost"].asInt64()), r["wait_p50_ms"].asDouble(),
                      r["wait_p99_ms"].asDouble());
        text += line;
    }
    std::snprintf(line, sizeof line, "rejected %lld, cancelled %lld, no entry reached %lld\n",
                  static_cast<long long>(all["rejected"].asInt64()),
                  static_cast<long long>(all["cancelled"].asInt64()),
                  static_cast<long long>(all["unreached"].asInt64()));
    text += line;
    std::snprintf(line, sizeof line, "packing of the workers in use: %.1f%% of their processors\n",
                  all["packing"].asDouble() * 100.0);
    return text + line;
}

} // namespace scenario
