// Tests of publications. They guard against readers of the log that disagree on the version in
// force after racing publishers, retries, a trimmed log, or peers that are ahead or behind.

#include <random>

#include <criterion/criterion.h>

#include "sesamesill/environment.h"
#include "sesamesill/publication.h"

using namespace sesamesill;

namespace {

publication_record record_of(const std::string& id, std::uint64_t base)
{
    publication_record r;
    r.environment = "production";
    r.id = id;
    r.base = base;
    r.text = "text of " + id;
    r.digest = digest_of(r.text);
    r.operator_name = "mari";
    return r;
}

} // namespace

Test(publication, first_record_with_the_current_base_is_accepted)
{
    publication p;
    cr_assert(p.apply_record(record_of("a", 0), 4) == publication_verdict::accepted);
    cr_assert(p.apply_record(record_of("b", 0), 5) == publication_verdict::superseded);
    cr_assert(p.apply_record(record_of("c", 5), 6) == publication_verdict::accepted);
    cr_assert_eq(p.version(), 7u);
    cr_assert(p.verdict_of("b") == publication_verdict::superseded);
}

Test(publication, retry_of_an_accepted_record_adds_no_version)
{
    publication p;
    p.apply_record(record_of("a", 0), 0);
    cr_assert(p.apply_record(record_of("a", 0), 1) == publication_verdict::repeated);
    cr_assert_eq(p.history().size(), 1u);
    cr_assert(p.verdict_of("a") == publication_verdict::accepted);
}

Test(publication, version_never_decreases)
{
    publication p;
    p.adopt({10, record_of("peer", 3), false});
    cr_assert(p.apply_record(record_of("late", 0), 4) == publication_verdict::outdated);
    cr_assert_not(p.adopt({9, record_of("stale peer", 3), false}));
    cr_assert_eq(p.version(), 10u);
    cr_assert(p.apply_record(record_of("next", 10), 12) == publication_verdict::accepted);
}

Test(publication, records_after_a_trim_are_deferred_until_a_snapshot)
{
    publication p;
    p.mark_log_trimmed();
    cr_assert(p.apply_record(record_of("b", 101), 110) == publication_verdict::deferred);
    cr_assert_null(p.current());
    cr_assert(p.adopt({101, record_of("a", 7), true}));
    cr_assert_eq(p.version(), 111u);
}

Test(publication, records_with_a_wrong_digest_or_type_are_rejected)
{
    Json::Value value = to_json(record_of("a", 0));
    cr_assert(publication_record_from(value).has_value());
    value["digest"] = "0";
    cr_assert_not(publication_record_from(value).has_value());
    cr_assert_not(publication_record_from(Json::Value("text")).has_value());
}

// Operators publish concurrently and retry after lost answers, so the log holds duplicate records.
// One reader starts at the beginning of the log, the other after a trim and with a snapshot. Both
// must reach the same version.
Test(publication, readers_agree_after_concurrent_publications)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        publication full_reader;
        publication trimmed_reader;
        trimmed_reader.mark_log_trimmed();
        std::vector<publication_record> log;
        const std::size_t snapshot_at = 20 + random() % 20;
        const std::size_t trim_at = random() % 20;
        for (std::size_t offset = 0; offset < 60; ++offset) {
            const bool is_retry = !log.empty() && random() % 4 == 0;
            const std::uint64_t base =
                random() % 3 == 0 ? random() % (offset + 1) : full_reader.version();
            log.push_back(is_retry ? log[random() % log.size()]
                                   : record_of("r" + std::to_string(offset), base));
            full_reader.apply_record(log.back(), offset);
            if (offset < trim_at) {
                continue;
            }
            trimmed_reader.apply_record(log.back(), offset);
            if (offset == snapshot_at && full_reader.current() != nullptr) {
                trimmed_reader.adopt(*full_reader.current());
            }
        }
        cr_assert_eq(trimmed_reader.version(), full_reader.version(), "seed %lu", seed);
        for (std::size_t i = 1; i < full_reader.history().size(); ++i) {
            cr_assert_eq(full_reader.history()[i].record.base, full_reader.history()[i - 1].version,
                         "seed %lu", seed);
        }
    }
}
