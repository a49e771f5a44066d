#include <egretlatch/admission/chain_costs.hpp>

#include <algorithm>

namespace egretlatch::admission
{

void ChainCosts::setManifest(const manifest::Manifest &manifest)
{
    m_chains.clear();
    m_below.clear();
    for (const manifest::ServiceSpec &service : manifest.services()) {
        for (const manifest::KindSpec &kind : service.kinds) {
            std::set<KindName> open;
            for (const auto &[stop, held] : chainOf(manifest, {service.name, kind.name}, open).stops) {
                if (stop != service.name) {
                    m_below[service.name].insert(stop);
                }
            }
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
    chain.held = kind->cost;
    for (const manifest::InnerCall &call : kind->calls) {
        const Chain &callee = chainOf(manifest, {call.service, call.kind}, open);
        chain.held += call.count * callee.held;
        for (const auto &[service, held] : callee.stops) {
            chain.stops[service] = std::max(chain.stops[service], held);
        }
    }
    chain.stops[name.first] = std::max(chain.stops[name.first], chain.held);
    open.erase(name);
    return m_chains.insert_or_assign(name, std::move(chain)).first->second;
}

Duration ChainCosts::held(const std::string &service, const std::string &kind) const
{
    const auto found = m_chains.find({service, kind});
    return found == m_chains.end() ? Duration{} : found->second.held;
}

const SlotTimeByService &ChainCosts::stops(const std::string &service, const std::string &kind) const
{
    static const SlotTimeByService none;
    const auto found = m_chains.find({service, kind});
    return found == m_chains.end() ? none : found->second.stops;
}

const std::set<std::string> &ChainCosts::downstreamServices(const std::string &service) const
{
    static const std::set<std::string> none;
    const auto found = m_below.find(service);
    return found == m_below.end() ? none : found->second;
}

} // namespace egretlatch::admission
