// Manages the child processes of a scenario. The kernel kills them if the runner ends.

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

    /// Starts the command `arguments` with standard output and error in the file `output`; returns
    /// false on failure.
    bool start(const std::string& name, const std::vector<std::string>& arguments,
               const std::string& output);
    /// Sends `signal` to the process `name`; returns false if it does not run.
    bool signal(const std::string& name, int signal);
    bool running(const std::string& name) const;
    /// Reaps children that ended; returns their names and exit status, 128 + signal if killed.
    std::vector<std::pair<std::string, int>> collect_exited();
    /// Returns the processor time used so far in milliseconds, also after the process ended.
    double cpu_ms(const std::string& name) const;
    void sample_cpu();
    std::vector<std::string> names() const;

private:
    std::map<std::string, pid_t> running_;
    std::map<std::string, double> cpu_ms_;
};

} // namespace scenario
