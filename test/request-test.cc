// Tests the request table. Guards against requests that run twice, `not_run` answers to requests
// that may still run, and callers or outcomes that are kept without a bound.

#include <criterion/criterion.h>

#include "sesamesill/request.h"

using namespace sesamesill;

namespace {

const std::string id = "00000000000000010000000000000002";
const request_view complete_view{true, true};
const time_point start{micros(1000000)};

request_table table_of(const std::string& self = "e1#1")
{
    return request_table(self, request_limits{});
}

time_point at(std::int64_t ms)
{
    return start + millis(ms);
}

} // namespace

Test(request, runs_only_after_its_own_intent_was_read)
{
    request_table table = table_of();
    const request_actions begin_actions = table.begin({id, 7, at(100)}, complete_view, start);
    cr_assert(begin_actions.size() == 1);
    cr_assert(begin_actions[0].what == request_action::kind::append_intent);
    const request_actions read = table.intent_read(id, "e1#1", complete_view, true, at(5));
    cr_assert(read.size() == 1);
    cr_assert(read[0].what == request_action::kind::answer);
    cr_assert(read[0].result == verdict::run && read[0].caller == 7);
}

Test(request, only_the_writer_of_the_first_intent_runs)
{
    request_table table = table_of();
    table.begin({id, 7, at(100)}, complete_view, start);
    cr_assert(table.intent_read(id, "e2#1", complete_view, true, at(4)).empty());
    cr_assert(table.intent_read(id, "e1#1", complete_view, true, at(5)).empty());
    const request_actions read = table.outcome_read(id, "e2#1", outcome::done, "42", at(9));
    cr_assert(read.size() == 1);
    cr_assert(read[0].result == verdict::replay && read[0].body == "42" && read[0].caller == 7);
}

Test(request, duplicates_wait_for_the_same_answer_and_are_bounded)
{
    request_table table = table_of();
    table.begin({id, 1, at(100)}, complete_view, start);
    table.intent_read(id, "e1#1", complete_view, true, at(1));
    for (caller_id c = 2; c < 10; ++c) {
        cr_assert(table.begin({id, c, at(100)}, complete_view, at(2)).empty());
    }
    const request_actions refused = table.begin({id, 10, at(100)}, complete_view, at(2));
    cr_assert(refused.size() == 1 && refused[0].result == verdict::unknown);
    const request_actions ended = table.end(id, outcome::done, "body", at(3));
    cr_assert(ended.size() == 9);
    cr_assert(ended[0].what == request_action::kind::append_outcome);
    cr_assert(ended[8].body == "body" && ended[8].result == verdict::replay);
    cr_assert(table.callers() == 0);
}

Test(request, a_deadline_before_the_intent_is_read_is_not_run_and_withdraws_it)
{
    request_table table = table_of();
    table.begin({id, 1, at(10)}, complete_view, start);
    const request_actions expired = table.advance(complete_view, at(11));
    cr_assert(expired.size() == 2);
    cr_assert(expired[0].result == verdict::not_run);
    cr_assert(expired[1].what == request_action::kind::withdraw_intent);
    // The withdrawal came too late and the intent is in the log: it ends as not run.
    const request_actions read = table.intent_read(id, "e1#1", complete_view, true, at(20));
    cr_assert(read.size() == 1 && read[0].what == request_action::kind::append_outcome);
    cr_assert(read[0].final_outcome == outcome::not_run);
}

Test(request, not_run_is_not_answered_while_another_owner_may_have_written)
{
    request_table table = table_of();
    table.begin({id, 1, at(10)}, {true, false}, start);
    const request_actions expired = table.advance({true, false}, at(11));
    cr_assert(expired[0].result == verdict::unknown);
}

Test(request, not_run_is_not_answered_while_a_duplicate_may_still_run)
{
    request_table table = table_of();
    table.begin({id, 1, at(10)}, complete_view, start);
    table.begin({id, 2, at(50)}, complete_view, start);
    const request_actions expired = table.advance(complete_view, at(11));
    cr_assert(expired.size() == 1 && expired[0].result == verdict::unknown);
}

Test(request, an_unknown_key_with_incomplete_history_is_unknown)
{
    request_table table = table_of();
    const request_actions refused = table.begin({id, 1, at(10)}, {false, true}, start);
    cr_assert(refused.size() == 1 && refused[0].result == verdict::unknown);
}

Test(request, a_retry_after_not_run_runs)
{
    request_table table = table_of();
    table.begin({id, 1, at(100)}, complete_view, start);
    table.intent_read(id, "e1#1", complete_view, true, at(1));
    cr_assert(table.end(id, outcome::not_run, "", at(2))[0].final_outcome == outcome::not_run);
    cr_assert(table.begin({id, 2, at(100)}, complete_view, at(3)).empty());
    const request_actions retried = table.outcome_read(id, "e1#1", outcome::not_run, "", at(4));
    cr_assert(retried.size() == 1 && retried[0].what == request_action::kind::append_intent);
    cr_assert(table.intent_read(id, "e1#1", complete_view, true, at(5))[0].result == verdict::run);
}

Test(request, not_run_is_ignored_unless_the_holder_wrote_it)
{
    request_table table = table_of();
    table.intent_read(id, "e2#1", complete_view, true, start);
    table.outcome_read(id, "e3#1", outcome::not_run, "", at(1));
    cr_assert(table.begin({id, 1, at(100)}, complete_view, at(2)).empty());
    cr_assert(table.advance(complete_view, at(101))[0].result == verdict::unknown);
}

Test(request, an_intent_read_without_authority_dispatches_nothing)
{
    request_table table = table_of();
    table.begin({id, 1, at(100)}, complete_view, start);
    const request_actions read = table.intent_read(id, "e1#1", complete_view, false, at(1));
    cr_assert(read.size() == 2);
    cr_assert(read[0].final_outcome == outcome::not_run);
    cr_assert(read[1].result == verdict::not_run);
}

Test(request, a_late_answer_replaces_unknown)
{
    request_table table = table_of();
    table.begin({id, 1, at(100)}, complete_view, start);
    table.intent_read(id, "e1#1", complete_view, true, at(1));
    table.end(id, outcome::unknown, "", at(2));
    cr_assert(table.begin({id, 2, at(100)}, complete_view, at(3))[0].result == verdict::unknown);
    cr_assert(table.end(id, outcome::done, "late", at(4)).size() == 1);
    const request_actions replayed = table.begin({id, 3, at(100)}, complete_view, at(5));
    cr_assert(replayed[0].result == verdict::replay && replayed[0].body == "late");
    cr_assert(table.end(id, outcome::failed, "", at(6)).empty());
}

Test(request, an_outcome_is_removed_after_the_retention_time)
{
    request_limits limits;
    limits.retention = millis(50);
    request_table table("e1#1", limits);
    table.outcome_read(id, "e2#1", outcome::done, "x", start);
    table.advance(complete_view, at(49));
    cr_assert(table.size() == 1);
    table.advance(complete_view, at(51));
    cr_assert(table.size() == 0);
}
