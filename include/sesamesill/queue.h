// Queue of work that waits for a worker, ordered by priority band, then by the organisation's
// share, then by age, expected run time and size.

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"
#include "sesamesill/error.h"
#include "sesamesill/fairness.h"

namespace sesamesill {

/// Identifies a queue entry; 0 identifies none. A ticket is not reused after its entry is removed.
using ticket = std::uint64_t;

/// Describes tasks of one job that need the same resources.
struct waiting_work {
    organisation_id organisation = 0;
    std::string work_class;
    priority_band band = priority_band::normal;
    resources size;         ///< of each task
    std::int64_t count = 1; ///< number of tasks that still wait
    micros run_time{0};     ///< expected run time, 0 if unknown
    time_point arrived;
    std::uint64_t tag = 0; ///< set and read by the caller only
};

struct queue_limits {
    std::int64_t entries = 200000; ///< in the whole queue
};

/// Selects the next work to place, in rounds.
/// Invariant: each entry is in exactly one list, that of its organisation and current band.
/// Invariant: an organisation with entries in a band is either in that band's order by share or
/// parked until the next round.
class work_queue {
public:
    work_queue(fairness& organisations, const placement_policy& policy, queue_limits limits);

    /// Adds work and returns its ticket. Returns nothing and sets `why` if the queue or the class
    /// is full.
    std::optional<ticket> push(waiting_work work, std::int64_t class_limit, error& why);
    /// Removes an entry and returns whether it was waiting. Takes constant time, except that the
    /// last entry of an organisation in a band also leaves the order by share (logarithmic time).
    bool cancel(ticket t);
    /// Returns the entry, or null if it is not queued.
    const waiting_work* find(ticket t) const;
    std::size_t size() const { return size_; }
    std::int64_t waiting(priority_band band) const { return waiting_[band_index(band)]; }
    std::int64_t waiting_in_class(const std::string& work_class) const;

    void set_policy(const placement_policy& policy) { policy_ = policy; }

    /// Starts a new round, in which next() may return work again that was skipped in earlier
    /// rounds.
    void begin_round(time_point now);
    /// Returns the entry to place next, or 0 if nothing is left to try in this round. Its outcome
    /// is reported by placed(), no_room() or skip().
    ticket next();
    /// Reports that one task of the entry has a worker and is charged to the organisation.
    void placed();
    /// Reports that no worker has room for the entry's size, regardless of its other requirements.
    /// Sizes at least as large are skipped for the rest of the round; smaller work may overtake the
    /// entry.
    void no_room();
    /// Skips the entry for this round without any conclusion about room.
    void skip();
    /// Reorders an organisation whose share changed, such as by the end of a task.
    void share_changed(organisation_id t);

private:
    static constexpr std::uint32_t none = UINT32_MAX;
    static constexpr std::size_t bands = 4;

    struct entry {
        waiting_work work;
        std::uint32_t generation = 1;
        std::uint32_t previous = none;
        std::uint32_t next = none;
        std::uint32_t skipped_round = 0; ///< round in which the entry was skipped
        std::uint8_t band = 0;           ///< current band; rises with age
        bool present = false;
    };

    struct list {
        std::uint32_t head = none;
        std::uint32_t tail = none;
    };

    using order_key = std::tuple<double, std::uint64_t, organisation_id>;

    struct lane {
        list entries;
        order_key key;
        bool ordered = false;
        bool parked = false;
    };

    struct organisation_lanes {
        std::array<lane, bands> lanes;
        std::uint64_t served = 0; ///< number of the last placement, breaks ties of equal shares
    };

    static std::size_t band_index(priority_band band) { return static_cast<std::size_t>(band); }
    entry* entry_of(ticket t);
    void link(std::uint32_t e);
    void unlink(std::uint32_t e);
    void erase(std::uint32_t e);
    void insert_ordered(organisation_id t, std::size_t band);
    void remove_ordered(organisation_id t, std::size_t band);
    void park(organisation_id t, std::size_t band);
    void age(time_point now);
    void promote(organisation_id t, std::size_t band, time_point now);
    std::uint32_t best_entry(organisation_id t, std::size_t band) const;
    double score(const entry& e) const;
    bool exceeds_refused_size(const resources& size) const;

    fairness& organisations_;
    placement_policy policy_;
    queue_limits limits_;
    std::vector<entry> entries_;
    std::vector<std::uint32_t> unused_;
    std::vector<organisation_lanes> lanes_;
    std::array<std::set<order_key>, bands> order_;
    std::vector<std::pair<organisation_id, std::size_t>> parked_;
    std::array<std::int64_t, bands> waiting_{};
    std::unordered_map<std::string, std::int64_t> class_counts_;
    std::vector<resources> refused_sizes_; ///< sizes without room in this round
    std::size_t size_ = 0;
    std::uint32_t round_ = 1;
    std::uint32_t refusals_ = 0;
    std::uint32_t current_ = none;
    std::uint64_t served_ = 0;
    std::uint64_t version_ = 0;
    time_point now_;
    time_point last_ageing_;
};

} // namespace sesamesill
