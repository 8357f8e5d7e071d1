// Formats of the platform adapter. Guards against valid data that is rejected, and against invalid
// data that is accepted, crashes a decoder or is rejected without a reason.

#include <random>
#include <regex>

#include <criterion/criterion.h>

#include "directory.h"
#include "fake_log.h"
#include "frontend.h"
#include "sesamesill/pool_settings.h"
#include "store.h"
#include "workers.h"

using namespace sesamesill;
using namespace sesamesill::platform;

namespace {

constexpr const char* entry_text =
    R"({"Service":"s1","Addr":"10.128.0.9:8080","Zone":"z1","Version":"v1","Slots":8,"State":"ready",)"
    R"("Machine":"m1","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"],"born":17,"Seq":4})";

constexpr const char* configuration_text =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"h.example","PathPrefix":"/a/","TargetLatencyMs":250,)"
    R"("Priority":0,"Service":"s1","MaxAttempts":3,"Stretch":1.5,"Advice":{"DecideMs":7.0,"PerWorkerMs":0.1,"ValidMs":2500}},)"
    R"({"Name":"r2","Host":"h.example","PathPrefix":"/a/b/","Service":"s1"}],"Services":[{"Name":"s1","AdmissionCheck":false}]})";

constexpr const char* job_text =
    R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstMs":900,"Affinity":"r1-3"},)"
    R"({"Count":20,"Cpu":2000,"After":[0],"SavesProgress":true,"Gang":true,"AntiAffinity":2}]})";

constexpr const char* report_text =
    R"({"ClockMs":482113,"born":5,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,1.5]],)"
    R"("EndedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"broken",""]]})";

/// Returns `text` after one to four random changes: a byte replaced, bytes removed or repeated, or
/// the end cut off.
std::string mutate(std::string text, std::mt19937& random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), random() % 8));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace

Test(platform, a_worker_entry_is_decoded)
{
    error why;
    const std::optional<pool::worker_entry> entry = decode_worker("i-1", entry_text, why);
    cr_assert(entry.has_value());
    cr_assert(entry->rack == "r1-3");
    cr_assert(entry->machine == "m1");
    cr_assert_eq(entry->capacity.cpu_millis, 16000);
    cr_assert_eq(entry->start_time_ms, 17);
    cr_assert_eq(entry->revision, 4);
    cr_assert_not(entry->draining);
}

Test(platform, invalid_worker_entries_are_rejected_with_a_reason)
{
    for (const char* text :
         {"", "{}", "[1]", "\xff\xfe", R"({"Service":"s1","Addr":"x","State":"ready"})",
          R"({"Service":5,"Addr":"10.0.0.1:80","State":"ready","Capacity":{}})",
          R"({"Service":"s","Addr":"10.0.0.1:80","State":"odd","Capacity":{}})"}) {
        error why;
        cr_assert_not(decode_worker("i-1", text, why).has_value(), "%s", text);
        cr_assert_not(why.reason.empty());
    }
}

Test(platform, odd_entries_of_another_writer_end_no_process_and_name_no_worker)
{
    // Guards against a member that ends or stops following the directory because of one entry.
    const auto entry = [](const std::string& cpu, const std::string& address,
                          const std::string& more = "") {
        return R"({"Service":"s1","State":"ready","Capacity":{"Cpu":)" + cpu + R"(},"Addr":")" +
               address + "\"" + more + "}";
    };
    constexpr std::size_t deep = 1000000;
    const std::vector<std::string> odd{
        R"({"Service":)" + std::string(deep, '['),
        std::string(deep, '{'),
        R"({"a":)" + std::string(deep, '[') + std::string(deep, ']') + "}",
        entry("1e999", "10.0.0.1:80"),
        entry("99999999999999999999999999", "10.0.0.1:80"),
        entry("9000000000000000000", "10.0.0.1:80"),
        entry("-1", "10.0.0.1:80"),
        entry("8000", "10.0.0.1:99999"),
        entry("8000", "10.0.0.1:0"),
        entry("8000", "10.0.0.1:-1"),
        entry("8000", "10.0.0.1:8O"),
        entry("8000", "[::1]:80"),
        entry("8000", "10.0.0.1:80", R"(,"born":1e300)"),
        entry("8000", "10.0.0.1:80", R"(,"Seq":-1)"),
        entry("8000", "10.0.0.1:80", R"(,"Labels":[{}])"),
    };
    for (const std::string& text : odd) {
        error why;
        cr_assert_not(decode_worker("i-1", text, why).has_value(), "%s",
                      text.substr(0, 100).c_str());
        cr_assert_not(why.reason.empty());
    }
    error why;
    cr_assert(decode_worker("i-1", entry("8000", "10.0.0.1:80"), why).has_value());
}

