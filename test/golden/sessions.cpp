#include <doctest/doctest.h>

#include <golden/session.hpp>

using golden::checkGolden;
using golden::Session;

namespace
{

constexpr char entry[] = "launch-log/launch-entry";
constexpr char lookup[] = "launch-log/lookup";

} // namespace

TEST_CASE("session: a launch entry is answered whole, and a resend gets the same answer without a second run")
{
    Session session{"A launch entry is answered whole. Its caller lost the answer and resends; the answer comes again and nothing runs."};
    const std::string key = session.mintKey("launch-entry");
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    session.wait(std::chrono::milliseconds{20});
    session.answerOldestRun(201, R"({"launch":17})");
    session.wait(std::chrono::milliseconds{50});
    session.call("marshal", entry, key, R"({"glider":"D-1234"})");
    CHECK(session.runs() == 0);
    checkGolden("answered", session.text());
}

TEST_CASE("session: a launch entry whose time passes may have run, and a resend is told its outcome")
{
    Session session{"A launch entry takes longer than its caller waits. It is told that it may have run; a resend later gets what became of it."};
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
    Session session{"The backend server crashes while it runs a launch entry. Neither the system nor a resend runs it again."};
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

TEST_CASE("session: what is not answered before its deadline gives its place to what comes after")
{
    Session session{"Both backend servers have one slot and hang. Four pilots ask and none is answered in time; a fifth finds a free slot."};
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

TEST_CASE("session: a service without servers refuses, and so does one that drains")
{
    Session session{"No backend server of the logbook archive is known; later those of the launch log leave. Both refusals say that nothing ran."};
    session.call("treasurer", "logbook-archive/lookup", {}, "{}");
    session.drainServers();
    session.wait(std::chrono::seconds{2});
    session.call("pilot", lookup, {}, "{}");
    CHECK(session.runs() == 0);
    checkGolden("no-server", session.text());
}

TEST_CASE("session: requests that are wrong are told how")
{
    Session session{"A kind that is not declared, and a launch entry without a key, and one whose key names no owner."};
    session.call("marshal", "launch-log/landing", {}, "{}");
    session.call("marshal", entry, {}, "{}");
    session.call("marshal", entry, "0190a6f0-0000-7000-8000-000000000001", "{}");
    CHECK(session.runs() == 0);
    checkGolden("mistakes", session.text());
}

TEST_CASE("session: a caller that goes away is not answered, and its lookup ends")
{
    Session session{"A pilot closes the page while the lookup runs. The run is ended and the slot is free for the next."};
    session.call("pilot", lookup, {}, "{}");
    CHECK(session.runs() == 1);
    session.wait(std::chrono::milliseconds{20});
    session.closeConnection("pilot");
    CHECK(session.runs() == 0);
    session.call("pilot", lookup, {}, "{}");
    session.answerOldestRun(200, R"({"launches":3})");
    checkGolden("cancelled", session.text());
}
