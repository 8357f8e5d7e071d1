// Checks the rules that span several keys or sections, each group in its own function.

#include "environment_check.h"

#include <algorithm>

namespace sesamesill {
namespace {

class checker {
public:
    checker(const environment& document, const std::vector<ini_section>& sections,
            std::vector<fault>& faults)
        : document_(document), sections_(sections), faults_(faults)
    {
    }

    void check()
    {
        check_presence();
        for (const std::pair<const std::string, organisation_policy>& entry :
             document_.organisations) {
            check_quota(entry.second);
        }
        for (const std::pair<const std::string, class_policy>& entry : document_.classes) {
            check_service(entry.second);
            check_deadline(entry.second);
            check_attempts(entry.second);
            check_preemption(entry.second);
            check_tasks(entry.second);
        }
        check_backoff();
    }

private:
    void add(const std::string& section, const std::string& key, const std::string& reason)
    {
        fault f{0, section, key, reason, ""};
        for (const ini_section& s : sections_) {
            if (s.title != section) {
                continue;
            }
            f.line = s.line;
            for (const ini_entry& e : s.entries) {
                if (e.key == key) {
                    f.line = e.line;
                }
            }
        }
        faults_.push_back(std::move(f));
    }

    bool is_set(const std::string& section, const std::string& key) const
    {
        for (const ini_section& s : sections_) {
            if (s.title == section) {
                return std::any_of(s.entries.begin(), s.entries.end(),
                                   [&](const ini_entry& e) { return e.key == key; });
            }
        }
        return false;
    }

    void check_presence()
    {
        if (document_.name.empty()) {
            add("environment", "name", "must be set");
        }
        if (document_.organisations.empty()) {
            add("organisation NAME", "", "at least one organisation is needed");
        }
        if (document_.classes.empty()) {
            add("class NAME", "", "at least one class is needed");
        }
    }

    void check_quota(const organisation_policy& policy)
    {
        const std::string section = "organisation " + policy.name;
        const resources& cell = document_.cell.size;
        if (policy.quota.cpu_millis == 0 || policy.quota.memory_mb == 0) {
            add(section, policy.quota.cpu_millis == 0 ? "quota_cores" : "quota_memory",
                "must be above 0, otherwise no work of this organisation can run");
        }
        if (cell.cpu_millis > 0 && policy.quota.cpu_millis > cell.cpu_millis) {
            add(section, "quota_cores", "is above the cell's own cores");
        }
        if (cell.memory_mb > 0 && policy.quota.memory_mb > cell.memory_mb) {
            add(section, "quota_memory", "is above the cell's own memory");
        }
        if (cell.accelerators > 0 && policy.quota.accelerators > cell.accelerators) {
            add(section, "quota_accelerators", "is above the cell's own accelerators");
        }
    }

    void check_service(const class_policy& c)
    {
        const std::string section = "class " + c.name;
        if (c.kind != work_kind::call) {
            if (!c.service.empty()) {
                add(section, "service", "only classes of kind call name a service");
            }
            return;
        }
        if (c.service.empty()) {
            add(section, "service", "must be set for classes of kind call");
        }
        else if (document_.services.count(c.service) == 0) {
            std::vector<std::string_view> known;
            for (const std::pair<const std::string, service_policy>& s : document_.services) {
                known.push_back(s.first);
            }
            add(section, "service", "no section [service " + c.service + "]");
            faults_.back().nearest = nearest_name(c.service, known);
        }
    }

    void check_deadline(const class_policy& c)
    {
        const millis round_trip = 2 * document_.cell.network_delay;
        if (c.deadline <= round_trip) {
            add("class " + c.name, "deadline",
                "must be above the network's own delay of " + std::to_string(round_trip.count()) +
                    " ms for a round trip");
        }
    }

    void check_attempts(const class_policy& c)
    {
        const std::string section = "class " + c.name;
        if (c.max_attempts < 1 || c.max_attempts > 10) {
            add(section, "max_attempts", "must be from 1 to 10");
        }
        if (!c.idempotent && c.max_attempts > 1) {
            add(section, "max_attempts", "must be 1 where idempotent = no");
        }
        if (c.queue_limit < 1) {
            add(section, "queue_limit", "must be at least 1");
        }
    }

    void check_preemption(const class_policy& c)
    {
        const std::string section = "class " + c.name;
        if (c.kind == work_kind::call && (c.may_preempt || c.preemptible)) {
            add(section, c.may_preempt ? "may_preempt" : "preemptible", "calls hold no worker");
        }
        if (c.may_preempt && c.priority < priority_band::high) {
            add(section, "may_preempt", "needs priority high or urgent");
        }
        if (c.preemptible && c.priority == priority_band::urgent) {
            add(section, "preemptible", "urgent work is not preemptible");
        }
    }

    void check_tasks(const class_policy& c)
    {
        const std::string section = "class " + c.name;
        if (c.kind == work_kind::call) {
            if (is_set(section, "max_tasks")) {
                add(section, "max_tasks", "calls have no tasks");
            }
        }
        else if (c.max_tasks < 1) {
            add(section, "max_tasks", "must be at least 1 for classes of jobs");
        }
        if (c.kind != work_kind::service && (c.min_available > 0 || c.max_per_rack > 0)) {
            add(section, c.min_available > 0 ? "min_available" : "max_per_rack",
                "only classes of kind service have it");
        }
        if (c.kind == work_kind::service && c.min_available > c.max_tasks) {
            add(section, "min_available", "is above max_tasks");
        }
    }

    void check_backoff()
    {
        if (document_.retry.base_backoff > document_.retry.max_backoff) {
            add("retry", "base_backoff", "is above max_backoff");
        }
    }

    const environment& document_;
    const std::vector<ini_section>& sections_;
    std::vector<fault>& faults_;
};

} // namespace

void check_environment(const environment& document, const std::vector<ini_section>& sections,
                       std::vector<fault>& faults)
{
    checker(document, sections, faults).check();
}

} // namespace sesamesill
