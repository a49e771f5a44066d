#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/cli/status_command.hpp>
#include <egretlatch/retry/shard_row.hpp>

using namespace egretlatch;

TEST_CASE("any text of a row parses to ordered intervals or is rejected")
{
    CHECK(rc::check([](const std::string &text) {
        const auto row = retry::ShardRow::parse(text);
        // Outside of the macro, which evaluates both sides of an or.
        const bool isReadAgain = !row.has_value() || retry::ShardRow::parse(row->toText("writer")) == row;
        RC_ASSERT(isReadAgain);
    }));
}

TEST_CASE("a corrupted row parses to ordered intervals or is rejected")
{
    CHECK(rc::check([] {
        const retry::KeyOwner owner{.daemon = {"launch-log-0"}, .incarnation = {7}};
        const retry::ShardRow whole = retry::ShardRow{}.extend(owner, std::chrono::milliseconds{5000});
        std::string text = whole.toText("writer");
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto row = retry::ShardRow::parse(text);
        // Outside of the macro, which evaluates both sides of an or.
        const bool isReadAgain = !row.has_value() || retry::ShardRow::parse(row->toText("writer")) == row;
        RC_ASSERT(isReadAgain);
    }));
}

TEST_CASE("any status document parses to a report or is rejected")
{
    CHECK(rc::check([](const std::string &text) {
        static_cast<void>(cli::parseReport(QByteArray::fromStdString(text)));
    }));
}
