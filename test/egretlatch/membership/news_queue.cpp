#include <doctest/doctest.h>

#include <egretlatch/membership/news_queue.hpp>

using egretlatch::DaemonId;
using egretlatch::membership::NewsQueue;
using egretlatch::membership::NewsSubject;

TEST_CASE("news is sent a bounded number of times, what was sent least first")
{
    NewsQueue queue;
    queue.add(DaemonId{"old"}, 2);
    CHECK(queue.take(1) == std::vector<NewsSubject>{DaemonId{"old"}});
    queue.add(DaemonId{"young"}, 2);
    CHECK(queue.take(1) == std::vector<NewsSubject>{DaemonId{"young"}});
    CHECK(queue.take(5).size() == 2);
    CHECK(queue.isEmpty());
}
