#include <doctest/doctest.h>

#include <egretlatch/admission/run_estimator.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("one long run does not make the next one hopeless")
{
    // A caller with all its time left is refused at once as hopeless. Of its kind there is a request now and then, and the
    // last one happened to need all its time, or was cut short at the end of it.
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
