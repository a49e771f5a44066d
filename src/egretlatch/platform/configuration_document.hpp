#ifndef EGRETLATCH_PLATFORM_CONFIGURATION_DOCUMENT_HPP
#define EGRETLATCH_PLATFORM_CONFIGURATION_DOCUMENT_HPP

#include <cstdint>

#include <QByteArray>

#include <egretlatch/core/error.hpp>

namespace egretlatch::platform
{

/*! @brief Operators' configuration, converted to a manifest. */
struct AcceptedConfiguration
{
    std::uint64_t version{};
    /*! @brief Manifest in the form that parseManifest() reads. */
    QByteArray manifest;

    friend bool operator==(const AcceptedConfiguration &, const AcceptedConfiguration &) = default;
};

/**
 * @brief Converts an operators' document to a manifest.
 *
 * A route becomes a request kind of the same name at each of its target services. The platform's priorities count down from 0,
 * the highest, to 9; the manifest's priorities rise from 0 to 9.
 * @param document The document as the operators wrote it.
 * @param retryRatio Retries per request that a service allows the whole fleet.
 * @return The manifest with its version, or `malformed`.
 */
[[nodiscard]] Result<AcceptedConfiguration> readConfiguration(const QByteArray &document, double retryRatio);

} // namespace egretlatch::platform

#endif
