#include <egretlatch/decision/configuration_delegate.hpp>

namespace egretlatch::decision
{

ConfigurationDelegate::ConfigurationDelegate(CoreContext &context, std::vector<configuration::Peer> contacts)
    : m_context{context}
    , m_contacts{std::move(contacts)}
    , m_roles{context.roster}
{
}

store::RequestId ConfigurationDelegate::sendToPlatform(store::Request request)
{
    return m_context.sendToPlatform(std::move(request));
}

void ConfigurationDelegate::send(const configuration::Peer &peer, configuration::PeerPayload message)
{
    const auto toMessage = [](auto &payload) {
        return protocol::Message{std::move(payload)};
    };
    m_context.actions.emplace_back(SendToPeer{.to = peer.id, .endpoint = peer.endpoint, .message = std::visit(toMessage, message)});
}

std::vector<configuration::Peer> ConfigurationDelegate::peers() const
{
    std::vector<configuration::Peer> peers;
    for (const DaemonId &id : m_context.roster.participants()) {
        const membership::Member *const member = m_context.roster.find(id);
        if (member != nullptr && !member->endpoint.empty()) {
            peers.push_back({.id = id, .endpoint = member->endpoint});
        }
    }
    return peers.empty() ? m_contacts : peers;
}

std::size_t ConfigurationDelegate::countPeers() const
{
    const std::size_t known = m_context.roster.participants().size();
    return known == 0 ? m_contacts.size() : known;
}

configuration::ReadDuty ConfigurationDelegate::readDuty()
{
    return m_roles.own();
}

configuration::ReadTurn ConfigurationDelegate::readTurn()
{
    return m_roles.turn();
}

std::vector<configuration::Peer> ConfigurationDelegate::neighbours()
{
    const std::vector<configuration::Peer> &neighbours = m_roles.neighbours();
    return neighbours.empty() ? m_contacts : neighbours;
}

std::vector<configuration::Peer> ConfigurationDelegate::readers()
{
    return m_roles.readers();
}

std::vector<configuration::Peer> ConfigurationDelegate::deputies()
{
    return m_roles.deputies();
}

void ConfigurationDelegate::putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &sourceDaemon)
{
    m_context.putInForce(version, manifest, sourceDaemon);
}

void ConfigurationDelegate::count(const std::string_view what)
{
    m_context.metrics.count("configuration", what);
}

} // namespace egretlatch::decision
