#include <doctest/doctest.h>

#include <egretlatch/http/message.hpp>

using namespace egretlatch;
using namespace egretlatch::http;

TEST_CASE("hop-by-hop header fields and those listed in Connection are not forwarded")
{
    const Headers headers{{.name = "Connection", .value = "close, X-Hop"},
                          {.name = "x-hop", .value = "1"},
                          {.name = "Keep-Alive", .value = "timeout=5"},
                          {.name = "Content-Length", .value = "3"},
                          {.name = "Accept", .value = "text/plain"}};
    CHECK(forwardable(headers) == Headers{{.name = "Accept", .value = "text/plain"}});
}

TEST_CASE("header fields are found regardless of case")
{
    const Headers headers{{.name = "x-request-ID", .value = "7"}};
    REQUIRE(findHeader(headers, "X-Request-Id") != nullptr);
    CHECK(*findHeader(headers, "X-Request-Id") == "7");
    CHECK(findHeader(headers, "X-Request-I") == nullptr);
}
