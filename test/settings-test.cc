// Tests of the daemon's settings and operators' keys. They guard against invalid settings that are
// accepted, errors that name the wrong setting, and operators with access to other environments.

#include <criterion/criterion.h>

#include "operators.h"
#include "sesamesill/settings.h"

using namespace sesamesill;

namespace {

const std::string minimal_settings =
    "[node]\nname = e1\ndata_center = dc1\nenvironment = production\n"
    "listen = 127.0.0.1:7101\npeer_listen = 127.0.0.1:7201\n"
    "[platform]\nlog = 127.0.0.1:7001\nvm_list = 127.0.0.1:7002\n";

std::string fault_of(const std::string& text)
{
    std::vector<fault> faults;
    cr_assert_not(parse_settings(text, faults).has_value());
    return to_string(faults.front());
}

} // namespace

Test(settings, required_settings_are_sufficient)
{
    std::vector<fault> faults;
    const std::optional<node_settings> s = parse_settings(minimal_settings, faults);
    cr_assert(s.has_value());
    cr_assert_eq(s->listen.port, 7101);
    cr_assert(s->operators.empty());
    cr_assert_not(is_disabled(*s, "seal"));
}

Test(settings, heartbeat_period_has_a_default)
{
    std::vector<fault> faults;
    cr_assert_gt(heartbeat_period(*parse_settings(minimal_settings, faults)).count(), 0);
    const std::string set = minimal_settings + "[timing]\nheartbeat_interval_ms = 200\n";
    cr_assert_eq(heartbeat_period(*parse_settings(set, faults)).count(), 200);
}

Test(settings, error_of_a_misspelt_key_names_line_and_similar_key)
{
    cr_assert(fault_of(minimal_settings + "[timing]\nlaese_ms = 5\n") ==
              "line 11: [timing] laese_ms: unknown setting, did you mean lease_ms?");
}

Test(settings, invalid_values_are_rejected_with_a_reason)
{
    cr_assert(fault_of(minimal_settings + "[timing]\nlease_ms = -5\n").find("milliseconds") !=
              std::string::npos);
    cr_assert(fault_of(minimal_settings + "[timing]\nlease_ms = 100\n").find("half of lease_ms") !=
              std::string::npos);
    cr_assert(fault_of("[node]\nlisten = localhost:80\n").find("IP address") != std::string::npos);
    cr_assert(fault_of("[node]\nname = e1\n").find("must be set") != std::string::npos);
}

Test(settings, only_listed_mechanisms_are_disabled)
{
    std::vector<fault> faults;
    const std::optional<node_settings> s =
        parse_settings(minimal_settings + "[test]\ndisable = seal,handover_wait\n", faults);
    cr_assert(is_disabled(*s, "seal") && is_disabled(*s, "handover_wait"));
    cr_assert_not(is_disabled(*s, "handover"));
}

Test(operators, key_is_valid_only_for_its_environments)
{
    std::vector<fault> faults;
    const std::optional<node_settings> s = parse_settings(
        minimal_settings + "[operators]\nmari = long-token trial\njaan = other-token\n", faults);
    http_request request;
    cr_assert_not(operator_of(request, s->operators, "trial").has_value());
    request.headers["authorization"] = "Bearer long-token";
    cr_assert(operator_of(request, s->operators, "trial") == "mari");
    cr_assert_not(operator_of(request, s->operators, "production").has_value());
    request.headers["authorization"] = "Bearer other-token";
    cr_assert(operator_of(request, s->operators, "production") == "jaan");
    request.headers["authorization"] = "Bearer other-tokem";
    cr_assert_not(operator_of(request, s->operators, "production").has_value());
}
