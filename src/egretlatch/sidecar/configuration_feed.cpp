#include <egretlatch/sidecar/configuration_feed.hpp>

#include <algorithm>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds readTimeout{2000};
// Below the shortest history that the store keeps, 20 s, so that the next call still finds the position it continues from.
constexpr std::chrono::milliseconds longPollWait{14'000};
constexpr std::chrono::milliseconds longPollMargin{2000};
// Time since the last answer up to which the next call continues from its position.
constexpr std::chrono::milliseconds maxReadingGap{1000};
constexpr std::chrono::milliseconds minRetryDelay{200};
// Refused calls are charged and return nothing, so they back off. The limit lets the feed resume within two seconds of the
// store's recovery.
constexpr std::chrono::milliseconds maxRetryDelay{1500};

} // namespace internal

ConfigurationFeed::ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, const Logger &logger, ConfigurationReceivers receivers)
    : m_client{client}
    , m_clock{clock}
    , m_random{random}
    , m_logger{logger}
    , m_receivers{std::move(receivers)}
    , m_backoff{internal::minRetryDelay, internal::maxRetryDelay}
{
}

void ConfigurationFeed::setReason(const configuration::ReadReason reason, const std::optional<Duration> confirmedAge)
{
    if (reason == m_reason) {
        return;
    }
    m_reason = reason;
    const auto ageMs = confirmedAge.has_value() ? std::chrono::duration_cast<std::chrono::milliseconds>(*confirmedAge).count() : -1;
    m_logger.info("configuration reading", {{"reason", configuration::toString(reason)}, {"confirmedAgeMs", ageMs}});
}

void ConfigurationFeed::tick()
{
    const SteadyTime now = m_clock.steadyNow();
    if (m_reason == configuration::ReadReason::none || m_isCallPending || now < m_nextCall) {
        return;
    }
    m_isCallPending = true;
    // After a failed call, or a time without reads, a plain read shows at once whether the store answers and which configuration it
    // holds; a long poll would show neither until it ends.
    const bool isContact = m_reason == configuration::ReadReason::contact;
    const bool isRecent = m_answeredAt.has_value() && now - *m_answeredAt < internal::maxReadingGap;
    const bool isLongPoll = m_position.has_value() && (isRecent || isContact);
    if (!isLongPoll) {
        m_answeredAt.reset();
    }
    const http::Request request = isLongPoll ? platform::writeConfigurationLongPoll(*m_position, pollTime()) : platform::writeConfigurationRead();
    const BootTime sentAt = m_clock.bootNow();
    m_client.call(request, isLongPoll ? pollTime() + internal::longPollMargin : internal::readTimeout, [this, sentAt](const http::Outcome &result) {
        m_isCallPending = false;
        handleAnswer(result, sentAt);
    });
}

std::chrono::milliseconds ConfigurationFeed::pollTime() const
{
    if (m_reason == configuration::ReadReason::contact) {
        return std::chrono::milliseconds{0};
    }
    return std::min(m_pollLimit.value_or(internal::longPollWait), internal::longPollWait);
}

void ConfigurationFeed::handleAnswer(const http::Outcome &result, const BootTime sentAt)
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
    m_answeredAt = m_clock.steadyNow();
    passOn(*page, sentAt);
    // Prevents a busy loop when the store answers at once with an empty page.
    m_nextCall = page->documents.empty() ? m_clock.steadyNow() + internal::minRetryDelay : m_clock.steadyNow();
    tick();
}

void ConfigurationFeed::passOn(const platform::ConfigurationPage &page, const BootTime sentAt)
{
    if (page.now.has_value()) {
        m_receivers.onClock({.sentAt = sentAt, .now = *page.now});
    }
    for (const QByteArray &document : page.documents) {
        m_isNewestUnusable = !m_receivers.onDocument(document);
    }
    if (page.now.has_value() && !m_isNewestUnusable) {
        m_receivers.onProof(*page.now);
    }
}

std::optional<SteadyTime> ConfigurationFeed::confirmedAt() const
{
    return m_isCallPending && m_answeredAt.has_value() ? std::optional{m_clock.steadyNow()} : m_answeredAt;
}

void ConfigurationFeed::retryLater()
{
    m_answeredAt.reset();
    m_nextCall = m_clock.steadyNow() + m_backoff.next(m_random);
}

} // namespace egretlatch::sidecar
