#include <doctest/doctest.h>

#include <egretlatch/retry/replay_window.hpp>

using namespace egretlatch;
using namespace egretlatch::retry;

TEST_CASE("a call that the transport delivers twice is accepted once")
{
    // Guards against running a request twice (a launch was billed twice): the transport delivers an attempt again after it has
    // ended, and a serving daemon that tracks only running calls starts it again.
    ReplayWindow window;

    CHECK(window.accept({"a"}, {1}, {7}));
    CHECK_FALSE(window.accept({"a"}, {1}, {7}));
    CHECK(window.accept({"b"}, {1}, {7}));
    CHECK(window.accept({"a"}, {1}, {6}));
    CHECK_FALSE(window.accept({"a"}, {1}, {6}));
}

TEST_CASE("a call below the window is rejected, seen or not")
{
    ReplayWindow window;

    CHECK(window.accept({"a"}, {1}, {1}));
    CHECK(window.accept({"a"}, {1}, {ReplayWindow::size + 1}));
    CHECK_FALSE(window.accept({"a"}, {1}, {1}));
    CHECK(window.accept({"a"}, {1}, {2}));
    CHECK(window.accept({"a"}, {1}, {10 * ReplayWindow::size}));
    CHECK_FALSE(window.accept({"a"}, {1}, {ReplayWindow::size + 1}));
}

TEST_CASE("calls of an earlier incarnation are rejected once a later one is known")
{
    ReplayWindow window;

    CHECK(window.accept({"a"}, {2}, {1}));
    CHECK_FALSE(window.accept({"a"}, {1}, {5}));
    CHECK(window.accept({"a"}, {3}, {1}));
}
