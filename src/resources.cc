// Computes shares of resources and formats them as text.

#include "sesamesill/resources.h"

#include <sstream>

namespace sesamesill {
namespace {

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

} // namespace

double dominant_share(const resources& part, const resources& whole)
{
    return std::max({share(part.cpu_millis, whole.cpu_millis),
                     share(part.memory_mb, whole.memory_mb),
                     share(part.accelerators, whole.accelerators)});
}

std::string to_string(const resources& r)
{
    std::ostringstream out;
    out << static_cast<double>(r.cpu_millis) / 1000.0 << " cores, " << r.memory_mb << " MB, "
        << r.accelerators << " accelerators";
    return out.str();
}

} // namespace sesamesill
