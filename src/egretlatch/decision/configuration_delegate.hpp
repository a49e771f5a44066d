#ifndef EGRETLATCH_DECISION_CONFIGURATION_DELEGATE_HPP
#define EGRETLATCH_DECISION_CONFIGURATION_DELEGATE_HPP

#include <egretlatch/configuration/follower_delegate.hpp>
#include <egretlatch/decision/configuration_roles.hpp>
#include <egretlatch/decision/core_context.hpp>

namespace egretlatch::decision
{

/*! @brief Translates the output of the configuration follower into actions of the core. */
class ConfigurationDelegate final : public configuration::FollowerDelegate
{
public:
    /**
     * @brief Builds a delegate.
     * @param context State of the core; must outlive the delegate.
     * @param contacts Daemons to use as peers while the roster has none.
     */
    ConfigurationDelegate(CoreContext &context, std::vector<configuration::Peer> contacts);

    [[nodiscard]] store::RequestId sendToPlatform(store::Request request) override;
    void send(const configuration::Peer &peer, configuration::PeerPayload message) override;
    [[nodiscard]] std::vector<configuration::Peer> peers() const override;
    [[nodiscard]] std::size_t countPeers() const override;
    [[nodiscard]] configuration::ReadDuty readDuty() override;
    [[nodiscard]] configuration::ReadTurn readTurn() override;
    [[nodiscard]] std::vector<configuration::Peer> neighbours() override;
    [[nodiscard]] std::vector<configuration::Peer> readers() override;
    [[nodiscard]] std::vector<configuration::Peer> deputies() override;
    void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &sourceDaemon) override;
    void count(std::string_view what) override;

private:
    CoreContext &m_context;
    std::vector<configuration::Peer> m_contacts;
    ConfigurationRoles m_roles;
};

} // namespace egretlatch::decision

#endif
