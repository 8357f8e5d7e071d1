// Tests of the job table: which tasks an owner may send, and how it resolves tasks after a
// takeover. They guard against tasks that run twice, outcomes that are wrong and ends that are
// lost.

#include <criterion/criterion.h>

#include "sesamesill/recovery.h"

using namespace sesamesill;

namespace {

const std::string id = "00000000000000010000000000000002";
const time_point start{micros(1000000)};

time_point at(std::int64_t ms)
{
    return start + millis(ms);
}

submission work_of(std::int64_t tasks, bool idempotent)
{
    submission what;
    what.organisation = "delta";
    what.work_class = "review";
    what.kind = work_kind::batch;
    what.idempotent = idempotent;
    what.tasks = tasks;
    what.deadline = millis(1000);
    return what;
}

/// Adds a job that this member accepted itself.
job& add_accepted(job_table& table, std::int64_t tasks, bool idempotent)
{
    return *table.accept_read(id, work_of(tasks, idempotent), 3, "e1#1", 5, true, start);
}

/// Adds a job that another member accepted and that this member took over.
job& add_taken_over(job_table& table, std::int64_t tasks, bool idempotent)
{
    job& j = *table.accept_read(id, work_of(tasks, idempotent), 3, "e2#1", 5, false, start);
    table.update_ownership([](const std::string&) { return true; });
    return j;
}

void send(job_table& table, job& j, std::size_t index, const std::string& worker)
{
    table.placed(j.id, index, table.sent(j, index, "e1"), worker);
}

listed_task end_of(std::size_t index, std::int32_t attempt, task_state state)
{
    return {task_name(id, index), attempt, state, "w1", "r"};
}

} // namespace

Test(recovery, a_non_idempotent_task_waits_for_its_intent)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 1, false);
    job_actions actions;
    cr_assert_not(table.may_send(j, 0, actions));
    cr_assert(actions.size() == 1 && actions[0].what == job_action::kind::append_intent);
    cr_assert_not(table.may_send(j, 0, actions));
    cr_assert(actions.size() == 1);
    table.intent_read(id, {0});
    cr_assert(table.may_send(j, 0, actions));
}

Test(recovery, new_owner_places_no_task_before_answers_cover_every_shard)
{
    job_table table("e1#1");
    job& j = add_taken_over(table, 3, true);
    job_actions actions;
    cr_assert_not(table.may_send(j, 0, actions));
    cr_assert(table.begin_recovery({"r1", "r2"}, start).size() == 1);
    table.handle_answer({"e1", {"r1"}, {end_of(0, 4, task_state::running)}, {}}, at(1));
    cr_assert_not(j.resolved);
    const job_actions ends =
        table.handle_answer({"e3", {"r2"}, {end_of(1, 2, task_state::done)}, {}}, at(2));
    cr_assert(j.resolved);
    cr_assert(j.tasks[0].phase == task_phase::running && j.tasks[0].attempt == 4);
    cr_assert(j.tasks[1].phase == task_phase::done);
    cr_assert(ends.size() == 1 && ends[0].what == job_action::kind::append_end);
    cr_assert(table.may_send(j, 2, actions));
}

Test(recovery, an_unlisted_task_with_an_intent_is_unknown_until_its_end_is_reported)
{
    job_table table("e1#1");
    job& j = add_taken_over(table, 1, false);
    table.intent_read(id, {0});
    table.begin_recovery({"r1"}, start);
    table.handle_answer({"e1", {"r1"}, {}, {}}, at(1));
    cr_assert(j.final_outcome == outcome::unknown);
    const end_result late_end = table.ended(end_of(0, 1, task_state::done), at(9));
    cr_assert(late_end.actions.size() == 2);
    cr_assert(j.final_outcome == outcome::done);
}

Test(recovery, an_unlisted_task_without_an_intent_was_never_sent)
{
    job_table table("e1#1");
    job& j = add_taken_over(table, 1, false);
    table.begin_recovery({"r1"}, start);
    table.handle_answer({"e1", {"r1"}, {}, {}}, at(1));
    cr_assert(j.tasks[0].phase == task_phase::waiting);
}

Test(recovery, a_member_that_did_not_start_a_task_resolves_its_lost_answer)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 1, false);
    table.intent_read(id, {0});
    const std::int32_t attempt = table.sent(j, 0, "e2");
    table.unanswered(id, 0, attempt, at(500));
    job_actions actions;
    cr_assert_not(table.may_send(j, 0, actions));
    table.begin_recovery({"r1"}, at(600));
    table.handle_answer({"e2", {"r1"}, {}, std::chrono::minutes(5)}, at(700));
    cr_assert(table.may_send(j, 0, actions));
}