Test(platform, the_configuration_is_decoded_and_the_longest_prefix_wins)
{
    error why;
    const std::optional<pool::configuration> config = decode_configuration(configuration_text, why);
    cr_assert(config.has_value());
    cr_assert_eq(config->version, 7);
    cr_assert(config->queues[0].advice.has_value());
    cr_assert_not(config->queues[1].advice.has_value());
    cr_assert(find_queue(*config, "h.example:80", "/a/b/x")->name == "r2");
    cr_assert(find_queue(*config, "h.example", "/a/x")->name == "r1");
    cr_assert_null(find_queue(*config, "h.example", "/c/x"));
    cr_assert_null(find_queue(*config, "other.example", "/a/x"));
}

Test(platform, a_job_is_decoded_and_invalid_jobs_are_rejected_with_a_reason)
{
    error why;
    const std::optional<pool::job_spec> job = decode_job(job_text, why);
    cr_assert(job.has_value());
    cr_assert_eq(job->steps[1].tasks, 20);
    cr_assert(job->steps[1].gang);
    cr_assert_eq(job->steps[1].max_per_worker, 2);
    cr_assert(job->steps[0].preferred_rack == "r1-3");
    for (const char* text :
         {"", "[]", R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})", R"({"Steps":[{"After":[0]}]})",
          R"({"Steps":[{"Count":"four"}]})", R"({"Steps":[{"Cpu":-1}]})", R"({"Steps":7})"}) {
        cr_assert_not(decode_job(text, why).has_value(), "%s", text);
        cr_assert_not(why.reason.empty(), "%s", text);
    }
}

Test(platform, a_report_is_decoded)
{
    error why;
    const std::optional<pool::worker_report> report = decode_report(report_text, why);
    cr_assert(report.has_value());
    cr_assert_eq(report->running[0].percent, 41);
    cr_assert_eq(report->ended[0].number, 58);
    cr_assert_eq(report->ended[0].how, pool::end_reason::gang_broken);
}

Test(platform, a_refusal_without_a_readable_reason_does_not_end_the_process)
{
    constexpr std::uint16_t port = 28551;
    const std::vector<std::string> bodies{R"({"Reason":{"a":1}})", R"({"Reason":[]})", "[]", "{",
                                          ""};
    event_loop loop;
    http_server server(loop);
    std::size_t calls = 0;
    server.route("POST", "/-/run-start", [&](const http_request&, const http_respond& respond) {
        http_reply reply;
        reply.status = 409;
        reply.body = bodies[calls++];
        respond(std::move(reply));
    });
    error why;
    cr_assert(server.listen({"127.0.0.1", port}, why), "%s", why.reason.c_str());
    http_client client(loop, "m1", 1);
    executor_gateway workers(client);
    pool::start_order order;
    order.address = {"127.0.0.1", port};
    std::size_t answers = 0;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        workers.start(order, millis(500),
                      [&](pool::order_verdict verdict, std::int64_t, const error&) {
                          cr_assert(verdict == pool::order_verdict::invalid);
                          if (++answers == bodies.size()) {
                              loop.stop();
                          }
                      });
    }
    loop.after(millis(1000), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(answers, bodies.size());
}

Test(platform, records_are_encoded_and_decoded)
{
    const std::string body = std::string("\0\0\0\0\0\0\0\x09", 8) + std::string(8, '\0') +
                             encode_records({{"key", "value", 0}, {"gone", "", 0}});
    const std::optional<pool::read_result> read = decode_read(body, 7);
    cr_assert(read.has_value());
    cr_assert_eq(read->end, 9);
    cr_assert_eq(read->records.size(), 2);
    cr_assert(read->records[0].value == "value");
    cr_assert_eq(read->records[1].offset, 8);
    cr_assert(read->records[1].value.empty());
    const std::optional<pool::newest_result> newest = decode_newest(
        R"({"items":[{"Key":"config","Value":"eyJhIjoxfQ==","Offset":4}],"HasMore":true,"End":6})");
    cr_assert(newest.has_value());
    cr_assert(newest->records[0].value == R"({"a":1})");
    cr_assert(newest->more);
}

