#include <algorithm>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/http/answer_queue.hpp>

using namespace egretlatch;
using namespace egretlatch::http;

namespace
{

[[nodiscard]] Response answerOf(const std::uint64_t number, const qsizetype bytes = 1)
{
    Response response;
    response.status = static_cast<int>(number);
    response.body = QByteArray(bytes, 'x');
    return response;
}

} // namespace

TEST_CASE("answers are sent in the order of the requests, whichever is ready first")
{
    AnswerQueue queue;
    queue.start({1}, true, 0);
    queue.start({2}, true, 0);
    CHECK(queue.answer({2}, answerOf(2)));
    CHECK_FALSE(queue.takeNext().has_value());
    CHECK(queue.answer({1}, answerOf(1)));
    CHECK(queue.takeNext()->status == 1);
    CHECK(queue.takeNext()->status == 2);
    CHECK(queue.isEmpty());
}

TEST_CASE("a request that must not be repeated runs alone")
{
    // Guards against running such a request twice: it runs behind a read whose answer ends the connection, so its caller
    // assumes that it was not read and sends it again.
    AnswerQueue queue;
    CHECK(queue.mayStart(false));
    queue.start({1}, true, 0);
    CHECK(queue.mayStart(true));
    CHECK_FALSE(queue.mayStart(false));
    REQUIRE(queue.answer({1}, answerOf(1)));
    CHECK_FALSE(queue.mayStart(false));
    static_cast<void>(queue.takeNext());
    queue.start({2}, false, 0);
    CHECK_FALSE(queue.mayStart(true));
}

TEST_CASE("the queue is limited by requests and by bytes, and an empty queue always has room")
{
    AnswerQueue queue{{.requests = 2, .bytes = 100}};
    queue.start({1}, true, 0);
    CHECK(queue.hasRoom());
    queue.start({2}, true, 0);
    CHECK_FALSE(queue.hasRoom());
    REQUIRE(queue.answer({1}, answerOf(1)));
    static_cast<void>(queue.takeNext());
    CHECK(queue.hasRoom());
    REQUIRE(queue.answer({2}, answerOf(2, 1000)));
    queue.start({3}, true, 0);
    CHECK_FALSE(queue.hasRoom());
    static_cast<void>(queue.takeNext());
    CHECK(queue.hasRoom());
    static_cast<void>(queue.abandon());
    queue.start({4}, true, 1000);
    CHECK_FALSE(queue.hasRoom());
    static_cast<void>(queue.abandon());
    CHECK(queue.hasRoom());
}

TEST_CASE("in any order of answers each request gets its own answer once, in order, or is returned as unanswered")
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &steps) {
        AnswerQueue queue{{.requests = 8, .bytes = 1 << 20}};
        // Model: for each request, whether it has an answer; and the number of answers sent.
        std::vector<bool> answered;
        std::size_t sent = 0;
        for (const std::uint8_t step : steps) {
            if (step % 3 == 0 && queue.hasRoom()) {
                RC_ASSERT(answered.size() - sent < 8);
                answered.push_back(false);
                queue.start({answered.size()}, true, 0);
            } else if (step % 3 == 1 && !answered.empty()) {
                const std::size_t which = (step / 3U) % answered.size();
                const bool isAwaited = which >= sent && !answered.at(which);
                const bool isTaken = queue.answer({which + 1}, answerOf(which + 1));
                RC_ASSERT(isTaken == isAwaited);
                answered.at(which) = true;
            } else if (const std::optional<Response> response = queue.takeNext()) {
                const bool isItsTurn = answered.at(sent) && response->status == static_cast<int>(sent + 1);
                RC_ASSERT(isItsTurn);
                ++sent;
            } else {
                const bool isNoneReady = sent == answered.size() || !answered.at(sent);
                RC_ASSERT(isNoneReady);
            }
        }
        std::vector<ExchangeId> unanswered;
        for (std::size_t number = sent; number < answered.size(); ++number) {
            if (!answered[number]) {
                unanswered.push_back({number + 1});
            }
        }
        const bool isEachNamed = queue.abandon() == unanswered;
        RC_ASSERT(isEachNamed);
        RC_ASSERT(queue.isEmpty());
    }));
}
