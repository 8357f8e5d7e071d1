// Runs one cell on loopback: starts daemons and stand-ins, injects faults, checks observations.

#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "../standin/common.h"
#include "invariants.h"
#include "process.h"
#include "report.h"
#include "sesamesill/http.h"

namespace scenario {

struct testbed_options {
    std::string build;     ///< directory of the programs
    std::string source;    ///< root of the sources
    std::string directory; ///< directory of this run: settings, journals, logs
    std::string disable;   ///< mechanisms that the daemons disable, comma-separated
    std::uint16_t first_port = 0;
    std::uint64_t seed = 1;
};

class testbed;

/// A command for scripts. Takes the arguments from Lua in order; returns the result, or returns
/// nothing and sets `why`.
using command = std::optional<Json::Value> (testbed::*)(const Json::Value& arguments,
                                                        std::string& why);

struct named_command {
    const char* name;
    command action;
};

class testbed {
public:
    explicit testbed(testbed_options options);

    static const std::vector<named_command>& commands();
    /// Runs a command. Fails also if the run has already failed: a violation, a crash, a signal.
    std::optional<Json::Value> run(command action, const Json::Value& arguments, std::string& why);

    /// Reads and checks the rest of the journals; returns whether the run succeeded.
    bool finish();
    std::string timeline() const;
    std::string table() const;
    void add_to_timeline(const std::string& text);

private:
    struct tail {
        std::string path;
        std::string load; ///< load that writes this journal, empty for other journals
        std::streamoff offset = 0;
        std::string partial;
    };

    std::optional<Json::Value> start(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> start_entry(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> load(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> wait_load(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> sleep(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> kill(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> freeze(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> thaw(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> stop(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> wait_exit(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> cut(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> log(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> trim(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> vm(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> vms_mode(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> endpoint_mode(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> publish(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> get(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> post(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> post_all(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> in_force(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> read_file(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> figures(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> expect(const Json::Value& arguments, std::string& why);
    std::optional<Json::Value> say(const Json::Value& arguments, std::string& why);

    bool start_standins(const Json::Value& options, std::string& why);
    Json::Value vm_list(const Json::Value& options) const;
    Json::Value entry_vm(int index) const;
    bool launch_entry(const std::string& name, std::string& why);
    bool wait_ready(const std::vector<std::string>& names, std::string& why);
    bool signal(const std::string& name, int number, std::string& why);
    std::optional<sesamesill::endpoint> address_of(const std::string& name) const;
    sesamesill::endpoint port(int offset) const;
    /// Sends one request and waits for its answer; the checks continue meanwhile.
    std::optional<sesamesill::http_reply> send_request(const sesamesill::endpoint& to,
                                                       sesamesill::http_call call);
    std::optional<Json::Value> post_json(const sesamesill::endpoint& to, const std::string& path,
                                         const Json::Value& body, std::string& why);
    /// Runs the event loop with its checks until `finished` returns true or until the time `until`.
    void wait(sesamesill::time_point until, const std::function<bool()>& finished);
    void tick();
    void poll_documents();
    void read_journals();
    void record(const tail& from, const std::string& line);
    void collect_exited();
    bool has_failed(std::string& why) const;
    std::string path(const std::string& file) const { return options_.directory + "/" + file; }

    testbed_options options_;
    sesamesill::event_loop loop_;
    sesamesill::http_client client_;
    standin::journal journal_;
    process_group processes_;
    std::vector<tail> tails_;
    invariant_checker checker_;
    run_report report_;
    std::map<std::string, run_report> load_reports_; ///< by name of the load
    std::vector<std::string> timeline_;
    std::set<std::string> entries_;        ///< entries that should be up
    std::set<std::string> expected_exits_; ///< processes that may end without failing the run
    std::map<std::string, int> exits_;     ///< status of processes that ended
    std::map<std::string, std::uint64_t> versions_; ///< entry: version of the last document seen
    std::string settings_;                          ///< lines added to the settings of each entry
    int loads_ = 0;
    bool interrupted_ = false;
    std::string failure_;
    sesamesill::time_point start_time_;
};

/// Returns the first port of a free block of ports, or nothing. An open socket on the last port
/// of the block reserves it until the process ends.
std::optional<std::uint16_t> reserve_port_block(std::uint16_t from, std::uint16_t until);

} // namespace scenario
