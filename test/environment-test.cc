// Tests of environment documents. They guard against valid documents that are rejected, errors that
// are missed or reported at the wrong line, and wrong differences, digests or units.

#include <filesystem>
#include <fstream>
#include <sstream>

#include <criterion/criterion.h>

#include "sesamesill/environment.h"
#include "unit_text.h"

using namespace sesamesill;

namespace {

const std::string source_dir = SESAMESILL_SOURCE_DIR;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string all_faults(const std::vector<fault>& faults)
{
    std::string text;
    for (const fault& f : faults) {
        text += to_string(f) + "\n";
    }
    return text;
}

environment parse_file(const std::string& path)
{
    std::vector<fault> faults;
    std::optional<environment> document = parse_environment(read_file(path), faults);
    cr_assert(document.has_value(), "%s: %s", path.c_str(), all_faults(faults).c_str());
    return *document;
}

} // namespace

Test(environment, example_documents_are_valid)
{
    const environment tabara = parse_file(source_dir + "/examples/tabara.ini");
    cr_assert_eq(tabara.organisations.size(), 3u);
    cr_assert_eq(tabara.classes.at("hold").deadline.count(), 800);
    cr_assert(tabara.classes.at("cohort").kind == work_kind::gang);
    cr_assert_eq(tabara.organisations.at("delta").quota.memory_mb, 2400LL * 1024);
    cr_assert_float_eq(tabara.placement.waiting_weight, 0.8, 1e-9);
    const environment keepers = parse_file(source_dir + "/examples/keepers.ini");
    cr_assert_float_eq(keepers.placement.waiting_weight, 0.2, 1e-9);
    cr_assert_not(keepers.classes.at("swap").idempotent);
}

Test(environment, errors_of_invalid_documents_are_reported)
{
    std::size_t count = 0;
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::directory_iterator(source_dir + "/test/documents/broken")) {
        const std::string text = read_file(entry.path());
        const std::string prefix = "; expect: ";
        const std::string expected = text.substr(prefix.size(), text.find('\n') - prefix.size());
        std::vector<fault> faults;
        cr_expect_not(parse_environment(text, faults).has_value(), "%s was accepted",
                      entry.path().c_str());
        const std::string found = all_faults(faults);
        cr_expect(found.find(expected) != std::string::npos, "%s: expected \"%s\", got:\n%s",
                  entry.path().c_str(), expected.c_str(), found.c_str());
        ++count;
    }
    cr_assert_geq(count, 25u);
}

Test(environment, errors_name_their_line)
{
    std::vector<fault> faults;
    parse_environment("[environment]\nname = x\n\n[organisation a]\nwieght = 1\n", faults);
    cr_assert_eq(faults.front().line, 4); // the missing quota_cores is reported at the section
    const bool found = std::any_of(faults.begin(), faults.end(), [](const fault& f) {
        return f.key == "wieght" && f.line == 5 && f.nearest == "weight";
    });
    cr_assert(found);
}

Test(environment, diff_lists_changed_and_added_entries)
{
    const std::vector<environment_change> changes =
        diff_environments("[a]\nx = 1\ny = 2\n", "[a]\nx = 1\ny = 3\n[b]\nz = 4\n");
    cr_assert_eq(changes.size(), 2u);
    cr_assert(changes[0].before == "2" && changes[0].after == "3");
    cr_assert(changes[1].section == "b" && changes[1].before.empty());
}

Test(environment, digest_depends_on_every_byte)
{
    cr_assert(digest_of("a") == digest_of("a"));
    cr_assert(digest_of("a") != digest_of("a\n"));
    cr_assert_eq(digest_of("").size(), 32u);
}

Test(unit_text, values_without_a_valid_unit_are_rejected)
{
    cr_assert_eq(duration_from("2 min")->count(), 120000);
    cr_assert_eq(duration_from("1.5s")->count(), 1500);
    cr_assert_not(duration_from("5").has_value());
    cr_assert_not(duration_from("nan s").has_value());
    cr_assert_eq(*memory_mb_from("64 GB"), 65536);
    cr_assert_eq(*cpu_millis_from("0.5 cores"), 500);
    cr_assert_float_eq(*ratio_from("25%"), 0.25, 1e-9);
    cr_assert_not(count_from("-1").has_value());
    cr_assert_not(count_from("1x").has_value());
}
