// Guards against JSON of peers that ends the process: deep nesting, fields of another type, numbers
// out of range.

#include <criterion/criterion.h>

#include "sesamesill/json.h"
#include "sesamesill/pool_job.h"
#include "workers.h"

using namespace sesamesill;

namespace {

bool is_rejected(const std::string& report)
{
    error why;
    const bool rejected = !platform::decode_report(report, why).has_value();
    return rejected && !why.reason.empty();
}

} // namespace

Test(json, a_report_with_fields_of_other_types_is_rejected)
{
    cr_assert(is_rejected(R"({"ClockMs":"12"})"));
    cr_assert(is_rejected(R"({"ClockMs":1,"Running":{"a":1}})"));
    cr_assert(is_rejected(R"({"ClockMs":1,"Running":[7]})"));
    cr_assert(is_rejected(R"({"ClockMs":1,"Running":[["t",1,"",99999999999]]})"));
    cr_assert(is_rejected(R"({"ClockMs":1,"EndedRuns":[[-1,"t",1,"done",""]]})"));
    cr_assert(is_rejected(R"([1])"));
    cr_assert(is_rejected(""));
    cr_assert(is_rejected(R"({"ClockMs":1)"));
}

Test(json, a_deeply_nested_report_does_not_exhaust_the_stack)
{
    const std::string open(2'000'000, '[');
    cr_assert(is_rejected(R"({"ClockMs":1,"Running":)" + open));
    cr_assert(
        is_rejected(R"({"ClockMs":1,"Running":)" + open + std::string(open.size(), ']') + "}"));
}

Test(json, a_report_without_optional_fields_is_read)
{
    error why;
    const std::optional<pool::worker_report> report = platform::decode_report(
        R"({"ClockMs":5,"born":9,"Running":[["t",3,"c",41,0.5],["u",1,"",0]],"EndedRuns":[]})",
        why);
    cr_assert(report.has_value(), "%s", why.reason.c_str());
    cr_assert_eq(report->running.size(), 2);
    cr_assert_eq(report->running[0].run, 3);
    cr_assert_eq(report->running[0].percent, 41);
    cr_assert_float_eq(report->running[0].load, 0.5, 1e-9);
}

Test(json, a_job_keeps_all_its_fields_in_its_record)
{
    pool::step_spec step;
    step.tasks = 3;
    step.need = {1500, 64, 1};
    step.estimate = millis(250);
    step.gang = true;
    step.same_rack = true;
    step.required_label = "a \"b\"";
    step.max_per_worker = 2;
    step.latency_target = millis(9);
    pool::step_spec second;
    second.after = {0};
    pool::job_spec spec;
    spec.id = "00000000000000aa";
    spec.queue = "q";
    spec.payload = "text\n\x01";
    spec.steps = {step, second};
    spec.occurrences = 2;
    spec.first_due_ms = 1;
    spec.interval_ms = 10;
    pool::queue_policy terms;
    terms.service = "places";
    terms.priority = 2;
    terms.max_attempts = 4;
    terms.stretch = 1.5;
    terms.latency_target = millis(1000);
    terms.advice = pool::advice_terms{20, 0.5, millis(3000)};
    error why;
    const std::optional<pool::job_record> read =
        pool::decode_job_record(pool::encode(pool::job_record{spec, 77, terms}), why);
    cr_assert(read.has_value(), "%s", why.reason.c_str());
    cr_assert_eq(read->accepted_ms, 77);
    cr_assert(pool::encode(read->spec) == pool::encode(spec));
    cr_assert(read->spec.payload == spec.payload);
    cr_assert_eq(read->spec.steps[1].after.size(), 1);
    cr_assert(read->terms.has_value());
    cr_assert_eq(read->terms->service, terms.service);
    cr_assert_eq(read->terms->priority, terms.priority);
    cr_assert_eq(read->terms->max_attempts, terms.max_attempts);
    cr_assert_eq(read->terms->stretch, terms.stretch);
    cr_assert(read->terms->latency_target == terms.latency_target);
    cr_assert(read->terms->advice.has_value());
    cr_assert_eq(read->terms->advice->base_ms, terms.advice->base_ms);
    cr_assert_eq(read->terms->advice->per_worker_ms, terms.advice->per_worker_ms);
    cr_assert(read->terms->advice->valid == terms.advice->valid);
    const std::optional<pool::job_record> without_terms =
        pool::decode_job_record(pool::encode(pool::job_record{spec, 77, std::nullopt}), why);
    cr_assert(without_terms.has_value(), "%s", why.reason.c_str());
    cr_assert_not(without_terms->terms.has_value(), "as earlier versions wrote it");
}
