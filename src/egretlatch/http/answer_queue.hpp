#ifndef EGRETLATCH_HTTP_ANSWER_QUEUE_HPP
#define EGRETLATCH_HTTP_ANSWER_QUEUE_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::http
{

/*! @brief Limits of the work in progress on one connection. */
struct PipelineLimits
{
    /*! @brief Maximum requests that are in progress or whose answers wait to be sent in order. */
    std::size_t requests{32};
    /*! @brief Maximum bytes of answers that wait to be sent in order and of bodies of requests in progress. */
    qsizetype bytes{262'144};

    friend bool operator==(const PipelineLimits &, const PipelineLimits &) = default;
};

/**
 * @brief Requests of one connection in order of arrival, with the answers that wait to be sent in that order.
 *
 * Requests run concurrently only if all of them may. A request that must not be repeated runs alone: if an earlier answer
 * ended the connection, the caller would assume that the request was not read and send it again.
 */
class AnswerQueue
{
public:
    explicit AnswerQueue(PipelineLimits limits = {})
        : m_limits{limits}
    {
    }

    /**
     * @brief Checks whether another request may be read.
     * @return False at a limit; an empty queue always has room.
     */
    [[nodiscard]] bool hasRoom() const noexcept
    {
        return m_pending.empty() || (m_pending.size() < m_limits.requests && m_bufferedBytes < m_limits.bytes);
    }

    /**
     * @brief Checks whether a request may start now.
     * @param mayOverlap True if it may run concurrently with others.
     */
    [[nodiscard]] bool mayStart(bool mayOverlap) const noexcept
    {
        return m_pending.empty() || (mayOverlap && m_pending.back().mayOverlap);
    }

    /**
     * @brief Appends a request.
     * @param exchange Its identifier.
     * @param mayOverlap True if it may run concurrently with others.
     * @param bodyBytes Size of its body.
     */
    void start(ExchangeId exchange, bool mayOverlap, qsizetype bodyBytes);

    /**
     * @brief Appends an answer that belongs to no exchange, such as the rejection of a request that cannot be parsed.
     * @param response The answer.
     */
    void startAnswered(Response response);

    /**
     * @brief Stores the answer to a request.
     * @param exchange The request.
     * @param response The answer.
     * @return False if the request is unknown or already answered.
     */
    [[nodiscard]] bool answer(ExchangeId exchange, Response response);

    /**
     * @brief Removes the next answer in order.
     * @return The answer to the oldest request, or nothing while it has none.
     */
    [[nodiscard]] std::optional<Response> takeNext();

    /**
     * @brief Removes all requests.
     * @return The requests without an answer, oldest first.
     */
    [[nodiscard]] std::vector<ExchangeId> abandon();

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_pending.empty();
    }

private:
    struct PendingAnswer
    {
        ExchangeId exchange;
        bool mayOverlap{};
        /*! @brief Bytes counted for this request: the body of the request until it is answered, then that of the answer. */
        qsizetype bytes{};
        std::optional<Response> response;
    };

    PipelineLimits m_limits;
    std::deque<PendingAnswer> m_pending;
    qsizetype m_bufferedBytes{};
};

} // namespace egretlatch::http

#endif
