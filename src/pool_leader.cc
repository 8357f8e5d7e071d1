// Carries out the scheduler's decisions and feeds the answers back to it.

#include "pool_leader.h"

#include <algorithm>
#include <chrono>

#include "pool_keys.h"
#include "sesamesill/log.h"
#include "sesamesill/metrics.h"
#include "sesamesill/rpc.h"

namespace sesamesill::pool {
namespace {

constexpr millis update_delay{2}; ///< gathers events that arrive together into one update
constexpr millis large_pool_update_delay{4}; ///< events are more frequent there
constexpr millis tick_period{50}; ///< between checks of the scheduler's and the store's timeouts
/// Pause after placing, in multiples of its duration: placing takes at most a quarter of the time.
constexpr int placing_pause_factor = 3;
constexpr millis late_start{80}; ///< an answer later than this shows congestion
/// A leader with nothing to write appends a record after this time, so that followers see that it
/// is alive.
constexpr millis idle_record_period{250};
constexpr double ms_per_second = 1000;

/// Adds until when the runs of a worker may go on at the latest, in Unix milliseconds, and which
/// order, process and clock that follows from.
void add_lease_fields(std::vector<log_field>& fields, const lease_bound& lease, time_point now)
{
    fields.push_back({"runs_until_ms", wall_clock_ms() + to_millis(lease.end - now)});
    fields.push_back({"lease_origin", std::string(name_of(lease.origin))});
    fields.push_back({"lease_ms", static_cast<std::int64_t>(lease.length.count())});
    fields.push_back({"lease_process_start_ms", lease.process_start_ms});
    if (lease.until_ms) {
        fields.push_back({"lease_until_clock_ms", *lease.until_ms});
    }
}

/// The records of a job, which the caller keeps.
struct stored_job {
    const std::string* job = nullptr;            ///< null for a finished job
    std::map<int, const keyed_record*> progress; ///< by number of the part
};

/// Parses the progress of one job. Parsed records take several times the memory of their text, so
/// those of one job are parsed at a time.
progress_parts parsed_progress(const stored_job& job)
{
    progress_parts parts;
    for (const std::pair<const int, const keyed_record*>& part : job.progress) {
        std::optional<Json::Value> value = json_from(part.second->value);
        if (!value || !value->isObject()) {
            log_event(log_level::warning, "record_unreadable",
                      {{"key", part.second->key},
                       {"offset", static_cast<std::int64_t>(part.second->offset)}});
            continue;
        }
        parts[part.first] = std::move(*value);
    }
    return parts;
}

} // namespace

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

leader::leader(event_loop& loop, const member_settings& settings, leader_record self,
               record_log& log, worker_gateway& workers, advisor& advice, http_client& peers,
               const declared_configuration* declared, std::uint64_t end,
               std::function<void()> deposed,
               std::function<void(const std::vector<keyed_record>&, std::uint64_t)> on_written)
    : loop_(loop), settings_(settings), self_(std::move(self)), workers_(workers), advice_(advice),
      peer_client_(peers), declared_(declared), deposed_(deposed),
      scheduler_(self_.fence, settings.bounds, boot_clock::now()),
      writer_(loop, log, end, std::move(deposed), std::move(on_written),
              link_bytes_per_ms(settings.link_mbps), settings.bounds.max_append_bytes),
      start_window_(late_start), start_budget_(start_share * link_bytes_per_ms(settings.link_mbps)),
      poll_budget_(poll_share * link_bytes_per_ms(settings.link_mbps))
{
}

leader::~leader()
{
    *alive_ = false;
    for (const std::pair<const std::string, pending_submit>& p : submits_) {
        for (const std::function<void(submit_answer)>& done : p.second.waiting) {
            done({submit_verdict::unknown, "the leader changed before the store confirmed the job",
                  millis(0)});
        }
    }
    for (const waiting_cancels* waiting : {&cancels_, &unknown_cancels_}) {
        for (const waiting_cancels::value_type& cancelled : *waiting) {
            for (const std::function<void(state_answer)>& done : cancelled.second) {
                done({lookup::unavailable});
            }
        }
    }
}

void leader::restore(const std::map<std::string, keyed_record>& records,
                     const std::vector<worker_entry>& known_workers,
                     const directory_knowledge& directory, const configuration& config)
{
    const time_point now = boot_clock::now();
    const std::int64_t wall_ms = wall_clock_ms();
    limit_memory(self_.memory_mb);
    scheduler_.configure(config, boot_clock::now());
    std::map<std::string, stored_job> jobs;
    for (const std::pair<const std::string, keyed_record>& r : records) {
        const std::optional<std::string> worker = strip_prefix(r.first, worker_prefix);
        if (worker) {
            restore_worker(*worker, r.second, now);
            continue;
        }
        const std::optional<std::string> cancelled = strip_prefix(r.first, cancellation_prefix);
        if (cancelled) {
            scheduler_.restore_cancellation(*cancelled, r.second.value, wall_ms);
            continue;
        }
        const std::optional<std::string> job = strip_prefix(r.first, job_prefix);
        if (job) {
            jobs[*job].job = &r.second.value;
            continue;
        }
        const std::optional<progress_name> progress = progress_name_from(r.first);
        if (progress) {
            jobs[progress->job].progress[progress->part] = &r.second;
        }
    }
    for (const worker_entry& entry : known_workers) {
        scheduler_.list_worker(entry, now);
        add_polls_of(entry.id);
    }
    for (const std::pair<const std::string, stored_job>& j : jobs) {
        const progress_parts progress = parsed_progress(j.second);
        if (j.second.job == nullptr && progress.empty()) {
            continue; // none of its records can be read
        }
        try {
            scheduler_.restore(j.first, j.second.job, progress, wall_ms, now);
        }
        catch (const Json::Exception& e) {
            log_event(log_level::warning, "record_unreadable",
                      {{"key", progress_key(j.first)}, {"reason", std::string(e.what())}});
        }
    }
    on_directory(directory);
    scheduler_.finish_restore(now, predecessor_lease_end(now, settings_.bounds));
    leading_since_ = now;
    next_tick_ = now;
    log_event(log_level::info, "leading",
              {{"fence", static_cast<std::int64_t>(self_.fence)},
               {"jobs", static_cast<std::int64_t>(jobs.size())},
               {"workers", static_cast<std::int64_t>(known_workers.size())},
               {"accepted_work_bytes", static_cast<std::int64_t>(scheduler_.memory().used())},
               {"directory_age_ms", scheduler_.directory_age(now).count()}});
    tick();
    schedule_update();
}

/// Restores a worker that an earlier leader may have given tasks to.
void leader::restore_worker(const std::string& id, const keyed_record& record, time_point now)
{
    const std::optional<named_worker> named = named_worker_from(record.value);
    if (!named) {
        log_event(log_level::warning, "record_unreadable",
                  {{"key", record.key}, {"offset", static_cast<std::int64_t>(record.offset)}});
    }
    scheduler_.restore_worker(id, named, now);
    if (named) {
        add_polls_of(id);
    }
}

void leader::configure(const configuration& config)
{
    scheduler_.configure(config, boot_clock::now());
    schedule_update();
}

void leader::list_worker(const worker_entry& entry)
{
    scheduler_.list_worker(entry, boot_clock::now());
    add_polls_of(entry.id);
    schedule_update();
}

void leader::unlist_worker(const std::string& id)
{
    scheduler_.unlist_worker(id);
}

void leader::on_directory(const directory_knowledge& directory)
{
    scheduler_.expect_entries_until(directory.complete_after());
    if (directory.read_begun()) {
        scheduler_.on_directory_loaded(*directory.read_begun());
    }
    if (directory.lost_at()) {
        scheduler_.on_directory_lost(*directory.lost_at());
    }
    schedule_update();
}

void leader::on_peer(const std::string& name, const peer& seen)
{
    peers_[name] = seen;
    if (seen.memory_mb > 0) {
        limit_memory(seen.memory_mb);
    }
}

/// Accepts no more work than a successor with this much memory can restore.
void leader::limit_memory(double memory_mb)
{
    if (least_memory_mb_ == 0 || memory_mb < least_memory_mb_) {
        least_memory_mb_ = memory_mb;
        scheduler_.limit_memory(accepted_work_limit(memory_mb));
        log_event(
            log_level::info, "memory_limit",
            {{"memory_mb", memory_mb},
             {"accepted_work_bytes", static_cast<std::int64_t>(scheduler_.memory().limit())}});
    }
}

void leader::schedule_update()
{
    if (update_scheduled_) {
        return;
    }
    update_scheduled_ = true;
    const bool large = scheduler_.workers().size() > large_pool_workers;
    loop_.after(large ? large_pool_update_delay : update_delay, [this, alive = alive_] {
        if (*alive) {
            update_scheduled_ = false;
            update();
        }
    });
}

void leader::update()
{
    const std::shared_ptr<bool> alive = alive_;
    const time_point now = boot_clock::now();
    if (scheduler_.fenced()) {
        log_event(log_level::warning, "fenced", {{"fence", static_cast<std::int64_t>(fence())}});
        deposed_();
        return;
    }
    if (lead_is_confirmed(now)) {
        if (now >= place_after_) {
            scheduler_.place(now, max_starts(now));
            const time_point placed = boot_clock::now();
            place_after_ = placed + placing_pause_factor * (placed - now);
        }
        ask_advice();
        send_starts();
    }
    else {
        scheduler_.withdraw_starts(); // a successor doesn't count the leases of later orders
    }
    send_stops();
    request_directory(now);
    log_decisions();
    write_worker_records();
    write_records();
    if (*alive) {
        send_polls();
    }
}

/// Has the directory read if a worker gets no runs until its new entry is known.
void leader::request_directory(time_point now)
{
    constexpr millis min_pause{100}; ///< bounds the reads while many workers are restarted
    if (read_directory_ && now - directory_requested_ > min_pause &&
        scheduler_.take_directory_request()) {
        directory_requested_ = now;
        read_directory_();
    }
}

void leader::tick()
{
    loop_.after(tick_period, [this, alive = alive_] {
        if (*alive) {
            tick();
        }
    });
    const time_point now = boot_clock::now();
    loop_lag_.add(std::max(millis(0), millis(to_millis(now - next_tick_))), now);
    next_tick_ = now + tick_period;
    scheduler_.on_record_stored(writer_.end());
    scheduler_.tick(now);
    process_metrics().gauge(
        "sesamesill_pool_directory_age_seconds",
        "Time since the start of the leader's last complete read of the workers' directory") =
        static_cast<double>(scheduler_.directory_age(now).count()) / ms_per_second;
    process_metrics().gauge("sesamesill_pool_loop_lag_seconds",
                            "Longest delay of the leader's timers within the last seconds") =
        static_cast<double>(loop_lag_.worst(now).count()) / ms_per_second;
    process_metrics().gauge("sesamesill_pool_accepted_work_bytes",
                            "Estimated memory of accepted work") =
        static_cast<double>(scheduler_.memory().used());
    process_metrics().gauge("sesamesill_pool_accepted_work_limit_bytes",
                            "Limit of the estimated memory of accepted work") =
        static_cast<double>(scheduler_.memory().limit());
    process_metrics().gauge("sesamesill_pool_start_window",
                            "Starts that may be without an answer at a time") =
        start_window_.size();
    if (now - writer_.last_stored() > idle_record_period && !writing_) {
        writing_ = true;
        writer_.add({{idle_record_key, std::to_string(self_.fence), 0}}, millis(0),
                    [this, alive = alive_](write_outcome) {
                        if (*alive) {
                            writing_ = false;
                            schedule_update();
                        }
                    });
    }
    check_store();
    find_larger_member(now);
    schedule_update();
}

void leader::write_worker_records()
{
    const std::vector<keyed_record> records = scheduler_.take_worker_records();
    if (records.empty()) {
        return;
    }
    writer_.add(records, millis(0), [this, alive = alive_](write_outcome outcome) {
        if (*alive) {
            scheduler_.on_worker_records(outcome == write_outcome::stored);
            schedule_update();
        }
    });
}

void leader::write_records()
{
    if (writing_) {
        return;
    }
    record_batch batch = scheduler_.take_records(wall_clock_ms());
    if (batch.empty()) {
        return;
    }
    if (batch.records.empty()) {
        scheduler_.on_batch_stored(batch);
        return;
    }
    writing_ = true;
    std::vector<keyed_record> records = batch.records;
    for (keyed_record& r : batch.records) {
        std::string().swap(r.value); // the writer has it; the outcome needs the keys
    }
    writer_.add(std::move(records), millis(0),
                [this, alive = alive_, batch](write_outcome outcome) {
                    if (!*alive) {
                        return;
                    }
                    writing_ = false;
                    if (outcome != write_outcome::stored) {
                        scheduler_.on_batch_failed(batch);
                        answer_cancels(batch.final_jobs, false);
                        return;
                    }
                    scheduler_.on_batch_stored(batch);
                    answer_cancels(batch.final_jobs, true);
                    if (scheduler_.workers().size() <= large_pool_workers) {
                        for (const std::pair<const std::string, covered_end>& end : batch.ends) {
                            poll_at_once(end.first);
                        }
                    }
                    schedule_update();
                });
}

void leader::log_decisions()
{
    for (const decision& d : scheduler_.take_decisions()) {
        const std::string kind(name_of(d.kind));
        process_metrics().counter("sesamesill_pool_decisions_total", "Decisions of the leader",
                                  {{"kind", kind}})++;
        if (d.kind == decision_kind::begun) {
            process_metrics()
                .distribution("sesamesill_pool_first_start_seconds",
                              "From acceptance to a job's first start", {{"queue", d.queue}})
                .observe(static_cast<double>(d.age_ms) / ms_per_second);
        }
        if (d.kind == decision_kind::finished) {
            process_metrics()
                .distribution("sesamesill_pool_job_seconds", "From acceptance to a job's end",
                              {{"queue", d.queue}})
                .observe(static_cast<double>(d.age_ms) / ms_per_second);
        }
        std::vector<log_field> fields{
            {"job", d.job},       {"queue", d.queue},
            {"worker", d.worker}, {"detail", d.detail},
            {"age_ms", d.age_ms}, {"fence", static_cast<std::int64_t>(self_.fence)}};
        if (d.directory_age_ms) {
            fields.push_back({"directory_age_ms", *d.directory_age_ms});
        }
        if (d.kind == decision_kind::started && declared_ != nullptr) {
            for (const log_field& f : declared_->knowledge().fields(boot_clock::now())) {
                fields.push_back(f);
            }
        }
        if (d.lease) {
            add_lease_fields(fields, *d.lease, boot_clock::now());
        }
        if (d.evidence) {
            const std::string evidence(name_of(*d.evidence));
            fields.push_back({"evidence", evidence});
            process_metrics().counter("sesamesill_pool_released_runs_total",
                                      "Runs released without a report of their end",
                                      {{"evidence", evidence}})++;
        }
        log_event(log_level::info, kind, fields);
    }
}

} // namespace sesamesill::pool
