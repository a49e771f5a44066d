#include <doctest/doctest.h>

#include <egretlatch/retry/call_window.hpp>

using namespace egretlatch;
using namespace egretlatch::retry;

TEST_CASE("a call that the transport delivers twice passes once")
{
    // A launch is billed twice. The transport delivers the attempt a second time after the first has ended, and the
    // serving daemon, which remembered only what was running, starts it again.
    CallWindow window;

    CHECK(window.pass({"a"}, {1}, {7}));
    CHECK_FALSE(window.pass({"a"}, {1}, {7}));
    CHECK(window.pass({"b"}, {1}, {7}));
    CHECK(window.pass({"a"}, {1}, {6}));
    CHECK_FALSE(window.pass({"a"}, {1}, {6}));
}

TEST_CASE("a call below the window does not pass, seen or not")
{
    CallWindow window;

    CHECK(window.pass({"a"}, {1}, {1}));
    CHECK(window.pass({"a"}, {1}, {CallWindow::size + 1}));
    CHECK_FALSE(window.pass({"a"}, {1}, {1}));
    CHECK(window.pass({"a"}, {1}, {2}));
    CHECK(window.pass({"a"}, {1}, {10 * CallWindow::size}));
    CHECK_FALSE(window.pass({"a"}, {1}, {CallWindow::size + 1}));
}

TEST_CASE("calls of an earlier life do not pass once a later one is known")
{
    CallWindow window;

    CHECK(window.pass({"a"}, {2}, {1}));
    CHECK_FALSE(window.pass({"a"}, {1}, {5}));
    CHECK(window.pass({"a"}, {3}, {1}));
}
