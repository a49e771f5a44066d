#include <doctest/doctest.h>

#include <load/attempt_outcome.hpp>

using standin::load::classifyReply;
using standin::load::HttpReply;
using standin::load::OutcomeClass;
using standin::load::TransportResult;

TEST_CASE("attempt outcome: only an answer that echoes the request body without an error status is completed")
{
    HttpReply reply{
        .transport = TransportResult::answered, .status = 200, .verdict = "completed", .nextKey = {}, .retryAfter = {}, .body = "mine", .isKeepAlive = true};
    CHECK((classifyReply(reply, "mine").outcomeClass == OutcomeClass::completed));
    reply.body = "another's";
    CHECK(classifyReply(reply, "mine").cause == "wrong-answer");
    reply.status = 500;
    CHECK(classifyReply(reply, "mine").cause == "status-500");
}

TEST_CASE("attempt outcome: a refusal is classified by its verdict and has the reason as its cause")
{
    HttpReply reply{.transport = TransportResult::answered,
                    .status = 429,
                    .verdict = "not-run",
                    .nextKey = {},
                    .retryAfter = {},
                    .body = R"({"reason":"overload-at-entry"})",
                    .isKeepAlive = true};
    CHECK((classifyReply(reply, "").outcomeClass == OutcomeClass::refused));
    CHECK(classifyReply(reply, "").cause == "overload-at-entry");
    reply.verdict = "may-have-run";
    CHECK((classifyReply(reply, "").outcomeClass == OutcomeClass::mayHaveRun));
    reply.verdict = "";
    CHECK(classifyReply(reply, "").cause == "no-verdict-status-429");
}

TEST_CASE("attempt outcome: an attempt that timed out has failed with no-answer")
{
    HttpReply reply;
    reply.transport = TransportResult::timedOut;
    CHECK((classifyReply(reply, "").outcomeClass == OutcomeClass::failed));
    CHECK(classifyReply(reply, "").cause == "no-answer");
}
