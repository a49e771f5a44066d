#ifndef EGRETLATCH_PLATFORM_CONFIGURATION_DOCUMENT_HPP
#define EGRETLATCH_PLATFORM_CONFIGURATION_DOCUMENT_HPP

#include <cstdint>

#include <QByteArray>

#include <egretlatch/core/error.hpp>

namespace egretlatch::platform
{

/*! @brief A configuration of the operators in this project's own form. */
struct AcceptedConfiguration
{
    std::uint64_t version{};
    /*! @brief A manifest as parseManifest() reads it. */
    QByteArray manifest;

    friend bool operator==(const AcceptedConfiguration &, const AcceptedConfiguration &) = default;
};

/**
 * @brief Puts an operator's document into a manifest.
 *
 * A route becomes a request kind of that name at each service that it leads to. The platform's ranks count from 0, the
 * highest; the manifest's priorities rise from 0 to 9.
 * @param document The document as it was written.
 * @param retryRatio Repeats for each request that a service takes from the whole fleet.
 * @return The manifest with its version, or `malformed`.
 */
[[nodiscard]] Result<AcceptedConfiguration> readConfiguration(const QByteArray &document, double retryRatio);

} // namespace egretlatch::platform

#endif
