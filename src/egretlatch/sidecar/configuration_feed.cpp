#include <egretlatch/sidecar/configuration_feed.hpp>

#include <utility>

namespace egretlatch::sidecar
{

namespace internal
{

[[nodiscard]] static http::Request requestOf(const configuration::PlannedCall &planned, const std::uint64_t position)
{
    return planned.call == configuration::ReadCall::read ? platform::writeConfigurationRead() : platform::writeConfigurationLongPoll(position, planned.wait);
}

[[nodiscard]] static std::int64_t millisecondsOf(const std::optional<Duration> age)
{
    return age.has_value() ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
}

} // namespace internal

ConfigurationFeed::ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, const Logger &logger, ConfigurationReceivers receivers)
    : m_client{client}
    , m_clock{clock}
    , m_logger{logger}
    , m_receivers{std::move(receivers)}
    , m_schedule{random}
{
}

void ConfigurationFeed::update(const configuration::PollConditions &conditions, const std::optional<Duration> confirmedAge)
{
    if (conditions.reason != m_conditions.reason) {
        m_logger.info("configuration reading",
                      {{"reason", configuration::toString(conditions.reason)}, {"confirmedAgeMs", internal::millisecondsOf(confirmedAge)}});
    }
    m_conditions = conditions;
    sendNext();
}

void ConfigurationFeed::sendNext()
{
    const bool wasPending = m_schedule.isPending();
    const std::optional<configuration::PlannedCall> planned = m_schedule.next(m_conditions, m_clock.steadyNow());
    if (!planned.has_value()) {
        return;
    }
    if (wasPending) {
        m_logger.info("configuration poll given up", {{"newestAnswerMs", internal::millisecondsOf(m_conditions.newestAnswerAge)}});
        m_client.cancel(m_call);
    }
    const BootTime sentAt = m_clock.bootNow();
    m_call = m_client.call(internal::requestOf(*planned, m_position), planned->timeout, [this, sentAt](const http::Outcome &result) {
        handleAnswer(result, sentAt);
    });
}

void ConfigurationFeed::handleAnswer(const http::Outcome &result, const BootTime sentAt)
{
    const auto *const answer = std::get_if<http::Response>(&result);
    if (answer == nullptr) {
        m_schedule.noteFailure(m_clock.steadyNow());
        return;
    }
    const Result<platform::ConfigurationPage> page = platform::readConfigurationPage(*answer);
    if (!page.has_value()) {
        if (page.error().code == ErrorCode::notFound) {
            m_schedule.notePositionLost();
        }
        m_schedule.noteFailure(m_clock.steadyNow());
        return;
    }
    m_position = page->position;
    m_schedule.noteAnswer(page->now, !page->documents.empty(), m_clock.steadyNow());
    passOn(*page, sentAt);
    m_receivers.onAnswered();
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

} // namespace egretlatch::sidecar
