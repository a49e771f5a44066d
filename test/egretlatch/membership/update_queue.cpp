#include <doctest/doctest.h>

#include <egretlatch/membership/update_queue.hpp>

using egretlatch::DaemonId;
using egretlatch::membership::UpdateQueue;
using egretlatch::membership::UpdateSubject;

TEST_CASE("an update is sent a bounded number of times, and the least sent goes first")
{
    UpdateQueue queue;
    queue.add(DaemonId{"old"}, 2);
    CHECK(queue.take(1) == std::vector<UpdateSubject>{DaemonId{"old"}});
    queue.add(DaemonId{"young"}, 2);
    CHECK(queue.take(1) == std::vector<UpdateSubject>{DaemonId{"young"}});
    CHECK(queue.take(5).size() == 2);
    CHECK(queue.isEmpty());
}
