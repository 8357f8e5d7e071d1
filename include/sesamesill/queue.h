// Work that waits for a place: bands, then organisations by share, then age, shortness and size.

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

/// Names a waiting entry; 0 names none. Never used again after its entry has left.
using ticket = std::uint64_t;

/// Tasks of one job that are alike.
struct waiting_work {
    organisation_id organisation = 0;
    std::string work_class;
    priority_band band = priority_band::normal;
    resources size;         ///< of each task
    std::int64_t count = 1; ///< tasks that still wait
    micros run_time{0};     ///< expected, 0 where unknown
    time_point arrived;
    std::uint64_t tag = 0; ///< the caller's own
};

struct queue_limits {
    std::int64_t entries = 200000;
};

/// Invariant: each entry is in exactly one list, that of its organisation in its present band.
/// Invariant: an organisation with entries in a band is either ordered there by its share or
/// parked.
class work_queue {
public:
    work_queue(fairness& organisations, const placement_policy& policy, queue_limits limits);

    /// Returns the ticket, or nothing and the reason where the queue or the class is full.
    std::optional<ticket> push(waiting_work work, std::int64_t class_limit, error& why);
    /// Returns whether the entry was waiting. Constant cost but for an organisation's last entry.
    bool cancel(ticket t);
    const waiting_work* find(ticket t) const;
    std::size_t size() const { return size_; }
    std::int64_t waiting(priority_band band) const { return waiting_[band_index(band)]; }
    std::int64_t waiting_in_class(const std::string& work_class) const;

    void set_policy(const placement_policy& policy) { policy_ = policy; }

    /// Begins anew: everything that was passed over may be tried again.
    void begin_round(time_point now);
    /// Returns what to place next, or 0 where nothing is left to try in this round.
    ticket next();
    /// The last one from next(): one task of it has a place and is charged to the organisation.
    void placed();
    /// The last one from next(): no worker has room for its size, whatever else it asks. Later work
    /// of the organisation may go ahead of it.
    void no_room();
    /// The last one from next(): set aside for this round without a word on room.
    void skip();
    /// The share of an organisation changed outside of a round, such as by the end of a task.
    void share_changed(organisation_id t);

private:
    static constexpr std::uint32_t none = UINT32_MAX;
    static constexpr std::size_t bands = 4;

    struct entry {
        waiting_work work;
        std::uint32_t generation = 1;
        std::uint32_t previous = none;
        std::uint32_t next = none;
        std::uint32_t skipped_round = 0; ///< round in which it was passed over
        std::uint8_t band = 0;           ///< rises with age
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
        std::uint64_t served = 0; ///< order of the last placement, breaks ties
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
    std::vector<resources> refused_sizes_; ///< sizes refused in this round
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
