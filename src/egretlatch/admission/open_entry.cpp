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
    return {.priority = spec->priority, .worthDensity = spec->worth, .invested = {}};
}

void OpenEntry::noteLoad(const ChainLoad & /*load*/, const SteadyTime /*now*/)
{
}

void OpenEntry::noteSlotTime(const std::string & /*service*/, const std::string & /*kind*/, const Duration /*slotTime*/)
{
}

NotedLevel OpenEntry::levelBelow(const std::string & /*service*/, const std::string & /*kind*/, const SteadyTime /*now*/)
{
    return {};
}

std::optional<EntryRefusal> OpenEntry::check(const EntryRequest & /*request*/, const SteadyTime /*now*/)
{
    return std::nullopt;
}

} // namespace egretlatch::admission
