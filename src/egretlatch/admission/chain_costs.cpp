#include <egretlatch/admission/chain_costs.hpp>

#include <algorithm>

namespace egretlatch::admission
{

void ChainCosts::setManifest(const manifest::Manifest &manifest)
{
    m_chains.clear();
    m_downstream.clear();
    for (const manifest::ServiceSpec &service : manifest.services()) {
        for (const manifest::KindSpec &kind : service.kinds) {
            std::set<KindName> onPath;
            for (const auto &[reached, held] : chainOf(manifest, {service.name, kind.name}, onPath).slotTimes) {
                if (reached != service.name) {
                    m_downstream[service.name].insert(reached);
                }
            }
        }
    }
}

const ChainCosts::Chain &ChainCosts::chainOf(const manifest::Manifest &manifest, const KindName &name, std::set<KindName> &onPath)
{
    static const Chain nothing;
    const auto known = m_chains.find(name);
    if (known != m_chains.end()) {
        return known->second;
    }
    const manifest::KindSpec *const kind = manifest.findKind(name.first, name.second);
    // Submission only warns about a call cycle, so recursion must end here: the call that closes the cycle counts as free.
    if (kind == nullptr || !onPath.insert(name).second) {
        return nothing;
    }
    Chain chain;
    chain.held = kind->cost;
    for (const manifest::InnerCall &call : kind->calls) {
        const Chain &callee = chainOf(manifest, {call.service, call.kind}, onPath);
        chain.held += call.count * callee.held;
        for (const auto &[service, held] : callee.slotTimes) {
            chain.slotTimes[service] = std::max(chain.slotTimes[service], held);
        }
    }
    chain.slotTimes[name.first] = std::max(chain.slotTimes[name.first], chain.held);
    onPath.erase(name);
    return m_chains.insert_or_assign(name, std::move(chain)).first->second;
}

Duration ChainCosts::held(const std::string &service, const std::string &kind) const
{
    const auto found = m_chains.find({service, kind});
    return found == m_chains.end() ? Duration{} : found->second.held;
}

const SlotTimeByService &ChainCosts::slotTimes(const std::string &service, const std::string &kind) const
{
    static const SlotTimeByService none;
    const auto found = m_chains.find({service, kind});
    return found == m_chains.end() ? none : found->second.slotTimes;
}

const std::set<std::string> &ChainCosts::downstreamServices(const std::string &service) const
{
    static const std::set<std::string> none;
    const auto found = m_downstream.find(service);
    return found == m_downstream.end() ? none : found->second;
}

} // namespace egretlatch::admission
