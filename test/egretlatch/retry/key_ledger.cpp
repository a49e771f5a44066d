#include <doctest/doctest.h>
#include <fmt/format.h>

#include <egretlatch/retry/key_ledger.hpp>

using namespace egretlatch;
using namespace egretlatch::retry;
using namespace std::chrono_literals;

namespace internal
{

constexpr std::uint64_t request = 42;

[[nodiscard]] static KeyState stateOf(const KeyLedger &ledger, const std::string &key, const std::chrono::milliseconds age)
{
    return ledger.find(key, age, request).state;
}

} // namespace internal

using internal::request;

TEST_CASE("the state of a key follows the verdict on its run")
{
    KeyLedger ledger;
    CHECK(internal::stateOf(ledger, "a", 1ms) == KeyState::fresh);
    ledger.begin("a", 1ms, request);
    CHECK(internal::stateOf(ledger, "a", 1ms) == KeyState::running);
    ledger.end("a", Verdict::completed, {.status = 200, .headers = {}, .body = "whole"}, 0);
    REQUIRE(internal::stateOf(ledger, "a", 1ms) == KeyState::answered);
    CHECK(ledger.find("a", 1ms, request).answer->body == "whole");
    ledger.begin("b", 1ms, request);
    ledger.end("b", Verdict::mayHaveRun, {}, 2);
    CHECK(internal::stateOf(ledger, "b", 1ms) == KeyState::uncertain);
    ledger.begin("c", 1ms, request);
    ledger.end("c", Verdict::notRun, {}, 2);
    CHECK(internal::stateOf(ledger, "c", 1ms) == KeyState::closed);
    CHECK(ledger.find("a", 1ms, request + 1).state == KeyState::mismatched);
}

TEST_CASE("a forgotten key is never mistaken for a fresh one")
{
    // Guards against running a request twice (a member was billed twice): a resend arrives after the daemon has evicted its key
    // to free memory, and the key looks as if it had never been seen.
    KeyLedger ledger{{.entries = 2, .answerBytes = 1000}};
    for (const auto &[key, age] : {std::pair{"a", 1ms}, std::pair{"b", 2ms}, std::pair{"c", 3ms}, std::pair{"d", 4ms}}) {
        ledger.begin(key, age, request);
        ledger.end(key, Verdict::completed, {}, 0);
    }

    CHECK(ledger.size() == 2);
    CHECK(internal::stateOf(ledger, "a", 1ms) == KeyState::forgotten);
    CHECK(internal::stateOf(ledger, "b", 2ms) == KeyState::forgotten);
    CHECK(internal::stateOf(ledger, "never seen", 2ms) == KeyState::forgotten);
    CHECK(internal::stateOf(ledger, "c", 3ms) == KeyState::answered);
    CHECK(internal::stateOf(ledger, "never seen", 3ms) == KeyState::fresh);
}

TEST_CASE("a running key is not forgotten, however old")
{
    KeyLedger ledger{{.entries = 2, .answerBytes = 1000}};
    ledger.begin("old", 1ms, request);
    for (int number = 0; number < 10; ++number) {
        const std::string key = fmt::format("k{}", number);
        ledger.begin(key, std::chrono::milliseconds{10 + number}, request);
        ledger.end(key, Verdict::mayHaveRun, {}, 0);
    }

    CHECK(internal::stateOf(ledger, "old", 1ms) == KeyState::running);
}

TEST_CASE("answers beyond the memory limit are dropped, oldest first, and their keys are not run again")
{
    KeyLedger ledger{{.entries = 100, .answerBytes = 10}};
    for (const char *const key : {"a", "b", "c"}) {
        ledger.begin(key, 1ms, request);
        ledger.end(key, Verdict::completed, {.status = 200, .headers = {}, .body = "12345"}, 0);
    }

    CHECK(internal::stateOf(ledger, "a", 1ms) == KeyState::answerDropped);
    CHECK(internal::stateOf(ledger, "b", 1ms) == KeyState::answered);
    CHECK(internal::stateOf(ledger, "c", 1ms) == KeyState::answered);
}
