// Outlier ejection: endpoints that fail or stall are taken out for a while and come back slowly.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

struct ejection_policy {
    std::int32_t failures = 5;      ///< in a row
    double max_ejected_ratio = 0.2; ///< of the known endpoints; one may always be out
    millis base_ejection{2000};     ///< doubles with each ejection in a row
    millis max_ejection{60000};
    millis return_ramp{5000};     ///< from the first probe that passed to full weight
    double return_weight = 0.125; ///< at the start of the ramp
};

class ejection {
public:
    explicit ejection(ejection_policy policy = {}) : policy_(policy) {}

    void add(const std::string& name);
    void remove(const std::string& name);

    void on_success(const std::string& name);
    /// Counts one failure; returns true where it takes the endpoint out.
    bool on_failure(const std::string& name, time_point now);
    /// Returns whether the endpoint is out and may be probed now.
    bool wants_probe(const std::string& name, time_point now) const;
    /// Keeps further probes away until this one has ended or is surely lost.
    void on_probe_sent(const std::string& name, time_point now);
    void on_probe(const std::string& name, bool passed, time_point now);

    bool is_ejected(const std::string& name) const;
    /// Returns the part of its slots that may be used: 0 while out, growing after its return.
    double weight(const std::string& name, time_point now) const;
    std::size_t ejected() const { return ejected_; }

private:
    static constexpr millis probe_interval{1000};

    struct record {
        std::int32_t failures = 0; ///< in a row
        std::int32_t ejections = 0;
        bool ejected = false;
        bool returning = false;
        time_point next_probe;  ///< while out: no probe before
        time_point returned_at; ///< while returning: start of the ramp
    };

    millis ejection_time(const record& r) const;

    ejection_policy policy_;
    std::map<std::string, record> records_;
    std::size_t ejected_ = 0; ///< records with `ejected`, at most max(1, max_out_ratio of all)
};

} // namespace sesamesill