Test(platform, mutated_inputs_never_crash_a_decoder)
{
    std::mt19937 random(20261204);
    const std::string body = std::string(16, '\0') + encode_records({{"key", "value", 0}});
    for (int i = 0; i < 20000; ++i) {
        error why;
        decode_worker("i-1", mutate(entry_text, random), why);
        decode_configuration(mutate(configuration_text, random), why);
        decode_job(mutate(job_text, random), why);
        decode_report(mutate(report_text, random), why);
        decode_read(mutate(body, random), 0);
        decode_newest(
            mutate(R"({"items":[{"Key":"c","Value":"eyJh","Offset":4}],"End":6})", random));
        pool::task_id_from(mutate("5c0e7a21d94b36f8.0.1.17", random));
    }
}

Test(platform, settings_are_checked)
{
    const std::string valid_text = "[member]\nname = e1\ndata_center = d\nlisten = 10.0.0.1:80\n"
                                   "readiness_listen = 10.0.0.1:81\npeer_listen = 10.0.0.1:82\n"
                                   "metrics_listen = 10.0.0.1:83\n[platform]\nstore = 10.0.0.2:80\n"
                                   "[bounds]\nmax_lease_ms = 6000\ngrace_s = 6\nadded_later = 1\n";
    std::vector<fault> faults;
    const std::optional<pool::daemon_settings> settings =
        pool::parse_daemon_settings(valid_text, faults);
    cr_assert(settings.has_value());
    cr_assert_eq(settings->bounds.grace.count(), 6000);
    cr_assert_eq(to_string(settings->peer_address), "10.0.0.1:82");
    cr_assert_not(pool::parse_daemon_settings("[member]\nname = e1\nlisten = here\n", faults));
    cr_assert_geq(faults.size(), 2);
}

namespace {

/// A frontend of a member without peers, whose configuration is read from `log`.
struct entry_fixture {
    std::uint16_t port;
    event_loop loop;
    pool::testing::fake_log log{loop};
    pool::testing::fake_log pool_log{loop};
    http_client client{loop, "t"};
    executor_gateway workers{client};
    advice_client advisor{client, {"127.0.0.1", 9}};
    pool::member member;
    pool::declared_configuration declared;
    frontend entry{loop, member, declared, {}};

    /// Uses two more ports after `first_port`.
    entry_fixture(std::uint16_t first_port, pool::configuration_bounds bounds)
        : port(first_port),
          member(loop, {"m1", "d1", at(1), at(1), 1, {}}, pool_log, workers, advisor),
          declared(loop, log, "config", decode_configuration, bounds)
    {
        error why;
        log.store({{"config", configuration_text, 0}}, 0);
        cr_assert(member.start(why) && entry.listen(at(0), at(2), why), "%s", why.reason.c_str());
        member.follow(declared);
        declared.start();
        run(millis(200));
    }

    endpoint at(int offset) const
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(port + offset)};
    }

    void run(millis duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    int status_of(const std::string& path)
    {
        http_call call;
        call.path = path;
        call.headers["Host"] = "h.example";
        int status = 0;
        client.send(at(0), std::move(call),
                    [this, &status](const std::optional<http_reply>& reply, const error&) {
                        status = reply ? reply->status : 0;
                        loop.stop();
                    });
        loop.run();
        return status;
    }
};

} // namespace

Test(platform, a_route_is_not_called_unknown_by_a_configuration_that_may_be_replaced)
{
    entry_fixture f(28641, {millis(400), millis(250)});
    cr_assert_eq(f.status_of("/a/"), 200);
    cr_assert_eq(f.status_of("/other/"), 404);
    f.log.unavailable = true;
    f.run(millis(500));
    cr_assert_eq(f.status_of("/a/"), 200);
    cr_assert_eq(f.status_of("/other/"), 503);
    f.log.unavailable = false;
    f.run(millis(700));
    cr_assert_eq(f.status_of("/other/"), 404);
}

Test(platform, a_request_that_waited_is_not_served_by_a_version_newer_than_that_of_later_ones)
{
    const std::string added =
        std::regex_replace(std::string(configuration_text), std::regex("\"Version\":7(.*)/a/b/"),
                           "\"Version\":8$1/added/");
    for (const millis slack : {millis(250), millis(0)}) {
        entry_fixture f(28651, {millis(0), slack}); // no knowledge is fresh without a read
        f.log.store({{"config", added, 0}}, 1);
        cr_assert_eq(f.status_of("/added/"), slack > millis(0) ? 200 : 503);
    }
}
