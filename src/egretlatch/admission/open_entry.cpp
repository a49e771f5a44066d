#include <egretlatch/admission/open_entry.hpp>

namespace egretlatch::admission
{

void OpenEntry::setManifest(std::shared_ptr<const manifest::Manifest> manifest)
{
    m_manifest = std::move(manifest);
}

Rank OpenEntry::rankOf(const std::string &service, const std::string &kind) const
{
    const manifest::KindSpec *const spec = m_manifest == nullptr ? nullptr : m_manifest->findKind(service, kind);
    if (spec == nullptr) {
        return {};
    }
    return {.priority = spec->priority, .worth = spec->worth, .invested = {}};
}

RankClass OpenEntry::classAt(const std::string & /*service*/, const std::string & /*kind*/, const Rank &rank, const RootCosts & /*costs*/) const
{
    return {.priority = rank.priority, .density = 0};
}

void OpenEntry::noteLoad(const ServerLoadReport & /*report*/, const SteadyTime /*now*/)
{
}

void OpenEntry::noteLevel(const ServiceLevelReport & /*report*/)
{
}

std::vector<ServiceLevelReport> OpenEntry::downstreamLevels(const std::string & /*service*/, const SteadyTime /*now*/)
{
    return {};
}

std::optional<EntryRefusal> OpenEntry::check(const EntryRequest & /*request*/, const SteadyTime /*now*/)
{
    return std::nullopt;
}

} // namespace egretlatch::admission
