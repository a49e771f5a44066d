#include <doctest/doctest.h>

#include <egretlatch/retry/replay_window.hpp>

using namespace egretlatch;
using namespace egretlatch::retry;

TEST_CASE("a call that the transport delivers twice passes once")
{
    // A launch is billed twice. The transport delivers the attempt a second time after the first has ended, and the
    // serving daemon, which remembered only what was running, starts it again.
    ReplayWindow window;

    CHECK(window.accept({"a"}, {1}, {7}));
    CHECK_FALSE(window.accept({"a"}, {1}, {7}));
    CHECK(window.accept({"b"}, {1}, {7}));
    CHECK(window.accept({"a"}, {1}, {6}));
    CHECK_FALSE(window.accept({"a"}, {1}, {6}));
}

TEST_CASE("a call below the window does not pass, seen or not")
{
    ReplayWindow window;

    CHECK(window.accept({"a"}, {1}, {1}));
    CHECK(window.accept({"a"}, {1}, {ReplayWindow::size + 1}));
    CHECK_FALSE(window.accept({"a"}, {1}, {1}));
    CHECK(window.accept({"a"}, {1}, {2}));
    CHECK(window.accept({"a"}, {1}, {10 * ReplayWindow::size}));
    CHECK_FALSE(window.accept({"a"}, {1}, {ReplayWindow::size + 1}));
}

TEST_CASE("calls of an earlier life do not pass once a later one is known")
{
    ReplayWindow window;

    CHECK(window.accept({"a"}, {2}, {1}));
    CHECK_FALSE(window.accept({"a"}, {1}, {5}));
    CHECK(window.accept({"a"}, {3}, {1}));
}
