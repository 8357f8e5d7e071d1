// Records that name the workers in use.

#include "sesamesill/pool_roster.h"

#include "pool_keys.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {

bool is_same_worker(const named_worker& a, const named_worker& b)
{
    return a.machine == b.machine && a.address == b.address;
}

named_worker named_worker_of(const worker_entry& entry)
{
    return {entry.machine, entry.address, entry.start_time_ms};
}

std::string encode(const named_worker& worker)
{
    Json::Value value;
    value["machine"] = worker.machine;
    value["address"] = to_string(worker.address);
    value["start_time_ms"] = static_cast<Json::Int64>(worker.start_time_ms);
    return to_text(value);
}

std::optional<named_worker> named_worker_from(const std::string& value)
{
    const std::optional<Json::Value> parsed = json_from(value);
    if (!parsed || !parsed->isObject() || !(*parsed)["machine"].isString() ||
        !(*parsed)["address"].isString() || !(*parsed)["start_time_ms"].isInt64()) {
        return std::nullopt;
    }
    const std::optional<endpoint> address = endpoint_from((*parsed)["address"].asString());
    if (!address) {
        return std::nullopt;
    }
    return named_worker{(*parsed)["machine"].asString(), *address,
                        (*parsed)["start_time_ms"].asInt64()};
}

void worker_roster::add(const std::string& id, const named_worker& worker)
{
    if (names(id, worker)) {
        return;
    }
    const auto sent = in_flight_.find(id);
    const bool on_its_way =
        sent != in_flight_.end() && sent->second && is_same_worker(*sent->second, worker);
    if (on_its_way && waiting_.count(id) == 0) {
        return;
    }
    waiting_[id] = worker;
}

void worker_roster::remove(const std::string& id)
{
    if (stored_.erase(id) > 0 || waiting_.count(id) > 0 || in_flight_.count(id) > 0) {
        waiting_[id] = std::nullopt;
    }
}

bool worker_roster::names(const std::string& id, const named_worker& worker) const
{
    const auto known = stored_.find(id);
    return known != stored_.end() && is_same_worker(known->second, worker) &&
           waiting_.count(id) == 0 && in_flight_.count(id) == 0;
}

std::vector<keyed_record> worker_roster::take_records()
{
    std::vector<keyed_record> records;
    if (!in_flight_.empty()) {
        return records;
    }
    in_flight_.swap(waiting_);
    for (const std::pair<const std::string, std::optional<named_worker>>& change : in_flight_) {
        records.push_back(
            {worker_key(change.first), change.second ? encode(*change.second) : "", 0});
    }
    return records;
}

void worker_roster::on_written(bool stored)
{
    for (const std::pair<const std::string, std::optional<named_worker>>& change : in_flight_) {
        if (!stored) {
            waiting_.insert(change); // a later change of the same worker takes its place
        }
        else if (change.second) {
            stored_[change.first] = *change.second;
        }
        else {
            stored_.erase(change.first);
        }
    }
    in_flight_.clear();
}

} // namespace sesamesill::pool
