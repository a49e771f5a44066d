#include <doctest/doctest.h>

#include <algorithm>

#include <fmt/format.h>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>
#include <fakes/roster_fleet.hpp>

#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/core/secret.hpp>
#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr Incarnation selfIncarnation{100};
constexpr Incarnation peerIncarnation{200};
constexpr Duration maxAgeForKeys = 4500ms;
const std::string keyDigest = Secret{"maj3nr26tta828m82thh"}.digest();
const std::string otherDigest = Secret{"kmgjqnirth5mgjy5rcpi"}.digest();

[[nodiscard]] QByteArray documentWith(const std::string &digest, const double ratePerSecond)
{
    return QByteArray::fromStdString(fmt::format(
        R"({{"services":[{{"name":"roster","slots":2,"connections":10,"kinds":[
            {{"name":"read","priority":5,"worth":1,"idempotent":true}},
            {{"name":"open","priority":5,"worth":1,"idempotent":true,"public":true}}]}}],
            "accounts":[{{"name":"club","priority":8,"ratePerSecond":{},"burst":{},"keyDigests":["{}"]}}]}})",
        ratePerSecond,
        ratePerSecond,
        digest));
}

// Refuses every root while the switch is on.
class SwitchedEntry final : public admission::EntryControl
{
public:
    explicit SwitchedEntry(const bool &isOverloaded)
        : m_isOverloaded{isOverloaded}
    {
    }

    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override
    {
        m_open.setManifest(std::move(manifest));
    }

    [[nodiscard]] admission::Rank rankOf(const std::string &service, const std::string &kind) const override
    {
        return m_open.rankOf(service, kind);
    }

    [[nodiscard]] admission::RankClass
    classAt(const std::string &service, const std::string &kind, const admission::Rank &rank, const admission::RootCosts &costs) const override
    {
        return m_open.classAt(service, kind, rank, costs);
    }

    void noteLoad(const admission::ServerLoadReport &report, const SteadyTime now) override
    {
        m_open.noteLoad(report, now);
    }

    void noteLevel(const admission::ServiceLevelReport &report) override
    {
        m_open.noteLevel(report);
    }

    [[nodiscard]] std::vector<admission::ServiceLevelReport> downstreamLevels(const std::string &service, const SteadyTime now) override
    {
        return m_open.downstreamLevels(service, now);
    }

    [[nodiscard]] std::optional<admission::EntryRefusal> check(const admission::EntryRequest & /*request*/, SteadyTime /*now*/) override
    {
        return m_isOverloaded
            ? std::optional{admission::EntryRefusal{.reason = account::RefusalReason::overloadAtEntry, .rule = "no room", .figures = {}, .retryAfter = 1s}}
            : std::nullopt;
    }

private:
    const bool &m_isOverloaded;
    admission::OpenEntry m_open;
};

// Entry daemon with one serving daemon beside it, a backend server of its own, and a store that can prove the configuration.
struct Fixture
{
    explicit Fixture(const double ratePerSecond = 0.0)
    {
        membership::Member self;
        self.id = {"entry"};
        self.incarnation = selfIncarnation;
        self.endpoint = "tcp://entry";
        core = CoreBuilder{clock, random, metrics}
                   .setSelf(self)
                   .followPlatform()
                   .setConfigurationFeed()
                   .setUnownedKeys(retry::UnownedKeys::notNeeded)
                   .setEntryRules({.countsOnlyArrivals = true, .retrySlack = 40.0, .traces = false})
                   .setAccountRules({.maxAgeForKeys = maxAgeForKeys, .maxAgeForUnknownKeys = 2500ms, .maxTimeWithoutStore = 3s, .quota = {}})
                   .setEntryControl(std::make_unique<SwitchedEntry>(isOverloaded))
                   .build();
        accept(1, documentWith(keyDigest, ratePerSecond));
        static_cast<void>(handleFrom({"peer"}, fakes::rosterGossip({"peer"}, peerIncarnation)));
        static_cast<void>(core->handle(Tick{}));
    }

