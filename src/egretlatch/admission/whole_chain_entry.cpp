#include <egretlatch/admission/whole_chain_entry.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr std::chrono::milliseconds retryAfterWithinClass{500};
constexpr std::chrono::milliseconds retryAfterBelowClass{2000};
constexpr std::chrono::milliseconds retryAfterSpread{1000};

[[nodiscard]] static std::chrono::milliseconds retryAfter(const Level &level, const EntryRequest &request)
{
    const bool isWithinClass = classOf(request.rank) == level.rankClass();
    const std::chrono::milliseconds shortest = isWithinClass ? retryAfterWithinClass : retryAfterBelowClass;
    // Callers that were refused together must not come back together.
    return shortest + std::chrono::duration_cast<std::chrono::milliseconds>(placeOf(request.root) * retryAfterSpread);
}

} // namespace internal

WholeChainEntry::WholeChainEntry(RandomSource &random)
    : m_random{random}
{
}

void WholeChainEntry::setManifest(std::shared_ptr<const manifest::Manifest> manifest)
{
    m_costs.setManifest(*manifest);
    m_manifest = std::move(manifest);
}

Rank WholeChainEntry::rankOf(const std::string &service, const std::string &kind) const
{
    const manifest::KindSpec *const spec = m_manifest == nullptr ? nullptr : m_manifest->findKind(service, kind);
    if (spec == nullptr) {
        return {};
    }
    return {.priority = spec->priority, .worthDensity = m_costs.worthDensity(service, kind), .invested = {}};
}

void WholeChainEntry::noteLoad(const ChainLoad &load, const SteadyTime now)
{
    // An attempt that never left, and a daemon without a backend server, tell of no limit and so of no load.
    if (load.load.limit <= 0) {
        return;
    }
    m_services[load.service].note(load.daemon, {.level = load.load.level, .at = now});
    m_chains[{load.service, load.kind}].note(load.daemon, load.chainLevel);
}

void WholeChainEntry::noteSlotTime(const std::string &service, const std::string &kind, const Duration slotTime)
{
    m_costs.observe(service, kind, slotTime);
}

NotedLevel WholeChainEntry::levelBelow(const std::string &service, const std::string &kind, const SteadyTime now)
{
    const manifest::KindSpec *const spec = m_manifest == nullptr ? nullptr : m_manifest->findKind(service, kind);
    NotedLevel worst{.level = {}, .at = now};
    if (spec == nullptr) {
        return worst;
    }
    for (const manifest::InnerCall &call : spec->calls) {
        const NotedLevel candidate = worstLevel(call.service, call.kind, now);
        if (worst.level < candidate.level) {
            worst = candidate;
        }
    }
    return worst;
}

std::optional<EntryRefusal> WholeChainEntry::check(const EntryRequest &request, const SteadyTime now)
{
    const NotedLevel worst = worstLevel(request.service, request.kind, now);
    if (admits(worst.level, request.rank, request.root) || m_random.fraction() < probeChance(worst, now)) {
        return std::nullopt;
    }
    const RankClass rankClass = classOf(request.rank);
    return EntryRefusal{
        .reason = account::RefusalReason::overloadAtEntry,
        .rule = "a service down the chain refuses requests of this rank",
        .figures = {{.name = "priority", .value = static_cast<double>(rankClass.priority)},
                    {.name = "densityClass", .value = static_cast<double>(rankClass.density)},
                    {.name = "place", .value = placeOf(request.root)},
                    {.name = "levelPriority", .value = static_cast<double>(worst.level.priority)},
                    {.name = "levelDensityClass", .value = static_cast<double>(worst.level.density)},
                    {.name = "levelFraction", .value = worst.level.fraction},
                    {.name = "levelAgeMs", .value = std::chrono::duration<double, std::milli>(now - worst.at).count()}},
        .retryAfter = internal::retryAfter(worst.level, request),
    };
}

NotedLevel WholeChainEntry::worstLevel(const std::string &service, const std::string &kind, const SteadyTime now)
{
    NotedLevel worst = m_services[service].aggregate(now);
    const auto consider = [&worst](const NotedLevel &candidate) {
        if (worst.level < candidate.level) {
            worst = candidate;
        }
    };
    consider(m_chains[{service, kind}].aggregate(now));
    for (const std::string &below : m_costs.servicesBelow(service, kind)) {
        const auto found = m_services.find(below);
        if (found != m_services.end()) {
            consider(found->second.aggregate(now));
        }
    }
    return worst;
}

} // namespace egretlatch::admission
