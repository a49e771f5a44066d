#include <algorithm>
#include <cstdlib>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <history/schedule.hpp>

namespace internal
{

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seedsInCi = 300;

[[nodiscard]] static std::uint64_t numberFrom(const char *const variable, const std::uint64_t fallback)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace internal

TEST_CASE("what must always hold of requests holds in each seeded schedule")
{
    const std::uint64_t first = internal::numberFrom("EGRETLATCH_FIRST_SEED", internal::firstSeed);
    const std::uint64_t count = internal::numberFrom("EGRETLATCH_SEEDS", internal::seedsInCi);
    std::size_t sent = 0;
    std::size_t ran = 0;
    std::size_t replayed = 0;
    std::size_t granted = 0;
    std::map<std::string, std::size_t> verdicts;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        history::Schedule schedule{seed};
        const history::History &history = schedule.run();
        sent += history.sent.size();
        ran += history.ran.size();
        granted += static_cast<std::size_t>(std::count_if(history.ran.begin(), history.ran.end(), [](const history::Ran &run) {
            return run.kind == "launch-entry" && !run.key.starts_with("el1-");
        }));
        std::map<std::string, int> bodies;
        for (const history::Answered &answered : history.answered) {
            ++verdicts[std::string{toString(answered.verdict)} + (answered.reason.empty() ? "" : " " + answered.reason)];
            replayed += answered.verdict == egretlatch::Verdict::completed && ++bodies[answered.body] > 1 ? 1 : 0;
        }
        for (const std::string &violation : history::check(history)) {
            FAIL_CHECK(fmt::format("seed {}: {}", seed, violation));
        }
    }
    fmt::print("histories: {} schedules from seed {}, {} requests sent, {} runs, {} of them by keys that callers minted, {} answers replayed\n",
               count,
               first,
               sent,
               ran,
               granted,
               replayed);
    for (const auto &[verdict, times] : verdicts) {
        fmt::print("  {}: {}\n", verdict, times);
    }
    CHECK(ran > 0);
    CHECK(replayed > 0);
    CHECK(granted > 0);
}
