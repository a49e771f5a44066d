#ifndef EGRETLATCH_STORE_IDENTIFIED_WRITE_HPP
#define EGRETLATCH_STORE_IDENTIFIED_WRITE_HPP

#include <functional>
#include <optional>
#include <string>

#include <egretlatch/store/requests.hpp>

namespace egretlatch::store
{

/*! @brief Next step of a write after an outcome. */
enum class WriteStep {
    /*! @brief Send request() immediately. */
    send,
    /*! @brief Send request() after a backoff. */
    sendLater,
    /*! @brief The write took effect, in this attempt or an earlier one. */
    applied,
    /*! @brief The write has not taken effect and never will; marker() returns the row of the competing writer. */
    rejected,
};

/**
 * @brief Conditional write that survives lost answers by reading back its own write id.
 *
 * The write includes a marker row: it is among the rows written, its value holds an id that no other writer uses, and its
 * version is among the conditions. So at most one attempt takes effect, an attempt still in transit cannot take effect once
 * another writer has written the marker, and a read of the marker shows which of the two happened. The marker must not be
 * overwritten by others before the outcome is known.
 */
class IdentifiedWrite
{
public:
    /*! @brief Checks whether a value of the marker row contains this write's own id. */
    using IsOwnValue = std::function<bool(const std::string &value)>;

    /**
     * @brief Constructs a write that has not been sent.
     * @param write The write.
     * @param marker Key of the marker row.
     * @param isOwnValue Recognizes this write's own value of the marker row.
     */
    IdentifiedWrite(TableWrite write, std::string marker, IsOwnValue isOwnValue);

    /**
     * @brief Returns the next request to the platform.
     * @return The write, or a read of the marker row.
     */
    [[nodiscard]] Request request() const;

    /**
     * @brief Processes the outcome of request().
     * @param outcome The outcome.
     * @return The next step.
     */
    [[nodiscard]] WriteStep handleOutcome(const Outcome &outcome);

    /**
     * @brief Returns the marker row as last read.
     * @return After `rejected`, the row of the winning writer; nothing if the row does not exist.
     */
    [[nodiscard]] const std::optional<Row> &marker() const noexcept
    {
        return m_row;
    }

    /**
     * @brief Checks whether an attempt may have taken effect or may still do so.
     * @return True from a lost answer until the outcome is known.
     */
    [[nodiscard]] bool isOutcomeUnknown() const noexcept
    {
        return m_isOutcomeUnknown;
    }

private:
    [[nodiscard]] WriteStep handleWriteOutcome(const Outcome &outcome);
    [[nodiscard]] WriteStep handleReadOutcome(const Outcome &outcome);

    TableWrite m_write;
    std::string m_markerKey;
    IsOwnValue m_isOwnValue;
    std::optional<Row> m_row;
    bool m_isReading{};
    /*! @brief The last attempt failed on a condition, so no attempt can take effect from then on. */
    bool m_hasConflicted{};
    bool m_isOutcomeUnknown{};
};

} // namespace egretlatch::store

#endif
