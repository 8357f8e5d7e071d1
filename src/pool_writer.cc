// Group commit to a log of keyed records. An append whose answer is lost is sent again; if the log
// has moved by then, the writer reads it to learn whether its own append or another leader moved
// it.

#include "sesamesill/pool_writer.h"

#include <algorithm>

#include "sesamesill/log.h"
#include "sesamesill/metrics.h"

namespace sesamesill::pool {
namespace {

constexpr int batch_divisor = 2;               ///< of the store's limit of an append
constexpr millis min_timeout{160};             ///< an append usually takes 6 to 10 ms
constexpr millis max_timeout{1500};            ///< an append to a slow store takes about 400 ms
constexpr double smoothed_time_multiplier = 5; ///< an append's timeout, in average durations
constexpr int max_timeout_factor = 8; ///< by which retries of one batch may extend the timeout
constexpr double min_timeout_per_byte_ms = 0.002; ///< of a batch
constexpr double append_share = 0.4; ///< of the link: an append's timeout allows for other messages
/// Between two reads that check the log's end. Reads overlap, so that the first one after an outage
/// is answered soon, while a slow store has `max_timeout` for each.
constexpr millis check_interval{100};
/// If the store has been silent for longer than this, records with a send deadline are given up
/// before it, so that their clients can retry after the outage.
constexpr millis outage_limit{400};
constexpr millis initial_backoff{40};
constexpr millis max_backoff{300};

/// Returns the size of the record in the store's format.
std::size_t stored_bytes(const keyed_record& r)
{
    constexpr std::size_t lengths = 5; ///< of the record and of its key
    return lengths + r.key.size() + r.value.size();
}

std::size_t stored_bytes(const std::vector<keyed_record>& records)
{
    std::size_t bytes = 0;
    for (const keyed_record& r : records) {
        bytes += stored_bytes(r);
    }
    return bytes;
}

/// Splits the records, in order, into runs of at most `max_bytes`; a larger record is alone.
std::vector<std::vector<keyed_record>> split(std::vector<keyed_record> records,
                                             std::size_t max_bytes)
{
    std::vector<std::vector<keyed_record>> parts(1);
    std::size_t bytes = 0;
    for (keyed_record& r : records) {
        const std::size_t added = stored_bytes(r);
        if (bytes + added > max_bytes && !parts.back().empty()) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += added;
        parts.back().push_back(std::move(r));
    }
    return parts;
}

} // namespace

record_writer::record_writer(
    event_loop& loop, record_log& log, std::uint64_t end, std::function<void()> deposed,
    std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_stored,
    double link_bytes_per_ms, std::size_t max_append_bytes)
    : loop_(loop), log_(log), end_(end), on_deposed_(std::move(deposed)),
      on_stored_(std::move(on_stored)),
      timeout_per_byte_ms_(
          std::max(min_timeout_per_byte_ms,
                   link_bytes_per_ms > 0 ? 1 / (append_share * link_bytes_per_ms) : 0)),
      max_batch_bytes_(max_append_bytes / batch_divisor), last_stored_(boot_clock::now())
{
}

record_writer::~record_writer()
{
    *alive_ = false;
    closed_ = true;
    for (const entry& e : sent_) {
        e.done(write_outcome::unknown);
    }
    for (const entry& e : waiting_) {
        e.done(write_outcome::deposed);
    }
}

millis record_writer::failing_for(time_point now) const
{
    return failing_ ? millis(to_millis(now - failing_since_)) : millis(0);
}

millis record_writer::unreachable_for(time_point now) const
{
    return checking_since_ ? millis(to_millis(now - *checking_since_)) : millis(0);
}

millis record_writer::rejected_for(time_point now) const
{
    return failing_ && rejected_ ? millis(to_millis(now - rejected_since_)) : millis(0);
}

/// Returns the size of the batch in the store's format.
std::size_t record_writer::batch_bytes() const
{
    return stored_bytes(batch_);
}

millis record_writer::append_timeout() const
{
    const millis transfer(
        static_cast<std::int64_t>(static_cast<double>(batch_bytes()) * timeout_per_byte_ms_));
    const millis expected(
        static_cast<std::int64_t>(smoothed_append_ms_ * smoothed_time_multiplier));
    return std::min(max_timeout, (std::max(min_timeout, expected) + transfer) * timeout_factor_);
}

void record_writer::add(std::vector<keyed_record> records, millis send_timeout,
                        const std::function<void(write_outcome)>& done)
{
    if (closed_) {
        done(write_outcome::deposed);
        return;
    }
    std::vector<std::vector<keyed_record>> parts = split(std::move(records), max_batch_bytes_);
    const std::shared_ptr<write_outcome> outcome =
        std::make_shared<write_outcome>(write_outcome::stored);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool is_last = i + 1 == parts.size();
        entry e;
        e.records = std::move(parts[i]);
        e.never_expires = send_timeout == millis(0);
        e.send_deadline = boot_clock::now() + send_timeout;
        e.done = [outcome, is_last, done](write_outcome part) {
            *outcome = *outcome == write_outcome::stored ? part : *outcome;
            if (is_last) { // the outcomes of the parts come in order
                done(*outcome);
            }
        };
        waiting_.push_back(std::move(e));
    }
    flush();
}

