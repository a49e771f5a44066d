#include <egretlatch/admission/whole_chain_entry.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace egretlatch::admission
{

namespace internal
{

// A partly admitted class has capacity for a caller that retries soon, while its answer still has its full worth.
constexpr std::chrono::milliseconds retryAfterWithinClass{250};
constexpr std::chrono::milliseconds retryAfterOutsideClass{2000};
constexpr std::chrono::milliseconds retryAfterSpread{500};

/*! @brief Service that refuses a root, with the class of the root and the reported level. */
struct RefusingService
{
    const std::string &service;
    RankClass rankClass;
    ReportedLevel reported;
};

[[nodiscard]] static std::chrono::milliseconds retryAfter(const RefusingService &refusing, const Uuid &root)
{
    const bool isWithinClass = refusing.rankClass == refusing.reported.level.rankClass();
    const std::chrono::milliseconds shortest = isWithinClass ? retryAfterWithinClass : retryAfterOutsideClass;
    // Spreads the retries of callers that were refused at the same time.
    return shortest + std::chrono::duration_cast<std::chrono::milliseconds>(hashFraction(root) * retryAfterSpread);
}

[[nodiscard]] static EntryRefusal refusalOf(const RefusingService &refusing, const Uuid &root, const SteadyTime now)
{
    const Level &level = refusing.reported.level;
    return {
        .reason = account::RefusalReason::overloadAtEntry,
        .rule = fmt::format("{} down the chain refuses requests of this rank", refusing.service),
        .figures = {{.name = "priority", .value = static_cast<double>(refusing.rankClass.priority)},
                    {.name = "densityClass", .value = static_cast<double>(refusing.rankClass.density)},
                    {.name = "place", .value = hashFraction(root)},
                    {.name = "levelPriority", .value = static_cast<double>(level.priority)},
                    {.name = "levelDensityClass", .value = static_cast<double>(level.density)},
                    {.name = "levelFraction", .value = level.fraction},
                    {.name = "levelAgeMs", .value = std::chrono::duration<double, std::milli>(now - refusing.reported.at).count()}},
        .retryAfter = retryAfter(refusing, root),
    };
}

} // namespace internal

WholeChainEntry::WholeChainEntry(RandomSource &random, const CostSource costSource)
    : m_random{random}
    , m_costSource{costSource}
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
    return {.priority = spec->priority, .worth = spec->worth, .invested = {}};
}

RankClass WholeChainEntry::classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const
{
    if (m_costSource == CostSource::declared) {
        return classOf(rank, m_costs.held(service, kind));
    }
    return classOf(rank, costs.at(service).value_or(Duration{}));
}

RootCosts WholeChainEntry::costsOf(const std::string &service, const std::string &kind) const
{
    return m_costSource == CostSource::declared ? RootCosts{} : RootCosts{m_learned.chain({service, kind})};
}

void WholeChainEntry::noteLoad(const ServerLoadReport &report, const SteadyTime now)
{
    // An attempt that was never sent and a daemon without a backend server have a limit of zero, and report no load.
    if (report.load.limit > 0) {
        m_levels[report.service].direct.note(report.daemon, {.level = report.load.level, .at = now});
    }
}

void WholeChainEntry::noteLevel(const ServiceLevelReport &report)
{
    // Levels of one service arrive over several paths, and return to their sender where daemons call each other in a cycle.
    // Only a level that is newer than the known one is taken, by the time at the service itself, so an old level never
    // replaces a newer one.
    ReportedLevel &known = m_levels[report.service].forwarded;
    if (report.reported.at > known.at) {
        known = report.reported;
    }
}

std::vector<ServiceLevelReport> WholeChainEntry::downstreamLevels(const std::string &service, const SteadyTime now)
{
    std::vector<ServiceLevelReport> reports;
    std::set<std::string> services = m_learned.downstreamServices(service);
    services.insert(m_costs.downstreamServices(service).begin(), m_costs.downstreamServices(service).end());
    for (const std::string &downstream : services) {
        const ReportedLevel reported = levelOf(downstream, now);
        if (reported.at != SteadyTime{}) {
            reports.push_back({.service = downstream, .reported = reported});
        }
    }
    return reports;
}

std::optional<EntryRefusal> WholeChainEntry::check(const EntryRequest &request, const SteadyTime now)
{
    static const SlotTimeByService none;
    const SlotTimeByService &declared = m_costSource == CostSource::declared ? m_costs.slotTimes(request.service, request.kind) : none;
    for (const auto &[service, held] : declared) {
        if (auto refusal = checkAt(service, held, request, now)) {
            return refusal;
        }
    }
    for (const auto &[service, held] : m_learned.chain({request.service, request.kind})) {
        if (declared.contains(service)) {
            continue;
        }
        if (auto refusal = checkAt(service, held, request, now)) {
            return refusal;
        }
    }
    return std::nullopt;
}

std::optional<EntryRefusal> WholeChainEntry::checkAt(const std::string &service, const Duration held, const EntryRequest &request, const SteadyTime now)
{
    const internal::RefusingService refusing{.service = service, .rankClass = classOf(request.rank, held), .reported = levelOf(service, now)};
    if (admits(refusing.reported.level, refusing.rankClass, request.root) || m_random.fraction() < probeChance(refusing.reported, now)) {
        return std::nullopt;
    }
    return internal::refusalOf(refusing, request.root, now);
}

void WholeChainEntry::noteRun(const RunCalls &run)
{
    m_learned.noteRun(run.kind, run.calls, run.held);
}

void WholeChainEntry::noteChain(const KindName &kind, const SlotTimeByService &slotTimes)
{
    m_learned.noteChain(kind, slotTimes);
}

bool WholeChainEntry::needsChain(const KindName &kind) const
{
    return m_learned.needsReport(kind);
}

SlotTimeByService WholeChainEntry::learnedChain(const KindName &kind) const
{
    return m_learned.chain(kind);
}

ReportedLevel WholeChainEntry::levelOf(const std::string &service, const SteadyTime now)
{
    KnownLevels &known = m_levels[service];
    const ReportedLevel direct = known.direct.aggregate(now);
    return direct.at >= known.forwarded.at ? direct : known.forwarded;
}

} // namespace egretlatch::admission
