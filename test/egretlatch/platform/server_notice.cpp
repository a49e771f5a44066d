#include <doctest/doctest.h>

#include <egretlatch/platform/server_notice.hpp>

using namespace egretlatch;
using namespace egretlatch::platform;

namespace
{

decision::ServerNotice noticeOf(const Headers &headers)
{
    return readServerNotice(headers);
}

decision::ServerNotice limitOf(const char *const text)
{
    return noticeOf({{.name = "server-limit", .value = text}});
}

} // namespace

TEST_CASE("a limit is read as a decimal number")
{
    CHECK(limitOf("14.8").requestsPerSecond == 14.8);
    CHECK(limitOf("5").requestsPerSecond == 5.0);
    CHECK(limitOf("0").requestsPerSecond == 0.0);
    CHECK(noticeOf({}) == decision::ServerNotice{});
}

TEST_CASE("a limit that is no finite decimal number of at least zero is unreadable")
{
    for (const char *const text : {"", "-1", "1e309", "nan", "inf", "12,5", "12.5x", " 3"}) {
        CAPTURE(text);
        CHECK_FALSE(limitOf(text).requestsPerSecond.has_value());
        CHECK(limitOf(text).hasUnreadableLimit);
    }
}

TEST_CASE("of several limits in one answer the lowest counts")
{
    const decision::ServerNotice notice = noticeOf({{.name = "Server-Limit", .value = "9"}, {.name = "Server-Limit", .value = "4"}});
    CHECK(notice.requestsPerSecond == 4.0);
}

TEST_CASE("only the value 1 says that a server leaves")
{
    CHECK(noticeOf({{.name = "Server-Leaving", .value = "1"}}).isLeaving);
    for (const char *const text : {"0", "", "true", "11"}) {
        CHECK_FALSE(noticeOf({{.name = "Server-Leaving", .value = text}}).isLeaving);
    }
}
