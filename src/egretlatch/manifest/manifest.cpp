#include <egretlatch/manifest/manifest.hpp>

#include <algorithm>
#include <cctype>

namespace egretlatch::manifest
{

namespace internal
{

[[nodiscard]] static std::string routeKey(const std::string_view host, const std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    for (const char letter : host.substr(0, host.find(':'))) {
        key.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(letter))));
    }
    key.push_back(' ');
    key.append(prefix);
    return key;
}

[[nodiscard]] static std::string kindKey(const std::string_view service, const std::string_view kind)
{
    std::string key;
    key.reserve(service.size() + 1 + kind.size());
    key.append(service);
    // No name contains a NUL, so no two pairs of names give the same key.
    key.push_back('\0');
    key.append(kind);
    return key;
}

} // namespace internal

const ServiceSpec *Manifest::findService(const std::string_view service) const noexcept
{
    const auto found = std::find_if(m_services.begin(), m_services.end(), [service](const ServiceSpec &candidate) {
        return candidate.name == service;
    });
    return found == m_services.end() ? nullptr : &*found;
}

std::chrono::milliseconds Manifest::maxDeadline() const
{
    std::chrono::milliseconds longest{};
    for (const ServiceSpec &service : m_services) {
        for (const KindSpec &kind : service.kinds) {
            longest = std::max(longest, kind.deadline);
        }
    }
    return longest;
}

const KindSpec *Manifest::findKind(const std::string_view service, const std::string_view kind) const noexcept
{
    const auto found = m_kindIndices.find(internal::kindKey(service, kind));
    return found == m_kindIndices.end() ? nullptr : &m_services[found->second.first].kinds[found->second.second];
}

const RouteSpec *Manifest::findRoute(const std::string_view host, const std::string_view path) const
{
    // Prefixes end with a slash, so only the positions of slashes are tried, starting from the last for the longest prefix.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = m_routeIndices.find(internal::routeKey(host, path.substr(0, slash + 1)));
        if (found != m_routeIndices.end()) {
            return &m_routes[found->second];
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const AccountSpec *Manifest::findAccountByKey(const std::string &keyDigest) const
{
    const auto found = m_accountsByKey.find(keyDigest);
    return found == m_accountsByKey.end() ? nullptr : &m_accounts[found->second];
}

const AccountSpec *Manifest::findAccount(const std::string &name) const
{
    const auto found = m_accountsByName.find(name);
    return found == m_accountsByName.end() ? nullptr : &m_accounts[found->second];
}

ManifestBuilder &ManifestBuilder::addService(ServiceSpec service)
{
    m_services.push_back(std::move(service));
    return *this;
}

ManifestBuilder &ManifestBuilder::addRoute(RouteSpec route)
{
    m_routes.push_back(std::move(route));
    return *this;
}

ManifestBuilder &ManifestBuilder::addAccount(AccountSpec account)
{
    m_accounts.push_back(std::move(account));
    return *this;
}

ManifestBuilder &ManifestBuilder::setCallerLimits(const CallerLimits &limits)
{
    m_callerLimits = limits;
    return *this;
}

ManifestBuilder &ManifestBuilder::setHash(std::string hash)
{
    m_hash = std::move(hash);
    return *this;
}

std::shared_ptr<const Manifest> ManifestBuilder::build() const
{
    Manifest manifest;
    manifest.m_services = m_services;
    for (std::size_t service = 0; service < m_services.size(); ++service) {
        for (std::size_t kind = 0; kind < m_services[service].kinds.size(); ++kind) {
            manifest.m_kindIndices.emplace(internal::kindKey(m_services[service].name, m_services[service].kinds[kind].name), std::pair{service, kind});
        }
    }
    manifest.m_routes = m_routes;
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        manifest.m_routeIndices.emplace(internal::routeKey(m_routes[index].host, m_routes[index].prefix), index);
    }
    manifest.m_accounts = m_accounts;
    for (std::size_t index = 0; index < m_accounts.size(); ++index) {
        manifest.m_accountsByName.emplace(m_accounts[index].name, index);
        for (const std::string &digest : m_accounts[index].keyDigests) {
            manifest.m_accountsByKey.emplace(digest, index);
        }
    }
    manifest.m_callerLimits = m_callerLimits;
    manifest.m_hash = m_hash;
    return std::make_shared<const Manifest>(std::move(manifest));
}

} // namespace egretlatch::manifest
