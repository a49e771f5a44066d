#ifndef EGRETLATCH_MANIFEST_MANIFEST_HPP
#define EGRETLATCH_MANIFEST_MANIFEST_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <QByteArray>

#include <tl/expected.hpp>

#include <egretlatch/manifest/route_spec.hpp>
#include <egretlatch/manifest/service_spec.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::manifest
{

/*! @brief A checked set of services and request kinds; never changes once built. */
class Manifest
{
public:
    /**
     * @brief Gives the declared services.
     * @return The services, in the order of the document.
     */
    [[nodiscard]] const std::vector<ServiceSpec> &services() const noexcept
    {
        return m_services;
    }

    /**
     * @brief Finds a service by name.
     * @param service Name of the service.
     * @return The service, or null; valid as long as the manifest.
     */
    [[nodiscard]] const ServiceSpec *findService(std::string_view service) const noexcept;

    /**
     * @brief Finds a request kind by name.
     * @param service Name of its service.
     * @param kind Name of the kind.
     * @return The kind, or null; valid as long as the manifest.
     */
    [[nodiscard]] const KindSpec *findKind(std::string_view service, std::string_view kind) const noexcept;

    /**
     * @brief Gives the hash of the document that the manifest was read from.
     * @return Its contentHash(); empty for a manifest that was put together in code.
     */
    [[nodiscard]] const std::string &hash() const noexcept
    {
        return m_hash;
    }

    [[nodiscard]] const std::vector<RouteSpec> &routes() const noexcept
    {
        return m_routes;
    }

    /**
     * @brief Finds the route of a plain HTTP request.
     * @param host Value of its `Host`, with or without a port, in any case.
     * @param path Its path, without a query.
     * @return Of the host's routes the one with the longest prefix that begins the path, or null.
     */
    [[nodiscard]] const RouteSpec *findRoute(std::string_view host, std::string_view path) const;

    [[nodiscard]] const CallerLimits &callerLimits() const noexcept
    {
        return m_callerLimits;
    }

    friend bool operator==(const Manifest &, const Manifest &) = default;

private:
    friend class ManifestBuilder;
    Manifest() = default;

    std::vector<ServiceSpec> m_services;
    std::vector<RouteSpec> m_routes;
    /*! @brief Place in m_routes by host and prefix; with many routes a walk over all would cost each request its time. */
    std::unordered_map<std::string, std::size_t> m_routeIndices;
    /*! @brief Places in m_services and in the service's kinds, by the names of both. */
    std::unordered_map<std::string, std::pair<std::size_t, std::size_t>> m_kindIndices;
    CallerLimits m_callerLimits;
    std::string m_hash;
};

/*! @brief Puts a manifest together in code, as tests and tools do. */
class ManifestBuilder
{
public:
    /**
     * @brief Adds a service.
     * @param service The service with its kinds.
     * @return This builder.
     */
    ManifestBuilder &addService(ServiceSpec service);

    /**
     * @brief Adds a route.
     * @param route The route; of two with the same host and prefix the first counts.
     * @return This builder.
     */
    ManifestBuilder &addRoute(RouteSpec route);

    /**
     * @brief Sets what callers of routes may send.
     * @param limits The limits.
     * @return This builder.
     */
    ManifestBuilder &setCallerLimits(const CallerLimits &limits);

    /**
     * @brief Sets the hash of the document.
     * @param hash Its contentHash().
     * @return This builder.
     */
    ManifestBuilder &setHash(std::string hash);

    /**
     * @brief Builds the manifest.
     * @return The manifest; it is not checked.
     */
    [[nodiscard]] std::shared_ptr<const Manifest> build() const;

private:
    std::vector<ServiceSpec> m_services;
    std::vector<RouteSpec> m_routes;
    CallerLimits m_callerLimits;
    std::string m_hash;
};

/*! @brief A manifest together with the warnings that its document gave. */
struct ParsedManifest
{
    std::shared_ptr<const Manifest> manifest;
    settings::Problems warnings;
};

/**
 * @brief Reads and checks a manifest.
 * @param json Text of the document.
 * @return The manifest with its warnings, or every problem found in the text.
 */
[[nodiscard]] tl::expected<ParsedManifest, settings::Problems> parseManifest(const QByteArray &json);

} // namespace egretlatch::manifest

#endif
