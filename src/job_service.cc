// A job lives with the owner of its id, its home. Every member follows all jobs in the log, so that
// any of them can become the home.

#include "job_service.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "replies.h"
#include "sesamesill/log.h"

namespace sesamesill {
namespace {

constexpr millis place_interval{20};
constexpr millis watch_interval{20};
constexpr millis recover_interval{50};
constexpr millis stop_interval{500};
constexpr millis forget_interval{10000};
constexpr millis retry_delay{50};
constexpr millis cancel_limit{5000};
const std::string explain_suffix = "/explain";
constexpr std::int64_t max_wait_ms = 20000;
constexpr std::size_t max_callers_per_job = 8;
constexpr std::size_t max_pending_accepts = 5000;
constexpr int unfit_status = 422;

const std::string jobs_path = "/v1/jobs/";

job_limits limits_from(const node_settings& settings)
{
    job_limits limits;
    limits.retention = settings.key_retention;
    limits.intent_first = !is_disabled(settings, "intent");
    limits.settle_first = !is_disabled(settings, "settle");
    return limits;
}

void log_skipped(const journal_item& item)
{
    log_error("item_skipped", {error_code::corrupt, step::log_read, item.writer,
                               item.type + " at offset " + std::to_string(item.offset)});
}

bool is_not_owner(const std::string& body)
{
    const std::optional<Json::Value> value = json_from(body);
    return value && value->isObject() &&
           (*value)["code"] == Json::Value(std::string(name_of(error_code::not_owner)));
}

} // namespace

job_service::job_service(event_loop& loop, http_client& client, cell_service& cell,
                         journal_service& journal, document_service& documents,
                         worker_service& workers, key_service& keys, const node_settings& settings)
    : loop_(loop), client_(client), cell_(cell), journal_(journal), documents_(documents),
      workers_(workers), keys_(keys), settings_(settings),
      table_(journal.writer(), limits_from(settings)), started_(boot_clock::now())
{
    round_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<micros>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    workers_.on_ended([this](const task_report& report, const std::function<void()>& acknowledge) {
        task_end(report, acknowledge);
    });
    cell_.on_change([this] { note_cell(); });
    share_running();
    follow_log();
}

void job_service::start()
{
    loop_.every(place_interval, [this] { place_waiting(); });
    loop_.every(watch_interval, [this] {
        expire_accepts();
        carry_out(table_.update_deadlines(boot_clock::now()));
        answer_watchers();
    });
    loop_.every(recover_interval, [this] { recover(); });
    loop_.every(stop_interval, [this] { stop_cancelled(); });
    loop_.every(forget_interval, [this] { table_.forget(boot_clock::now()); });
}

void job_service::follow_log()
{
    journal_.on("accept", [this](const journal_item& item) { take_accept(item); });
    journal_.on("task_intent", [this](const journal_item& item) {
        table_.intent_read(item.value["id"].asString(), indices_from(item.value["tasks"]));
    });
    journal_.on("task_end", [this](const journal_item& item) {
        const std::optional<task_end_item> end = task_end_item_from(item.value);
        if (!end) {
            log_skipped(item);
            return;
        }
        table_.end_read(end->id, end->index, end->phase, end->result);
    });
    journal_.on("job_ending", [this](const journal_item& item) {
        const std::optional<outcome> ending = outcome_from(item.value["outcome"].asString());
        table_.ending_read(item.value["id"].asString(), ending.value_or(outcome::unknown),
                           boot_clock::now());
    });
    journal_.on("cancel", [this](const journal_item& item) {
        const std::string id = item.value["id"].asString();
        carry_out(table_.cancel_read(id, boot_clock::now()));
        cancelled_.insert(id);
    });
    journal_.add_snapshot_source(
        "cell", [this](std::vector<journal_item>& items) { add_to_snapshot(items); });
}

void job_service::serve(http_server& callers, http_server& peers, rpc_server& rpc)
{
    for (http_server* server : {&callers, &peers}) {
        const bool forwarded = server == &peers;
        server->route("POST", "/v1/jobs",
                      [this, forwarded](const http_request& r, const http_respond& respond) {
                          submit(r, respond, forwarded);
                      });
        server->route("GET", jobs_path,
                      [this, forwarded](const http_request& r, const http_respond& respond) {
                          show(r, respond, forwarded);
                      });
        server->route("DELETE", jobs_path,
                      [this, forwarded](const http_request& r, const http_respond& respond) {
                          cancel(r, respond, forwarded);
                      });
    }
    callers.route("GET", "/v1/jobs",
                  [this](const http_request& r, const http_respond& respond) { list(r, respond); });
    rpc.add("place", [this](const Json::Value& p, error& why) { return rpc_place(p, why); });
    rpc.add("stop", [this](const Json::Value& p, error& why) { return rpc_stop(p, why); });
    rpc.add("ended", [this](const Json::Value& p, error& why) { return rpc_ended(p, why); });
    rpc.add("tasks_of", [this](const Json::Value& p, error& why) { return rpc_tasks_of(p, why); });
}

void job_service::submit(const http_request& request, const http_respond& respond, bool forwarded)
{
    error why{error_code::unavailable, step::document, "", "no document is in force yet"};
    if (!documents_.current() || !cell_.ready()) {
        respond(outcome_reply(outcome::not_run, why));
        return;
    }
    const std::optional<Json::Value> body = json_from(request.body);
    why = {error_code::invalid, step::admission, "", "body: must be a JSON object"};
    const std::optional<submission> what =
        body ? submission_from(*body, *documents_.current(), why) : std::nullopt;
    if (!what || what->kind == work_kind::call) {
        respond(error_reply(400, what ? error{error_code::invalid, step::admission, "",
                                              "class: not a class of jobs"}
                                      : why));
        return;
    }
    find_home({request, *what, boot_clock::now() + what->deadline, forwarded}, respond);
}

/// Accepts a job here or at its home; while the home cannot be reached it tries again, since the
/// job's id makes a second submission harmless.
void job_service::find_home(const submit_request& s, const http_respond& respond)
{
    const std::string id = request_id(s.what.organisation, s.what.key);
    const std::optional<member> owner = cell_.owner_of(id);
    if (owner && owner->name == cell_.self()) {
        accept(s.what, respond);
        return;
    }
    if (!owner || s.forwarded) {
        respond(outcome_reply(outcome::not_run,
                              {error_code::not_owner, step::routing, owner ? owner->name : "",
                               "the job has another home"}));
        return;
    }
    pass_on(s.request, *owner,
            [this, s, respond, id](const std::optional<http_reply>& reply, const error& why) {
                const bool moved = reply && reply->status == 503 && is_not_owner(reply->body);
                if (reply && !moved) {
                    respond({reply->status, reply->body, {}, "application/json"});
                }
                else if (table_.find(id) != nullptr) {
                    respond(json_reply(200, describe(*table_.find(id))));
                }
                else if (boot_clock::now() + retry_delay < s.until) {
                    loop_.after(retry_delay, [this, s, respond] { find_home(s, respond); });
                }
                else {
                    respond(outcome_reply(outcome::unknown, why));
                }
            });
}

void job_service::pass_on(const http_request& request, const member& to, http_done done)
{
    http_call call;
    call.method = request.method;
    call.path = request.path;
    const std::string wait = query_text(request, "wait_ms");
    call.path += wait.empty() ? "" : "?wait_ms=" + wait;
    call.body = request.body;
    call.timeout = millis(max_wait_ms + 1000);
    client_.send(
        to.peer_address, std::move(call),
        [done = std::move(done), to](const std::optional<http_reply>& reply, const error& why) {
            done(reply, {why.code, step::routing, to.name, why.reason});
        });
}

/// Answers for the home where that cannot be reached: from what the log has told of the job.
void job_service::show_known(const std::string& id, const http_respond& respond,
                             const error& why) const
{
    const auto known = table_.jobs().find(id);
    respond(known != table_.jobs().end() ? json_reply(200, describe(known->second))
                                         : error_reply(503, why));
}

void job_service::accept(const submission& what, const http_respond& respond)
{
    const std::string id = request_id(what.organisation, what.key);
    const job* const known = table_.find(id);
    if (known != nullptr) {
        respond(json_reply(200, describe(*known)));
        return;
    }
    const auto pending = accepts_.find(id);
    if (pending != accepts_.end() && pending->second.callers.size() < max_callers_per_job &&
        !pending->second.given_up) {
        pending->second.callers.push_back(respond);
        return;
    }
    if (pending != accepts_.end() || accepts_.size() >= max_pending_accepts) {
        const bool fresh = pending == accepts_.end() && keys_.current();
        respond(outcome_reply(
            fresh ? outcome::not_run : outcome::unknown,
            {error_code::overload, step::admission, "",
             fresh ? "too many jobs wait for the log" : "an earlier submission has not ended"}));
        return;
    }
    const std::optional<error> refused = refusal(what);
    if (refused) {
        http_reply reply =
            outcome_reply(keys_.current() ? outcome::not_run : outcome::unknown, *refused);
        reply.status = refused->code == error_code::unfit ? unfit_status : reply.status;
        respond(reply);
        return;
    }
    const class_policy& policy = documents_.current()->classes.at(what.work_class);
    pending_accept& p = accepts_[id];
    p.until = boot_clock::now() + what.deadline;
    p.callers.push_back(respond);
    p.ticket =
        journal_.append("cell", to_json(accept_item{id, what, policy.max_attempts}), nullptr);
}

void job_service::take_accept(const journal_item& item)
{
    const std::optional<accept_item> accepted = accept_item_from(item.value);
    if (!accepted) {
        log_skipped(item);
        return;
    }
    const time_point now = boot_clock::now();
    job* const j = table_.accept_read(accepted->id, accepted->what, accepted->max_attempts,
                                      item.writer, item.offset, cell_.may_act(accepted->id), now);
    const auto pending = accepts_.find(accepted->id);
    if (pending == accepts_.end()) {
        return;
    }
    if (pending->second.given_up && item.writer == journal_.writer()) {
        table_.ending_read(accepted->id, outcome::not_run, now);
    }
    for (const http_respond& respond : pending->second.callers) {
        respond(json_reply(202, describe(*j)));
    }
    accepts_.erase(pending);
}

/// Refuses jobs whose record the log did not take before their deadline.
void job_service::expire_accepts()
{
    const time_point now = boot_clock::now();
    for (auto it = accepts_.begin(); it != accepts_.end();) {
        pending_accept& p = it->second;
        if (p.given_up || p.until > now) {
            ++it;
            continue;
        }
        give_up(it->first, p);
        it = p.given_up ? std::next(it) : accepts_.erase(it);
    }
}

void job_service::give_up(const std::string& id, pending_accept& p)
{
    const bool withdrawn = journal_.cancel(p.ticket);
    const outcome ending = withdrawn && keys_.current() ? outcome::not_run : outcome::unknown;
    for (const http_respond& respond : p.callers) {
        respond(outcome_reply(ending, {error_code::timeout, step::admission, "",
                                       "the log did not take the job before its deadline"}));
    }
    p.callers.clear();
    if (withdrawn) {
        return;
    }
    p.given_up = true;
    Json::Value item;
    item["type"] = "job_ending";
    item["id"] = id;
    item["outcome"] = std::string(name_of(outcome::not_run));
    journal_.append("cell", item, nullptr);
}

void job_service::show(const http_request& request, const http_respond& respond, bool forwarded)
{
    const std::string rest = request.path.substr(jobs_path.size());
    const std::string id = rest.substr(0, rest.find('/'));
    const bool explained = rest != id;
    const std::optional<member> owner = cell_.owner_of(id);
    if (owner && owner->name != cell_.self() && !forwarded) {
        pass_on(request, *owner,
                [this, id, respond](const std::optional<http_reply>& reply, const error& why) {
                    if (reply) {
                        respond({reply->status, reply->body, {}, "application/json"});
                        return;
                    }
                    show_known(id, respond, why);
                });
        return;
    }
    const job* const known = table_.find(id);
    if (known == nullptr || (explained && rest != id + explain_suffix)) {
        respond(error_reply(404, {error_code::not_found, step::answer, "", "no such job"}));
        return;
    }
    if (explained) {
        respond(json_reply(200, explain(*known)));
        return;
    }
    const std::int64_t wait_ms = std::atoll(query_text(request, "wait_ms").c_str());
    watchers_[id].push_back(
        {boot_clock::now() + millis(std::clamp<std::int64_t>(wait_ms, 0, max_wait_ms)), respond});
}

void job_service::cancel(const http_request& request, const http_respond& respond, bool forwarded)
{
    const std::string id = request.path.substr(jobs_path.size());
    const std::optional<member> owner = cell_.owner_of(id);
    if (owner && owner->name != cell_.self() && !forwarded) {
        pass_on(request, *owner,
                [respond](const std::optional<http_reply>& reply, const error& why) {
                    respond(reply ? http_reply{reply->status, reply->body, {}, "application/json"}
                                  : error_reply(503, why));
                });
        return;
    }
    const job* const j = table_.find(id);
    if (j == nullptr) {
        respond(error_reply(404, {error_code::not_found, step::answer, "", "no such job"}));
        return;
    }
    if (j->ending != outcome::pending || j->cancelled) {
        respond(json_reply(200, describe(*j)));
        return;
    }
    Json::Value item;
    item["type"] = "cancel";
    item["id"] = id;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const append_ticket written =
        journal_.append("cell", item, [this, id, respond, answered](std::uint64_t) {
            const job* const now = table_.find(id);
            if (!*answered) {
                *answered = true;
                respond(json_reply(202, now != nullptr ? describe(*now) : Json::Value()));
            }
        });
    loop_.after(cancel_limit, [this, written, respond, answered] {
        if (!*answered) {
            *answered = true;
            const bool withdrawn = journal_.cancel(written);
            respond(error_reply(withdrawn ? 503 : 504, {error_code::timeout, step::log_append, "",
                                                        "the log did not take the cancellation"}));
        }
    });
}

void job_service::answer_watchers()
{
    const time_point now = boot_clock::now();
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        const job* const j = table_.find(it->first);
        const bool over = j == nullptr || j->ending != outcome::pending;
        std::vector<watcher> left;
        for (watcher& w : it->second) {
            if (over || w.until <= now) {
                w.respond(j != nullptr ? json_reply(200, describe(*j))
                                       : error_reply(404, {error_code::not_found, step::answer, "",
                                                           "no such job"}));
            }
            else {
                left.push_back(std::move(w));
            }
        }
        it->second.swap(left);
        it = it->second.empty() ? watchers_.erase(it) : std::next(it);
    }
}

