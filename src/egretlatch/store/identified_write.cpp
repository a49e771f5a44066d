#include <egretlatch/store/identified_write.hpp>

namespace egretlatch::store
{

IdentifiedWrite::IdentifiedWrite(TableWrite write, std::string marker, IsMine isMine)
    : m_write{std::move(write)}
    , m_witness{std::move(marker)}
    , m_isMine{std::move(isMine)}
{
}

Request IdentifiedWrite::request() const
{
    if (m_isReading) {
        return TableRead{.key = m_witness};
    }
    return m_write;
}

WriteStep IdentifiedWrite::take(const Outcome &outcome)
{
    return m_isReading ? takeOfRead(outcome) : takeOfWrite(outcome);
}

WriteStep IdentifiedWrite::takeOfWrite(const Outcome &outcome)
{
    if (outcome.has_value()) {
        m_isUnsure = false;
        return WriteStep::applied;
    }
    switch (outcome.error().code) {
    case ErrorCode::conflict:
        // The condition may have been broken by an earlier attempt of this very write whose answer was lost.
        m_hasConflicted = true;
        m_isReading = true;
        return WriteStep::ask;
    case ErrorCode::timedOut:
        m_isUnsure = true;
        m_isReading = true;
        return WriteStep::askLater;
    default:
        return WriteStep::askLater;
    }
}

WriteStep IdentifiedWrite::takeOfRead(const Outcome &outcome)
{
    if (!outcome.has_value()) {
        return WriteStep::askLater;
    }
    const auto *const reply = std::get_if<RowsReply>(&*outcome);
    if (reply == nullptr) {
        return WriteStep::askLater;
    }
    m_row = reply->rows.empty() ? std::nullopt : std::optional{reply->rows.front()};
    if (m_row.has_value() && m_isMine(m_row->value)) {
        m_isUnsure = false;
        return WriteStep::applied;
    }
    if (m_hasConflicted) {
        m_isUnsure = false;
        return WriteStep::rejected;
    }
    // Not there yet: the lost attempt may still be on its way. Sending the same write again is safe, for the conditions
    // let one attempt through.
    m_isReading = false;
    return WriteStep::ask;
}

} // namespace egretlatch::store
