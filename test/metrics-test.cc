// Tests of the Prometheus text format and of the estimated quantiles. They guard against unescaped
// labels, buckets that aren't cumulative and quantiles that are far off.

#include <criterion/criterion.h>

#include "sesamesill/metrics.h"

using namespace sesamesill;

Test(metrics, text_has_labels_and_cumulative_buckets)
{
    metrics_registry registry;
    registry.counter("refused_total", "refusals", {{"reason", "a \"b\""}}) += 2;
    registry.gauge("queue_length", "waiting") = 7;
    histogram& h = registry.distribution("waiting_seconds", "waiting", {{"organisation", "delta"}});
    h.observe(0.0004);
    h.observe(0.3);
    h.observe(1000.0);
    const std::string text = registry.text();
    for (const char* line :
         {"refused_total{reason=\"a \\\"b\\\"\"} 2", "queue_length 7",
          "waiting_seconds_bucket{organisation=\"delta\",le=\"0.0005\"} 1",
          "waiting_seconds_bucket{organisation=\"delta\",le=\"300\"} 2",
          "waiting_seconds_bucket{organisation=\"delta\",le=\"+Inf\"} 3",
          "waiting_seconds_count{organisation=\"delta\"} 3", "# TYPE waiting_seconds histogram"}) {
        cr_expect(text.find(line) != std::string::npos, "no \"%s\" in:\n%s", line, text.c_str());
    }
}

Test(metrics, quantile_estimates_are_close)
{
    histogram h;
    for (int i = 1; i <= 10000; ++i) {
        h.observe(static_cast<double>((i * 7919) % 10000) / 10000.0);
    }
    cr_assert_float_eq(h.quantile(0.5), 0.5, 0.05);
    cr_assert_float_eq(h.quantile(0.99), 0.99, 0.02);
    cr_assert_eq(histogram().quantile(0.5), 0.0);
}
