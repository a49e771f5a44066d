#ifndef EGRETLATCH_DAEMON_SINGLE_USE_BODY_HPP
#define EGRETLATCH_DAEMON_SINGLE_USE_BODY_HPP

#include <QByteArray>
#include <QIODevice>

namespace egretlatch::daemon
{

/**
 * @brief Request body that can be read only once.
 *
 * QNetworkAccessManager resends a request, whatever its method, when the connection is lost before the response: a
 * server that crashed while it ran a POST would receive the POST again. It rewinds the body before the resend and fails
 * the request if that is not possible, so a body that cannot be rewound prevents the resend, even if it is empty.
 */
class SingleUseBody final : public QIODevice
{
public:
    /**
     * @brief Creates the body, open for reading.
     * @param body Content of the body.
     * @param parent Owner, usually the network reply.
     */
    explicit SingleUseBody(QByteArray body, QObject *parent = nullptr);

    [[nodiscard]] qint64 size() const override;
    [[nodiscard]] bool reset() override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 size) override;

private:
    QByteArray m_body;
    qint64 m_offset{};
};

} // namespace egretlatch::daemon

#endif
