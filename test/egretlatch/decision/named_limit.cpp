#include <doctest/doctest.h>

#include <egretlatch/decision/named_limit.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};
constexpr ServerNotice none{};
constexpr ServerNotice unreadable{.requestsPerSecond = {}, .hasUnreadableLimit = true, .isLeaving = false};

} // namespace

TEST_CASE("a limit holds until a later run is answered without one")
{
    NamedLimit limit;
    CHECK(limit.noteAnswer({.requestsPerSecond = 5.0}, start, start + 1s));
    CHECK_FALSE(limit.noteAnswer({.requestsPerSecond = 5.0}, start, start + 2s));

    // Started before the limit was last named: its answer may have been overtaken.
    CHECK_FALSE(limit.noteAnswer(none, start + 1s, start + 5s));
    // Shortly after it was named: a server may leave it out of single answers.
    CHECK_FALSE(limit.noteAnswer(none, start + 2100ms, start + 2200ms));
    CHECK(limit.perSecond() == 5.0);

    CHECK(limit.noteAnswer(none, start + 3s, start + 4s));
    CHECK_FALSE(limit.perSecond().has_value());
}

TEST_CASE("an unreadable limit neither sets nor ends one")
{
    NamedLimit limit;
    CHECK_FALSE(limit.noteAnswer(unreadable, start, start));
    CHECK(limit.noteAnswer({.requestsPerSecond = 5.0}, start, start));
    CHECK_FALSE(limit.noteAnswer(unreadable, start + 5s, start + 6s));
    CHECK(limit.perSecond() == 5.0);
    limit.reset();
    CHECK_FALSE(limit.perSecond().has_value());
}
