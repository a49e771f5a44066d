#include <doctest/doctest.h>

#include <golden/session.hpp>

using golden::checkGolden;
using golden::Session;

namespace
{

constexpr char entry[] = "launch-log/launch-entry";
constexpr char lookup[] = "launch-log/lookup";

} // namespace

TEST_CASE("session: a resend of a completed launch entry gets the same answer without a second run")
{
    Session session{"A launch entry completes. Its caller loses the answer and resends; it gets the same answer again and nothing runs."};
    const std::string key = session.mintKey("launch-entry");
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.wait(std::chrono::milliseconds{20});
    session.answerOldestRun(201, R"({"launch":17})");
    session.wait(std::chrono::milliseconds{50});
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    CHECK(session.runs() == 0);
    checkGolden("answered", session.text());
}

TEST_CASE("session: a launch entry that passes its deadline may have run, and a resend gets the recorded outcome")
{
    Session session{"A launch entry takes longer than its deadline. The caller learns that it may have run; a later resend gets the recorded outcome."};
    const std::string key = session.mintKey("launch-entry");
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.wait(std::chrono::milliseconds{520});
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.wait(std::chrono::milliseconds{20});
    if (session.runs() > 0) {
        session.answerOldestRun(201, R"({"launch":17})");
    }
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    CHECK(session.runs() == 0);
    checkGolden("deadline-passed", session.text());
}

TEST_CASE("session: a launch entry whose backend server is lost is not run again")
{
    Session session{"The backend server crashes while it runs a launch entry. Neither the daemons nor a resend runs it again."};
    const std::string key = session.mintKey("launch-entry");
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.wait(std::chrono::milliseconds{20});
    session.endOldestRun(egretlatch::decision::RunFailure::lost);
    session.wait(std::chrono::milliseconds{50});
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    CHECK(session.runs() == 0);
    checkGolden("server-lost", session.text());
}

TEST_CASE("session: a lookup whose backend server is lost is run again elsewhere")
{
    Session session{"The backend server crashes while it runs a lookup, which may be repeated. The caller sees only the second server's answer."};
    session.call("pilot", lookup, {}, "{}");
    session.wait(std::chrono::milliseconds{20});
    session.endOldestRun(egretlatch::decision::RunFailure::lost);
    session.wait(std::chrono::milliseconds{20});
    session.answerOldestRun(200, R"({"launches":3})");
    checkGolden("server-lost-lookup", session.text());
}

TEST_CASE("session: a launch entry that the backend server rejects is refused as not run, and runs under the next key")
{
    Session session{"The backend server says that it did not start the launch entry. The caller resends under the key that the refusal names."};
    const std::string key = session.mintKey("launch-entry");
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.endOldestRun(egretlatch::decision::RunFailure::rejected);
    session.wait(std::chrono::milliseconds{20});
    session.call("marshal", entry, session.nextKey(), R"({"glider":"D-1234"})");
    session.answerOldestRun(201, R"({"launch":17})");
    checkGolden("rejected", session.text());
}

TEST_CASE("session: requests that pass their deadline free the slots for later requests")
{
    Session session{"Both backend servers have one slot and hang. Four pilots send lookups and none is answered in time; a fifth finds a free slot."};
    for (const char *const pilot : {"pilot 1", "pilot 2", "pilot 3", "pilot 4"}) {
        session.call(pilot, lookup, {}, "{}");
        session.wait(std::chrono::milliseconds{10});
    }
    session.wait(std::chrono::milliseconds{600});
    session.call("pilot 5", lookup, {}, "{}");
    session.wait(std::chrono::milliseconds{20});
    session.answerOldestRun(200, R"({"launches":3})");
    checkGolden("queue", session.text());
}

TEST_CASE("session: a service without servers and a service whose servers drain refuse requests")
{
    Session session{"No backend server of the logbook archive is known; later those of the launch log leave. Both refusals say that nothing ran."};
    session.call("treasurer", "logbook-archive/lookup", {}, "{}");
    session.drainServers();
    session.wait(std::chrono::seconds{2});
    session.call("pilot", lookup, {}, "{}");
    CHECK(session.runs() == 0);
    checkGolden("no-server", session.text());
}

TEST_CASE("session: invalid requests are answered with the reason")
{
    Session session{"Three invalid requests: an undeclared kind, a launch entry without a key, and one whose key names no owner."};
    session.call("marshal", "launch-log/landing", {}, "{}");
    session.call("marshal", entry, {}, "{}");
    session.call("marshal", entry, "0190a6f0-0000-7000-8000-000000000001", "{}");
    CHECK(session.runs() == 0);
    checkGolden("mistakes", session.text());
}

TEST_CASE("session: a lookup is aborted when its caller closes the connection")
{
    Session session{"A pilot closes the page while the lookup runs. The run is aborted and the slot is free for the next request."};
    session.call("pilot", lookup, {}, "{}");
    CHECK(session.runs() == 1);
    session.wait(std::chrono::milliseconds{20});
    session.closeConnection("pilot");
    CHECK(session.runs() == 0);
    session.call("pilot", lookup, {}, "{}");
    session.answerOldestRun(200, R"({"launches":3})");
    checkGolden("cancelled", session.text());
}
