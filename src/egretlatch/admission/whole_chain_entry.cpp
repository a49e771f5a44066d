#include <egretlatch/admission/whole_chain_entry.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace egretlatch::admission
{

namespace internal
{

// A class that is let in by shares has room for a caller that comes back while its answer is still worth all it can be.
constexpr std::chrono::milliseconds retryAfterWithinClass{250};
constexpr std::chrono::milliseconds retryAfterBelowClass{2000};
constexpr std::chrono::milliseconds retryAfterSpread{500};

/*! @brief A root that a service would refuse. */
struct Obstacle
{
    const std::string &service;
    RankClass rankClass;
    ReportedLevel reported;
};

[[nodiscard]] static std::chrono::milliseconds retryAfter(const Obstacle &obstacle, const Uuid &root)
{
    const bool isWithinClass = obstacle.rankClass == obstacle.reported.level.rankClass();
    const std::chrono::milliseconds shortest = isWithinClass ? retryAfterWithinClass : retryAfterBelowClass;
    // Callers that were refused together must not come back together.
    return shortest + std::chrono::duration_cast<std::chrono::milliseconds>(placeOf(root) * retryAfterSpread);
}

[[nodiscard]] static EntryRefusal refusalOf(const Obstacle &obstacle, const Uuid &root, const SteadyTime now)
{
    const Level &level = obstacle.reported.level;
    return {
        .reason = account::RefusalReason::overloadAtEntry,
        .rule = fmt::format("{} down the chain refuses requests of this rank", obstacle.service),
        .figures = {{.name = "priority", .value = static_cast<double>(obstacle.rankClass.priority)},
                    {.name = "densityClass", .value = static_cast<double>(obstacle.rankClass.density)},
                    {.name = "place", .value = placeOf(root)},
                    {.name = "levelPriority", .value = static_cast<double>(level.priority)},
                    {.name = "levelDensityClass", .value = static_cast<double>(level.density)},
                    {.name = "levelFraction", .value = level.fraction},
                    {.name = "levelAgeMs", .value = std::chrono::duration<double, std::milli>(now - obstacle.reported.at).count()}},
        .retryAfter = retryAfter(obstacle, root),
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

void WholeChainEntry::noteLoad(const ServerLoadReport &news, const SteadyTime now)
{
    // An attempt that never left, and a daemon without a backend server, tell of no limit and so of no load.
    if (news.load.limit > 0) {
        m_notes[news.service].own.note(news.daemon, {.level = news.load.level, .at = now});
    }
}

void WholeChainEntry::noteLevel(const ServiceLevelReport &news)
{
    // News of one service come round by several ways, and by cycles of daemons that call one another come back to where
    // they were. Only what stood later than all that is known is taken, by the time at the service itself, so old news
    // are never made young again.
    ReportedLevel &known = m_notes[news.service].passedOn;
    if (news.reported.at > known.at) {
        known = news.reported;
    }
}

std::vector<ServiceLevelReport> WholeChainEntry::downstreamLevels(const std::string &service, const SteadyTime now)
{
    std::vector<ServiceLevelReport> news;
    std::set<std::string> services = m_learned.downstreamServices(service);
    services.insert(m_costs.downstreamServices(service).begin(), m_costs.downstreamServices(service).end());
    for (const std::string &below : services) {
        const ReportedLevel reported = levelOf(below, now);
        if (reported.at != SteadyTime{}) {
            news.push_back({.service = below, .reported = reported});
        }
    }
    return news;
}

std::optional<EntryRefusal> WholeChainEntry::check(const EntryRequest &request, const SteadyTime now)
{
    static const SlotTimeByService none;
    const SlotTimeByService &declared = m_costSource == CostSource::declared ? m_costs.stops(request.service, request.kind) : none;
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
    const internal::Obstacle obstacle{.service = service, .rankClass = classOf(request.rank, held), .reported = levelOf(service, now)};
    if (admits(obstacle.reported.level, obstacle.rankClass, request.root) || m_random.fraction() < probeChance(obstacle.reported, now)) {
        return std::nullopt;
    }
    return internal::refusalOf(obstacle, request.root, now);
}

void WholeChainEntry::noteRun(const RunCalls &run)
{
    m_learned.noteRun(run.kind, run.calls, run.held);
}

void WholeChainEntry::noteChain(const KindName &kind, const SlotTimeByService &stops)
{
    m_learned.noteChain(kind, stops);
}

SlotTimeByService WholeChainEntry::learnedChain(const KindName &kind) const
{
    return m_learned.chain(kind);
}

ReportedLevel WholeChainEntry::levelOf(const std::string &service, const SteadyTime now)
{
    Notes &notes = m_notes[service];
    const ReportedLevel own = notes.own.aggregate(now);
    return own.at >= notes.passedOn.at ? own : notes.passedOn;
}

} // namespace egretlatch::admission
