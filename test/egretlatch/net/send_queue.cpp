#include <doctest/doctest.h>

#include <egretlatch/core/message_bytes.hpp>
#include <egretlatch/net/send_queue.hpp>

using namespace egretlatch;
using net::SendQueue;

TEST_CASE("bytes leave a queue in order, short ones joined and long ones shared")
{
    const QByteArray longBytes(longBodyBytes, 'l');
    SendQueue queue;
    CHECK(queue.front().empty());
    queue.append("ab");
    queue.append("cd");
    queue.append({});
    queue.append(longBytes);
    queue.append("e");
    CHECK(queue.size() == longBodyBytes + 5);
    CHECK(queue.front() == "abcd");
    queue.consume(3);
    CHECK(queue.front() == "d");
    queue.consume(1);
    CHECK(queue.front().data() == longBytes.constData());
    queue.consume(longBodyBytes - 1);
    CHECK(queue.front() == "l");
    queue.consume(1);
    CHECK(queue.front() == "e");
    queue.clear();
    CHECK(queue.isEmpty());
    CHECK(queue.front().empty());
}