    void accept(const std::uint64_t version, const QByteArray &document)
    {
        static_cast<void>(core->handle(ManifestAccepted{.version = version, .document = document}));
    }

    [[nodiscard]] store::StoreTime storeNow() const
    {
        return store::StoreTime{std::chrono::floor<std::chrono::milliseconds>(clock.bootNow().time_since_epoch())};
    }

    // An exchange with the store that takes no time, and shows that nothing newer was accepted.
    void prove()
    {
        static_cast<void>(core->handle(StoreClockRead{.reading = {.sentAt = clock.bootNow(), .now = storeNow()}}));
        static_cast<void>(core->handle(ConfigurationProven{.at = storeNow()}));
    }

    Actions handleFrom(const DaemonId &sender, const protocol::Message &message)
    {
        return core->handle(PeerMessage{.envelope = {.sender = sender, .incarnation = peerIncarnation, .message = message}});
    }

    Actions arrive(const std::string &digest, const std::string &kind = "read", const std::string &name = "n", const std::string &parent = {})
    {
        CallerCall call;
        call.service = "roster";
        call.kind = kind;
        call.method = "GET";
        call.path.assign(1, '/');
        call.requestName = name;
        call.parentName = parent;
        call.apiKeyDigest = digest;
        return core->handle(CallArrived{.exchange = {++lastExchange}, .call = call});
    }

    // Starts a run of a request with a given name at the server on this VM.
    void startRun(const std::string &name)
    {
        static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 2, .connections = 2, .instance = "i-1"}));
        protocol::CallRequest request;
        request.call = {77};
        request.service = "roster";
        request.kind = "read";
        request.method = "GET";
        request.path.assign(1, '/');
        request.requestName = name;
        request.remaining = 5s;
        request.receiver = selfIncarnation;
        static_cast<void>(handleFrom({"peer"}, request));
    }

    // A proof from another daemon, without an exchange with the store of this one's own.
    void proveAtSecondHand()
    {
        const configuration::Advert advert{.version = 1, .hash = "h", .endpoint = "tcp://peer", .provenAt = storeNow()};
        static_cast<void>(handleFrom({"peer"}, advert));
    }

    void refuseOne()
    {
        isOverloaded = true;
        static_cast<void>(arrive(keyDigest));
        isOverloaded = false;
    }

    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    bool isOverloaded{};
    std::unique_ptr<Core> core;
    std::uint64_t lastExchange{};
};

[[nodiscard]] const protocol::CallRequest *attemptIn(const Actions &actions)
{
    for (const Action &action : actions) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        if (send != nullptr && std::holds_alternative<protocol::CallRequest>(send->message)) {
            return &std::get<protocol::CallRequest>(send->message);
        }
    }
    return nullptr;
}

[[nodiscard]] const StartRun *runIn(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *const start = std::get_if<StartRun>(&action)) {
            return start;
        }
    }
    return nullptr;
}

[[nodiscard]] bool isAdmitted(const Actions &actions)
{
    return attemptIn(actions) != nullptr || runIn(actions) != nullptr;
}

[[nodiscard]] CallerAnswer answerIn(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *const answer = std::get_if<AnswerCaller>(&action)) {
            return answer->answer;
        }
    }
    return {};
}

[[nodiscard]] bool isUnproven(const Actions &actions)
{
    const CallerAnswer answer = answerIn(actions);
    return answer.refusal.has_value() && answer.refusal->reason == account::RefusalReason::configurationUnproven && answer.verdict == Verdict::notRun;
}

} // namespace

TEST_CASE("a call with a key counts for its account, and the account's priority goes before that of the kind")
{
    Fixture fixture;
    fixture.prove();
    const Actions actions = fixture.arrive(keyDigest);
    const protocol::CallRequest *const attempt = attemptIn(actions);
    REQUIRE(attempt != nullptr);
    CHECK(attempt->account == "club");
    // The account's priority, or the highest for a part of the roots, then that of the kind.
    CHECK((attempt->rank.priority == 85 || attempt->rank.priority == 95));
}

