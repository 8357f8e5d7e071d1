// Child processes of a scenario. None outlives the runner.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace scenario {

class process_group {
public:
    process_group() = default;
    ~process_group();
    process_group(const process_group&) = delete;
    process_group& operator=(const process_group&) = delete;
    process_group(process_group&&) = delete;
    process_group& operator=(process_group&&) = delete;

    /// Starts `arguments` with standard output and error in `output`; returns false where it
    /// cannot.
    bool start(const std::string& name, const std::vector<std::string>& arguments,
               const std::string& output);
    /// Sends `signal`; returns false where `name` does not run.
    bool signal(const std::string& name, int signal);
    bool running(const std::string& name) const;
    /// Collects children that ended; returns their names and exit status, 128 + signal if killed.
    std::vector<std::pair<std::string, int>> collect_exited();
    /// Processor time in milliseconds used so far, kept after the end of the process.
    double cpu_ms(const std::string& name) const;
    void sample_cpu();
    std::vector<std::string> names() const;

private:
    std::map<std::string, pid_t> running_;
    std::map<std::string, double> cpu_ms_;
};

} // namespace scenario
