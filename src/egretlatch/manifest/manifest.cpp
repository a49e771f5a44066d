#include <egretlatch/manifest/manifest.hpp>

#include <algorithm>

namespace egretlatch::manifest
{

const ServiceSpec *Manifest::findService(const std::string_view service) const noexcept
{
    const auto found = std::find_if(m_services.begin(), m_services.end(), [service](const ServiceSpec &candidate) {
        return candidate.name == service;
    });
    return found == m_services.end() ? nullptr : &*found;
}

const KindSpec *Manifest::findKind(const std::string_view service, const std::string_view kind) const noexcept
{
    const ServiceSpec *const spec = findService(service);
    if (spec == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(spec->kinds.begin(), spec->kinds.end(), [kind](const KindSpec &candidate) {
        return candidate.name == kind;
    });
    return found == spec->kinds.end() ? nullptr : &*found;
}

ManifestBuilder &ManifestBuilder::addService(ServiceSpec service)
{
    m_services.push_back(std::move(service));
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
    manifest.m_hash = m_hash;
    return std::make_shared<const Manifest>(std::move(manifest));
}

} // namespace egretlatch::manifest
