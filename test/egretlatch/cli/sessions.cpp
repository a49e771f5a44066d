#include <doctest/doctest.h>

#include <fakes/fake_platform_port.hpp>
#include <fakes/golden_file.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/account/refusal_ledger.hpp>
#include <egretlatch/cli/explain_command.hpp>
#include <egretlatch/cli/status_command.hpp>
#include <egretlatch/cli/submit_command.hpp>
#include <egretlatch/core/content_hash.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/daemon/status_document.hpp>

using namespace egretlatch;

namespace
{

/*! @brief Records the output of operators' commands under a fixed clock and seed. */
struct Session
{
    void print(const std::string &command, const cli::CommandResult &result)
    {
        text += "$ egretlatch " + command + "\n" + result.text + "[exit " + std::to_string(result.code) + "]\n\n";
    }

    [[nodiscard]] configuration::SubmissionRequest request(const std::uint64_t base, const std::string &manifest, const std::string &submitter)
    {
        configuration::SubmissionRequest request;
        request.base = base;
        request.manifest = QByteArray::fromStdString(manifest);
        request.id = uuidGenerator.generate(clock.wallNow()).toString();
        request.submitter = submitter;
        request.submitted = clock.wallNow();
        return request;
    }

    void submit(const configuration::SubmissionRequest &request, std::deque<fakes::ScriptedOutcome> outcomes = {})
    {
        fakes::FakePlatformPort port{store, std::move(outcomes)};
        const std::string command = "submit --manifest m.json --base " + std::to_string(request.base) + " --submitter " + request.submitter;
        print(command, cli::submit(request, port, random, std::chrono::seconds{60}));
        clock.advance(std::chrono::minutes{1});
    }

    fakes::ManualClock clock;
    SeededRandom random{20261202};
    UuidGenerator uuidGenerator{random};
    standin::PlatformStore store;
    std::string text;
};

[[nodiscard]] cli::DaemonAnswer
makeAnswer(const std::string &id, const std::uint64_t version, const std::uint64_t newest, std::vector<configuration::ReportedVersion> reported)
{
    configuration::Report report;
    report.daemon = {id};
    report.version = version;
    report.hash = contentHash(QByteArray::number(static_cast<qulonglong>(version)));
    report.newestKnown = newest;
    report.reported = std::move(reported);
    membership::Member self;
    self.id = {id};
    // Goes through the status document that the daemon serves.
    const std::string page = daemon::statusDocument(membership::Roster{self}, report, {}, {});
    return {.url = "http://" + id, .report = cli::parseReport(QByteArray::fromStdString(page))};
}

[[nodiscard]] account::RefusalRecord makeRefusal(Session &session, const account::RefusalReason reason, const std::string &kind)
{
    account::RefusalRecord record;
    record.time = session.clock.wallNow();
    record.refusal.id = session.uuidGenerator.generate(record.time);
    record.refusal.reason = reason;
    record.refusal.rule = "admission level of launch-log (daemon launch-log-0)";
    record.refusal.figures = {{.name = "level", .value = 5.25}, {.name = "queueDelayMs", .value = 84.5}};
    record.refusal.retryAfter = std::chrono::milliseconds{1500};
    record.refusal.configurationVersion = 2;
    record.verdict = Verdict::notRun;
    record.root = session.uuidGenerator.generate(record.time);
    record.keyFingerprint = 0xabcdef;
    record.service = "launch-log";
    record.kind = kind;
    record.priority = 7;
    record.worth = 5;
    return record;
}

} // namespace

TEST_CASE("operators submit manifests and race for a version")
{
    Session session;
    session.submit(session.request(0, "{\"a\":1}", "anna"));
    const configuration::SubmissionRequest anna = session.request(1, "{\"a\":2}", "anna");
    const configuration::SubmissionRequest bert = session.request(1, "{\"b\":2}", "bert");
    using fakes::ScriptedOutcome;
    session.submit(anna, {ScriptedOutcome::answered, ScriptedOutcome::answered, ScriptedOutcome::answerLost});
    session.submit(bert);
    session.submit(session.request(2, "{\"b\":3}", "bert"));
    session.submit(anna);
    session.submit(session.request(9, "{\"c\":1}", "carl"));
    session.submit(session.request(3, "{\"c\":1}", "carl"), std::deque<ScriptedOutcome>(200, ScriptedOutcome::down));
    std::deque<ScriptedOutcome> outcomes{ScriptedOutcome::answered, ScriptedOutcome::answered, ScriptedOutcome::answerLost};
    outcomes.insert(outcomes.end(), 200, ScriptedOutcome::down);
    const configuration::SubmissionRequest carl = session.request(3, "{\"c\":2}", "carl");
    session.submit(carl, outcomes);
    session.submit(carl);
    fakes::checkGolden("submit-and-race.txt", session.text);
}

TEST_CASE("operators read the configuration in force")
{
    Session session;
    const std::vector<configuration::ReportedVersion> reported{{.daemon = {"roster-0"}, .version = 4, .age = std::chrono::milliseconds{700}},
                                                               {.daemon = {"roster-1"}, .version = 3, .age = std::chrono::milliseconds{12'340}}};
    session.print("status --daemon http://launch-log-0", cli::describeFleet({makeAnswer("launch-log-0", 4, 4, {reported.front()})}));
    session.print("status --daemon http://launch-log-0 --daemon http://launch-log-1 --daemon http://gone",
                  cli::describeFleet({makeAnswer("launch-log-0", 4, 4, reported), makeAnswer("launch-log-1", 3, 4, {}), {.url = "http://gone", .report = {}}}));
    fakes::checkGolden("status.txt", session.text);
}

TEST_CASE("operators explain stored refusals")
{
    Session session;
    account::RefusalLedger ledger{{"launch-log-0"}, {17}, {.maxPending = 3}};
    const WallTime start = session.clock.wallNow();
    const account::RefusalRecord refusal = makeRefusal(session, account::RefusalReason::overloadAtServer, "launch-entry");
    ledger.add(refusal);
    ledger.add(makeRefusal(session, account::RefusalReason::deadlinePassed, "launch-entry"));
    session.clock.advance(std::chrono::minutes{2});
    for (int count = 0; count < 3; ++count) {
        ledger.add(makeRefusal(session, account::RefusalReason::overloadAtEntry, "history-query"));
    }
    while (const std::optional<account::AccountBatch> batch = ledger.nextBatch()) {
        static_cast<void>(session.store.apply(store::ObjectPut{.name = account::objectName(*batch), .bytes = account::encodeBatch(*batch)}));
        ledger.acknowledge();
    }
    fakes::FakePlatformPort port{session.store};
    const std::string id = refusal.refusal.id.toString();
    session.print("explain " + id, cli::explainRefusal(refusal.refusal.id, port, session.random, false));
    session.print("explain --json " + id, cli::explainRefusal(refusal.refusal.id, port, session.random, true));
    const Uuid missing = session.uuidGenerator.generate(session.clock.wallNow());
    session.print("explain " + missing.toString(), cli::explainRefusal(missing, port, session.random, false));
    const cli::RefusalQuery query{.since = start, .until = session.clock.wallNow() + std::chrono::minutes{1}, .kind = {}};
    session.print("explain --since 2026-09-21T14:13:20Z", cli::summarizeRefusals(query, port, session.random));
    const cli::RefusalQuery ofKind{.since = query.since, .until = query.until, .kind = "launch-log/launch-entry"};
    session.print("explain --since 2026-09-21T14:13:20Z --kind launch-log/launch-entry", cli::summarizeRefusals(ofKind, port, session.random));
    fakes::checkGolden("explain.txt", session.text);
}
