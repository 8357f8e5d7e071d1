// Implements boot_clock with CLOCK_BOOTTIME.

#include "sesamesill/clock.h"

#include <ctime>
#include <optional>

namespace sesamesill {

namespace {

std::optional<time_point> simulated_now;

} // namespace

void boot_clock::simulate(time_point at)
{
    simulated_now = at;
}

boot_clock::time_point boot_clock::now()
{
    if (simulated_now) {
        return *simulated_now;
    }
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(ts.tv_sec) +
                                                           std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace sesamesill
