#include <doctest/doctest.h>

#include <load/attempt_outcome.hpp>

using standin::load::HttpEnd;
using standin::load::HttpReply;
using standin::load::judge;
using standin::load::OutcomeClass;

TEST_CASE("attempt outcome: only the whole answer to the request itself completes it")
{
    HttpReply reply{.end = HttpEnd::answered, .status = 200, .verdict = "completed", .nextKey = {}, .retryAfter = {}, .body = "mine", .keepsConnection = true};
    CHECK((judge(reply, "mine").outcomeClass == OutcomeClass::completed));
    reply.body = "another's";
    CHECK(judge(reply, "mine").cause == "wrong-answer");
    reply.status = 500;
    CHECK(judge(reply, "mine").cause == "status-500");
}

TEST_CASE("attempt outcome: a refusal is named by the system's reason and its verdict")
{
    HttpReply reply{.end = HttpEnd::answered,
                    .status = 429,
                    .verdict = "not-run",
                    .nextKey = {},
                    .retryAfter = {},
                    .body = R"({"reason":"overload-at-entry"})",
                    .keepsConnection = true};
    CHECK((judge(reply, "").outcomeClass == OutcomeClass::refused));
    CHECK(judge(reply, "").cause == "overload-at-entry");
    reply.verdict = "may-have-run";
    CHECK((judge(reply, "").outcomeClass == OutcomeClass::mayHaveRun));
    reply.verdict = "";
    CHECK(judge(reply, "").cause == "no-verdict-status-429");
}

TEST_CASE("attempt outcome: without an answer nothing is known")
{
    HttpReply reply;
    reply.end = HttpEnd::timedOut;
    CHECK((judge(reply, "").outcomeClass == OutcomeClass::failed));
    CHECK(judge(reply, "").cause == "no-answer");
}
