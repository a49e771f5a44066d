#ifndef EGRETLATCH_DAEMON_SINGLE_USE_BODY_HPP
#define EGRETLATCH_DAEMON_SINGLE_USE_BODY_HPP

#include <QByteArray>
#include <QIODevice>

namespace egretlatch::daemon
{

/**
 * @brief A request body that can be read once.
 *
 * QNetworkAccessManager sends a request again, whatever its method, when the connection breaks before the answer: a
 * server that crashed while it ran a POST gets the POST twice. It rewinds the body first and gives up if that fails, so
 * a body that cannot be rewound keeps the request from being sent again. An empty body does so too.
 */
class SingleUseBody final : public QIODevice
{
public:
    /**
     * @brief Builds the body, open for reading.
     * @param body Its bytes.
     * @param parent Owner, usually the reply.
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
