// The part of Sidecar that follows the operators' configurations.

#include <egretlatch/sidecar/sidecar.hpp>

#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/platform/configuration_document.hpp>
#include <egretlatch/settings/problem.hpp>

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
    const configuration::PollConditions conditions{
        .reason = m_core->reasonToReadConfiguration(),
        .turn = m_core->configurationReadTurn(),
        // A proof stands for an answer of the store, also one that another daemon received.
        .newestAnswerAge = m_core->configurationProofAge(),
        .pollLimit = pollLimit(),
    };
    m_feed.update(conditions, m_core->configurationConfirmedAge());
    if (const std::optional<SteadyTime> confirmedAt = m_feed.confirmedAt()) {
        post(decision::ConfigurationConfirmed{.at = *confirmedAt});
    }
}

std::optional<std::chrono::milliseconds> Sidecar::pollLimit() const
{
    // A long poll proves the age of the configuration only when it ends.
    const bool needsProof = m_bounds.isWithdrawalStrict && m_core->manifest() != nullptr && !m_core->manifest()->accounts().empty();
    return needsProof ? std::optional{m_bounds.withdrawal * internal::proofPollPercent / internal::hundredPercent} : std::nullopt;
}

bool Sidecar::handleConfiguration(const QByteArray &document)
{
    Result<platform::AcceptedConfiguration> accepted = platform::readConfiguration(document, m_bounds.retryRatio * usedShareOfRetries());
    if (!accepted.has_value()) {
        m_metrics.count("configurations_unusable", "document");
        m_logger.warning("configuration not taken", {{"reason", accepted.error().message}});
        return false;
    }
    const std::uint64_t version = accepted->version;
    const QByteArray manifest = accepted->manifest;
    post(decision::ManifestAccepted{.version = version, .document = std::move(accepted->manifest)});
    const bool isInForce = m_core->manifestVersion() >= version;
    if (!isInForce) {
        reportUnusable(version, manifest);
    }
    return isInForce;
}

void Sidecar::reportUnusable(const std::uint64_t version, const QByteArray &manifest)
{
    m_metrics.count("configurations_unusable", "manifest");
    const tl::expected<manifest::ParsedManifest, settings::Problems> parsed = manifest::parseManifest(manifest);
    if (parsed.has_value()) {
        m_logger.warning("configuration not usable", {{"version", version}, {"reason", "not taken"}});
        return;
    }
    for (const settings::Problem &problem : parsed.error()) {
        m_logger.warning("configuration not usable", {{"version", version}, {"reason", settings::toLine("configuration", problem)}});
    }
}

void Sidecar::applyConfiguration()
{
    m_inForceSince = m_clock.steadyNow();
    m_frontend.setManifest(m_core->manifest());
}

} // namespace egretlatch::sidecar
