// A table of member pointers says which settings exist and how each is read.

#include "sesamesill/settings.h"

#include <array>
#include <charconv>
#include <sstream>
#include <variant>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace sesamesill {
namespace {

using tree = boost::property_tree::ptree;

using member_pointer = std::variant<std::string node_settings::*, endpoint node_settings::*,
                                    millis node_settings::*, bool node_settings::*>;

struct setting {
    std::string_view section;
    std::string_view key;
    member_pointer member;
    bool required;
};

const std::array<setting, 20> known_settings{{
    {"node", "name", &node_settings::name, true},
    {"node", "data_center", &node_settings::data_center, true},
    {"node", "environment", &node_settings::environment, true},
    {"node", "listen", &node_settings::listen, true},
    {"node", "peer_listen", &node_settings::peer_listen, true},
    {"node", "drain_limit_ms", &node_settings::drain_limit, false},
    {"platform", "log", &node_settings::log, true},
    {"platform", "vm_list", &node_settings::vm_list, true},
    {"platform", "log_timeout_ms", &node_settings::log_timeout, false},
    {"platform", "vm_list_interval_ms", &node_settings::vm_list_interval, false},
    {"timing", "commit_interval_ms", &node_settings::commit_interval, false},
    {"timing", "snapshot_interval_ms", &node_settings::snapshot_interval, false},
    {"timing", "key_retention_ms", &node_settings::key_retention, false},
    {"timing", "heartbeat_interval_ms", &node_settings::heartbeat_interval, false},
    {"timing", "lease_ms", &node_settings::lease, false},
    {"timing", "sync_interval_ms", &node_settings::sync_interval, false},
    {"timing", "task_lease_ms", &node_settings::task_lease, false},
    {"operators", "token", &node_settings::operator_token, false},
    {"test", "faults", &node_settings::faults, false},
    {"test", "disable", &node_settings::disable, false},
}};

/// Returns the line on which `key` stands in `section`, 0 where it cannot be found.
int line_of(std::string_view text, std::string_view section, std::string_view key)
{
    std::istringstream input{std::string(text)};
    std::string line;
    std::string current;
    for (int number = 1; std::getline(input, line); ++number) {
        const std::size_t begin = line.find_first_not_of(" \t");
        if (begin == std::string::npos) {
            continue;
        }
        if (line[begin] == '[') {
            current = line.substr(begin + 1, line.find(']') - begin - 1);
            if (key.empty() && current == section) {
                return number;
            }
            continue;
        }
        const std::size_t end = line.find_first_of(" \t=", begin);
        if (current == section && line.substr(begin, end - begin) == key) {
            return number;
        }
    }
    return 0;
}

struct value_reader {
    node_settings& target;
    const std::string& text;
    std::string reason;

    void operator()(std::string node_settings::*member)
    {
        target.*member = text;
        if (text.empty()) {
            reason = "must not be empty";
        }
    }

    void operator()(endpoint node_settings::*member)
    {
        const std::optional<endpoint> parsed = endpoint_from(text);
        if (!parsed) {
            reason = "must be an IP number and a port, like 10.0.0.1:7100";
            return;
        }
        target.*member = *parsed;
    }

    void operator()(millis node_settings::*member)
    {
        std::int64_t value = 0;
        const std::from_chars_result read =
            std::from_chars(text.data(), text.data() + text.size(), value);
        if (read.ec != std::errc() || read.ptr != text.data() + text.size() || value <= 0 ||
            value > 86400000) {
            reason = "must be milliseconds between 1 and 86400000";
            return;
        }
        target.*member = millis(value);
    }

    void operator()(bool node_settings::*member)
    {
        if (text != "yes" && text != "no") {
            reason = "must be yes or no";
        }
        target.*member = text == "yes";
    }
};

const setting* find_setting(std::string_view section, std::string_view key)
{
    for (const setting& s : known_settings) {
        if (s.section == section && s.key == key) {
            return &s;
        }
    }
    return nullptr;
}

void check_required(const tree& document, std::vector<fault>& faults)
{
    for (const setting& s : known_settings) {
        const std::string path = std::string(s.section) + "|" + std::string(s.key);
        if (s.required && !document.get_child_optional(tree::path_type(path, '|'))) {
            faults.push_back({0, std::string(s.section), std::string(s.key), "must be set", ""});
        }
    }
}

} // namespace

bool is_disabled(const node_settings& settings, std::string_view mechanism)
{
    std::istringstream names(settings.disable);
    std::string name;
    while (std::getline(names, name, ',')) {
        if (name == mechanism) {
            return true;
        }
    }
    return false;
}

std::optional<node_settings> parse_settings(std::string_view text, std::vector<fault>& faults)
{
    std::istringstream input{std::string(text)};
    tree document;
    try {
        boost::property_tree::ini_parser::read_ini(input, document);
    }
    catch (const boost::property_tree::ini_parser_error& e) {
        faults.push_back({static_cast<int>(e.line()), "", "", e.message(), ""});
        return std::nullopt;
    }
    node_settings result;
    for (const tree::value_type& section : document) {
        for (const tree::value_type& entry : section.second) {
            const setting* known = find_setting(section.first, entry.first);
            const int line = line_of(text, section.first, entry.first);
            if (known == nullptr) {
                faults.push_back({line, section.first, entry.first, "unknown setting", ""});
                continue;
            }
            const std::string value = entry.second.data();
            value_reader reader{result, value, ""};
            std::visit(reader, known->member);
            if (!reader.reason.empty()) {
                faults.push_back({line, section.first, entry.first, reader.reason, ""});
            }
        }
    }
    check_required(document, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    return result;
}

} // namespace sesamesill
