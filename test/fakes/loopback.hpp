#ifndef TEST_FAKES_LOOPBACK_HPP
#define TEST_FAKES_LOOPBACK_HPP

#include <chrono>
#include <functional>
#include <string>

#include <QTcpServer>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace fakes
{

/*! @brief Returns an address `tcp://127.0.0.1:PORT` at which nothing listens. */
[[nodiscard]] inline std::string freeEndpoint()
{
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    return fmt::format("tcp://127.0.0.1:{}", server.serverPort());
}

/**
 * @brief Evaluates a condition until it holds.
 * @param isTrue The condition; must wait a little itself if it would use the processor without need.
 * @return False if it did not hold within five seconds, which only keep a failing test from hanging.
 */
[[nodiscard]] inline bool waitFor(const std::function<bool()> &isTrue)
{
    constexpr std::chrono::seconds waitLimit{5};
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
    }
    return true;
}

} // namespace fakes

#endif
