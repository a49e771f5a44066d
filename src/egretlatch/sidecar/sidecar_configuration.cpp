// The part of Sidecar that follows the operators' configurations.

#include <egretlatch/sidecar/sidecar.hpp>

#include <egretlatch/platform/configuration_document.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

// Percentage of the time that the platform allows from the withdrawal of an API key to its last request: longest time for which a
// reader of the store waits for a change. Dozens of readers end their polls at different times.
constexpr int proofPollPercent = 50;
constexpr int hundredPercent = 100;

} // namespace internal

void Sidecar::followConfiguration()
{
    m_feed.setReason(m_core->reasonToReadConfiguration(), m_core->configurationConfirmedAge());
    m_feed.tick();
    if (const std::optional<SteadyTime> confirmedAt = m_feed.confirmedAt()) {
        post(decision::ConfigurationConfirmed{.at = *confirmedAt});
    }
}

bool Sidecar::handleConfiguration(const QByteArray &document)
{
    Result<platform::AcceptedConfiguration> accepted = platform::readConfiguration(document, m_bounds.retryRatio * usedShareOfRetries());
    if (!accepted.has_value()) {
        m_logger.warning("configuration not taken", {{"reason", accepted.error().message}});
        return false;
    }
    const std::uint64_t version = accepted->version;
    post(decision::ManifestAccepted{.version = version, .document = std::move(accepted->manifest)});
    return m_core->manifestVersion() >= version;
}

void Sidecar::applyConfiguration()
{
    m_inForceSince = m_clock.steadyNow();
    // A long poll proves the age of the configuration only when it ends.
    const bool needsProof = m_bounds.isWithdrawalStrict && !m_core->manifest()->accounts().empty();
    m_feed.limitPollTime(needsProof ? std::optional{m_bounds.withdrawal * internal::proofPollPercent / internal::hundredPercent} : std::nullopt);
    m_frontend.setManifest(m_core->manifest());
}

} // namespace egretlatch::sidecar
