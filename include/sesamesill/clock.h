// The monotonic clock of the scheduler, which also counts the time while the VM is suspended, and
// its duration types.

#pragma once

#include <chrono>
#include <cstdint>

namespace sesamesill {

using micros = std::chrono::microseconds;
using millis = std::chrono::milliseconds;

/// A clock that reads CLOCK_BOOTTIME: it never steps back and advances while the VM is suspended.
struct boot_clock {
    using duration = micros;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
    /// Test only: from now on `now` returns `at`, until the next call.
    static void simulate(time_point at);
};

using time_point = boot_clock::time_point;

/// Returns `d` in milliseconds, truncated.
constexpr std::int64_t to_millis(micros d)
{
    return std::chrono::duration_cast<millis>(d).count();
}

} // namespace sesamesill