void job_service::carry_out(const job_actions& actions)
{
    std::map<std::string, Json::Value> intents;
    for (const job_action& a : actions) {
        const job* const j = table_.find(a.id);
        if (j == nullptr) {
            continue;
        }
        switch (a.what) {
        case job_action::kind::append_intent:
            intents[a.id]["tasks"].append(static_cast<Json::UInt64>(a.index));
            break;
        case job_action::kind::append_end:
            journal_.append("cell", to_json(task_end_item{a.id, a.index, a.phase, a.result}),
                            nullptr);
            break;
        case job_action::kind::append_job_ending: {
            Json::Value item;
            item["type"] = "job_ending";
            item["id"] = a.id;
            item["outcome"] = std::string(name_of(j->ending));
            journal_.append("cell", item, nullptr);
            break;
        }
        case job_action::kind::stop_task:
            cancelled_.insert(a.id);
            break;
        }
    }
    for (std::pair<const std::string, Json::Value>& intent : intents) {
        intent.second["type"] = "task_intent";
        intent.second["id"] = intent.first;
        journal_.append("cell", intent.second, nullptr);
    }
}

void job_service::add_to_snapshot(std::vector<journal_item>& items) const
{
    const std::string& writer = journal_.writer();
    for (const std::pair<const std::string, job>& entry : table_.jobs()) {
        const job& j = entry.second;
        items.push_back(
            {"accept", writer, j.offset, to_json(accept_item{j.id, j.what, j.max_attempts})});
        Json::Value intent;
        for (std::size_t i = 0; i < j.tasks.size(); ++i) {
            const job_task& t = j.tasks[i];
            if (t.intent == intent_state::durable) {
                intent["tasks"].append(static_cast<Json::UInt64>(i));
            }
            if (is_over(t.phase)) {
                items.push_back({"task_end", writer, j.offset,
                                 to_json(task_end_item{j.id, i, t.phase, t.result})});
            }
        }
        intent["id"] = j.id;
        if (intent.isMember("tasks")) {
            intent["type"] = "task_intent";
            items.push_back({"task_intent", writer, j.offset, intent});
        }
        intent.removeMember("tasks");
        if (j.cancelled) {
            intent["type"] = "cancel";
            items.push_back({"cancel", writer, j.offset, intent});
        }
        if (j.ending != outcome::pending) {
            intent["type"] = "job_ending";
            intent["outcome"] = std::string(name_of(j.ending));
            items.push_back({"job_ending", writer, j.offset, intent});
        }
    }
}

} // namespace sesamesill
