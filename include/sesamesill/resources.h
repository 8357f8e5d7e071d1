// Amounts of processors, memory and accelerators, as offered by workers and needed by tasks.

#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace sesamesill {

/// Amounts are integers, so that repeated additions and subtractions cause no rounding errors.
struct resources {
    std::int64_t cpu_millis = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other)
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
};

inline resources operator+(resources a, const resources& b)
{
    return a += b;
}

inline resources operator-(resources a, const resources& b)
{
    return a -= b;
}

inline bool operator==(const resources& a, const resources& b)
{
    return a.cpu_millis == b.cpu_millis && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators;
}

inline bool operator!=(const resources& a, const resources& b)
{
    return !(a == b);
}

/// Returns whether `need` fits into `room` in every dimension.
inline bool fits(const resources& need, const resources& room)
{
    return need.cpu_millis <= room.cpu_millis && need.memory_mb <= room.memory_mb &&
           need.accelerators <= room.accelerators;
}

/// Returns `count` times `r`.
inline resources scaled(const resources& r, std::int64_t count)
{
    return {r.cpu_millis * count, r.memory_mb * count, r.accelerators * count};
}

/// Returns the largest fraction of `whole` that `part` takes in any dimension. A dimension in which
/// `whole` is 0 counts as 0.
double dominant_share(const resources& part, const resources& whole);

/// Returns a text such as "2.5 cores, 4096 MB, 1 accelerators".
std::string to_string(const resources& r);

} // namespace sesamesill
