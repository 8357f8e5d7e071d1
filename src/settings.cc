// Parses settings. A table of member pointers lists the settings; the member type selects how to
// read one.

#include "sesamesill/settings.h"

#include <algorithm>
#include <sstream>
#include <variant>

#include "ini_text.h"
#include "unit_text.h"

namespace sesamesill {
namespace {

using member_pointer = std::variant<std::string node_settings::*, endpoint node_settings::*,
                                    millis node_settings::*, bool node_settings::*>;

using setting = ini_setting<member_pointer>;

const std::vector<setting> known_settings{
    {"node", "name", &node_settings::name, true},
    {"node", "data_center", &node_settings::data_center, true},
    {"node", "environment", &node_settings::environment, true},
    {"node", "listen", &node_settings::listen, true},
    {"node", "peer_listen", &node_settings::peer_listen, true},
    {"node", "drain_limit_ms", &node_settings::drain_limit, false},
    {"node", "stop_announce_ms", &node_settings::stop_announce, false},
    {"platform", "log", &node_settings::log, true},
    {"platform", "vm_list", &node_settings::vm_list, true},
    {"platform", "log_timeout_ms", &node_settings::log_timeout, false},
    {"timing", "document_snapshot_interval_ms", &node_settings::document_snapshot_interval, false},
    {"platform", "vm_list_interval_ms", &node_settings::vm_list_interval, false},
    {"platform", "vm_list_lag_ms", &node_settings::vm_list_lag, false},
    {"timing", "commit_interval_ms", &node_settings::commit_interval, false},
    {"timing", "snapshot_interval_ms", &node_settings::snapshot_interval, false},
    {"timing", "key_retention_ms", &node_settings::key_retention, false},
    {"timing", "heartbeat_interval_ms", &node_settings::heartbeat_interval, false},
    {"timing", "lease_ms", &node_settings::lease, false},
    {"timing", "sync_interval_ms", &node_settings::sync_interval, false},
    {"timing", "task_lease_ms", &node_settings::task_lease, false},
    {"test", "faults", &node_settings::faults, false},
    {"test", "disable", &node_settings::disable, false},
};

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
            reason = "must be an IP address and a port, like 10.0.0.1:7100";
            return;
        }
        target.*member = *parsed;
    }

    void operator()(millis node_settings::*member)
    {
        constexpr std::int64_t day_ms = 86400000;
        const std::optional<std::int64_t> value = count_from(text);
        if (!value || *value == 0 || *value > day_ms) {
            reason = "must be milliseconds between 1 and 86400000";
            return;
        }
        target.*member = millis(*value);
    }

    void operator()(bool node_settings::*member)
    {
        const std::optional<bool> value = flag_from(text);
        if (!value) {
            reason = "must be yes or no";
        }
        target.*member = value.value_or(false);
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

std::vector<std::string_view> names_in(std::string_view section)
{
    std::vector<std::string_view> names;
    for (const setting& s : known_settings) {
        if (s.section == section) {
            names.push_back(s.key);
        }
    }
    return names;
}

std::string read_operator(const ini_entry& entry, node_settings& target)
{
    constexpr std::size_t min_token_bytes = 4;
    std::istringstream words(entry.value);
    operator_key key;
    key.name = entry.key;
    words >> key.token;
    std::string environment;
    while (words >> environment) {
        key.environments.push_back(environment);
    }
    if (key.token.size() < min_token_bytes) {
        return "must be a token of at least 4 bytes, followed by the environments that the "
               "operator may change";
    }
    target.operators.push_back(std::move(key));
    return {};
}

std::string read_setting(const ini_section& section, const ini_entry& entry, node_settings& target)
{
    if (section.title == "operators") {
        return read_operator(entry, target);
    }
    const setting* known = find_setting(section.title, entry.key);
    if (known == nullptr) {
        return "unknown setting";
    }
    value_reader reader{target, entry.value, ""};
    std::visit(reader, known->member);
    return reader.reason;
}

void check_required(const std::vector<ini_section>& sections, std::vector<fault>& faults)
{
    for (const setting& s : known_settings) {
        const bool present =
            std::any_of(sections.begin(), sections.end(), [&](const ini_section& section) {
                return section.title == s.section &&
                       std::any_of(section.entries.begin(), section.entries.end(),
                                   [&](const ini_entry& entry) { return entry.key == s.key; });
            });
        if (s.required && !present) {
            faults.push_back({0, std::string(s.section), std::string(s.key), "must be set", ""});
        }
    }
}

/// Rejects combinations of settings that cannot work.
void check_timing(const node_settings& s, std::vector<fault>& faults)
{
    if (heartbeat_period(s) * 2 > s.lease) {
        faults.push_back(
            {0, "timing", "heartbeat_interval_ms", "must be at most half of lease_ms", ""});
    }
    if (s.sync_interval * 2 > s.task_lease) {
        faults.push_back(
            {0, "timing", "sync_interval_ms", "must be at most half of task_lease_ms", ""});
    }
    if (s.listen == s.peer_listen) {
        faults.push_back({0, "node", "peer_listen", "must differ from listen", ""});
    }
}

} // namespace

millis heartbeat_period(const node_settings& settings)
{
    // The byte budget allows this period; it hardly depends on the size of the cell.
    constexpr millis default_period{320};
    return settings.heartbeat_interval > millis(0) ? settings.heartbeat_interval : default_period;
}

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
    const std::optional<std::vector<ini_section>> sections = read_ini_text(text, faults);
    if (!sections) {
        return std::nullopt;
    }
    node_settings result;
    for (const ini_section& section : *sections) {
        for (const ini_entry& entry : section.entries) {
            const std::string reason = read_setting(section, entry, result);
            if (!reason.empty()) {
                faults.push_back({entry.line, section.title, entry.key, reason,
                                  reason == "unknown setting"
                                      ? nearest_name(entry.key, names_in(section.title))
                                      : ""});
            }
        }
    }
    check_required(*sections, faults);
    if (faults.empty()) {
        check_timing(result, faults);
    }
    return faults.empty() ? std::optional<node_settings>(std::move(result)) : std::nullopt;
}

} // namespace sesamesill
