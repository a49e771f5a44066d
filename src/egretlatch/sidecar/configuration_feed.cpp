#include <egretlatch/sidecar/configuration_feed.hpp>

#include <egretlatch/platform/store_wire.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds readTimeout{2000};
// Below the shortest history that the store keeps, 20 s, so that the next call still finds the position it continues from.
constexpr std::chrono::milliseconds longPollWait{14'000};
constexpr std::chrono::milliseconds longPollTimeout{16'000};
constexpr std::chrono::milliseconds minRetryDelay{200};
// Refused calls are charged and return nothing, so they back off. The limit lets the feed resume within two seconds of the
// store's recovery.
constexpr std::chrono::milliseconds maxRetryDelay{1500};

} // namespace internal

ConfigurationFeed::ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, DocumentHandler onDocument)
    : m_client{client}
    , m_clock{clock}
    , m_random{random}
    , m_onDocument{std::move(onDocument)}
    , m_backoff{internal::minRetryDelay, internal::maxRetryDelay}
{
}

void ConfigurationFeed::tick()
{
    if (m_isCallPending || m_clock.steadyNow() < m_nextCall) {
        return;
    }
    m_isCallPending = true;
    const bool isLongPoll = m_position.has_value();
    const http::Request request = isLongPoll ? platform::writeConfigurationLongPoll(*m_position, internal::longPollWait) : platform::writeConfigurationRead();
    m_client.call(request, isLongPoll ? internal::longPollTimeout : internal::readTimeout, [this](const http::Outcome &result) {
        m_isCallPending = false;
        handleAnswer(result);
    });
}

void ConfigurationFeed::handleAnswer(const http::Outcome &result)
{
    const auto *const answer = std::get_if<http::Response>(&result);
    if (answer == nullptr) {
        retryLater();
        return;
    }
    const Result<platform::ConfigurationPage> page = platform::readConfigurationPage(*answer);
    if (!page.has_value()) {
        if (page.error().code == ErrorCode::notFound) {
            m_position.reset();
        }
        retryLater();
        return;
    }
    m_backoff.reset();
    m_position = page->position;
    for (const QByteArray &document : page->documents) {
        m_onDocument(document);
    }
    // Prevents a busy loop when the store answers at once with an empty page.
    m_nextCall = page->documents.empty() ? m_clock.steadyNow() + internal::minRetryDelay : m_clock.steadyNow();
    tick();
}

void ConfigurationFeed::retryLater()
{
    m_nextCall = m_clock.steadyNow() + m_backoff.next(m_random);
}

} // namespace egretlatch::sidecar
