#ifndef EGRETLATCH_CORE_MESSAGE_BYTES_HPP
#define EGRETLATCH_CORE_MESSAGE_BYTES_HPP

#include <QByteArray>

namespace egretlatch
{

/*! @brief Size in bytes from which a body is long: it is shared, since a copy costs more than another system call. */
constexpr qsizetype longBodyBytes = qsizetype{64} * 1024;

/**
 * @brief Checks whether a body is long.
 * @param body The body.
 */
[[nodiscard]] inline bool isLongBody(const QByteArray &body) noexcept
{
    return body.size() >= longBodyBytes;
}

/*! @brief Encoded message in two pieces, the second of which is shared with the message. */
struct MessageBytes
{
    /*! @brief The message up to its long body, or the whole one. */
    QByteArray head;
    /*! @brief The long body, which ends the message; empty if it has none. */
    QByteArray body;

    [[nodiscard]] qsizetype size() const noexcept
    {
        return head.size() + body.size();
    }

    /*! @brief Returns the whole message as a copy. */
    [[nodiscard]] QByteArray joined() const
    {
        return head + body;
    }

    friend bool operator==(const MessageBytes &, const MessageBytes &) = default;
};

} // namespace egretlatch

#endif
