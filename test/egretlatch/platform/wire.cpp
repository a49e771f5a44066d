#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/core/secret.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/platform/bounds.hpp>
#include <egretlatch/platform/caller_wire.hpp>
#include <egretlatch/platform/configuration_document.hpp>
#include <egretlatch/platform/duration_text.hpp>
#include <egretlatch/platform/server_report.hpp>
#include <egretlatch/platform/server_wire.hpp>
#include <egretlatch/platform/store_wire.hpp>

using namespace egretlatch;
using namespace std::chrono_literals;

namespace
{

const QByteArray document{R"({"version":"0000000c","resources":[
 {"resource_type":"routes","metadata":{"name":"r-1"},"spec":{"host":"Hulo84.example","prefix":"/a/","kind":"idempotent","timeout":"1200ms","target_latency":"0.8s","priority":2,"weighted_services":[{"service":"one","weight":90},{"service":"two","weight":10}],"max_attempts":3}},
 {"resource_type":"routes","metadata":{"name":"r-2"},"spec":{"host":"hulo84.example","prefix":"/a/b/","kind":"non_idempotent","timeout":"1500ms","target_latency":"2000ms","priority":0,"service":"one","max_attempts":2}},
 {"resource_type":"services","metadata":{"name":"one"},"spec":{"health_path":"/health","max_connections":316,"protocol":"h1","tls":false}},
 {"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})"};

[[nodiscard]] http::Request heartbeat(const QByteArray &body)
{
    http::Request request;
    request.method = "POST";
    request.target = "/api/instances/i-1/heartbeat";
    request.body = body;
    return request;
}

[[nodiscard]] http::Response answer(const int status, const Headers &headers)
{
    http::Response response;
    response.status = status;
    response.headers = headers;
    response.body = "body";
    return response;
}

const Header stamp{.name = "X-Server-Stamp", .value = "s"};

} // namespace

TEST_CASE("an operators' document is converted to a manifest with routes")
{
    const auto accepted = platform::readConfiguration(document, 0.1);
    REQUIRE(accepted.has_value());
    CHECK(accepted->version == 12);
    const auto parsed = manifest::parseManifest(accepted->manifest);
    REQUIRE(parsed.has_value());
    const manifest::Manifest &manifest = *parsed->manifest;
    const manifest::RouteSpec *const shorter = manifest.findRoute("hulo84.EXAMPLE:80", "/a/x");
    REQUIRE(shorter != nullptr);
    CHECK(shorter->name == "r-1");
    CHECK(shorter->targets == std::vector<manifest::RouteTarget>{{.service = "one", .weight = 90}, {.service = "two", .weight = 10}});
    CHECK(manifest.findRoute("hulo84.example", "/a/b/c")->name == "r-2");
    CHECK(manifest.findRoute("hulo84.example", "/a") == nullptr);
    CHECK(manifest.findRoute("other.example", "/a/") == nullptr);
    const manifest::KindSpec *const read = manifest.findKind("two", "r-1");
    REQUIRE(read != nullptr);
    CHECK(read->idempotent);
    CHECK(read->priority == 7);
    CHECK(read->deadline == 1200ms);
    CHECK(read->answerTarget == 800ms);
    CHECK(read->retryBudget == 2);
    CHECK_FALSE(manifest.findKind("one", "r-2")->idempotent);
    CHECK(manifest.callerLimits().headerTimeout == 3000ms);
    CHECK(manifest.callerLimits().bodyBytes == 67108864);
}

TEST_CASE("an invalid configuration document is rejected")
{
    for (const QByteArray &text : {QByteArray{"{"}, QByteArray{"[]"}, QByteArray{R"({"version":"zz","resources":[]})"}, QByteArray{R"({"version":"1"})"}}) {
        CHECK_FALSE(platform::readConfiguration(text, 0.1).has_value());
    }
    CHECK(rc::check("arbitrary bytes are parsed or rejected", [](const std::string &bytes) {
        static_cast<void>(platform::readConfiguration(QByteArray::fromStdString(bytes), 0.1));
    }));
}

TEST_CASE("a heartbeat with an invalid field is rejected")
{
    const QByteArray good{
        R"({"address":"10.0.0.1:80","born":1790000000000,"info":{"service":"one","version":"v1","zone":"z","slots":60},"status":{"state":"draining","seq":4,"cold_remaining":"1.5s"}})"};
    const auto report = platform::readServerReport(heartbeat(good));
    REQUIRE(report.has_value());
    CHECK(report->instance == "i-1");
    CHECK((report->state == platform::ServerReportState::draining));
    CHECK(report->slots == 60);
    CHECK(report->sequence == 4);
    CHECK(report->startedAtMs == 1790000000000);
    CHECK(report->coldRemaining == 1500ms);
    for (const std::pair<QByteArray, QByteArray> &change : std::vector<std::pair<QByteArray, QByteArray>>{{"draining", "asleep"},
                                                                                                          {"\"seq\":4", "\"seq\":\"4\""},
                                                                                                          {"\"slots\":60", "\"slots\":0"},
                                                                                                          {"\"slots\":60", "\"slots\":1.5"},
                                                                                                          {"\"one\"", "7"},
                                                                                                          {"1790000000000", "\"soon\""},
                                                                                                          {"1790000000000", "0"},
                                                                                                          {"1790000000000", "-1"},
                                                                                                          {"1790000000000", "1.5"},
                                                                                                          {"1790000000000", "null"},
                                                                                                          {"1790000000000", "\"1790000000000\""},
                                                                                                          {"\"address\"", "\"adress\""}}) {
        CAPTURE(change.first.toStdString());
        CHECK_FALSE(platform::readServerReport(heartbeat(QByteArray{good}.replace(change.first, change.second))).has_value());
    }
    CHECK(rc::check("arbitrary bytes are parsed or rejected", [](const std::string &bytes) {
        static_cast<void>(platform::readServerReport(heartbeat(QByteArray::fromStdString(bytes))));
    }));
}

TEST_CASE("a deregistration needs no body, and other paths are not reports")
{
    http::Request request;
    request.method = "POST";
    request.target = "/api/instances/i-1/deregister";
    REQUIRE(platform::readServerReport(request).has_value());
    CHECK((platform::readServerReport(request)->state == platform::ServerReportState::left));
    for (const char *const spoilt : {"{", "[]", "7", R"({"born":0})", R"({"born":"1790000000000"})", R"({"born":1.5})", R"({"born":null})"}) {
        CAPTURE(spoilt);
        request.body = spoilt;
        CHECK_FALSE(platform::readServerReport(request).has_value());
    }
    request.body = R"({"born":1790000000000})";
    CHECK(platform::readServerReport(request)->startedAtMs == 1790000000000);
    request.target = "/api/instances//deregister";
    CHECK(platform::readServerReport(request).error().code == ErrorCode::notFound);
    request.target = "/api/other";
    CHECK(platform::readServerReport(request).error().code == ErrorCode::notFound);
}

TEST_CASE("durations are parsed with their unit")
{
    CHECK(platform::parseDuration("1500ms") == 1500ms);
    CHECK(platform::parseDuration("2.5s") == 2500ms);
    for (const char *const text : {"", "5", "ms", "5m", "-1s", "1e3s", "nans", "1 s", "99999999999s"}) {
        CAPTURE(text);
        CHECK_FALSE(platform::parseDuration(text).has_value());
    }
}

TEST_CASE("unknown bounds and invalid values keep the defaults")
{
    const settings::FleetBounds defaults;
    const settings::FleetBounds bounds = platform::readBounds({"grace=7s", "budget_slack=47", "retry_budget_ratio=x", "unknown=1", "torn"});
    CHECK(bounds.grace == 7s);
    CHECK(bounds.retrySlack == doctest::Approx(47));
    CHECK(bounds.retryRatio == doctest::Approx(defaults.retryRatio));
}

TEST_CASE("an answer is forwarded only if it is the server's own")
{
    using decision::RunFailure;
    const auto failureOf = [](const http::Response &response) {
        const auto end = platform::readRun(response);
        const auto *const failure = std::get_if<RunFailure>(&end);
        return failure == nullptr ? std::optional<RunFailure>{} : std::optional{*failure};
    };
    CHECK_FALSE(failureOf(answer(200, {stamp})).has_value());
    CHECK_FALSE(failureOf(answer(500, {stamp})).has_value());
    CHECK_FALSE(failureOf(answer(404, {stamp})).has_value());
    CHECK(failureOf(answer(503, {{.name = "X-Not-Executed", .value = "1"}})) == RunFailure::rejected);
    CHECK(failureOf(answer(421, {{.name = "X-Not-Executed", .value = "1"}})) == RunFailure::rejected);
    // Without X-Not-Executed the server has not confirmed that nothing ran, but the forwarded status would promise that.
    CHECK(failureOf(answer(503, {stamp})) == RunFailure::lost);
    CHECK(failureOf(answer(429, {stamp})) == RunFailure::lost);
    // Answers altered by a fault: no signature, or an encoding that was not requested.
    CHECK(failureOf(answer(200, {})) == RunFailure::lost);
    CHECK(failureOf(answer(200, {stamp, {.name = "Content-Encoding", .value = "gzip"}})) == RunFailure::lost);
}

TEST_CASE("a refusal promises that the request did not run only if its verdict says so")
{
    decision::CallerAnswer refused;
    refused.verdict = Verdict::notRun;
    refused.refusal = account::Refusal{
        .id = {}, .reason = account::RefusalReason::overloadAtEntry, .rule = "full", .figures = {}, .retryAfter = 250ms, .configurationVersion = 1};
    http::Response response = platform::writeAnswer(refused, "abc");
    CHECK(response.status == 429);
    CHECK(*http::findHeader(response.headers, "Retry-After") == "0.250");
    CHECK(*http::findHeader(response.headers, "X-Request-Id") == "abc");
    refused.refusal->reason = account::RefusalReason::deadlinePassed;
    CHECK(platform::writeAnswer(refused, "abc").status == 503);
    refused.verdict = Verdict::mayHaveRun;
    response = platform::writeAnswer(refused, "abc");
    CHECK(response.status == 504);
    CHECK(http::findHeader(response.headers, "Retry-After") == nullptr);
    refused.refusal->reason = account::RefusalReason::serverLost;
    CHECK(platform::writeAnswer(refused, "abc").status == 502);
}

TEST_CASE("forged headers of a caller's request are dropped, and an invalid timeout is ignored")
{
    http::Request request;
    request.target = "/a/b?x=1";
    request.headers = {{.name = "Host", .value = "h"},
                       {.name = "X-Request-Id", .value = "9c41d07be2a35f68.0123456789abcdef"},
                       {.name = "X-Deadline-Ms", .value = "5000"},
                       {.name = "X-Caller-Service", .value = "forged"},
                       {.name = "X-Expected-Instance", .value = "forged"}};
    const platform::CallerRequest caller = platform::readCaller(request);
    CHECK(caller.path == "/a/b");
    CHECK(caller.parentName == "9c41d07be2a35f68");
    CHECK(caller.timeout == 5000ms);
    const Headers forwarded = platform::headersForServer(request.headers, "own", false);
    CHECK(*http::findHeader(forwarded, "X-Caller-Service") == "own");
    CHECK(http::findHeader(forwarded, "X-Expected-Instance") == nullptr);
    CHECK(http::findHeader(forwarded, "X-Deadline-Ms") == nullptr);
    request.headers = {{.name = "X-Request-Id", .value = "plain"}, {.name = "X-Deadline-Ms", .value = "-5"}};
    CHECK(platform::readCaller(request).parentName.empty());
    CHECK_FALSE(platform::readCaller(request).timeout.has_value());
}

TEST_CASE("an API key leaves as a digest at most, and an account that the caller names is dropped")
{
    const std::string key = "maj3nr26tta828m82thh";
    const Headers headers{{.name = "Host", .value = "h"},
                          {.name = "x-KEY", .value = key},
                          {.name = "X-Tenant-Id", .value = "forged"},
                          {.name = "x-tenant-id", .value = "forged too"},
                          {.name = "X-Other", .value = "kept"}};
    const platform::ApiKeyClaim claim = platform::readApiKey(headers);
    CHECK(claim.digest == Secret{key}.digest());
    CHECK(claim.digest.find(key) == std::string::npos);
    const Headers forwarded = platform::headersForServer(headers, "own", true);
    CHECK(http::findHeader(forwarded, "X-Key") == nullptr);
    CHECK(http::findHeader(forwarded, "X-Tenant-Id") == nullptr);
    CHECK(*http::findHeader(forwarded, "X-Other") == "kept");
    // Without accounts, these are headers like any others.
    CHECK(*http::findHeader(platform::headersForServer(headers, "own", false), "X-Tenant-Id") == "forged");
}

TEST_CASE("several keys, a key of 60 KB and none are told apart")
{
    CHECK(platform::readApiKey({{.name = "X-Key", .value = "a"}, {.name = "x-key", .value = "a"}}).isInvalid);
    CHECK(platform::readApiKey({{.name = "X-Key", .value = std::string(60'000, 'k')}}).isInvalid);
    CHECK(platform::readApiKey({{.name = "X-Keys", .value = "a"}}) == platform::ApiKeyClaim{});
    CHECK(platform::readApiKey({{.name = "X-Key", .value = ""}}) == platform::ApiKeyClaim{});
}

TEST_CASE("the account of a run is named to its server")
{
    decision::RunRequest run;
    run.account = std::string{"club"};
    run.remaining = 1s;
    CHECK(*http::findHeader(platform::writeRun(run, "i-1").headers, "X-Tenant-Id") == "club");
    run.account.clear();
    CHECK(http::findHeader(platform::writeRun(run, "i-1").headers, "X-Tenant-Id") == nullptr);
}

TEST_CASE("client accounts of an operators' document keep their quotas and priorities, and their keys as digests")
{
    const QByteArray withAccounts{R"({"version":"00000002","resources":[
 {"resource_type":"routes","metadata":{"name":"r-1"},"spec":{"host":"h","prefix":"/a/","kind":"idempotent","priority":2,"service":"one","public":true}},
 {"resource_type":"routes","metadata":{"name":"r-2"},"spec":{"host":"h","prefix":"/b/","kind":"idempotent","priority":2,"service":"one","public":false}},
 {"resource_type":"tenants","metadata":{"name":"club"},"spec":{"api_keys":["k-1","k-2"],"priority":1,"rate_per_s":356,"burst":300}},
 {"resource_type":"tenants","metadata":{"name":"school"},"spec":{"api_keys":["k-3","k-2"],"rate_per_s":-3}}]})"};
    const auto accepted = platform::readConfiguration(withAccounts, 0.1);
    REQUIRE(accepted.has_value());
    CHECK_FALSE(accepted->manifest.contains("k-1"));
    const auto parsed = manifest::parseManifest(accepted->manifest);
    REQUIRE(parsed.has_value());
    const manifest::Manifest &manifest = *parsed->manifest;
    CHECK(manifest.findKind("one", "r-1")->isPublic);
    CHECK_FALSE(manifest.findKind("one", "r-2")->isPublic);
    const manifest::AccountSpec *const club = manifest.findAccountByKey(Secret{"k-2"}.digest());
    REQUIRE(club != nullptr);
    CHECK(club->name == "club");
    CHECK(club->ratePerSecond == 356.0);
    CHECK(club->burst == 300.0);
    CHECK(club->priority == 8);
    const manifest::AccountSpec *const school = manifest.findAccountByKey(Secret{"k-3"}.digest());
    REQUIRE(school != nullptr);
    CHECK(school->ratePerSecond == 0.0);
    CHECK_FALSE(school->priority.has_value());
    CHECK(manifest.findAccountByKey(Secret{"k-4"}.digest()) == nullptr);
    CHECK(manifest.findAccountByKey("") == nullptr);
}

TEST_CASE("the time of the store's clock is read beyond a day")
{
    CHECK(platform::parseStoreClock("51230ms") == 51230ms);
    CHECK(platform::parseStoreClock("1000000.5s") == 1000000500ms);
    CHECK_FALSE(platform::parseStoreClock("51230").has_value());
    CHECK_FALSE(platform::parseStoreClock("-1ms").has_value());
    CHECK_FALSE(platform::parseStoreClock("").has_value());
}

TEST_CASE("store requests are encoded, and the store's answers decoded")
{
    const store::Request scan = store::TableScan{.prefix = "contact/", .after = {}, .limit = 16};
    const auto request = platform::writeStoreRequest(scan);
    REQUIRE(request.has_value());
    CHECK(request->target == "/api/rows-get?table=egretlatch&part=&from=contact%2F&limit=16");
    CHECK_FALSE(platform::writeStoreRequest(store::ObjectGet{.name = "x"}).has_value());
    http::Response page;
    page.status = 200;
    page.body =
        R"({"rows":[{"table":"egretlatch","part":"","key":"contact/01","value":"YQ==","ver":7},{"key":"other","value":"YQ==","ver":8}],"ver":9,"now":"1ms"})";
    const store::Outcome outcome = platform::readStoreAnswer(scan, page);
    REQUIRE(outcome.has_value());
    CHECK(std::get<store::RowsReply>(*outcome).rows == std::vector<store::Row>{{.key = "contact/01", .value = "a", .version = 7}});
    const store::Request write = store::TableWrite{.conditions = {}, .writes = {{.key = "k", .value = "v"}}};
    CHECK(platform::readStoreAnswer(write, answer(412, {})).error().code == ErrorCode::conflict);
    CHECK(platform::readStoreAnswer(write, answer(429, {})).error().code == ErrorCode::rateLimited);
    CHECK(platform::readStoreAnswer(write, answer(503, {})).error().code == ErrorCode::unavailable);
    // The write may have taken effect, so the error does not promise that it did not.
    CHECK(platform::readStoreAnswer(write, answer(500, {})).error().code == ErrorCode::timedOut);
}

TEST_CASE("a page of the operators' table yields the configurations and the next position")
{
    http::Response page;
    page.status = 200;
    page.body =
        R"({"rows":[{"table":"op","part":"","key":"config","value":"e30=","ver":5},{"key":"other","value":"e30=","ver":6},{"key":"config","deleted":true,"ver":7}],"ver":9})";
    const auto read = platform::readConfigurationPage(page);
    REQUIRE(read.has_value());
    CHECK(read->position == 9);
    CHECK(read->documents == std::vector<QByteArray>{"{}"});
    page.status = 410;
    CHECK(platform::readConfigurationPage(page).error().code == ErrorCode::notFound);
    CHECK(rc::check("arbitrary bytes are parsed or rejected", [](const std::string &bytes) {
        http::Response response;
        response.status = 200;
        response.body = QByteArray::fromStdString(bytes);
        static_cast<void>(platform::readConfigurationPage(response));
    }));
}