TEST_CASE("an unknown key and a missing one are refused for good, a public kind needs none")
{
    Fixture fixture;
    fixture.clock.advance(20s);
    fixture.prove();
    CHECK(answerIn(fixture.arrive(otherDigest)).status == 401);
    CHECK(answerIn(fixture.arrive({})).status == 401);
    CHECK(isAdmitted(fixture.arrive({}, "open")));
    CHECK(isAdmitted(fixture.arrive(otherDigest, "open")));
}

TEST_CASE("no key counts without a proof, nor with one that is older than the bound")
{
    Fixture fixture;
    CHECK(isUnproven(fixture.arrive(keyDigest)));
    fixture.prove();
    CHECK(isAdmitted(fixture.arrive(keyDigest)));
    fixture.clock.advance(maxAgeForKeys + 10ms);
    CHECK(isUnproven(fixture.arrive(keyDigest)));
}

TEST_CASE("a key that was withdrawn while the machine was suspended does not work after it")
{
    // Guards against a daemon that takes its configuration for recent, since the steady clock stood still.
    Fixture fixture;
    fixture.prove();
    fixture.clock.suspend(6s);
    CHECK(isUnproven(fixture.arrive(keyDigest)));
}

TEST_CASE("a proof from another daemon counts for its version and older ones, not for a newer one")
{
    Fixture fixture;
    fixture.prove();
    const store::StoreTime before = fixture.storeNow();
    fixture.clock.advance(5s);
    const configuration::Advert newer{.version = 2, .hash = "h", .endpoint = "tcp://peer", .provenAt = fixture.storeNow()};
    static_cast<void>(fixture.handleFrom({"peer"}, newer));
    CHECK(isUnproven(fixture.arrive(keyDigest)));
    configuration::Advert same{.version = 1, .hash = "h", .endpoint = "tcp://peer", .provenAt = before};
    static_cast<void>(fixture.handleFrom({"peer"}, same));
    CHECK(isUnproven(fixture.arrive(keyDigest)));
    same.provenAt = fixture.storeNow();
    static_cast<void>(fixture.handleFrom({"peer"}, same));
    CHECK(isAdmitted(fixture.arrive(keyDigest)));
}

TEST_CASE("a withdrawn key is refused as soon as the configuration without it is in force")
{
    Fixture fixture;
    fixture.prove();
    fixture.accept(2, documentWith(otherDigest, 0.0));
    fixture.prove();
    CHECK(answerIn(fixture.arrive(keyDigest)).status == 401);
    CHECK(isAdmitted(fixture.arrive(otherDigest)));
}

TEST_CASE("an unknown key is not refused for good while a newer configuration may hold it")
{
    Fixture fixture;
    fixture.prove();
    fixture.clock.advance(3s);
    CHECK(isUnproven(fixture.arrive(otherDigest)));
}

TEST_CASE("a call of a run on this VM needs no key and has no account")
{
    Fixture fixture;
    fixture.clock.advance(20s);
    fixture.prove();
    fixture.startRun("parent");
    const Actions actions = fixture.arrive({}, "read", "parent.0123456789abcdef", "parent");
    CHECK(isAdmitted(actions));
    const protocol::CallRequest *const attempt = attemptIn(actions);
    CHECK((attempt == nullptr || attempt->account.empty()));
}

TEST_CASE("calls of a server that does not name the run that makes them need no key while it runs one")
{
    Fixture fixture;
    fixture.clock.advance(20s);
    fixture.prove();
    CHECK(answerIn(fixture.arrive({}, "read", "x")).status == 401);
    fixture.startRun("parent");
    CHECK(isAdmitted(fixture.arrive({}, "read", "x")));
}

TEST_CASE("where the server names its runs, a call without a key that names none is not taken for one of its own")
{
    Fixture fixture;
    fixture.clock.advance(20s);
    fixture.prove();
    fixture.startRun("parent");
    CHECK(isAdmitted(fixture.arrive({}, "read", "parent.0123456789abcdef", "parent")));
    const Actions actions = fixture.arrive({}, "read", "forged.0123456789abcdef", "forged");
    CHECK_FALSE(isAdmitted(actions));
    CHECK(isUnproven(actions));
}

