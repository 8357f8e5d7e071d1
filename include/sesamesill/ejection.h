// Outlier ejection: an endpoint that fails or stalls repeatedly gets no calls for some time, and
// its load ramps up slowly after it passes a probe.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sesamesill/clock.h"

namespace sesamesill {

struct ejection_policy {
    std::int32_t failures = 5;      ///< consecutive failures that eject an endpoint
    double max_ejected_ratio = 0.2; ///< of the known endpoints; one may always be ejected
    millis base_ejection{2000};     ///< doubles with each ejection and each failed probe
    millis max_ejection{60000};
    millis return_ramp{5000};     ///< time from the first passed probe to full weight
    double return_weight = 0.125; ///< weight at the start of the ramp
};

class ejection {
public:
    explicit ejection(ejection_policy policy = {}) : policy_(policy) {}

    void add(const std::string& name);
    void remove(const std::string& name);

    void on_success(const std::string& name);
    /// Counts one failure; returns true if it ejects the endpoint.
    bool on_failure(const std::string& name, time_point now);
    /// Returns whether the endpoint is ejected and a probe is due.
    bool wants_probe(const std::string& name, time_point now) const;
    /// Delays the next probe until this one has ended or has timed out.
    void on_probe_sent(const std::string& name, time_point now);
    /// Ends the ejection if the probe passed, else extends it.
    void on_probe(const std::string& name, bool passed, time_point now);

    bool is_ejected(const std::string& name) const;
    /// Returns the fraction of its slots that may be used: 0 while ejected, growing to 1
    /// afterwards.
    double weight(const std::string& name, time_point now) const;
    std::size_t ejected() const { return ejected_; }

private:
    static constexpr millis probe_interval{1000};

    struct record {
        std::int32_t failures = 0; ///< consecutive
        std::int32_t ejections = 0;
        bool ejected = false;
        bool returning = false;
        time_point next_probe;  ///< while ejected: earliest time of the next probe
        time_point returned_at; ///< while `returning`: start of the ramp
    };

    millis ejection_time(const record& r) const;

    ejection_policy policy_;
    std::map<std::string, record> records_;
    std::size_t ejected_ = 0; ///< records with `ejected`, at most max(1, max_ejected_ratio of all)
};

} // namespace sesamesill
