// Connects the request table with the log, the cell and the callers. A member runs a request only
// after it has read back its own intent as the first of the key in the log.

#include "key_service.h"

namespace sesamesill {
namespace {

constexpr millis advance_interval{5};

request_limits limits_from(const node_settings& settings)
{
    request_limits limits;
    limits.retention = settings.key_retention;
    limits.intent_first = !is_disabled(settings, "intent");
    limits.remember = !is_disabled(settings, "dedup");
    return limits;
}

} // namespace

key_service::key_service(event_loop& loop, cell_service& cell, journal_service& journal,
                         const node_settings& settings)
    : loop_(loop), cell_(cell), journal_(journal), lease_(settings.lease),
      retention_(settings.key_retention), table_(journal.writer(), limits_from(settings))
{
    cell_.on_change([this] { update_members(); });
    journal_.on("intent", [this](const journal_item& item) {
        const std::string id = item.value["id"].asString();
        if (item.writer == journal_.writer()) {
            tickets_.erase(id);
        }
        execute(table_.intent_read(id, item.writer, view(), cell_.may_act(id), boot_clock::now()));
    });
    journal_.on("ending", [this](const journal_item& item) {
        const outcome final_outcome =
            outcome_from(item.value["outcome"].asString()).value_or(outcome::unknown);
        execute(table_.outcome_read(item.value["id"].asString(), item.writer, final_outcome,
                                    item.value["body"].asString(), boot_clock::now()));
    });
    journal_.add_snapshot_source(
        "cell", [this](std::vector<journal_item>& items) { add_to_snapshot(items); });
    loop_.every(advance_interval, [this] { execute(table_.advance(view(), boot_clock::now())); });
}

void key_service::add_to_snapshot(std::vector<journal_item>& items) const
{
    table_.for_each([&items](const std::string& id, const std::string& writer,
                             outcome final_outcome, const std::string& body) {
        Json::Value value;
        value["type"] = final_outcome == outcome::pending ? "intent" : "ending";
        value["id"] = id;
        if (final_outcome != outcome::pending) {
            value["outcome"] = std::string(name_of(final_outcome));
            value["body"] = body;
        }
        items.push_back({value["type"].asString(), writer, 0, std::move(value)});
    });
}

void key_service::update_members()
{
    std::vector<std::string> names;
    for (const member& m : cell_.members()) {
        names.push_back(m.name);
    }
    if (names != members_) {
        members_.swap(names);
        members_since_ = boot_clock::now();
        journal_.set_members(members_.size(),
                             !members_.empty() && members_.front() == cell_.self());
    }
}

bool key_service::current() const
{
    return journal_.last_read_start() > members_since_ + lease_;
}

request_view key_service::view() const
{
    const bool complete =
        journal_.complete("cell") || (journal_.caught_up() && !journal_.halted() &&
                                      boot_clock::now() > journal_.trimmed_at("cell") + retention_);
    return {complete, current()};
}

void key_service::begin(const std::string& id, time_point deadline, key_done done)
{
    const caller_id caller = next_caller_++;
    callers_.emplace(caller, std::move(done));
    execute(table_.begin({id, caller, deadline}, view(), boot_clock::now()));
}

void key_service::end(const std::string& id, outcome final_outcome, const std::string& body)
{
    execute(table_.end(id, final_outcome, body, boot_clock::now()));
}

void key_service::append_outcome(const request_action& action)
{
    Json::Value item;
    item["type"] = "ending";
    item["id"] = action.id;
    item["outcome"] = std::string(name_of(action.final_outcome));
    item["body"] = action.body;
    journal_.append("cell", item, nullptr);
}

void key_service::execute(const request_actions& actions)
{
    for (const request_action& action : actions) {
        switch (action.what) {
        case request_action::kind::append_intent: {
            Json::Value item;
            item["type"] = "intent";
            item["id"] = action.id;
            tickets_[action.id] = journal_.append("cell", item, nullptr);
            break;
        }
        case request_action::kind::withdraw_intent: {
            const auto ticket = tickets_.find(action.id);
            if (ticket != tickets_.end() && journal_.cancel(ticket->second)) {
                tickets_.erase(ticket);
                table_.intent_withdrawn(action.id);
            }
            break;
        }
        case request_action::kind::append_outcome:
            append_outcome(action);
            break;
        case request_action::kind::answer: {
            const auto found = callers_.find(action.caller);
            if (found != callers_.end()) {
                const key_done done = std::move(found->second);
                callers_.erase(found);
                done({action.result, action.final_outcome, action.body, action.why});
            }
            break;
        }
        }
    }
}

} // namespace sesamesill
