#include <egretlatch/net/send_queue.hpp>

#include <egretlatch/core/message_bytes.hpp>

namespace egretlatch::net
{

void SendQueue::append(const QByteArray &bytes)
{
    if (bytes.isEmpty()) {
        return;
    }
    m_size += bytes.size();
    const bool isJoined = !m_pieces.empty() && !isLongBody(bytes) && !isLongBody(m_pieces.back());
    if (isJoined) {
        m_pieces.back().append(bytes);
    } else {
        m_pieces.push_back(bytes);
    }
}

std::string_view SendQueue::front() const noexcept
{
    if (m_pieces.empty()) {
        return {};
    }
    const QByteArray &piece = m_pieces.front();
    return {piece.constData() + m_consumed, static_cast<std::size_t>(piece.size() - m_consumed)};
}

void SendQueue::consume(const qsizetype count)
{
    m_consumed += count;
    m_size -= count;
    if (m_consumed == m_pieces.front().size()) {
        m_pieces.pop_front();
        m_consumed = 0;
    }
}

void SendQueue::clear()
{
    m_pieces.clear();
    m_consumed = 0;
    m_size = 0;
}

} // namespace egretlatch::net
