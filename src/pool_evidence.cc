// Judges whether a run is over.

#include "sesamesill/pool_evidence.h"

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<evidence_source, 7> source_names{
    {{evidence_source::start_refusal, "its start was refused or never sent"},
     {evidence_source::report, "the worker reported its runs"},
     {evidence_source::other_incarnation, "another incarnation answers at its address"},
     {evidence_source::newer_incarnation, "its machine runs a newer incarnation"},
     {evidence_source::left_as_announced, "it drained and left"},
     {evidence_source::lease_expired, "its lease has expired"},
     {evidence_source::complete_directory, "the directory shows every live worker"}}};

/// Judges a run that a complete report doesn't list, neither as running nor as ended.
run_fate fate_if_unlisted(const run_record& run, const run_evidence& report)
{
    if (run.fence < report.fence) {
        return run_fate::over; // its process has ended, or refuses all sends of its start
    }
    const bool confirmed = run.confirmed_at && *run.confirmed_at < report.asked;
    const bool restarted =
        run.process_start_ms != 0 && run.process_start_ms != report.process_start_ms;
    const bool unanswered = run.phase == run_phase::starting && !run.confirmed_at;
    if (unanswered && (restarted || !run.until_ms)) {
        return run.sends_in_flight > 0 ? run_fate::may_run : run_fate::may_begin;
    }
    if (restarted) {
        // The run has ended with its process. The new process doesn't know that it was stopped or
        // has ended, so it would execute a late send.
        if (!run.confirmed_at || run.sends > 1) {
            return run_fate::may_begin;
        }
        return confirmed ? run_fate::over : run_fate::may_run;
    }
    const bool stopped =
        run.phase == run_phase::stop_acknowledged && run.stop_acknowledged_at < report.asked;
    const bool expired = !run.confirmed_at && run.ordered_at < report.asked && run.until_ms &&
                         report.clock_ms > *run.until_ms;
    return confirmed || stopped || expired ? run_fate::over : run_fate::may_run;
}

} // namespace

std::string_view name_of(evidence_source source)
{
    return name_in(source_names, source);
}

run_fate fate_of(const run_record& run, const run_evidence& evidence)
{
    switch (evidence.source) {
    case evidence_source::start_refusal:
        return evidence.complete ? run_fate::over : run_fate::may_begin;
    case evidence_source::report:
        return evidence.complete ? fate_if_unlisted(run, evidence) : run_fate::may_run;
    case evidence_source::other_incarnation:
    case evidence_source::newer_incarnation:
    case evidence_source::lease_expired:
        return run_fate::over;
    case evidence_source::left_as_announced:
    case evidence_source::complete_directory:
        break; // they tell of the runs of earlier leaders only
    }
    return run_fate::may_run;
}

bool shows_worker_gone(const worker& w, const run_evidence& evidence)
{
    switch (evidence.source) {
    case evidence_source::other_incarnation:
        return evidence.complete && evidence.asked >= w.last_answer; // else it has answered since
    case evidence_source::newer_incarnation:
    case evidence_source::lease_expired:
        return true;
    default:
        return false;
    }
}

bool shows_all_runs(const run_evidence& evidence)
{
    return evidence.source != evidence_source::start_refusal && evidence.complete;
}

} // namespace sesamesill::pool
