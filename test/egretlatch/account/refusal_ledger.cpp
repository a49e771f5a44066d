#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fakes/manual_clock.hpp>

#include <egretlatch/account/refusal_ledger.hpp>
#include <egretlatch/core/random_source.hpp>

using namespace egretlatch;
using namespace egretlatch::account;

namespace
{

/*! @brief Creates refusal records at the time of a manual clock. */
struct RecordMaker
{
    RefusalRecord make()
    {
        RefusalRecord record;
        record.time = clock.wallNow();
        record.refusal.id = uuidGenerator.generate(record.time);
        record.refusal.reason = RefusalReason::overloadAtServer;
        record.refusal.rule = "level (daemon launch-log-0)";
        record.refusal.figures = {{.name = "level", .value = 5.25}};
        record.refusal.configurationVersion = 3;
        record.verdict = Verdict::notRun;
        record.service = "launch-log";
        record.kind = "launch-entry";
        record.priority = 7;
        record.worth = 5;
        return record;
    }

    fakes::ManualClock clock;
    SeededRandom random{1};
    UuidGenerator uuidGenerator{random};
};

} // namespace

TEST_CASE("a batch is unchanged after encoding and decoding")
{
    RecordMaker maker;
    AccountBatch batch;
    batch.daemon = {"launch-log-0"};
    batch.incarnation = {0xfedcba9876543210};
    batch.sequence = 4;
    batch.minute = std::chrono::floor<std::chrono::minutes>(maker.clock.wallNow());
    batch.refusals = {maker.make(), maker.make()};
    batch.dropped = {{.count = 7, .first = maker.clock.wallNow(), .last = maker.clock.wallNow() + std::chrono::seconds{2}}};
    batch.isLast = true;
    CHECK(decodeBatch(encodeBatch(batch)) == batch);
}

TEST_CASE("data that is not a valid batch is rejected by the decoder")
{
    CHECK_FALSE(decodeBatch({}));
    CHECK_FALSE(decodeBatch("\xff\xff\xff\xff of four gigabytes"));
    CHECK_FALSE(decodeBatch(qCompress("{}")));
    CHECK(rc::check([](const std::string &bytes) {
        RC_ASSERT_FALSE(decodeBatch(QByteArray::fromStdString(bytes)).has_value());
    }));
}

TEST_CASE("a refusal is stored once, under the minute of its id, even if responses of the store are lost")
{
    // Guards against refusals that an auditor would count twice: a put takes effect but its response is lost, and a new
    // batch under another name would contain the same refusals again.
    RecordMaker maker;
    RefusalLedger ledger{{"a"}, {1}};
    ledger.add(maker.make());
    const std::optional<AccountBatch> first = ledger.nextBatch();
    REQUIRE(first.has_value());
    ledger.add(maker.make());
    CHECK(ledger.nextBatch() == first);
    CHECK(objectName(*first).starts_with(minutePrefix(maker.clock.wallNow())));
    ledger.acknowledge();
    const std::optional<AccountBatch> second = ledger.nextBatch();
    REQUIRE(second.has_value());
    CHECK(second->refusals.size() == 1);
    CHECK(second->sequence == 2);
    ledger.acknowledge();
    CHECK_FALSE(ledger.nextBatch().has_value());
    CHECK(ledger.pendingCount() == 0);
}

TEST_CASE("memory is bounded during a long outage, and dropped refusals are recorded with their count and time span")
{
    // During an hour of overload with the store down, a daemon without a limit would exceed its 128 MB of memory. If it
    // dropped refusals without a record, an auditor would take the account for complete.
    RecordMaker maker;
    RefusalLedger ledger{{"a"}, {1}, {.maxPending = 100, .maxBatch = 30, .maxRecent = 10}};
    for (int second = 0; second < 600; ++second) {
        ledger.add(maker.make());
        static_cast<void>(ledger.nextBatch());
        maker.clock.advance(std::chrono::seconds{1});
    }
    CHECK(ledger.pendingCount() == 100);
    std::size_t refusals = 0;
    std::uint64_t dropped = 0;
    while (const std::optional<AccountBatch> batch = ledger.nextBatch()) {
        refusals += batch->refusals.size();
        CHECK(batch->refusals.size() <= 30);
        for (const DroppedRefusals &gap : batch->dropped) {
            dropped += gap.count;
            CHECK(gap.last - gap.first == std::chrono::seconds{499});
        }
        ledger.acknowledge();
    }
    CHECK(refusals == 100);
    CHECK(dropped == 500);
}

TEST_CASE("only the last batch of an incarnation is marked as last")
{
    RecordMaker maker;
    RefusalLedger ledger{{"a"}, {1}};
    ledger.add(maker.make());
    maker.clock.advance(std::chrono::minutes{3});
    ledger.close(maker.clock.wallNow());
    const std::optional<AccountBatch> first = ledger.nextBatch();
    REQUIRE(first.has_value());
    CHECK_FALSE(first->isLast);
    ledger.acknowledge();
    const std::optional<AccountBatch> last = ledger.nextBatch();
    REQUIRE(last.has_value());
    CHECK(last->isLast);
    ledger.acknowledge();
    CHECK_FALSE(ledger.nextBatch().has_value());
}

TEST_CASE("recent refusals can be looked up before and after they are stored")
{
    RecordMaker maker;
    RefusalLedger ledger{{"a"}, {1}, {.maxRecent = 2}};
    const RefusalRecord first = maker.make();
    const RefusalRecord second = maker.make();
    ledger.add(first);
    ledger.add(second);
    CHECK(ledger.find(first.refusal.id) == first);
    ledger.add(maker.make());
    CHECK_FALSE(ledger.find(first.refusal.id).has_value());
    CHECK(ledger.find(second.refusal.id) == second);
}

TEST_CASE("a stored refusal contains no body, header or request key")
{
    RecordMaker maker;
    const QJsonObject entry = toJson(maker.make());
    const QStringList allowed{u"configurationVersion"_qs,
                              u"figures"_qs,
                              u"id"_qs,
                              u"keyFingerprint"_qs,
                              u"kind"_qs,
                              u"priority"_qs,
                              u"reason"_qs,
                              u"retryAfterMs"_qs,
                              u"root"_qs,
                              u"rule"_qs,
                              u"service"_qs,
                              u"timeMs"_qs,
                              u"verdict"_qs,
                              u"worth"_qs};
    CHECK(entry.keys() == allowed);
}
