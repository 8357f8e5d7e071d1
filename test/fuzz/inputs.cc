// Fuzzes the parsers of environment documents, settings, submissions and log records with mutated
// inputs. Guards against crashes, sanitizer reports, and rejections without a reason; a crash
// prints the parser, the seed and the number of the input.

#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <gflags/gflags.h>
#include <unistd.h>

#include "sesamesill/environment.h"
#include "sesamesill/journal.h"
#include "sesamesill/publication.h"
#include "sesamesill/rpc.h"
#include "sesamesill/settings.h"
#include "sesamesill/submission.h"

DEFINE_uint64(seed, 1, "seed of the mutations");
DEFINE_uint64(runs, 20000, "number of inputs for each reader");
DEFINE_string(source, ".", "root directory of the repository");
DEFINE_string(only, "", "run this reader only");

namespace {

using namespace sesamesill;

struct progress {
    std::uint64_t seed = 0;
    std::uint64_t input = 0;
    const char* reader = "";
};

progress& current_progress()
{
    static progress p;
    return p;
}

/// Prints the current reader, seed and input, then raises the signal again with its default action.
/// Runs as a signal handler, so it must make only calls that are safe there.
void report_crash(int signal)
{
    char line[160];
    const int size = std::snprintf(line, sizeof line, "crash: reader %s, seed %llu, input %llu\n",
                                   current_progress().reader,
                                   static_cast<unsigned long long>(current_progress().seed),
                                   static_cast<unsigned long long>(current_progress().input));
    static_cast<void>(write(STDERR_FILENO, line, static_cast<std::size_t>(size)));
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::vector<std::string>& fragments()
{
    static const std::vector<std::string> all{"[",
                                              "]",
                                              "=",
                                              ";",
                                              "\n",
                                              "\"",
                                              "{",
                                              "}",
                                              ":",
                                              ",",
                                              "\\u0000",
                                              "1e999",
                                              "-1",
                                              "99999999999999999999",
                                              "nan",
                                              "ms",
                                              "cores",
                                              "null",
                                              "[[",
                                              "\xff",
                                              "[class ",
                                              "require.",
                                              "service = x\n",
                                              "true",
                                              std::string(64, '['),
                                              std::string(300, 'a')};
    return all;
}

std::string mutate(std::string text, std::mt19937_64& random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t at = text.empty() ? 0 : random() % text.size();
        switch (random() % 4) {
        case 0:
            text.insert(at, fragments()[random() % fragments().size()]);
            break;
        case 1:
            text.erase(at, 1 + random() % 16);
            break;
        case 2:
            text.insert(at, text.substr(random() % (text.size() + 1), random() % 64));
            break;
        default:
            if (!text.empty()) {
                text[at] = static_cast<char>(random());
            }
        }
    }
    return text;
}

void read_document(const std::string& text)
{
    std::vector<fault> faults;
    if (!parse_environment(text, faults) && faults.empty()) {
        std::abort(); // the text was rejected without a reason
    }
    for (const fault& f : faults) {
        to_string(f);
    }
}

void read_settings(const std::string& text)
{
    std::vector<fault> faults;
    if (!parse_settings(text, faults) && faults.empty()) {
        std::abort();
    }
}

const environment& example_environment()
{
    static const environment document = [] {
        std::vector<fault> faults;
        return parse_environment(read_file(FLAGS_source + "/examples/tabara.ini"), faults).value();
    }();
    return document;
}

void read_submission(const std::string& text)
{
    const std::optional<Json::Value> body = json_from(text);
    error why;
    if (body && !submission_from(*body, example_environment(), why) && why.reason.empty()) {
        std::abort();
    }
}

void read_record(const std::string& text)
{
    stream_reader reader;
    reader.process(0, 1, {{0, text}});
    const std::optional<Json::Value> value = json_from(text);
    if (value) {
        publication_record_from(*value);
    }
}

struct fuzz_target {
    const char* name;
    void (*read)(const std::string& text);
    std::vector<std::string> corpus;
};

std::vector<fuzz_target> fuzz_targets()
{
    std::vector<std::string> documents{read_file(FLAGS_source + "/examples/tabara.ini")};
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::directory_iterator(FLAGS_source + "/test/documents/broken")) {
        documents.push_back(read_file(entry.path()));
    }
    const std::string settings = "[node]\nname = e1\ndata_center = dc1\nenvironment = production\n"
                                 "listen = 127.0.0.1:7101\npeer_listen = 127.0.0.1:7201\n"
                                 "[platform]\nlog = 127.0.0.1:7001\nvm_list = 127.0.0.1:7002\n"
                                 "[timing]\nlease_ms = 1500\n[operators]\nmari = token trial\n";
    return {
        {"document", read_document, documents},
        {"settings", read_settings, {settings}},
        {"submission",
         read_submission,
         {R"({"organisation":"delta","class":"hold","key":"k","idempotent":true,"deadline_ms":5,"body":"x"})",
          R"({"organisation":"delta","class":"review","key":"k","tasks":2,"cpu_millis":100,"memory_mb":64,"payload":{"a":[1]}})"}},
        {"record",
         read_record,
         {R"({"v":1,"writer":"e1#1","seq":1,"items":[{"type":"intent","id":"a"}]})",
          R"({"environment":"p","id":"a","base":0,"text":"t","digest":"d","origin":"publish","operator":"o","when_ms":1})"}},
    };
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGSEGV, report_crash);
    std::signal(SIGABRT, report_crash);
    for (const fuzz_target& t : fuzz_targets()) {
        if (!FLAGS_only.empty() && FLAGS_only != t.name) {
            continue;
        }
        std::mt19937_64 random(FLAGS_seed);
        current_progress() = {FLAGS_seed, 0, t.name};
        for (std::uint64_t i = 0; i < FLAGS_runs; ++i) {
            current_progress().input = i;
            t.read(mutate(t.corpus[random() % t.corpus.size()], random));
        }
        std::cout << t.name << ": " << FLAGS_runs << " inputs, seed " << FLAGS_seed << '\n';
    }
    return 0;
}
