// The HTTP views of jobs: one job, a list of jobs, and explanations of where tasks run or why they
// wait.

#include "job_service.h"
#include "replies.h"

namespace sesamesill {
namespace {

constexpr std::size_t max_explained = 50; ///< maximum number of tasks in one response
constexpr std::size_t max_listed = 1000;  ///< maximum number of jobs in one response

bool matches(const job& j, const http_request& request)
{
    const std::string organisation = query_text(request, "organisation");
    const std::string work_class = query_text(request, "class");
    const std::string final_outcome = query_text(request, "outcome");
    return (organisation.empty() || organisation == j.what.organisation) &&
           (work_class.empty() || work_class == j.what.work_class) &&
           (final_outcome.empty() || final_outcome == name_of(j.final_outcome));
}

} // namespace

Json::Value job_service::describe(const job& j)
{
    Json::Value body;
    body["job"] = j.id;
    body["organisation"] = j.what.organisation;
    body["class"] = j.what.work_class;
    body["outcome"] = std::string(name_of(j.final_outcome));
    std::map<task_phase, std::int64_t> counts{{task_phase::running, 0}, {task_phase::done, 0}};
    for (const job_task& t : j.tasks) {
        ++counts[t.phase];
        if (t.phase == task_phase::done) {
            body["results"].append(t.result);
        }
    }
    body["tasks"] = static_cast<Json::Int64>(j.tasks.size());
    for (const std::pair<const task_phase, std::int64_t>& count : counts) {
        body[std::string(name_of(count.first))] = static_cast<Json::Int64>(count.second);
    }
    if (j.reason.code != error_code::none) {
        body["reason"] = to_json(j.reason);
    }
    return body;
}

/// Explains in detail a task that waits or runs on this member's workers. For a task that runs on
/// another member's worker only the worker is known.
Json::Value job_service::explain_task(const job& j, std::size_t index) const
{
    const job_task& t = j.tasks[index];
    const explanation e = workers_.explain(spec_of(j, index));
    const bool is_elsewhere = t.phase == task_phase::running && e.worker.empty();
    Json::Value entry(Json::objectValue);
    if (!is_elsewhere) {
        entry = to_json(e);
    }
    if (is_elsewhere) {
        entry["text"] = "runs on " + t.worker + ", chosen by the owner of its shard";
    }
    else if (e.worker.empty() && e.elsewhere.empty() && e.with_room == 0) {
        entry["text"] = "waits for its turn and for room; " + cell_.self() +
                        ", the owner of the job, owns no worker and asks the other members";
    }
    entry["task"] = task_name(j.id, index);
    entry["phase"] = std::string(name_of(t.phase));
    entry["placed_on"] = t.worker;
    return entry;
}

/// Explains for each task that has not ended where it runs, or why it cannot run on this member's
/// workers.
Json::Value job_service::explain(const job& j) const
{
    Json::Value answer;
    answer["job"] = j.id;
    answer["outcome"] = std::string(name_of(j.final_outcome));
    answer["tasks"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < j.tasks.size() && answer["tasks"].size() < max_explained; ++i) {
        const job_task& t = j.tasks[i];
        if (is_over(t.phase)) {
            continue;
        }
        answer["tasks"].append(explain_task(j, i));
    }
    return answer;
}

void job_service::list(const http_request& request, const http_respond& respond) const
{
    Json::Value body;
    body["jobs"] = Json::Value(Json::arrayValue);
    for (const std::pair<const std::string, job>& entry : table_.jobs()) {
        if (matches(entry.second, request)) {
            body["truncated"] = body["jobs"].size() >= max_listed;
            if (body["truncated"].asBool()) {
                break;
            }
            Json::Value short_form = describe(entry.second);
            short_form.removeMember("results");
            body["jobs"].append(short_form);
        }
    }
    respond(json_reply(200, body));
}

} // namespace sesamesill
