// Simulates the VM list: starts from a file and shows changes after a configurable delay.

#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "common.h"

DEFINE_string(listen, "127.0.0.1:7002", "address and port to listen on");
DEFINE_string(vms, "", "file with the initial list, {\"vms\":[...]}");
DEFINE_int64(lag_ms, 0, "delay before a change becomes visible");
DEFINE_string(journal, "/dev/null", "file that changes are journalled to when they become visible");

namespace {

using namespace standin;

/// Merges `change` into the entry of the same name or adds it; removes the entry if the resulting
/// state is "gone".
void apply_change(Json::Value& list, const Json::Value& change)
{
    Json::Value kept(Json::arrayValue);
    Json::Value merged = change;
    for (const Json::Value& entry : list["vms"]) {
        if (entry["name"] != change["name"]) {
            kept.append(entry);
            continue;
        }
        merged = entry;
        for (const std::string& key : change.getMemberNames()) {
            merged[key] = change[key];
        }
    }
    if (merged["state"].asString() != "gone") {
        kept.append(merged);
    }
    list["vms"] = kept;
    list["version"] = list.get("version", 0).asInt64() + 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_vms);
    std::stringstream content;
    content << file.rdbuf();
    Json::Value list = json_from(content.str()).value_or(Json::Value(Json::objectValue));
    event_loop loop;
    journal change_journal(FLAGS_journal);
    http_server server(loop);
    bool down = false;
    server.route("GET", "/vms", [&](const http_request&, const http_respond& respond) {
        respond(down ? error_reply(503, "down") : json_reply(200, list));
    });
    server.route("POST", "/admin/set", [&](const http_request& r, const http_respond& respond) {
        const std::optional<Json::Value> change = json_from(r.body);
        if (!change || !change->isObject()) {
            respond(error_reply(400, "body: must be a JSON object"));
            return;
        }
        loop.after(millis(FLAGS_lag_ms), [&list, &change_journal, change] {
            apply_change(list, *change);
            Json::Value line;
            line["vm"] = (*change)["name"];
            change_journal.write((*change)["state"].asString(), line);
        });
        respond(json_reply(200, *change));
    });
    server.route("POST", "/admin/mode", [&](const http_request& r, const http_respond& respond) {
        const std::optional<Json::Value> mode = json_from(r.body);
        down = mode && mode->isObject() && (*mode)["down"].asBool();
        respond(json_reply(200, Json::Value(down)));
    });
    error why;
    if (!server.listen(endpoint_from(FLAGS_listen).value_or(endpoint{}), why)) {
        std::cerr << to_string(why) << '\n';
        return 1;
    }
    stop_on_signals(loop);
    loop.run();
    return 0;
}
