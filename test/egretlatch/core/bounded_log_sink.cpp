#include <doctest/doctest.h>

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <fakes/manual_clock.hpp>

#include <egretlatch/core/bounded_log_sink.hpp>

using namespace egretlatch;
using namespace std::chrono_literals;

namespace
{

struct Pipe
{
    Pipe()
    {
        REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    [[nodiscard]] std::string drain() const
    {
        std::string all;
        char buffer[65536];
        for (ssize_t count = ::read(ends[0], buffer, sizeof buffer); count > 0; count = ::read(ends[0], buffer, sizeof buffer)) {
            all.append(buffer, static_cast<std::size_t>(count));
        }
        return all;
    }

    int ends[2]{};
};

} // namespace

TEST_CASE("a log that nobody reads stops no request, and what is left out is told with its count")
{
    // All requests of a VM stop. Whoever collects the log has stood still, the pipe is full, and the process waits in a
    // write of a log line.
    const Pipe pipe;
    fakes::ManualClock clock;
    BoundedLogSink sink{pipe.ends[1], clock, {.linesPerSecond = 1'000'000, .totalLinesPerSecond = 1'000'000, .maxBufferedBytes = 65536}};
    sink.setOmissionLine([](const std::string &event, const std::uint64_t count) {
        return "left out " + event + " " + std::to_string(count) + "\n";
    });
    const std::string line(1000, 'x');
    for (int number = 0; number < 500; ++number) {
        sink.write("refused", line + "\n");
        sink.flush();
    }
    CHECK(sink.omitted() > 0);
    static_cast<void>(pipe.drain());
    clock.advance(2s);
    sink.flush();
    const std::string rest = pipe.drain();
    sink.flush();
    CHECK((rest + pipe.drain()).find("left out refused " + std::to_string(sink.omitted())) != std::string::npos);
}

TEST_CASE("lines of one event are bounded by the second, and those of others are not cut for them")
{
    const Pipe pipe;
    fakes::ManualClock clock;
    BoundedLogSink sink{pipe.ends[1], clock, {.linesPerSecond = 3, .maxBufferedBytes = 65536}};
    for (int number = 0; number < 10; ++number) {
        sink.write("refused", "r\n");
    }
    sink.write("stopped", "s\n");
    sink.flush();
    CHECK(pipe.drain() == "r\nr\nr\ns\n");
    CHECK(sink.omitted() == 7);
    clock.advance(1s);
    sink.write("refused", "r\n");
    sink.flush();
    CHECK(pipe.drain() == "r\n");
}

TEST_CASE("all events together are bounded, and a rare one is told of all the same")
{
    // In an overload a daemon wrote 336 lines in a second, a hundred of each of its events, and paid for them with the
    // processor time of requests. A bound on all of them must not hide the one line that says why: the store was lost.
    const Pipe pipe;
    fakes::ManualClock clock;
    BoundedLogSink sink{pipe.ends[1], clock};
    for (int number = 0; number < 1000; ++number) {
        for (const char *const event : {"refused", "sent again", "moved on", "not sent again"}) {
            sink.write(event, "x\n");
        }
    }
    sink.write("store lost", "store\n");
    sink.flush();
    const std::string written = pipe.drain();
    CHECK(std::count(written.begin(), written.end(), '\n') < 150);
    CHECK(written.find("store\n") != std::string::npos);
    CHECK(sink.omitted() > 3800);
    clock.advance(1s);
    sink.write("refused", "again\n");
    sink.flush();
    CHECK(pipe.drain() == "again\n");
}
