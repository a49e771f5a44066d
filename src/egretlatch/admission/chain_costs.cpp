#include <egretlatch/admission/chain_costs.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr double weightOfSample = 0.02;
constexpr double smallestCorrection = 0.1;
constexpr double largestCorrection = 100.0;

[[nodiscard]] static double bottleneckOf(const manifest::Manifest &manifest, const std::map<std::string, Duration> &byService)
{
    double most = 0.0;
    for (const auto &[name, slotTime] : byService) {
        const manifest::ServiceSpec *const service = manifest.findService(name);
        const int slots = service == nullptr ? 1 : std::max(1, service->slots);
        most = std::max(most, std::chrono::duration<double>(slotTime).count() / slots);
    }
    return most;
}

} // namespace internal

void ChainCosts::setManifest(const manifest::Manifest &manifest)
{
    m_chains.clear();
    for (const manifest::ServiceSpec &service : manifest.services()) {
        for (const manifest::KindSpec &kind : service.kinds) {
            std::set<KindName> open;
            chainOf(manifest, {service.name, kind.name}, open);
        }
    }
}

const ChainCosts::Chain &ChainCosts::chainOf(const manifest::Manifest &manifest, const KindName &name, std::set<KindName> &open)
{
    static const Chain nothing;
    const auto known = m_chains.find(name);
    if (known != m_chains.end()) {
        return known->second;
    }
    const manifest::KindSpec *const kind = manifest.findKind(name.first, name.second);
    // A cycle is only warned of at submission; here it must not recur for ever, so its last call counts nothing.
    if (kind == nullptr || !open.insert(name).second) {
        return nothing;
    }
    Chain chain;
    chain.worth = kind->worth;
    chain.held = kind->cost;
    for (const manifest::InnerCall &call : kind->calls) {
        const Chain &callee = chainOf(manifest, {call.service, call.kind}, open);
        chain.held += call.count * callee.held;
        chain.total += call.count * callee.total;
        for (const auto &[service, slotTime] : callee.byService) {
            chain.byService[service] += call.count * slotTime;
        }
        chain.below.insert(call.service);
        chain.below.insert(callee.below.begin(), callee.below.end());
    }
    chain.total += chain.held;
    chain.byService[name.first] += chain.held;
    chain.bottleneck = internal::bottleneckOf(manifest, chain.byService);
    open.erase(name);
    return m_chains.insert_or_assign(name, std::move(chain)).first->second;
}

void ChainCosts::observe(const std::string &service, const std::string &kind, const Duration slotTime)
{
    const auto found = m_chains.find({service, kind});
    if (found == m_chains.end() || found->second.total <= Duration{}) {
        return;
    }
    Chain &chain = found->second;
    const double ratio = std::chrono::duration<double>(slotTime) / std::chrono::duration<double>(chain.total);
    const double sample = std::clamp(ratio, internal::smallestCorrection, internal::largestCorrection);
    chain.correction += internal::weightOfSample * (sample - chain.correction);
}

double ChainCosts::worthDensity(const std::string &service, const std::string &kind) const
{
    const auto found = m_chains.find({service, kind});
    if (found == m_chains.end() || found->second.bottleneck <= 0.0) {
        return 0.0;
    }
    return found->second.worth / (found->second.bottleneck * found->second.correction);
}

const std::set<std::string> &ChainCosts::servicesBelow(const std::string &service, const std::string &kind) const
{
    static const std::set<std::string> none;
    const auto found = m_chains.find({service, kind});
    return found == m_chains.end() ? none : found->second.below;
}

} // namespace egretlatch::admission