void record_writer::pause_until(time_point until)
{
    paused_until_ = until;
    const micros remaining = until - boot_clock::now();
    loop_.after(millis(to_millis(remaining) + 1), [this, alive = alive_] {
        if (!*alive) {
            return;
        }
        if (boot_clock::now() < paused_until_) {
            pause_until(paused_until_); // the timer fired early, or the pause was extended
            return;
        }
        flush();
    });
}

void record_writer::drop_expired(time_point now)
{
    std::vector<entry> dropped;
    for (auto e = waiting_.begin(); e != waiting_.end();) {
        if (!e->never_expires && now >= e->send_deadline) {
            dropped.push_back(std::move(*e));
            e = waiting_.erase(e);
        }
        else {
            ++e;
        }
    }
    for (const entry& e : dropped) {
        e.done(write_outcome::not_stored);
    }
}

void record_writer::flush()
{
    if (in_flight_ || closed_ || !sent_.empty() || boot_clock::now() < paused_until_) {
        return;
    }
    drop_expired(boot_clock::now());
    if (waiting_.empty()) {
        return;
    }
    const std::size_t max_count = single_entries_ > 0 ? 1 : waiting_.size();
    single_entries_ -= single_entries_ > 0 ? 1 : 0;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < max_count) {
        bytes += stored_bytes(waiting_[count].records);
        if (count > 0 && bytes > max_batch_bytes_) {
            break;
        }
        const std::vector<keyed_record>& added = waiting_[count].records;
        batch_.insert(batch_.end(), added.begin(), added.end());
        ++count;
    }
    const auto batch_end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
    sent_.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(batch_end));
    waiting_.erase(waiting_.begin(), batch_end);
    maybe_stored_ = false;
    timeout_factor_ = 1;
    send();
}

void record_writer::send()
{
    in_flight_ = true;
    append_started_ = boot_clock::now();
    ++appends_;
    log_.append(batch_, end_, append_timeout(), [this, alive = alive_](const append_result& r) {
        if (*alive) {
            in_flight_ = false;
            on_result(r);
        }
    });
}

void record_writer::retry(millis delay)
{
    in_flight_ = true; // keeps `flush` from sending another batch before the retry
    loop_.after(delay, [this, alive = alive_] {
        if (*alive && !closed_) {
            drop_expired(boot_clock::now());
            send();
        }
    });
}

void record_writer::on_result(const append_result& r)
{
    const time_point now = boot_clock::now();
    const double elapsed_ms = static_cast<double>(to_millis(now - append_started_));
    process_metrics()
        .distribution("sesamesill_pool_append_seconds", "Appends to the store",
                      {{"stored", r.verdict == append_verdict::stored ? "yes" : "no"}})
        .observe(elapsed_ms / 1000);
    if (r.verdict == append_verdict::stored) {
        smoothed_append_ms_ += (elapsed_ms - smoothed_append_ms_) / 8;
        end_ = r.end;
        for (std::size_t i = 0; i < batch_.size(); ++i) {
            batch_[i].offset = r.first + i;
        }
        finish_batch(write_outcome::stored);
        return;
    }
    if (r.verdict == append_verdict::conflict) {
        check_log_end();
        return;
    }
    if (r.verdict == append_verdict::rejected) {
        isolate_rejected();
        return;
    }
    if (!failing_) {
        failing_ = true;
        failing_since_ = append_started_;
        log_event(log_level::warning, "append_failing",
                  {{"reason", r.why.reason}, {"after_ms", static_cast<std::int64_t>(elapsed_ms)}});
    }
    const bool rejected = elapsed_ms < static_cast<double>(append_timeout().count()) / 2;
    if (rejected && !rejected_) {
        rejected_since_ = append_started_;
    }
    rejected_ = rejected;
    if (r.verdict == append_verdict::unknown) {
        maybe_stored_ = true;
        timeout_factor_ = std::min(max_timeout_factor, 2 * timeout_factor_);
        check_log_end();
        return;
    }
    backoff_ = std::min(max_backoff, std::max(initial_backoff, backoff_ * 2));
    retry(backoff_);
}

