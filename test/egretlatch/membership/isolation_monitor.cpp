#include <doctest/doctest.h>

#include <vector>

#include <egretlatch/membership/isolation_monitor.hpp>

using namespace std::chrono_literals;
using egretlatch::Duration;
using egretlatch::SteadyTime;
using egretlatch::membership::IsolationChange;
using egretlatch::membership::IsolationMonitor;
using egretlatch::membership::PeerSilence;

namespace
{

// A monitor that is ticked as often as by an idle daemon.
struct Fixture
{
    Fixture()
    {
        tick();
    }

    void run(const Duration span)
    {
        constexpr std::chrono::milliseconds step{100};
        for (const SteadyTime end = now + span; now < end;) {
            now += step;
            tick();
        }
    }

    void tick()
    {
        if (const std::optional<IsolationChange> change = monitor.tick(expectsMessages, now)) {
            changes.push_back(*change);
        }
    }

    SteadyTime now{1h};
    bool expectsMessages{true};
    IsolationMonitor monitor;
    std::vector<IsolationChange> changes;
};

} // namespace

TEST_CASE("a daemon that hears nobody reports isolation once, and its end with the length of the silence")
{
    // Guards against an isolated daemon that says so nowhere, or that repeats it in each tick and fills the log.
    Fixture fixture;
    fixture.run(2s);
    fixture.monitor.noteMessage(fixture.now);
    fixture.run(9900ms);
    CHECK(fixture.changes.empty());
    CHECK(fixture.monitor.silence(fixture.now) == PeerSilence{.duration = 9900ms, .isIsolated = false});
    fixture.run(100ms);
    REQUIRE(fixture.changes == std::vector<IsolationChange>{{.isIsolated = true, .silence = 10s}});
    fixture.run(2min);
    CHECK(fixture.changes.size() == 1);
    CHECK(fixture.monitor.silence(fixture.now) == PeerSilence{.duration = 130s, .isIsolated = true});

    fixture.monitor.noteMessage(fixture.now);
    fixture.run(5s);
    REQUIRE(fixture.changes.size() == 2);
    CHECK(fixture.changes.back() == IsolationChange{.isIsolated = false, .silence = 130s});
    CHECK(fixture.monitor.silence(fixture.now) == PeerSilence{.duration = 5s, .isIsolated = false});
}

TEST_CASE("a daemon that never heard anybody since its start reports isolation")
{
    // Guards against a new daemon with a key that nobody accepts, whose first message never comes.
    Fixture fixture;
    fixture.run(10s);
    CHECK(fixture.changes == std::vector<IsolationChange>{{.isIsolated = true, .silence = 10s}});
}

TEST_CASE("a daemon that hears an answer to a probe now and then is not reported as isolated")
{
    // Guards against false alarms in a fleet of two whose links break: until the next answer there is time to find the dead
    // connection, to open a new one and to probe again.
    Fixture fixture;
    for (int answers = 0; answers < 100; ++answers) {
        fixture.run(answers % 10 == 0 ? 9s : 1s);
        fixture.monitor.noteMessage(fixture.now);
    }
    CHECK(fixture.changes.empty());
}

TEST_CASE("a pause of the daemon does not count as silence")
{
    // Guards against a VM that is paused for a minute and reports isolation before it has read what arrived meanwhile.
    Fixture fixture;
    fixture.monitor.noteMessage(fixture.now);
    fixture.run(4s);
    fixture.now += 1min;
    fixture.tick();
    fixture.run(5900ms);
    CHECK(fixture.changes.empty());
    // What was silent before and after the pause still counts, or a daemon that is paused often would never be reported.
    fixture.run(100ms);
    CHECK(fixture.changes == std::vector<IsolationChange>{{.isIsolated = true, .silence = 10s}});
}

TEST_CASE("a pause during isolation neither ends it nor counts in its length")
{
    // Guards against an end of the isolation that is reported although nobody was heard.
    Fixture fixture;
    fixture.run(20s);
    fixture.now += 1min;
    fixture.tick();
    fixture.run(20s);
    CHECK(fixture.changes.size() == 1);
    fixture.monitor.noteMessage(fixture.now);
    fixture.run(100ms);
    REQUIRE(fixture.changes.size() == 2);
    CHECK(fixture.changes.back() == IsolationChange{.isIsolated = false, .silence = 40s});
}

TEST_CASE("a message that is read right after a pause is not dated later than the tick")
{
    // Guards against a negative silence: the message is handled before the tick that notices the pause.
    Fixture fixture;
    fixture.run(4s);
    fixture.now += 1min;
    fixture.monitor.noteMessage(fixture.now);
    fixture.tick();
    CHECK(fixture.monitor.silence(fixture.now).duration == 0s);
    fixture.run(9900ms);
    CHECK(fixture.changes.empty());
}

TEST_CASE("a daemon that expects no messages is not isolated, and its silence begins when it expects some")
{
    // Guards against alarms of a daemon that is alone by its settings, and against one right after its first contact is known.
    Fixture fixture;
    fixture.expectsMessages = false;
    fixture.run(1h);
    CHECK(fixture.changes.empty());
    CHECK(fixture.monitor.silence(fixture.now).duration == 0s);
    fixture.expectsMessages = true;
    fixture.run(9900ms);
    CHECK(fixture.changes.empty());
    fixture.run(100ms);
    CHECK(fixture.changes == std::vector<IsolationChange>{{.isIsolated = true, .silence = 10s}});
}

TEST_CASE("isolation does not end because the members were forgotten")
{
    // Guards against a daemon that hears nobody for six hours, forgets all members and then says that it hears others again.
    Fixture fixture;
    fixture.run(20s);
    fixture.expectsMessages = false;
    fixture.run(1min);
    CHECK(fixture.changes.size() == 1);
    CHECK(fixture.monitor.silence(fixture.now).isIsolated);
}
