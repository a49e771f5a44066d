#ifndef EGRETLATCH_CONFIGURATION_OUTLET_HPP
#define EGRETLATCH_CONFIGURATION_OUTLET_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <egretlatch/configuration/messages.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::configuration
{

/*! @brief Another daemon, as far as configuration needs to know it. */
struct Peer
{
    DaemonId id;
    /*! @brief Address of its peer socket. */
    std::string endpoint;

    friend bool operator==(const Peer &, const Peer &) = default;
};

using PeerPayload = std::variant<Advert, BodyRequest, BodyReply>;

/*! @brief What a Follower does to the world around it. */
class Outlet
{
public:
    virtual ~Outlet() = default;

    /**
     * @brief Asks the platform.
     * @param request What is asked.
     * @return The id that the outcome will carry.
     */
    [[nodiscard]] virtual store::RequestId ask(store::Request request) = 0;

    /**
     * @brief Sends a message.
     * @param peer Who gets it.
     * @param news The message.
     */
    virtual void send(const Peer &peer, PeerPayload news) = 0;

    /**
     * @brief Lists the daemons that can be talked to.
     * @return Any order, without this daemon.
     */
    [[nodiscard]] virtual std::vector<Peer> peers() const = 0;

    /**
     * @brief Puts a configuration in force.
     * @param version Its version, higher than any before.
     * @param manifest The manifest.
     * @param bringer Who sent the manifest; empty if the platform did.
     */
    virtual void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &source) = 0;

    /**
     * @brief Counts something that should not happen often.
     * @param what A few words with dashes.
     */
    virtual void count(std::string_view what) = 0;
};

} // namespace egretlatch::configuration

#endif