/// Handles a batch that the store can't take: sends its entries one by one. Gives up an entry that
/// is rejected alone, so that it doesn't hold up the others.
void record_writer::isolate_rejected()
{
    if (sent_.size() > 1) {
        single_entries_ = sent_.size();
        waiting_.insert(waiting_.begin(), std::make_move_iterator(sent_.begin()),
                        std::make_move_iterator(sent_.end()));
        sent_.clear();
        batch_.clear();
        flush();
        return;
    }
    log_event(log_level::warning, "record_rejected",
              {{"key", batch_.front().key},
               {"records", static_cast<std::int64_t>(batch_.size())},
               {"bytes", static_cast<std::int64_t>(batch_bytes())}});
    const std::vector<entry> rejected = std::move(sent_);
    sent_.clear();
    batch_.clear();
    const std::shared_ptr<bool> alive = alive_;
    rejected.front().done(write_outcome::not_stored);
    if (*alive) {
        flush();
    }
}

/// Reads the log from this leader's last known end until a read is answered. Called if the log may
/// not end there any more: an earlier attempt of the current batch was stored although its answer
/// was lost, or another leader has claimed the lead.
void record_writer::check_log_end()
{
    in_flight_ = true;
    const unsigned check = ++check_;
    const time_point started = boot_clock::now();
    checking_since_ = checking_since_.value_or(started);
    const bool away = started - *checking_since_ > outage_limit;
    drop_expired(away ? time_point::max() : started);
    // Room for the batch, if it was stored, and for the claim of another leader otherwise.
    constexpr std::size_t check_margin_bytes = std::size_t{16} * 1024;
    log_.read(end_, batch_bytes() + check_margin_bytes, millis(0), max_timeout,
              [this, started, check, alive = alive_](const read_result& r) {
                  if (*alive && !closed_ && check >= answered_check_ && (r.ok || r.trimmed)) {
                      answered_check_ = check_ + 1; // later answers belong to this check, too
                      on_log_end(started, r);
                  }
              });
    loop_.after(check_interval, [this, check, alive = alive_] {
        if (*alive && !closed_ && check == check_ && check >= answered_check_) {
            check_log_end();
        }
    });
}

void record_writer::on_log_end(time_point started, const read_result& r)
{
    in_flight_ = false;
    checking_since_.reset();
    // The duration of the read shows whether the answer was late because the store is slow or
    // was lost.
    const double elapsed_ms = static_cast<double>(to_millis(boot_clock::now() - started));
    smoothed_append_ms_ = std::max(smoothed_append_ms_, elapsed_ms);
    if (r.ok && r.records.empty() && r.end == end_) {
        retry(millis(0)); // no attempt has been stored so far
        return;
    }
    if (r.ok && r.records.empty()) {
        check_log_end(); // the log has moved, but the answer doesn't show by whom
        return;
    }
    // The store appends a batch whole, so the records that one read returns tell for all.
    const std::size_t returned = std::min(r.records.size(), batch_.size());
    bool is_own_batch = returned > 0;
    for (std::size_t i = 0; is_own_batch && i < returned; ++i) {
        is_own_batch = r.records[i].offset == end_ + i && r.records[i].key == batch_[i].key &&
                       r.records[i].value == batch_[i].value;
    }
    for (std::size_t i = 0; i < batch_.size(); ++i) {
        batch_[i].offset = end_ + i;
    }
    if (!is_own_batch) {
        // The log has other records where this batch would be, so no append of it can succeed.
        // If the log was trimmed there, an earlier attempt may have been stored.
        depose(r.trimmed && maybe_stored_ ? write_outcome::unknown : write_outcome::deposed);
        return;
    }
    end_ += batch_.size();
    finish_batch(write_outcome::stored);
}

void record_writer::finish_batch(write_outcome outcome)
{
    const time_point now = boot_clock::now();
    if (failing_) {
        log_event(log_level::info, "append_regained",
                  {{"failed_for_ms", failing_for(now).count()}});
    }
    failing_ = false;
    rejected_ = false;
    backoff_ = millis(0);
    last_stored_ = now;
    std::vector<entry> done;
    done.swap(sent_);
    std::vector<keyed_record> batch;
    batch.swap(batch_);
    on_stored_(batch, end_);
    const std::shared_ptr<bool> alive = alive_;
    for (const entry& e : done) {
        e.done(outcome);
        if (!*alive) {
            return;
        }
    }
    flush();
}

void record_writer::depose(write_outcome outcome)
{
    closed_ = true;
    std::vector<entry> unanswered;
    unanswered.swap(sent_);
    std::vector<entry> unsent;
    unsent.swap(waiting_);
    const std::function<void()> deposed = on_deposed_;
    for (const entry& e : unanswered) {
        e.done(outcome);
    }
    for (const entry& e : unsent) {
        e.done(write_outcome::deposed);
    }
    deposed();
}

} // namespace sesamesill::pool
