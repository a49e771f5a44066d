#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/account/trace_context.hpp>

using namespace egretlatch;
using namespace egretlatch::account;

TEST_CASE("a trace context is unchanged after formatting and parsing")
{
    SeededRandom random{1};
    const TraceContext context = startTrace(random);
    CHECK(parseTraceParent(toTraceParent(context)) == context);
}

TEST_CASE("a child context keeps the trace id and has a new span id")
{
    SeededRandom random{1};
    const TraceContext parent = startTrace(random);
    const TraceContext child = childOf(parent, random);
    CHECK(child.traceId == parent.traceId);
    CHECK(child.spanId != parent.spanId);
}

TEST_CASE("malformed traceparent headers are rejected")
{
    CHECK(parseTraceParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceParent(""));
    CHECK_FALSE(parseTraceParent("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceParent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceParent("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"));
    CHECK_FALSE(parseTraceParent("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
}

TEST_CASE("parsing arbitrary text does not crash")
{
    CHECK(rc::check([](const std::string &text) {
        static_cast<void>(parseTraceParent(text));
    }));
}
