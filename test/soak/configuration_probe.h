// Asks members for the newest route all the time, and checks that no member answers by an older
// version of the configuration.

#pragma once

#include <map>
#include <random>

#include "cell.h"
#include "sesamesill/http.h"

namespace soak {

class configuration_probe {
public:
    configuration_probe(event_loop& loop, const cell& tested, promises& checks, std::uint64_t seed);

    void start();

private:
    void ask();
    void on_status(int member, const published_version& asked, time_point sent, int status);

    event_loop& loop_;
    http_client client_;
    const cell& cell_;
    promises& checks_;
    std::mt19937_64 random_;
    std::map<int, std::pair<int, int>> served_; ///< by member: its process, and a version it served
};

} // namespace soak
