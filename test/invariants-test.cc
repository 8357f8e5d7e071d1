// Guards against a checker that misses a violation or reports a wrong one: for each invariant, a
// journal that breaks only that invariant.

#include "scenario/invariants.h"

#include <criterion/criterion.h>

#include "scenario/report.h"

using namespace scenario;

namespace {

const std::string worker_sizes =
    R"(,"size_cpu_millis":4000,"size_memory_mb":8000,"size_accelerators":1)";

/// The journal of a complete run without a fault; each test adds one fault.
const std::vector<std::string> valid_journal{
    R"({"event":"launched","time_us":1,"entry":"e1"})",
    R"({"event":"document","time_us":2,"entry":"e1","version":3,"digest":"d3"})",
    R"({"event":"sent","time_us":10,"request":"r1","entry":"e1","attempt":1,"idempotent":false})",
    R"({"event":"start","time_us":11,"request":"r1","executor":"x1","idempotent":false,"busy":1,"slots":8})",
    R"({"event":"end","time_us":12,"request":"r1","executor":"x1","idempotent":false})",
    R"({"event":"answered","time_us":13,"request":"r1","entry":"e1","ending":"done","wanted":"a","got":"a"})",
    R"({"event":"start","time_us":20,"worker":"w1","task":"j1/0","held_cpu_millis":4000,"held_memory_mb":8000,"held_accelerators":1)" +
        worker_sizes + "}",
    R"({"event":"done","time_us":30,"worker":"w1","task":"j1/0"})",
    R"({"event":"leaving","time_us":1000000,"vm":"x1"})",
    R"({"event":"sent","time_us":2000000,"request":"r2","entry":"e2","attempt":1})",
    R"({"event":"answered","time_us":2000010,"request":"r2","entry":"e2","ending":"not_run"})",
    R"({"event":"stopping","time_us":3000000,"entry":"e1"})",
    R"({"event":"exited","time_us":3000100,"entry":"e1","status":0})"};

std::vector<violation> violations_in(const std::vector<std::string>& added)
{
    invariant_checker checker;
    for (const std::vector<std::string>& lines : {valid_journal, added}) {
        for (const std::string& line : lines) {
            const std::optional<observation> seen = observation_from(line);
            cr_assert(seen.has_value(), "%s", line.c_str());
            checker.record(*seen);
        }
    }
    checker.check_all();
    return checker.violations();
}

void assert_breaks_only(invariant line, const std::vector<std::string>& added)
{
    const std::vector<violation> found = violations_in(added);
    cr_assert_eq(found.size(), 1U);
    cr_assert(found.front().line == line, "%s", found.front().text.c_str());
}

std::string task_start(const std::string& time, const std::string& worker,
                       const std::string& extra_fields)
{
    return R"({"event":"start","time_us":)" + time + R"(,"worker":")" + worker +
           R"(","task":"j2/0")" + extra_fields + worker_sizes + "}";
}

} // namespace

Test(invariants, a_valid_journal_has_no_violations)
{
    cr_assert(violations_in({}).empty());
}

Test(invariants, a_worker_holds_at_most_its_size)
{
    for (const char* excess_held :
         {R"(,"held_cpu_millis":4001)", R"(,"held_memory_mb":8001)", R"(,"held_accelerators":2)"}) {
        assert_breaks_only(invariant::worker_size, {task_start("40", "w1", excess_held)});
    }
}

Test(invariants, a_task_runs_in_one_place)
{
    assert_breaks_only(invariant::one_place,
                       {task_start("40", "w1", ""), task_start("41", "w2", "")});
    assert_breaks_only(invariant::one_place,
                       {task_start("40", "w1", ""), task_start("41", "w1", "")});
}

Test(invariants, a_task_may_start_again_after_its_end)
{
    cr_assert(violations_in({task_start("40", "w1", ""),
                             R"({"event":"lapsed","time_us":41,"worker":"w1","task":"j2/0"})",
                             task_start("42", "w2", "")})
                  .empty());
}

Test(invariants, a_caller_gets_its_own_answer)
{
    assert_breaks_only(
        invariant::own_answer,
        {R"({"event":"answered","time_us":40,"request":"r3","entry":"e2","ending":"done","wanted":"a","got":"b"})"});
}

Test(invariants, a_request_answered_not_run_never_runs)
{
    assert_breaks_only(invariant::not_run,
                       {R"({"event":"start","time_us":2000020,"request":"r2","executor":"x2"})"});
    assert_breaks_only(
        invariant::not_run,
        {R"({"event":"answered","time_us":40,"request":"r1","entry":"e1","ending":"not_run"})"});
}

Test(invariants, a_non_idempotent_request_starts_once)
{
    assert_breaks_only(
        invariant::at_most_once,
        {R"({"event":"start","time_us":40,"request":"r1","executor":"x2","idempotent":false})"});
    assert_breaks_only(invariant::at_most_once,
                       {task_start("40", "w1", R"(,"idempotent":false)"),
                        R"({"event":"done","time_us":41,"worker":"w1","task":"j2/0"})",
                        task_start("42", "w2", R"(,"idempotent":false)")});
}

Test(invariants, a_leaving_endpoint_gets_no_new_work)
{
    assert_breaks_only(invariant::leaving,
                       {R"({"event":"start","time_us":4000001,"request":"r4","executor":"x1"})"});
    cr_assert(
        violations_in({R"({"event":"start","time_us":4000000,"request":"r4","executor":"x1"})"})
            .empty());
}

Test(invariants, a_planned_stop_interrupts_no_request)
{
    assert_breaks_only(
        invariant::graceful_stop,
        {R"({"event":"answered","time_us":3000050,"request":"r5","entry":"e1","ending":"cut"})"});
    assert_breaks_only(invariant::graceful_stop,
                       {R"({"event":"exited","time_us":3000101,"entry":"e1","status":137})"});
}

Test(invariants, a_document_never_reverts)
{
    assert_breaks_only(
        invariant::document_forward,
        {R"({"event":"document","time_us":40,"entry":"e1","version":2,"digest":"d2"})"});
    assert_breaks_only(
        invariant::document_forward,
        {R"({"event":"document","time_us":40,"entry":"e2","version":3,"digest":"other"})"});
}

Test(invariants, a_request_without_an_ending_is_lost)
{
    run_report report;
    const std::string sent =
        R"({"event":"sent","time_us":1,"request":"r1","entry":"e1","attempt":1,"class":"hold","organisation":"delta"})";
    report.record(*observation_from(sent));
    cr_assert_eq(report.lost(), 1);
    report.record(*observation_from(
        R"({"event":"closed","time_us":2,"request":"r1","class":"hold","organisation":"delta","final":"done"})"));
    cr_assert_eq(report.lost(), 0);
}
