#include <doctest/doctest.h>

#include <egretlatch/admission/run_estimator.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("one long run is not a lower bound for the next run")
{
    // Guards against refusing a request of a rare kind with all of its time left, because the last run of that kind needed
    // all its time or was abandoned at its deadline.
    RunEstimator cut;
    cut.noteAbandoned("kind", 1100ms, start);
    CHECK(cut.shortest("kind", start) < 1100ms);
    RunEstimator ended;
    ended.noteCompleted("kind", 1051ms, start);
    CHECK(ended.shortest("kind", start) < 1049ms);
}

TEST_CASE("the shortest of several runs bounds the next one")
{
    RunEstimator estimator;
    for (const Duration held : {90ms, 60ms, 80ms, 70ms, 100ms}) {
        estimator.noteCompleted("kind", held, start);
    }
    CHECK(estimator.shortest("kind", start) == 60ms);
}
