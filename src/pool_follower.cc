// Reads a log of keyed records and keeps the newest record of each key.

#include "sesamesill/pool_follower.h"

#include <algorithm>

#include "sesamesill/log.h"

namespace sesamesill::pool {
namespace {

constexpr millis read_timeout{900}; ///< without the wait; a read takes 4 ms, if slow 250 ms
/// A read that takes longer than this halves the size of the next one, which keeps a slow link free
/// for other messages; a read below `quick_read` doubles it.
constexpr millis slow_read{300};
constexpr millis quick_read{60};
constexpr std::size_t failed_page_divisor = 4; ///< of the page size, after a failed read
constexpr std::size_t min_page_bytes = std::size_t{16} * 1024;
constexpr millis initial_backoff{100};
constexpr millis max_backoff{500}; ///< a new configuration must apply within 2 s after an outage

} // namespace

keyed_follower::keyed_follower(event_loop& loop, record_log& log, std::string name,
                               follow_timing timing,
                               std::function<void(const keyed_record&)> on_record)
    : loop_(loop), log_(log), name_(std::move(name)), timing_(timing),
      on_record_(std::move(on_record))
{
}

keyed_follower::~keyed_follower()
{
    *alive_ = false;
}

void keyed_follower::start()
{
    read_next();
}

void keyed_follower::read_now()
{
    read_requested_ = reading_;
    read_next();
}

void keyed_follower::resume()
{
    paused_ = false;
    read_next();
}

void keyed_follower::set_timing(follow_timing timing)
{
    timing_ = timing;
    if (next_read_at_ && !failing_) {
        schedule_read(timing_.pause);
    }
}

/// Schedules the next read, unless an earlier one is scheduled.
void keyed_follower::schedule_read(millis delay)
{
    const time_point at = boot_clock::now() + delay;
    if (next_read_at_ && *next_read_at_ <= at) {
        return;
    }
    next_read_at_ = at;
    loop_.after(delay, [this, at, alive = alive_] {
        if (*alive && next_read_at_ == at) { // no earlier read was scheduled since
            next_read_at_.reset();
            read_next();
        }
    });
}

void keyed_follower::on_failure(const error& why)
{
    if (!failing_) {
        log_event(log_level::warning, "log_lost",
                  {{"log", name_}, {"reason", why.reason}, {"peer", why.peer}});
    }
    const bool lost = !failing_;
    failing_ = true;
    page_bytes_ = std::max(min_page_bytes, page_bytes_ / failed_page_divisor);
    if (lost && on_lost_) {
        on_lost_();
    }
    backoff_ = std::min(max_backoff, std::max(initial_backoff, backoff_ * 2));
    schedule_read(backoff_);
}

/// Handles the answer to a read that was begun at `begun`.
void keyed_follower::on_success(time_point begun)
{
    if (failing_) {
        log_event(log_level::info, "log_regained",
                  {{"log", name_}, {"next", static_cast<std::int64_t>(next_)}});
    }
    failing_ = false;
    backoff_ = millis(0);
    last_read_ = begun;
    last_read_duration_ = millis(to_millis(boot_clock::now() - begun));
    if (last_read_duration_ > timing_.max_wait + slow_read) {
        page_bytes_ = std::max(min_page_bytes, page_bytes_ / 2);
    }
    else if (last_read_duration_ < quick_read) {
        page_bytes_ = std::min(max_read_bytes, 2 * page_bytes_);
    }
}

/// Returns whether records from `next_` on can't be read, because they were trimmed or because the
/// page lacks them. Then the newest records are loaded, so that none is skipped.
bool keyed_follower::needs_load(const read_result& r)
{
    const bool lacks_records = r.ok && r.records.empty() && r.end > next_;
    if (!r.trimmed && !lacks_records) {
        return false;
    }
    log_event(log_level::info, "log_reload",
              {{"log", name_},
               {"next", static_cast<std::int64_t>(next_)},
               {"end", static_cast<std::int64_t>(r.end)},
               {"reason", r.trimmed ? "trimmed" : "a page without the records that the log has"}});
    loaded_ = false;
    return true;
}

void keyed_follower::read_next()
{
    if (paused_ || reading_) {
        return;
    }
    if (!loaded_ || timing_.reload) {
        loading_.clear();
        load_started_ = boot_clock::now();
        load("");
        return;
    }
    reading_ = true;
    read_started_ = boot_clock::now();
    log_.read(next_, page_bytes_, timing_.max_wait, timing_.max_wait + read_timeout,
              [this, alive = alive_](const read_result& r) {
                  if (!*alive) {
                      return;
                  }
                  reading_ = false;
                  if (needs_load(r)) {
                      read_next();
                      return;
                  }
                  if (!r.ok) {
                      on_failure(r.why);
                      return;
                  }
                  on_success(read_started_);
                  if (!paused_) {
                      const time_point started = read_started_;
                      apply_records(r.records);
                      if (on_complete_ && next_ >= r.end) {
                          on_complete_(started);
                      }
                  }
                  schedule_read(next_ < r.end || read_requested_ ? millis(0) : timing_.pause);
                  read_requested_ = false;
              });
}

void keyed_follower::load(const std::string& after)
{
    reading_ = true;
    read_started_ = boot_clock::now();
    log_.newest(after, read_timeout, [this, after, alive = alive_](const newest_result& r) {
        if (!*alive) {
            return;
        }
        reading_ = false;
        if (!r.ok) {
            on_failure(r.why);
            return;
        }
        on_success(read_started_);
        if (after.empty()) {
            load_end_ = r.end; // records appended during the load are read again from here
        }
        for (const keyed_record& record : r.records) {
            const auto known = values_.find(record.key);
            const bool is_new = known == values_.end() || known->second.offset < record.offset;
            // Of a record that is known, only the key is needed: it hasn't been removed.
            loading_.insert_or_assign(loading_.end(), record.key, // in key order
                                      is_new ? record : keyed_record{record.key, "", 0});
        }
        if (r.more && !r.records.empty()) {
            load(r.records.back().key);
            return;
        }
        finish_load();
        if (on_complete_) {
            on_complete_(load_started_);
        }
        if (!timing_.reload) {
            read_next();
            return;
        }
        schedule_read(read_requested_ ? millis(0) : timing_.pause);
        read_requested_ = false;
    });
}

void keyed_follower::finish_load()
{
    std::vector<keyed_record> removed;
    for (const std::pair<const std::string, keyed_record>& previous : values_) {
        if (loading_.count(previous.first) == 0) {
            removed.push_back({previous.first, "", load_end_});
        }
    }
    if (!loaded_) {
        log_event(log_level::info, "log_loaded",
                  {{"log", name_},
                   {"records", static_cast<std::int64_t>(loading_.size())},
                   {"took_ms", to_millis(boot_clock::now() - load_started_)}});
    }
    loaded_ = true;
    applying_load_ = true;
    next_ = load_end_;
    for (const keyed_record& record : removed) {
        apply(record);
    }
    std::map<std::string, keyed_record> loaded;
    loaded.swap(loading_);
    while (!loaded.empty()) { // each copy is dropped before the next one is made
        const keyed_record record = std::move(loaded.begin()->second);
        loaded.erase(loaded.begin());
        apply(record);
    }
    applying_load_ = false;
}

void keyed_follower::apply(const keyed_record& record)
{
    const auto known = values_.find(record.key);
    if (known != values_.end() && known->second.offset >= record.offset) {
        return; // known already, or a page of the load contained a newer record of the key
    }
    if (record.value.empty()) {
        values_.erase(record.key);
    }
    else {
        values_[record.key] = record;
    }
    on_record_(record);
}

void keyed_follower::apply_records(const std::vector<keyed_record>& records)
{
    for (const keyed_record& record : records) {
        if (record.offset >= next_) {
            next_ = record.offset + 1;
            last_record_ = boot_clock::now();
            apply(record);
        }
    }
}

void keyed_follower::catch_up(millis timeout, std::function<void(bool)> done)
{
    if (!loaded_) {
        done(false);
        return;
    }
    const time_point begun = boot_clock::now();
    log_.read(next_, page_bytes_, millis(0), timeout,
              [this, timeout, begun, alive = alive_, done = std::move(done)](const read_result& r) {
                  if (!*alive) {
                      return;
                  }
                  if (needs_load(r)) {
                      read_next();
                      done(false);
                      return;
                  }
                  if (!r.ok) {
                      done(false);
                      return;
                  }
                  on_success(begun);
                  apply_records(r.records);
                  if (next_ < r.end) {
                      catch_up(timeout, done);
                      return;
                  }
                  if (on_complete_) {
                      on_complete_(begun);
                  }
                  done(true);
              });
}

} // namespace sesamesill::pool
