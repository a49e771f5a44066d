#include <egretlatch/cli/http_platform_port.hpp>

#include <optional>

#include <QEventLoop>
#include <QTimer>

namespace egretlatch::cli
{

HttpPlatformPort::HttpPlatformPort(daemon::PlatformAccess access)
    : m_client{std::move(access)}
{
}

store::Outcome HttpPlatformPort::send(const store::Request &request)
{
    QEventLoop loop;
    std::optional<store::Outcome> answer;
    m_client.send(request, [&loop, &answer](store::Outcome outcome) {
        answer = std::move(outcome);
        loop.quit();
    });
    if (!answer.has_value()) {
        loop.exec();
    }
    return std::move(*answer);
}

void HttpPlatformPort::wait(const Duration span)
{
    QEventLoop loop;
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(span), &loop, &QEventLoop::quit);
    loop.exec();
}

} // namespace egretlatch::cli
