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

TEST_CASE("a full log pipe never blocks the writer, and omitted lines are reported with their count")
{
    // Guards against all requests of a VM stopping: the log collector has stalled, the pipe is full, and the process blocks
    // while writing a log line.
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

TEST_CASE("lines of one event are limited per second without affecting other events")
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

TEST_CASE("the total of all events is limited, and a rare event is still logged")
{
    // In an overload a daemon wrote 336 lines in one second, a hundred of each event, at the cost of CPU time for requests.
    // The total limit must not hide the one line that gives the cause: the store was lost.
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
