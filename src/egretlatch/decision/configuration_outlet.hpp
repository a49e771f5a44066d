#ifndef EGRETLATCH_DECISION_CONFIGURATION_OUTLET_HPP
#define EGRETLATCH_DECISION_CONFIGURATION_OUTLET_HPP

#include <egretlatch/configuration/outlet.hpp>
#include <egretlatch/decision/core_context.hpp>

namespace egretlatch::decision
{

/*! @brief Turns what the configuration decides into actions of the core. */
class ConfigurationOutlet final : public configuration::Outlet
{
public:
    /**
     * @brief Builds an outlet.
     * @param surroundings State of the core; must outlive the outlet.
     * @param contacts Daemons to turn to while the roster knows none of them.
     */
    ConfigurationOutlet(CoreContext &surroundings, std::vector<configuration::Peer> contacts);

    [[nodiscard]] store::RequestId ask(store::Request request) override;
    void send(const configuration::Peer &peer, configuration::PeerPayload news) override;
    [[nodiscard]] std::vector<configuration::Peer> peers() const override;
    void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &sourceDaemon) override;
    void count(std::string_view what) override;

private:
    CoreContext &m_surroundings;
    std::vector<configuration::Peer> m_contacts;
};

} // namespace egretlatch::decision

#endif
