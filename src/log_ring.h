// A log buffer of fixed capacity in front of a file descriptor whose reader may be stalled. Writing
// never blocks: lines that don't fit are dropped and counted, and the count is written once the
// buffer is empty.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sesamesill {

class log_ring {
public:
    log_ring(int fd, std::size_t capacity) : fd_(fd), capacity_(capacity) {}

    /// Appends a line, given without its line break. Returns false where it doesn't fit and is
    /// dropped.
    bool push(std::string_view line);
    /// Writes as much as the descriptor accepts without blocking.
    void flush();
    /// Returns the number of dropped lines.
    std::uint64_t dropped() const { return dropped_; }
    /// Returns the number of buffered bytes.
    std::size_t size() const { return text_.size(); }

private:
    int fd_;
    std::size_t capacity_; ///< bytes
    std::string text_;     ///< at most `capacity_` bytes
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0; ///< part of `dropped_` that a log line has reported
};

} // namespace sesamesill
