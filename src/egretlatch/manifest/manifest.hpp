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

#include <egretlatch/manifest/account_spec.hpp>
#include <egretlatch/manifest/route_spec.hpp>
#include <egretlatch/manifest/service_spec.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::manifest
{

/*! @brief Immutable set of services, their request kinds and routes. */
class Manifest
{
public:
    /**
     * @brief Returns the declared services.
     * @return The services, in the order of the document.
     */
    [[nodiscard]] const std::vector<ServiceSpec> &services() const noexcept
    {
        return m_services;
    }

    /**
     * @brief Finds a service by name.
     * @param service Name of the service.
     * @return The service, or null if it is not declared; valid for the lifetime of the manifest.
     */
    [[nodiscard]] const ServiceSpec *findService(std::string_view service) const noexcept;

    /**
     * @brief Finds a request kind by name.
     * @param service Name of its service.
     * @param kind Name of the kind.
     * @return The kind, or null if it is not declared; valid for the lifetime of the manifest.
     */
    [[nodiscard]] const KindSpec *findKind(std::string_view service, std::string_view kind) const noexcept;

    /**
     * @brief Returns the hash of the document from which the manifest was parsed.
     * @return The contentHash() of the document; empty for a manifest built in code without one.
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
     * @param host Value of its `Host` header, with or without a port, in any case.
     * @param path Its path, without a query.
     * @return The route of the host with the longest prefix of the path, or null if none matches.
     */
    [[nodiscard]] const RouteSpec *findRoute(std::string_view host, std::string_view path) const;

    /**
     * @brief Returns the declared client accounts.
     * @return The accounts; if there are none, callers need no API keys.
     */
    [[nodiscard]] const std::vector<AccountSpec> &accounts() const noexcept
    {
        return m_accounts;
    }

    /**
     * @brief Finds the account that holds an API key.
     * @param keyDigest Digest of the key.
     * @return The account, or null if no account holds the key; valid for the lifetime of the manifest.
     */
    [[nodiscard]] const AccountSpec *findAccountByKey(const std::string &keyDigest) const;

    /**
     * @brief Finds an account by name.
     * @param name Its name.
     * @return The account, or null if it is not declared; valid for the lifetime of the manifest.
     */
    [[nodiscard]] const AccountSpec *findAccount(const std::string &name) const;

    /*! @brief Returns the longest deadline of a kind; zero without kinds. */
    [[nodiscard]] std::chrono::milliseconds maxDeadline() const;

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
    /*! @brief Index into m_routes by host and prefix; with many routes, a linear search would slow down each request. */
    std::unordered_map<std::string, std::size_t> m_routeIndices;
    /*! @brief Indices into m_services and the kinds of the service, by the names of service and kind. */
    std::unordered_map<std::string, std::pair<std::size_t, std::size_t>> m_kindIndices;
    std::vector<AccountSpec> m_accounts;
    /*! @brief Indices into m_accounts, by the digests of their keys and by their names. */
    std::unordered_map<std::string, std::size_t> m_accountsByKey;
    std::unordered_map<std::string, std::size_t> m_accountsByName;
    CallerLimits m_callerLimits;
    std::string m_hash;
};

/*! @brief Builds a manifest in code, for the parser, tests and tools. */
class ManifestBuilder
{
public:
    /**
     * @brief Adds a service.
     * @param service The service and its kinds.
     * @return This builder.
     */
    ManifestBuilder &addService(ServiceSpec service);

    /**
     * @brief Adds a route.
     * @param route The route; if two have the same host and prefix, the first is used.
     * @return This builder.
     */
    ManifestBuilder &addRoute(RouteSpec route);

    /**
     * @brief Adds a client account.
     * @param account The account; if two hold the same key, the first is used.
     * @return This builder.
     */
    ManifestBuilder &addAccount(AccountSpec account);

    /**
     * @brief Sets the limits for callers of routes.
     * @param limits The limits.
     * @return This builder.
     */
    ManifestBuilder &setCallerLimits(const CallerLimits &limits);

    /**
     * @brief Sets the hash of the document.
     * @param hash The contentHash() of the document.
     * @return This builder.
     */
    ManifestBuilder &setHash(std::string hash);

    /**
     * @brief Builds the manifest.
     * @return The manifest, which is not validated.
     */
    [[nodiscard]] std::shared_ptr<const Manifest> build() const;

private:
    std::vector<ServiceSpec> m_services;
    std::vector<RouteSpec> m_routes;
    std::vector<AccountSpec> m_accounts;
    CallerLimits m_callerLimits;
    std::string m_hash;
};

/*! @brief A manifest and the warnings found in its document. */
struct ParsedManifest
{
    std::shared_ptr<const Manifest> manifest;
    settings::Problems warnings;
};

/**
 * @brief Parses and validates a manifest.
 * @param json Text of the document.
 * @return The manifest with its warnings; every problem found in the text otherwise.
 */
[[nodiscard]] tl::expected<ParsedManifest, settings::Problems> parseManifest(const QByteArray &json);

} // namespace egretlatch::manifest

#endif
