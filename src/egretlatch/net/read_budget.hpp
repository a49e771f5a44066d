#ifndef EGRETLATCH_NET_READ_BUDGET_HPP
#define EGRETLATCH_NET_READ_BUDGET_HPP

#include <functional>
#include <optional>
#include <unordered_set>

#include <QByteArray>

namespace egretlatch::net
{

/*! @brief Connection whose reading a ReadBudget may pause. */
class BudgetedReader
{
public:
    virtual ~BudgetedReader() = default;

    /*! @brief Returns the number of bytes that the incomplete message takes. */
    [[nodiscard]] virtual qsizetype receivedBytes() const = 0;

    [[nodiscard]] virtual bool isPaused() const = 0;

    /*! @brief Stops or resumes reading; the rest of the message waits in the buffers of its sender meanwhile. */
    virtual void setPaused(bool isPaused) = 0;
};

/*! @brief Limits of a ReadBudget. */
struct ReadBudgetLimits
{
    /*! @brief Maximum bytes of all incomplete messages but one, and of the complete ones that are still held. */
    qsizetype bytes{};
    /*! @brief Bytes of complete messages beyond which that one waits, too. */
    qsizetype completeBytes{};
    /*! @brief Returns the bytes of complete messages that are still held. */
    std::function<qsizetype()> complete;
    /*! @brief Called with the bytes of a message so far, each time that its connection is paused. */
    std::function<void(qsizetype)> onPaused;
};

/**
 * @brief Bounds the memory that the incomplete messages of several connections take together.
 *
 * Beyond the limit, connections with long messages are paused, all but one, which may take as much as a single message may have:
 * it ends by itself or by its own limit, and the others get their turn. Short messages are never held up.
 */
class ReadBudget
{
public:
    /**
     * @brief Sets the limits; without them, nothing is paused.
     * @param limits The limits.
     */
    void setLimits(ReadBudgetLimits limits);

    /**
     * @brief Records that a connection has received a part of a message; may pause it.
     * @param reader The connection.
     */
    void noteReceived(BudgetedReader &reader);

    /**
     * @brief Records that a connection's message is complete, or that the connection is closed.
     * @param reader The connection.
     */
    void noteEnded(BudgetedReader &reader);

    /*! @brief Resumes connections for which there is room; call it a few times a second, and when complete messages were given away. */
    void resume();

private:
    [[nodiscard]] bool isOverLimit() const;
    [[nodiscard]] bool mayReadPreferred() const;
    [[nodiscard]] bool mustPause(BudgetedReader &reader);
    [[nodiscard]] BudgetedReader *findLongestPaused() const;

    std::optional<ReadBudgetLimits> m_limits;
    /*! @brief Connections with long incomplete messages. */
    std::unordered_set<BudgetedReader *> m_readers;
    /*! @brief Connection that goes on beyond the limit; null if there is none. */
    BudgetedReader *m_preferred{};
    bool m_hasPaused{};
};

} // namespace egretlatch::net

#endif
