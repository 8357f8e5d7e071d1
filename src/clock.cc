// Implements boot_clock with CLOCK_BOOTTIME.

#include "sesamesill/clock.h"

#include <ctime>

namespace sesamesill {

boot_clock::time_point boot_clock::now()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(ts.tv_sec) +
                                                           std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace sesamesill
