// Clients of a soak: they submit jobs to random members, retry unanswered requests, poll the states
// of jobs and cancel some. Connections stay open until the process at the other end exits.

#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "promises.h"
#include "sesamesill/http.h"

namespace soak {

struct client_counts {
    std::size_t sent = 0;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t invalid = 0; ///< replies with a status that no member should send
};

class clients {
public:
    /// `may_lack_plain_route` tells whether a member may answer 404 for the plain route.
    clients(event_loop& loop, std::vector<endpoint> entries, promises& checks, std::uint64_t seed,
            std::function<bool()> may_lack_plain_route);

    /// Submits jobs until `stop` is called, `gap` apart on average. The tasks of `long_percent` of
    /// them outlast a lease.
    void start(millis gap, int long_percent);
    void stop() { stopped_ = true; }
    const client_counts& counts() const { return counts_; }

private:
    struct job {
        pool::job_spec spec;
        std::string path;
        int attempts = 0;
        bool maybe_accepted = false; ///< an attempt without a definite reply may have been accepted
        bool accepted = false;
        bool ended = false;
        time_point next_poll;
    };

    void submit_next(millis gap);
    pool::job_spec draw(std::vector<millis>& work, std::vector<int>& runs_fail);
    http_call call_for(const job& j, const char* method) const;
    const endpoint& random_entry();
    void submit(const std::string& id);
    void on_submitted(const std::string& id, const std::optional<http_reply>& reply,
                      const error& why);
    void on_accepted(job& j);
    void cancel(const std::string& id, int attempts);
    void poll_due_jobs();
    void poll_status(const std::string& id);

    event_loop& loop_;
    http_client client_;
    std::vector<endpoint> entries_;
    promises& checks_;
    std::function<bool()> may_lack_plain_route_;
    std::mt19937_64 random_;
    std::map<std::string, job> jobs_;
    client_counts counts_;
    int long_percent_ = 0;
    bool stopped_ = false;
};

} // namespace soak
