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

/*! @brief How much of one connection may be under way. */
struct PipelineLimits
{
    /*! @brief Requests that are under way or whose answers wait for their turn. */
    std::size_t requests{32};
    /*! @brief Bytes of answers that wait for their turn, and of bodies of requests that are under way. */
    qsizetype bytes{262'144};

    friend bool operator==(const PipelineLimits &, const PipelineLimits &) = default;
};

/**
 * @brief The requests of one connection in the order in which they came, and the answers that wait for their turn.
 *
 * Requests run beside one another only if all of them may. One that may not, since it must not be repeated, runs alone: were
 * an answer ahead of it to end the connection, the caller would take it as not read and send it again.
 */
class AnswerQueue
{
public:
    explicit AnswerQueue(PipelineLimits limits = {})
        : m_limits{limits}
    {
    }

    /**
     * @brief Tells whether another request may be read.
     * @return False at a limit; an empty queue always has room.
     */
    [[nodiscard]] bool hasRoom() const noexcept
    {
        return m_pending.empty() || (m_pending.size() < m_limits.requests && m_bufferedBytes < m_limits.bytes);
    }

    /**
     * @brief Tells whether a request may start now.
     * @param mayOverlap Whether it may run beside others.
     */
    [[nodiscard]] bool mayStart(bool mayOverlap) const noexcept
    {
        return m_pending.empty() || (mayOverlap && m_pending.back().mayOverlap);
    }

    /**
     * @brief Adds a request behind the others.
     * @param exchange Its number.
     * @param mayOverlap Whether it may run beside others.
     * @param bodyBytes Bytes of its body.
     */
    void start(ExchangeId exchange, bool mayOverlap, qsizetype bodyBytes);

    /**
     * @brief Adds an answer behind the others that no request asked for by number, such as to one that cannot be read.
     * @param response The answer.
     */
    void startAnswered(Response response);

    /**
     * @brief Takes the answer to a request.
     * @param exchange The request.
     * @param response The answer.
     * @return False if no such request is without an answer.
     */
    [[nodiscard]] bool answer(ExchangeId exchange, Response response);

    /**
     * @brief Takes out the answer whose turn it is.
     * @return The answer to the oldest request, or nothing while there is none.
     */
    [[nodiscard]] std::optional<Response> takeNext();

    /**
     * @brief Drops all requests.
     * @return Those that have no answer, oldest first.
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
        /*! @brief Bytes that it holds: its body at first, its answer later. */
        qsizetype bytes{};
        std::optional<Response> response;
    };

    PipelineLimits m_limits;
    std::deque<PendingAnswer> m_pending;
    qsizetype m_bufferedBytes{};
};

} // namespace egretlatch::http

#endif
