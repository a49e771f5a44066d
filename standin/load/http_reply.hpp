#ifndef STANDIN_LOAD_HTTP_REPLY_HPP
#define STANDIN_LOAD_HTTP_REPLY_HPP

#include <chrono>
#include <string>

namespace standin::load
{

/*! @brief How an HTTP exchange ended. */
enum class TransportResult {
    answered,
    /*! @brief No connection could be opened; nothing was sent. */
    connectFailed,
    /*! @brief The connection broke before the whole answer. */
    connectionLost,
    timedOut,
};

/*! @brief What came back on an exchange. */
struct HttpReply
{
    TransportResult transport{TransportResult::connectionLost};
    int status{};
    /*! @brief Value of `Egretlatch-Verdict`. */
    std::string verdict;
    /*! @brief Key that a resend is to use; empty for the same one. */
    std::string nextKey;
    /*! @brief Value of `Retry-After`; zero without one. */
    std::chrono::seconds retryAfter{};
    std::string body;
    bool isKeepAlive{};

    friend bool operator==(const HttpReply &, const HttpReply &) = default;
};

} // namespace standin::load

#endif
