#ifndef EGRETLATCH_NET_SEND_QUEUE_HPP
#define EGRETLATCH_NET_SEND_QUEUE_HPP

#include <deque>
#include <string_view>

#include <QByteArray>

namespace egretlatch::net
{

/*! @brief Bytes that wait to be sent; long ones are shared with their owner, short ones are joined. */
class SendQueue
{
public:
    /**
     * @brief Appends bytes.
     * @param bytes The bytes.
     */
    void append(const QByteArray &bytes);

    /*! @brief Returns the first bytes, all that lie together; empty if there are none. */
    [[nodiscard]] std::string_view front() const noexcept;

    /**
     * @brief Removes bytes from the front.
     * @param count Their number, at most the size of front().
     */
    void consume(qsizetype count);

    void clear();

    [[nodiscard]] qsizetype size() const noexcept
    {
        return m_size;
    }

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_size == 0;
    }

private:
    std::deque<QByteArray> m_pieces;
    /*! @brief Number of bytes of the first piece that have been removed. */
    qsizetype m_consumed{};
    qsizetype m_size{};
};

} // namespace egretlatch::net

#endif