TEST_CASE("after a restart, calls of runs that are not known are not refused for good")
{
    // Guards against a wave of 401: the server still runs requests that an earlier incarnation of the daemon handed to it.
    Fixture fixture;
    fixture.prove();
    const Actions actions = fixture.arrive({}, "read", "before.0123456789abcdef", "before");
    CHECK(isUnproven(actions));
}

TEST_CASE("calls beyond the quota of their account are refused before any work, with a time to come back")
{
    Fixture fixture{1.0};
    fixture.prove();
    int admitted = 0;
    std::optional<CallerAnswer> refused;
    for (int call = 0; call < 30; ++call) {
        const Actions actions = fixture.arrive(keyDigest);
        if (isAdmitted(actions)) {
            ++admitted;
        } else {
            refused = answerIn(actions);
        }
    }
    CHECK(admitted <= 5);
    REQUIRE(refused.has_value());
    REQUIRE(refused->refusal.has_value());
    CHECK((refused->refusal->reason == account::RefusalReason::overQuota));
    CHECK(refused->refusal->retryAfter > 0ms);
    CHECK((refused->verdict == Verdict::notRun));
}

TEST_CASE("the name of the key's account is passed on with the run, the key nowhere")
{
    Fixture fixture;
    fixture.prove();
    static_cast<void>(fixture.core->handle(ServerAnnounced{.service = "roster", .slots = 2, .connections = 2, .instance = "i-1"}));
    bool hasRunHere = false;
    for (int call = 0; call < 40 && !hasRunHere; ++call) {
        const Actions actions = fixture.arrive(keyDigest, "read", "n" + std::to_string(call));
        if (const StartRun *const start = runIn(actions)) {
            hasRunHere = true;
            CHECK(start->request.account == "club");
        }
    }
    CHECK(hasRunHere);
}

TEST_CASE("in an overload, calls of a daemon that has lost the store rank last, as their keys are known at second hand")
{
    // Guards against room that goes to calls of daemons on the wrong side of a partition while others refuse theirs.
    Fixture fixture;
    fixture.prove();
    fixture.clock.advance(4s);
    fixture.proveAtSecondHand();
    CHECK(attemptIn(fixture.arrive(keyDigest))->rank.priority >= 85);
    fixture.refuseOne();
    CHECK(attemptIn(fixture.arrive(keyDigest))->rank.priority == 5);
    // The answer of the store shows that it is reached.
    fixture.prove();
    CHECK(attemptIn(fixture.arrive(keyDigest))->rank.priority >= 85);
}

TEST_CASE("a daemon finds out whether it reaches the store only in an overload")
{
    Fixture fixture;
    fixture.prove();
    fixture.clock.advance(2s);
    fixture.proveAtSecondHand();
    CHECK((fixture.core->reasonToReadConfiguration() != configuration::ReadReason::contact));
    fixture.refuseOne();
    CHECK((fixture.core->reasonToReadConfiguration() == configuration::ReadReason::contact));
    fixture.prove();
    CHECK((fixture.core->reasonToReadConfiguration() != configuration::ReadReason::contact));
}

TEST_CASE("where no daemon reaches the store, calls keep their order")
{
    Fixture fixture;
    fixture.prove();
    fixture.clock.advance(4s);
    fixture.refuseOne();
    CHECK(attemptIn(fixture.arrive(keyDigest))->rank.priority >= 85);
}

TEST_CASE("a part of the roots of each account ranks like those of the most important accounts")
{
    // Guards against an account that gets nothing in a long overload.
    Fixture fixture;
    fixture.prove();
    int assured = 0;
    constexpr int roots = 1000;
    for (int root = 0; root < roots; ++root) {
        assured += attemptIn(fixture.arrive(keyDigest))->rank.priority == 95 ? 1 : 0;
    }
    CHECK(assured > roots * 3 / 10);
    CHECK(assured < roots * 4 / 10);
}
