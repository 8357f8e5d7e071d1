// A table of member pointers defines which settings exist and how each is parsed.

#include "sesamesill/pool_settings.h"

#include <charconv>
#include <variant>

#include "ini_text.h"

namespace sesamesill::pool {
namespace {

using member_pointer =
    std::variant<std::string daemon_settings::*, endpoint daemon_settings::*,
                 double daemon_settings::*, millis platform_bounds::*, double platform_bounds::*,
                 std::size_t platform_bounds::*, millis configuration_bounds::*>;

using setting = ini_setting<member_pointer>;

const std::vector<setting> known_settings{
    {"member", "name", &daemon_settings::name, true},
    {"member", "data_center", &daemon_settings::data_center, true},
    {"member", "listen", &daemon_settings::listen, true},
    {"member", "readiness_listen", &daemon_settings::readiness_listen, true},
    {"member", "peer_listen", &daemon_settings::peer_listen, true},
    {"member", "peer_address", &daemon_settings::peer_address, false},
    {"member", "metrics_listen", &daemon_settings::metrics_listen, true},
    {"member", "processor_share", &daemon_settings::processor_share, false},
    {"member", "link_mbps", &daemon_settings::link_mbps, false},
    {"member", "memory_mb", &daemon_settings::memory_mb, false},
    {"platform", "store", &daemon_settings::store, true},
    {"platform", "advisor", &daemon_settings::advisor, false},
    {"bounds", "max_lease_ms", &platform_bounds::max_lease, true},
    {"bounds", "stop_timeout_ms", &platform_bounds::stop_timeout, false},
    {"bounds", "gang_timeout_ms", &platform_bounds::gang_timeout, false},
    {"bounds", "drain_limit_ms", &platform_bounds::drain_limit, false},
    {"bounds", "status_kept_s", &platform_bounds::status_kept, false},
    {"bounds", "grace_s", &platform_bounds::grace, false},
    {"bounds", "configuration_limit_ms", &configuration_bounds::limit, false},
    {"bounds", "rollback_slack_ms", &configuration_bounds::rollback_slack, false},
    {"bounds", "remote_factor", &platform_bounds::remote_factor, false},
    {"bounds", "restore_ms", &platform_bounds::restore, false},
    {"bounds", "max_record_bytes", &platform_bounds::max_record_bytes, false},
    {"bounds", "max_append_bytes", &platform_bounds::max_append_bytes, false},
};

std::optional<double> parse_number(const std::string& text)
{
    double value = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

struct value_parser {
    daemon_settings& target;
    const ini_entry& entry;
    std::string reason;

    void operator()(std::string daemon_settings::*member)
    {
        target.*member = entry.value;
        reason = entry.value.empty() ? "must not be empty" : "";
    }

    void operator()(endpoint daemon_settings::*member)
    {
        const std::optional<endpoint> parsed = endpoint_from(entry.value);
        if (parsed) {
            target.*member = *parsed;
        }
        else if (!entry.value.empty()) {
            reason = "must be an IP address and a port, like 10.0.0.1:7100";
        }
    }

    void operator()(millis platform_bounds::*member) { read(target.bounds.*member); }
    void operator()(millis configuration_bounds::*member)
    {
        read(target.bounds.configuration.*member);
    }

    void read(millis& destination)
    {
        constexpr double ms_per_second = 1000;
        const std::optional<double> value = parse_number(entry.value);
        if (!value) {
            reason = entry.value.empty() ? "" : "must be a number of at least 0";
            return;
        }
        const bool in_seconds =
            entry.key.size() > 2 && entry.key.compare(entry.key.size() - 3, 3, "_ms") != 0;
        destination = millis(static_cast<std::int64_t>(*value * (in_seconds ? ms_per_second : 1)));
    }

    void operator()(std::size_t platform_bounds::*member)
    {
        double value = static_cast<double>(target.bounds.*member);
        read(value);
        target.bounds.*member = static_cast<std::size_t>(value);
    }

    void operator()(double daemon_settings::*member) { read(target.*member); }
    void operator()(double platform_bounds::*member) { read(target.bounds.*member); }

    void read(double& destination)
    {
        const std::optional<double> value = parse_number(entry.value);
        destination = value.value_or(destination);
        if (!value && !entry.value.empty()) {
            reason = "must be a number of at least 0";
        }
    }
};

} // namespace

std::optional<daemon_settings> parse_daemon_settings(std::string_view text,
                                                     std::vector<fault>& faults)
{
    const std::optional<std::vector<ini_section>> sections = read_ini_text(text, faults);
    if (!sections) {
        return std::nullopt;
    }
    daemon_settings result;
    std::vector<bool> is_set(known_settings.size(), false);
    for (const ini_section& section : *sections) {
        for (const ini_entry& entry : section.entries) {
            for (std::size_t i = 0; i < known_settings.size(); ++i) {
                const setting& definition = known_settings[i];
                if (definition.section != section.title || definition.key != entry.key) {
                    continue;
                }
                is_set[i] = !entry.value.empty();
                value_parser parser{result, entry, ""};
                std::visit(parser, definition.member);
                if (!parser.reason.empty()) {
                    faults.push_back({entry.line, section.title, entry.key, parser.reason, ""});
                }
            }
        }
    }
    for (std::size_t i = 0; i < known_settings.size(); ++i) {
        const setting& definition = known_settings[i];
        if (definition.required && !is_set[i]) {
            faults.push_back({0, std::string(definition.section), std::string(definition.key),
                              "must be set", ""});
        }
    }
    if (result.peer_address.port == 0) {
        result.peer_address = result.peer_listen;
    }
    return faults.empty() ? std::optional<daemon_settings>(std::move(result)) : std::nullopt;
}

} // namespace sesamesill::pool
