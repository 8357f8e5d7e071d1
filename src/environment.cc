// Parses environment documents. Tables list the sections and keys and how to read each value.

#include "sesamesill/environment.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include <xxhash.h>

#include "environment_check.h"
#include "ini_text.h"
#include "sesamesill/names.h"
#include "unit_text.h"

namespace sesamesill {
namespace {

constexpr name_table<priority_band, 4> band_names{{{priority_band::background, "background"},
                                                   {priority_band::normal, "normal"},
                                                   {priority_band::high, "high"},
                                                   {priority_band::urgent, "urgent"}}};

/// Reads one value into its owner. Returns the reason if the text is invalid, or "".
template<typename Owner>
using value_reader = std::string (*)(Owner& owner, const std::string& text);

template<typename Owner>
struct known_key {
    std::string_view key;
    value_reader<Owner> read;
    bool required = false;
};

template<typename Value, typename Target>
std::string assign(const std::optional<Value>& value, Target& target, const char* expected)
{
    if (!value) {
        return std::string("must be ") + expected;
    }
    target = static_cast<Target>(*value);
    return {};
}

template<auto Member, typename Owner>
std::string read_text(Owner& owner, const std::string& text)
{
    owner.*Member = text;
    return text.empty() ? "must not be empty" : "";
}

template<auto Member, typename Owner>
std::string read_duration(Owner& owner, const std::string& text)
{
    return assign(duration_from(text), owner.*Member,
                  "a time with unit, like 800 ms, 5 s or 2 min");
}

template<auto Member, typename Owner>
std::string read_count(Owner& owner, const std::string& text)
{
    return assign(count_from(text), owner.*Member, "a whole number of 0 or more");
}

template<auto Member, typename Owner>
std::string read_ratio(Owner& owner, const std::string& text)
{
    const std::optional<double> ratio = ratio_from(text);
    if (ratio && *ratio > 1.0) {
        return "must not be above 1";
    }
    return assign(ratio, owner.*Member, "a ratio from 0 to 1, like 0.2 or 20%");
}

template<auto Member, typename Owner>
std::string read_positive(Owner& owner, const std::string& text)
{
    const std::optional<double> number =
        text.find('%') == std::string::npos ? ratio_from(text) : std::nullopt;
    if (number && *number <= 0.0) {
        return "must be above 0";
    }
    return assign(number, owner.*Member, "a number above 0");
}

template<auto Member, typename Owner>
std::string read_rate(Owner& owner, const std::string& text)
{
    return assign(rate_from(text), owner.*Member, "a rate, like 200/s");
}

template<auto Member, typename Owner>
std::string read_flag(Owner& owner, const std::string& text)
{
    return assign(flag_from(text), owner.*Member, "yes or no");
}

template<auto Member, typename Owner>
std::string read_cores(Owner& owner, const std::string& text)
{
    return assign(cpu_millis_from(text), (owner.*Member).cpu_millis,
                  "processors with unit, like 16 cores");
}

template<auto Member, typename Owner>
std::string read_memory(Owner& owner, const std::string& text)
{
    return assign(memory_mb_from(text), (owner.*Member).memory_mb,
                  "memory with unit, like 512 MB or 64 GB");
}

template<auto Member, typename Owner>
std::string read_accelerators(Owner& owner, const std::string& text)
{
    return assign(count_from(text), (owner.*Member).accelerators, "a whole number of 0 or more");
}

std::string read_kind(class_policy& c, const std::string& text)
{
    return assign(work_kind_from(text), c.kind, "call, service, batch or gang");
}

std::string read_priority(class_policy& c, const std::string& text)
{
    return assign(priority_band_from(text), c.priority, "background, normal, high or urgent");
}

const std::vector<known_key<environment>> environment_keys{
    {"name", read_text<&environment::name>, true},
};

const std::vector<known_key<cell_policy>> cell_keys{
    {"cores", read_cores<&cell_policy::size>},
    {"memory", read_memory<&cell_policy::size>},
    {"accelerators", read_accelerators<&cell_policy::size>},
    {"worker_cores", read_cores<&cell_policy::worker_size>},
    {"worker_memory", read_memory<&cell_policy::worker_size>},
    {"worker_accelerators", read_accelerators<&cell_policy::worker_size>},
    {"network_delay", read_duration<&cell_policy::network_delay>},
};

const std::vector<known_key<service_policy>> service_keys{
    {"connect_timeout", read_duration<&service_policy::connect_timeout>, true},
    {"first_byte_timeout", read_duration<&service_policy::first_byte_timeout>},
};

const std::vector<known_key<organisation_policy>> organisation_keys{
    {"weight", read_positive<&organisation_policy::weight>, true},
    {"quota_cores", read_cores<&organisation_policy::quota>, true},
    {"quota_memory", read_memory<&organisation_policy::quota>, true},
    {"quota_accelerators", read_accelerators<&organisation_policy::quota>},
    {"rate", read_rate<&organisation_policy::rate>},
};

const std::vector<known_key<class_policy>> class_keys{
    {"kind", read_kind, true},
    {"service", read_text<&class_policy::service>},
    {"priority", read_priority, true},
    {"idempotent", read_flag<&class_policy::idempotent>, true},
    {"deadline", read_duration<&class_policy::deadline>, true},
    {"queue_limit", read_count<&class_policy::queue_limit>, true},
    {"max_tasks", read_count<&class_policy::max_tasks>},
    {"max_attempts", read_count<&class_policy::max_attempts>},
    {"may_preempt", read_flag<&class_policy::may_preempt>},
    {"preemptible", read_flag<&class_policy::preemptible>},
    {"min_available", read_count<&class_policy::min_available>},
    {"max_per_rack", read_count<&class_policy::max_per_rack>},
    {"rate", read_rate<&class_policy::rate>},
};

const std::vector<known_key<placement_policy>> placement_keys{
    {"waiting_weight", read_ratio<&placement_policy::waiting_weight>},
    {"size_margin", read_ratio<&placement_policy::size_margin>},
    {"max_out_ratio", read_ratio<&placement_policy::max_out_ratio>},
    {"ageing", read_duration<&placement_policy::ageing>},
    {"reservation", read_duration<&placement_policy::reservation>},
};

const std::vector<known_key<retry_policy>> retry_keys{
    {"budget_ratio", read_ratio<&retry_policy::budget_ratio>},
    {"base_backoff", read_duration<&retry_policy::base_backoff>},
    {"max_backoff", read_duration<&retry_policy::max_backoff>},
};

const std::vector<known_key<leaving_policy>> leaving_keys{
    {"drain_limit", read_duration<&leaving_policy::drain_limit>},
};

template<typename Owner>
std::vector<std::string_view> names_of(const std::vector<known_key<Owner>>& keys)
{
    std::vector<std::string_view> names;
    names.reserve(keys.size());
    for (const known_key<Owner>& k : keys) {
        names.push_back(k.key);
    }
    return names;
}

template<typename Owner>
void read_section(const ini_section& section, const std::vector<known_key<Owner>>& keys,
                  Owner& owner, std::vector<fault>& faults)
{
    for (const ini_entry& entry : section.entries) {
        const auto known = std::find_if(keys.begin(), keys.end(), [&](const known_key<Owner>& k) {
            return k.key == entry.key;
        });
        if (known == keys.end()) {
            faults.push_back({entry.line, section.title, entry.key, "unknown key",
                              nearest_name(entry.key, names_of(keys))});
            continue;
        }
        const std::string reason = known->read(owner, entry.value);
        if (!reason.empty()) {
            faults.push_back({entry.line, section.title, entry.key, reason, ""});
        }
    }
    for (const known_key<Owner>& k : keys) {
        const bool present =
            std::any_of(section.entries.begin(), section.entries.end(),
                        [&](const ini_entry& entry) { return entry.key == k.key; });
        if (k.required && !present) {
            faults.push_back({section.line, section.title, std::string(k.key), "must be set", ""});
        }
    }
}

constexpr std::string_view attribute_prefix = "require.";

void read_class(const ini_section& section, const std::string& name, environment& document,
                std::vector<fault>& faults)
{
    class_policy policy;
    policy.name = name;
    ini_section policy_section = section;
    policy_section.entries.clear();
    for (const ini_entry& entry : section.entries) {
        if (entry.key.compare(0, attribute_prefix.size(), attribute_prefix) == 0) {
            policy.required_attributes[entry.key.substr(attribute_prefix.size())] = entry.value;
        }
        else {
            policy_section.entries.push_back(entry);
        }
    }
    read_section(policy_section, class_keys, policy, faults);
    document.classes[name] = std::move(policy);
}

void read_service(const ini_section& section, const std::string& name, environment& document,
                  std::vector<fault>& faults)
{
    service_policy policy;
    policy.name = name;
    read_section(section, service_keys, policy, faults);
    document.services[name] = std::move(policy);
}

void read_organisation(const ini_section& section, const std::string& name, environment& document,
                       std::vector<fault>& faults)
{
    organisation_policy policy;
    policy.name = name;
    read_section(section, organisation_keys, policy, faults);
    document.organisations[name] = std::move(policy);
}

using section_reader = void (*)(const ini_section& section, const std::string& name,
                                environment& document, std::vector<fault>& faults);

struct known_section {
    std::string_view title; ///< ends in a space if a name follows
    section_reader read;
};

const std::vector<known_section> known_sections{
    {"environment", [](const ini_section& s, const std::string&, environment& e,
                       std::vector<fault>& f) { read_section(s, environment_keys, e, f); }},
    {"cell", [](const ini_section& s, const std::string&, environment& e,
                std::vector<fault>& f) { read_section(s, cell_keys, e.cell, f); }},
    {"policy", [](const ini_section& s, const std::string&, environment& e,
                  std::vector<fault>& f) { read_section(s, placement_keys, e.placement, f); }},
    {"retry", [](const ini_section& s, const std::string&, environment& e,
                 std::vector<fault>& f) { read_section(s, retry_keys, e.retry, f); }},
    {"leaving", [](const ini_section& s, const std::string&, environment& e,
                   std::vector<fault>& f) { read_section(s, leaving_keys, e.leaving, f); }},
    {"service ", read_service},
    {"organisation ", read_organisation},
    {"class ", read_class},
};

void read_any_section(const ini_section& section, environment& document, std::vector<fault>& faults)
{
    std::vector<std::string_view> titles;
    for (const known_section& known : known_sections) {
        titles.push_back(known.title);
        const bool takes_name = known.title.back() == ' ';
        if (takes_name && section.title.compare(0, known.title.size(), known.title) == 0 &&
            section.title.size() > known.title.size()) {
            known.read(section, section.title.substr(known.title.size()), document, faults);
            return;
        }
        if (!takes_name && section.title == known.title) {
            known.read(section, "", document, faults);
            return;
        }
    }
    const std::string first_word = section.title.substr(0, section.title.find(' ') + 1);
    faults.push_back({section.line, section.title, "", "unknown section",
                      nearest_name(first_word.empty() ? section.title : first_word, titles)});
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
    if (f.line > 0) {
        out << "line " << f.line << ": ";
    }
    if (!f.section.empty()) {
        out << "[" << f.section << "] ";
    }
    if (!f.key.empty()) {
        out << f.key << ": ";
    }
    out << f.reason;
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
    constexpr std::size_t max_document_bytes = std::size_t{512} * 1024;
    if (text.size() > max_document_bytes) {
        faults.push_back({0, "", "", "a document must be at most 512 KB", ""});
        return std::nullopt;
    }
    const std::optional<std::vector<ini_section>> sections = read_ini_text(text, faults);
    if (!sections) {
        return std::nullopt;
    }
    environment document;
    document.text = std::string(text);
    document.digest = digest_of(text);
    for (const ini_section& section : *sections) {
        read_any_section(section, document, faults);
    }
    if (faults.empty()) {
        check_environment(document, *sections, faults);
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const fault& a, const fault& b) { return a.line < b.line; });
    return faults.empty() ? std::optional<environment>(std::move(document)) : std::nullopt;
}

std::vector<environment_change> diff_environments(std::string_view before, std::string_view after)
{
    std::map<std::pair<std::string, std::string>, environment_change> entries;
    std::vector<fault> ignored;
    for (const ini_section& s :
         read_ini_text(before, ignored).value_or(std::vector<ini_section>())) {
        for (const ini_entry& e : s.entries) {
            entries[{s.title, e.key}] = {s.title, e.key, e.value, ""};
        }
    }
    for (const ini_section& s :
         read_ini_text(after, ignored).value_or(std::vector<ini_section>())) {
        for (const ini_entry& e : s.entries) {
            environment_change& change = entries[{s.title, e.key}];
            change.section = s.title;
            change.key = e.key;
            change.after = e.value;
        }
    }
    std::vector<environment_change> result;
    for (std::pair<const std::pair<std::string, std::string>, environment_change>& entry :
         entries) {
        if (entry.second.before != entry.second.after) {
            result.push_back(std::move(entry.second));
        }
    }
    return result;
}

} // namespace sesamesill
