// Time as the core sees it: a monotonic clock that also counts suspended time.

#pragma once

#include <chrono>
#include <cstdint>

namespace sesamesill {

using micros = std::chrono::microseconds;
using millis = std::chrono::milliseconds;

/// CLOCK_BOOTTIME: never steps back and goes on while the VM is suspended.
struct boot_clock {
    using duration = micros;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using time_point = boot_clock::time_point;

/// Returns the count of whole milliseconds in `d`.
constexpr std::int64_t to_millis(micros d)
{
    return std::chrono::duration_cast<millis>(d).count();
}

} // namespace sesamesill
