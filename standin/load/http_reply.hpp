#ifndef STANDIN_LOAD_HTTP_REPLY_HPP
#define STANDIN_LOAD_HTTP_REPLY_HPP

#include <chrono>
#include <string>

namespace standin::load
{

/*! @brief Result of an HTTP exchange at the transport level. */
enum class TransportResult {
    answered,
    /*! @brief The connection could not be opened; nothing was sent. */
    connectFailed,
    /*! @brief The connection failed before the complete answer was received. */
    connectionLost,
    timedOut,
};

/*! @brief Reply to an HTTP request; the fields other than the transport result are only set if it was answered. */
struct HttpReply
{
    TransportResult transport{TransportResult::connectionLost};
    int status{};
    /*! @brief Value of the `Egretlatch-Verdict` header. */
    std::string verdict;
    /*! @brief Request key for a resend, from `Egretlatch-Next-Key`; empty to reuse the same key. */
    std::string nextKey;
    /*! @brief Value of the `Retry-After` header; zero if absent. */
    std::chrono::seconds retryAfter{};
    std::string body;
    /*! @brief True if the connection stays open for another exchange. */
    bool isKeepAlive{};

    friend bool operator==(const HttpReply &, const HttpReply &) = default;
};

} // namespace standin::load

#endif
