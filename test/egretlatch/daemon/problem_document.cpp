#include <doctest/doctest.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <egretlatch/daemon/http_headers.hpp>
#include <egretlatch/daemon/problem_document.hpp>

using namespace egretlatch;
using namespace egretlatch::daemon;

TEST_CASE("the answer to a refused request holds the reason, the figures and the time to retry")
{
    decision::CallerAnswer answer;
    answer.status = 429;
    answer.service = "duty-roster";
    answer.kind = "roster-edit";
    account::Refusal refusal;
    refusal.reason = account::RefusalReason::overloadAtEntry;
    refusal.rule = "the level";
    refusal.figures = {{.name = "level", .value = 4.5}};
    refusal.retryAfter = std::chrono::milliseconds{1200};
    refusal.configurationVersion = 3;
    answer.refusal = refusal;

    const QJsonObject body = QJsonDocument::fromJson(problemBody(answer)).object();
    CHECK(body["reason"].toString() == "overload-at-entry");
    CHECK(body["figures"].toObject()["level"].toDouble() == 4.5);
    CHECK(body["configurationVersion"].toInt() == 3);

    const Headers headers = problemHeaders(answer);
    CHECK(headers[1] == Header{.name = verdictHeader, .value = "not-run"});
    CHECK(headers[2] == Header{.name = "Retry-After", .value = "2"});
}

TEST_CASE("hop-by-hop headers are not forwarded")
{
    CHECK_FALSE(isEndToEnd("Connection"));
    CHECK_FALSE(isEndToEnd("transfer-encoding"));
    CHECK_FALSE(isEndToEnd("IDEMPOTENCY-KEY"));
    CHECK(isEndToEnd("Accept"));
    CHECK(isEndToEnd("Content-Type"));
}
