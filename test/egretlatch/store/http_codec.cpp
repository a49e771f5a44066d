#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/store/http_codec.hpp>

using namespace egretlatch;
using namespace egretlatch::store;

namespace
{

void checkRoundTrip(const Request &request)
{
    const Result<Request> read = decodeRequest(encodeRequest(request));
    REQUIRE(read.has_value());
    CHECK(*read == request);
}

} // namespace

TEST_CASE("each request to the platform round-trips through HTTP")
{
    checkRoundTrip(TableRead{.key = "head"});
    checkRoundTrip(TableScan{.prefix = "a/", .after = "a/b", .limit = 10});
    checkRoundTrip(TableWrite{.conditions = {{.key = "k", .version = 3}},
                              .writes = {{.key = "k", .value = std::string("\0\xff", 2)}, {.key = "j", .value = std::nullopt}}});
    checkRoundTrip(ObjectPut{.name = "a/b c?d&e", .bytes = "bytes"});
    checkRoundTrip(ObjectGet{.name = "a/b%20c"});
    checkRoundTrip(ObjectList{.prefix = "a/b&c", .after = "a/b+c", .limit = 5});
}

TEST_CASE("any bytes in a row round-trip through HTTP")
{
    CHECK(rc::check([](const std::string &value) {
        const RowsReply reply{.rows = {{.key = "k", .value = value, .version = 7}}};
        const Outcome outcome = decodeOutcome(TableRead{.key = "k"}, 200, encodeReply(reply));
        const bool isSame = outcome.has_value() && std::get<RowsReply>(*outcome) == reply;
        RC_ASSERT(isSame);
    }));
}

TEST_CASE("only statuses that prove it are decoded as nothing was done")
{
    // Guards against reporting a conflict for a change that is in force: a gateway in front of the platform answers 500 or
    // 502 after the write took effect; treated as a rejection, the write would be given up or sent as a new one.
    const Request write = TableWrite{};
    CHECK(decodeOutcome(write, 503, {}).error().code == ErrorCode::unavailable);
    CHECK(decodeOutcome(write, 429, {}).error().code == ErrorCode::rateLimited);
    CHECK(decodeOutcome(write, 409, {}).error().code == ErrorCode::conflict);
    CHECK(decodeOutcome(write, 401, {}).error().code == ErrorCode::forbidden);
    CHECK(decodeOutcome(write, 500, {}).error().code == ErrorCode::timedOut);
    CHECK(decodeOutcome(write, 502, {}).error().code == ErrorCode::timedOut);
}
