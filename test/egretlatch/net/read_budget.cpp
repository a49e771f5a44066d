#include <doctest/doctest.h>

#include <egretlatch/net/read_budget.hpp>

using namespace egretlatch;
using namespace egretlatch::net;

namespace
{

constexpr qsizetype mebibyte = qsizetype{1024} * 1024;

struct Reader final : BudgetedReader
{
    qsizetype received{};
    bool paused{};

    [[nodiscard]] qsizetype receivedBytes() const override
    {
        return received;
    }

    [[nodiscard]] bool isPaused() const override
    {
        return paused;
    }

    void setPaused(const bool isPaused) override
    {
        paused = isPaused;
    }
};

struct Fixture
{
    ReadBudget budget;
    qsizetype complete{};
    int pauses{};
    Reader first;
    Reader second;
    Reader third;

    Fixture()
    {
        budget.setLimits({.bytes = 8 * mebibyte,
                          .completeBytes = 64 * mebibyte,
                          .complete =
                              [this] {
                                  return complete;
                              },
                          .onPaused =
                              [this](qsizetype /*received*/) {
                                  ++pauses;
                              }});
    }

    void receive(Reader &reader, const qsizetype bytes)
    {
        reader.received += bytes;
        budget.noteReceived(reader);
    }

    void end(Reader &reader)
    {
        reader.received = 0;
        budget.noteEnded(reader);
    }
};

} // namespace

TEST_CASE("beyond the limit one long message goes on, and the others get their turn")
{
    Fixture fixture;
    fixture.receive(fixture.first, 6 * mebibyte);
    fixture.receive(fixture.second, 3 * mebibyte);
    CHECK_FALSE(fixture.second.paused);
    fixture.receive(fixture.first, 3 * mebibyte);
    CHECK(fixture.first.paused);
    fixture.receive(fixture.second, 30 * mebibyte);
    CHECK_FALSE(fixture.second.paused);
    fixture.receive(fixture.third, mebibyte);
    CHECK(fixture.third.paused);
    CHECK(fixture.pauses == 2);
    fixture.end(fixture.second);
    CHECK_FALSE(fixture.first.paused);
    CHECK_FALSE(fixture.third.paused);
}

TEST_CASE("short messages are never held up")
{
    Fixture fixture;
    fixture.receive(fixture.first, 60 * mebibyte);
    fixture.complete = 100 * mebibyte;
    fixture.receive(fixture.second, 100'000);
    CHECK_FALSE(fixture.second.paused);
}

TEST_CASE("no long message goes on while too many complete ones are held")
{
    // Guards against long messages that are read one after another and pile up behind a receiver that takes nothing.
    Fixture fixture;
    fixture.complete = 65 * mebibyte;
    fixture.receive(fixture.first, mebibyte);
    CHECK(fixture.first.paused);
    fixture.budget.resume();
    CHECK(fixture.first.paused);
    fixture.complete = 60 * mebibyte;
    fixture.budget.resume();
    CHECK_FALSE(fixture.first.paused);
}

TEST_CASE("a connection that is closed while it is paused gives its place away")
{
    Fixture fixture;
    fixture.receive(fixture.first, 9 * mebibyte);
    fixture.receive(fixture.second, 9 * mebibyte);
    CHECK(fixture.second.paused);
    fixture.receive(fixture.third, 9 * mebibyte);
    fixture.end(fixture.second);
    fixture.end(fixture.first);
    CHECK_FALSE(fixture.third.paused);
}

TEST_CASE("without limits nothing is paused")
{
    ReadBudget budget;
    Reader reader;
    reader.received = 1000 * mebibyte;
    budget.noteReceived(reader);
    CHECK_FALSE(reader.paused);
}