Test(recovery, a_member_that_was_restarted_cannot_deny_a_start)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 1, false);
    table.intent_read(id, {0});
    table.unanswered(id, 0, table.sent(j, 0, "e2"), at(500));
    table.begin_recovery({"r1"}, at(600));
    table.handle_answer({"e2", {"r1"}, {}, millis(150)}, at(700));
    cr_assert(j.final_outcome == outcome::unknown);
}

Test(recovery, a_running_task_that_its_worker_lost_is_placed_again)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 2, true);
    send(table, j, 0, "w1");
    send(table, j, 1, "w2");
    table.recheck_running();
    table.begin_recovery({"r1"}, at(1));
    table.handle_answer({"e1", {"r1"}, {end_of(1, 1, task_state::running)}, {}}, at(2));
    cr_assert(j.tasks[0].phase == task_phase::waiting);
    cr_assert(j.tasks[1].phase == task_phase::running);
}

Test(recovery, a_start_sent_after_recovery_began_is_not_resolved_by_it)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 2, true);
    table.unanswered(id, 0, table.sent(j, 0, "e2"), at(1));
    table.begin_recovery({"r1"}, at(2));
    table.unanswered(id, 1, table.sent(j, 1, "e2"), at(3));
    table.handle_answer({"e2", {"r1"}, {}, std::chrono::minutes(5)}, at(4));
    cr_assert(j.tasks[0].phase == task_phase::waiting);
    cr_assert(j.tasks[1].phase == task_phase::unresolved);
}

Test(recovery, only_the_failure_of_the_newest_attempt_causes_a_retry)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 1, true);
    send(table, j, 0, "w1");
    send(table, j, 0, "w1");
    cr_assert(table.ended(end_of(0, 1, task_state::failed), at(1)).acknowledge);
    cr_assert(j.tasks[0].phase == task_phase::running);
    cr_assert(table.ended(end_of(0, 2, task_state::failed), at(1)).acknowledge);
    cr_assert(j.tasks[0].phase == task_phase::waiting);
}

Test(recovery, an_end_is_acknowledged_once_it_is_durable)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 1, true);
    send(table, j, 0, "w1");
    cr_assert_not(table.ended(end_of(0, 1, task_state::done), at(1)).acknowledge);
    cr_assert_not(table.ended(end_of(0, 1, task_state::done), at(2)).acknowledge);
    table.end_read(id, 0, task_phase::done, "r");
    cr_assert(table.ended(end_of(0, 1, task_state::done), at(3)).acknowledge);
}

Test(recovery, new_owner_ignores_a_failure_before_the_job_is_resolved)
{
    job_table table("e1#1");
    job& j = add_taken_over(table, 1, true);
    cr_assert_not(table.ended(end_of(0, 1, task_state::failed), at(1)).acknowledge);
    cr_assert(j.tasks[0].phase == task_phase::unresolved);
}

Test(recovery, a_deadline_ends_a_job_only_if_no_start_was_sent)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 2, true);
    send(table, j, 0, "w1");
    table.update_deadlines(at(2000));
    cr_assert(j.final_outcome == outcome::pending);
    job_table other("e1#1");
    job& untouched = add_accepted(other, 2, true);
    cr_assert(other.update_deadlines(at(2000)).size() == 3);
    cr_assert(untouched.final_outcome == outcome::not_run);
}

Test(recovery, a_cancelled_job_starts_no_task_and_stops_running_tasks)
{
    job_table table("e1#1");
    job& j = add_accepted(table, 2, true);
    send(table, j, 0, "w1");
    const job_actions actions = table.cancel_read(id, at(1));
    cr_assert(actions.size() == 2);
    cr_assert(actions[0].what == job_action::kind::stop_task);
    cr_assert(table.placeable().empty());
    table.ended(end_of(0, 1, task_state::stopped), at(2));
    cr_assert(j.final_outcome == outcome::failed);
}

Test(recovery, task_names_are_parsed_back_to_job_and_index)
{
    cr_assert(job_of(task_name(id, 7)) == id);
    cr_assert(index_of(task_name(id, 7)).value_or(0) == 7);
    cr_assert_not(index_of(id + "/x").has_value());
    cr_assert_not(index_of(id + "/").has_value());
}
