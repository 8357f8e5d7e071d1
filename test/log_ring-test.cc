// Tests of the log buffer. They guard against a writer that blocks where nobody reads the log, and
// against dropped lines that aren't reported.

#include <string>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include "log_ring.h"

using namespace sesamesill;

namespace {

struct pipe_pair {
    int ends[2] = {-1, -1};

    pipe_pair() { cr_assert_eq(pipe(ends), 0); }
    ~pipe_pair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;
    pipe_pair(pipe_pair&&) = delete;
    pipe_pair& operator=(pipe_pair&&) = delete;

    std::string read_available() const
    {
        std::string text(std::size_t{1024} * 1024, '\0');
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t n = read(ends[0], text.data(), text.size());
        text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return text;
    }
};

} // namespace

Test(log_ring, writes_lines_in_order)
{
    const pipe_pair p;
    log_ring ring(p.ends[1], 1000);
    cr_assert(ring.push("one"));
    cr_assert(ring.push("two"));
    ring.flush();
    cr_assert(p.read_available() == "one\ntwo\n");
}

Test(log_ring, full_pipe_never_blocks_and_dropped_lines_are_reported, .timeout = 10)
{
    const pipe_pair p;
    constexpr std::size_t capacity = 4096;
    log_ring ring(p.ends[1], capacity);
    const std::string line(100, 'x');
    for (int i = 0; i < 100000; ++i) { // 10 MB into a pipe of 64 KiB, enough to block
        ring.push(line);
        ring.flush();
    }
    cr_assert_gt(ring.dropped(), 90000U);
    cr_assert_leq(ring.size(), capacity);
    std::string all;
    for (int i = 0; i < 4; ++i) {
        all += p.read_available();
        ring.flush();
    }
    all += p.read_available();
    const std::string expected = "\"count\":" + std::to_string(ring.dropped()) + "}";
    cr_assert_neq(all.find(expected), std::string::npos);
}
