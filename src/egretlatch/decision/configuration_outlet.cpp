#include <egretlatch/decision/configuration_outlet.hpp>

namespace egretlatch::decision
{

ConfigurationOutlet::ConfigurationOutlet(CoreContext &surroundings, std::vector<configuration::Peer> contacts)
    : m_surroundings{surroundings}
    , m_contacts{std::move(contacts)}
{
}

store::RequestId ConfigurationOutlet::ask(store::Request request)
{
    return m_surroundings.askPlatform(std::move(request));
}

void ConfigurationOutlet::send(const configuration::Peer &peer, configuration::PeerPayload news)
{
    const auto toMessage = [](auto &given) {
        return protocol::Message{std::move(given)};
    };
    m_surroundings.actions.emplace_back(SendToPeer{.to = peer.id, .endpoint = peer.endpoint, .message = std::visit(toMessage, news)});
}

std::vector<configuration::Peer> ConfigurationOutlet::peers() const
{
    std::vector<configuration::Peer> peers;
    for (const DaemonId &id : m_surroundings.roster.participants()) {
        const membership::Member *const member = m_surroundings.roster.find(id);
        if (member != nullptr && !member->endpoint.empty()) {
            peers.push_back({.id = id, .endpoint = member->endpoint});
        }
    }
    return peers.empty() ? m_contacts : peers;
}

void ConfigurationOutlet::putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &sourceDaemon)
{
    m_surroundings.putInForce(version, manifest, sourceDaemon);
}

void ConfigurationOutlet::count(const std::string_view what)
{
    m_surroundings.metrics.count("configuration", what);
}

} // namespace egretlatch::decision
