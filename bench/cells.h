// Defines the workers and task sizes that the benchmarks share: the present workloads of both users
// and the cell size expected in two years.

#pragma once

#include <random>
#include <string>
#include <vector>

#include "sesamesill/cell.h"

namespace bench {

using namespace sesamesill;

constexpr std::uint32_t workers_per_rack = 6;
constexpr resources no_quota{INT64_MAX / 4, INT64_MAX / 4, INT64_MAX / 4};

struct workload {
    std::string name;
    resources size;
    std::vector<resources> task_sizes; ///< drawn with equal probability
};

/// Returns the camp registration workload: cohort placements, reviews and small services.
inline workload tabara()
{
    return {"tabara",
            {32000, 65536, 0},
            {{500, 1024, 0},
             {1000, 2048, 0},
             {2000, 2048, 0},
             {2000, 6144, 0},
             {4000, 8192, 0},
             {4000, 4096, 0},
             {1000, 4096, 0},
             {8000, 12288, 0}}};
}

/// Returns the keeper rota workload: season builds that share the workers with quick checks.
inline workload liit()
{
    return {"liit",
            {16000, 32768, 0},
            {{250, 512, 0},
             {500, 1024, 0},
             {1000, 1024, 0},
             {1000, 3072, 0},
             {2000, 4096, 0},
             {2000, 2048, 0},
             {500, 2048, 0},
             {4000, 8192, 0}}};
}

/// Returns a workload of tasks that need mostly processors or mostly memory. It shows best whether
/// a strategy keeps the use of both balanced.
inline workload uneven()
{
    return {"uneven",
            {32000, 65536, 0},
            {{6000, 2048, 0},
             {1000, 14336, 0},
             {3000, 1024, 0},
             {500, 7168, 0},
             {2000, 4096, 0},
             {9000, 4096, 0},
             {2000, 20480, 0},
             {1000, 2048, 0}}};
}

/// Returns the workload of the two-year cell: sixteen tasks fill about nine tenths of a worker.
inline workload two_year()
{
    return {"two_year",
            {32000, 65536, 0},
            {{500, 1024, 0},
             {1000, 2048, 0},
             {1000, 4096, 0},
             {2000, 2048, 0},
             {2000, 4096, 0},
             {4000, 6144, 0},
             {1500, 3072, 0},
             {2000, 6144, 0}}};
}

/// Adds live workers to `target`. Of every `accelerated` workers, 1000 have eight accelerators; 0
/// means that none has any.
inline void add_workers(cell& target, const workload& s, std::uint32_t workers,
                        std::uint32_t data_centers, std::uint32_t accelerated)
{
    for (std::uint32_t i = 0; i < workers; ++i) {
        worker_entry entry;
        entry.name = "w" + std::to_string(i);
        entry.size = s.size;
        if (accelerated > 0 && i * 1000 % accelerated < 1000) {
            entry.size.accelerators = 8;
        }
        const std::uint32_t rack = i / workers_per_rack;
        entry.rack = "r" + std::to_string(rack);
        entry.data_center = "dc" + std::to_string(rack % data_centers);
        target.set_state(target.put(entry), worker_state::live);
    }
}

inline resources random_size(const std::vector<resources>& task_sizes, std::mt19937_64& random)
{
    return task_sizes[random() % task_sizes.size()];
}

inline std::string task_name(std::uint64_t number)
{
    char text[48];
    std::snprintf(text, sizeof text, "%032llx/%d", static_cast<unsigned long long>(number), 0);
    return text;
}

/// Returns the resident memory of this process in MB.
inline std::int64_t resident_mb()
{
    std::FILE* file = std::fopen("/proc/self/statm", "r");
    long pages = 0;
    long resident = 0;
    if (file != nullptr) {
        if (std::fscanf(file, "%ld %ld", &pages, &resident) != 2) {
            resident = 0;
        }
        std::fclose(file);
    }
    return resident * 4096 / 1048576;
}

} // namespace bench
