// Parses and checks environment documents.

#include "sesamesill/environment.h"

#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <xxhash.h>

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<priority_band, 4> band_names{{{priority_band::background, "background"},
                                                   {priority_band::normal, "normal"},
                                                   {priority_band::high, "high"},
                                                   {priority_band::urgent, "urgent"}}};

using tree = boost::property_tree::ptree;

tenant_policy tenant_from(const std::string& name, const tree& section)
{
    tenant_policy tenant;
    tenant.name = name;
    tenant.weight = section.get<double>("weight", 1.0);
    tenant.quota = {section.get<std::int64_t>("quota_cores", 1000000) * 1000,
                    section.get<std::int64_t>("quota_memory_mb", 1000000000),
                    section.get<std::int64_t>("quota_accelerators", 1000000)};
    return tenant;
}

class_policy class_from(const std::string& name, const tree& section)
{
    class_policy c;
    c.name = name;
    c.kind = work_kind_from(section.get<std::string>("kind", "call")).value_or(work_kind::call);
    c.service = section.get<std::string>("service", "");
    c.priority =
        priority_band_from(section.get<std::string>("priority", "normal")).value_or(c.priority);
    c.idempotent = section.get<std::string>("idempotent", "yes") == "yes";
    c.deadline = millis(section.get<std::int64_t>("deadline_ms", 1000));
    c.queue_limit = section.get<std::int64_t>("queue_limit", 1000);
    c.max_tasks = section.get<std::int64_t>("max_tasks", 1000);
    c.max_attempts = section.get<std::int32_t>("max_attempts", 3);
    return c;
}

} // namespace

std::string_view name_of(priority_band band)
{
    return name_in(band_names, band);
}

std::optional<priority_band> priority_band_from(std::string_view name)
{
    return value_in(band_names, name);
}

std::string to_string(const fault& f)
{
    std::ostringstream out;
    out << "line " << f.line << ": [" << f.section << "] " << f.key << ": " << f.reason;
    if (!f.nearest.empty()) {
        out << ", did you mean " << f.nearest << "?";
    }
    return out.str();
}

std::string digest_of(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return hex;
}

std::optional<environment> parse_environment(std::string_view text, std::vector<fault>& faults)
{
    environment result;
    result.text = std::string(text);
    result.digest = digest_of(text);
    std::istringstream input(result.text);
    tree document;
    try {
        boost::property_tree::ini_parser::read_ini(input, document);
    }
    catch (const boost::property_tree::ini_parser_error& e) {
        faults.push_back({static_cast<int>(e.line()), "", "", e.message(), ""});
        return std::nullopt;
    }
    for (const tree::value_type& section : document) {
        const std::string& title = section.first;
        if (title.rfind("tenant ", 0) == 0) {
            result.tenants[title.substr(7)] = tenant_from(title.substr(7), section.second);
        }
        else if (title.rfind("class ", 0) == 0) {
            result.classes[title.substr(6)] = class_from(title.substr(6), section.second);
        }
        else if (title == "environment") {
            result.name = section.second.get<std::string>("name", "");
        }
    }
    return result;
}

} // namespace sesamesill
