#include <egretlatch/store/identified_write.hpp>

namespace egretlatch::store
{

IdentifiedWrite::IdentifiedWrite(TableWrite write, std::string marker, IsOwnValue isOwnValue)
    : m_write{std::move(write)}
    , m_markerKey{std::move(marker)}
    , m_isOwnValue{std::move(isOwnValue)}
{
}

Request IdentifiedWrite::request() const
{
    if (m_isReading) {
        return TableRead{.key = m_markerKey};
    }
    return m_write;
}

WriteStep IdentifiedWrite::handleOutcome(const Outcome &outcome)
{
    return m_isReading ? handleReadOutcome(outcome) : handleWriteOutcome(outcome);
}

WriteStep IdentifiedWrite::handleWriteOutcome(const Outcome &outcome)
{
    if (outcome.has_value()) {
        m_isOutcomeUnknown = false;
        return WriteStep::applied;
    }
    switch (outcome.error().code) {
    case ErrorCode::conflict:
        // The conflict may have been caused by an earlier attempt of this same write whose answer was lost.
        m_hasConflicted = true;
        m_isReading = true;
        return WriteStep::send;
    case ErrorCode::timedOut:
        m_isOutcomeUnknown = true;
        m_isReading = true;
        return WriteStep::sendLater;
    default:
        return WriteStep::sendLater;
    }
}

WriteStep IdentifiedWrite::handleReadOutcome(const Outcome &outcome)
{
    if (!outcome.has_value()) {
        return WriteStep::sendLater;
    }
    const auto *const reply = std::get_if<RowsReply>(&*outcome);
    if (reply == nullptr) {
        return WriteStep::sendLater;
    }
    m_row = reply->rows.empty() ? std::nullopt : std::optional{reply->rows.front()};
    if (m_row.has_value() && m_isOwnValue(m_row->value)) {
        m_isOutcomeUnknown = false;
        return WriteStep::applied;
    }
    if (m_hasConflicted) {
        m_isOutcomeUnknown = false;
        return WriteStep::rejected;
    }
    // The write is not visible yet: the lost attempt may still be in transit. Sending the same write again is safe, since its
    // conditions let at most one attempt succeed.
    m_isReading = false;
    return WriteStep::send;
}

} // namespace egretlatch::store
