// The cases of the second review that run as scripts.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab.h"

namespace lab {

/// Returns false where TROUBLE=0 asks for a run without the disruption.
bool has_trouble();

/// Returns a step of a job, as a requester writes it.
Json::Value make_step(int count, std::int64_t cpu, millis estimate);
std::string make_job(const std::vector<Json::Value>& steps);

/// One case: what is set up, what is done once all members are ready, and when the rule counts as
/// broken.
class test_case {
public:
    test_case(const std::string& record_path, const std::string& folder);
    virtual ~test_case() = default;
    test_case(const test_case&) = delete;
    test_case& operator=(const test_case&) = delete;
    test_case(test_case&&) = delete;
    test_case& operator=(test_case&&) = delete;

    int run();

protected:
    /// Starts executors and members; returns false if that fails.
    virtual bool set_up() = 0;
    /// Runs once all members are ready.
    virtual void begin() = 0;
    /// Runs often from `set_up` on.
    virtual void watch() {}

    void submit(const std::string& path, const std::string& body);
    /// Notes since when `idle` holds; returns for how long it has held, or -1.
    std::int64_t idle_for(bool idle);
    /// Ends the case by whether two runs of one task were at work at the same time.
    void judge_overlaps();
    std::int64_t count_ends(const std::string& how) const;

    cell cell_;
    std::int64_t accepted_at_ = -1; ///< of the last job of `submit`

private:
    std::int64_t idle_since_ = -1;
};

using case_maker = std::unique_ptr<test_case> (*)(const std::string& record_path,
                                                  const std::string& folder);

std::unique_ptr<test_case> make_foreign_entry(const std::string&, const std::string&);
std::unique_ptr<test_case> make_unseen_executor(const std::string&, const std::string&);
std::unique_ptr<test_case> make_late_poll(const std::string&, const std::string&);
std::unique_ptr<test_case> make_early_failure(const std::string&, const std::string&);
std::unique_ptr<test_case> make_restored_route(const std::string&, const std::string&);
std::unique_ptr<test_case> make_dropped_route(const std::string&, const std::string&);
std::unique_ptr<test_case> make_wide_gang(const std::string&, const std::string&);
std::unique_ptr<test_case> make_gang_apart(const std::string&, const std::string&);
std::unique_ptr<test_case> make_late_submit(const std::string&, const std::string&);

} // namespace lab
