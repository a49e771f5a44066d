#ifndef EGRETLATCH_STORE_IDENTIFIED_WRITE_HPP
#define EGRETLATCH_STORE_IDENTIFIED_WRITE_HPP

#include <functional>
#include <optional>
#include <string>

#include <egretlatch/store/requests.hpp>

namespace egretlatch::store
{

/*! @brief How a write goes on after an outcome. */
enum class WriteStep {
    /*! @brief Ask request() at once. */
    ask,
    /*! @brief Ask request() after a backoff. */
    askLater,
    /*! @brief The write took effect, now or at an earlier attempt. */
    applied,
    /*! @brief The write has not taken effect and never will; marker() shows who was first. */
    rejected,
};

/**
 * @brief A conditional write that is carried through lost answers, by reading back one's own write id.
 *
 * The write names a marker row: it is among the rows written, its value holds an id that no other writer uses, and its
 * version is among the conditions. So at most one attempt takes effect, one that is still on its way cannot take effect
 * once somebody else has written the marker, and a read of the marker tells the two ends apart. The marker must not be
 * overwritten by others before the end is known.
 */
class IdentifiedWrite
{
public:
    /*! @brief Tells whether a value of the marker row holds one's own write id. */
    using IsMine = std::function<bool(const std::string &value)>;

    /**
     * @brief Builds a write that has not been sent.
     * @param write The write.
     * @param marker Key of the marker row.
     * @param isMine Recognises one's own value of it.
     */
    IdentifiedWrite(TableWrite write, std::string marker, IsMine isMine);

    /**
     * @brief Gives what to ask the platform next.
     * @return The write, or a read of the marker.
     */
    [[nodiscard]] Request request() const;

    /**
     * @brief Takes the outcome of request().
     * @param outcome The outcome.
     * @return How it goes on.
     */
    [[nodiscard]] WriteStep take(const Outcome &outcome);

    /**
     * @brief Gives the marker as it was read last.
     * @return The row of the first writer after `rejected`; nothing if the row does not exist.
     */
    [[nodiscard]] const std::optional<Row> &marker() const noexcept
    {
        return m_row;
    }

    /**
     * @brief Tells whether an attempt may still take effect.
     * @return True from a lost answer until the end is known.
     */
    [[nodiscard]] bool isOutcomeUnknown() const noexcept
    {
        return m_isUnsure;
    }

private:
    [[nodiscard]] WriteStep takeOfWrite(const Outcome &outcome);
    [[nodiscard]] WriteStep takeOfRead(const Outcome &outcome);

    TableWrite m_write;
    std::string m_witness;
    IsMine m_isMine;
    std::optional<Row> m_row;
    bool m_isReading{};
    /*! @brief The last write met a condition that did not hold, so no attempt of it can take effect any more. */
    bool m_hasConflicted{};
    bool m_isUnsure{};
};

} // namespace egretlatch::store

#endif
