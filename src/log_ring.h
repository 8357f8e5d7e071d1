// A buffer of log lines of fixed size before a descriptor that nobody may read. Writing never
// waits: what doesn't fit is left out and counted, and the count is written as soon as there is
// room.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sesamesill {

class log_ring {
public:
    log_ring(int fd, std::size_t capacity) : fd_(fd), capacity_(capacity) {}

    /// Takes a line without its end; returns whether there was room.
    bool push(std::string_view line);
    /// Writes as much as the descriptor takes at once.
    void flush();
    std::uint64_t dropped() const { return dropped_; }
    std::size_t size() const { return text_.size(); }

private:
    int fd_;
    std::size_t capacity_; ///< bytes
    std::string text_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace sesamesill
