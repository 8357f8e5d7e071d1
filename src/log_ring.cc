// Implements the log buffer. Writes to the descriptor only while poll() reports it as writable.

#include "log_ring.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace sesamesill {
namespace {

/// A descriptor that polls writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4096;

bool is_writable(int fd)
{
    pollfd entry{fd, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

bool log_ring::push(std::string_view line)
{
    if (text_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        return false;
    }
    text_.append(line).push_back('\n');
    return true;
}

void log_ring::flush()
{
    std::size_t written = 0;
    while (written < text_.size() && is_writable(fd_)) {
        const ssize_t n =
            write(fd_, text_.data() + written, std::min(max_write_bytes, text_.size() - written));
        if (n <= 0) {
            break; // closed or interrupted; the next flush retries
        }
        written += static_cast<std::size_t>(n);
    }
    text_.erase(0, written);
    if (text_.empty() && dropped_ > dropped_reported_) {
        const std::uint64_t count = dropped_ - dropped_reported_;
        dropped_reported_ = dropped_;
        push("{\"event\":\"log_lines_left_out\",\"count\":" + std::to_string(count) + "}");
    }
}

} // namespace sesamesill
