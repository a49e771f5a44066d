#ifndef EGRETLATCH_CONFIGURATION_FOLLOWER_DELEGATE_HPP
#define EGRETLATCH_CONFIGURATION_FOLLOWER_DELEGATE_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <egretlatch/configuration/messages.hpp>
#include <egretlatch/configuration/read_duty.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::configuration
{

/*! @brief Id and address of another daemon. */
struct Peer
{
    DaemonId id;
    /*! @brief Address of its peer socket. */
    std::string endpoint;

    friend bool operator==(const Peer &, const Peer &) = default;
};

using PeerPayload = std::variant<Advert, BodyRequest, BodyReply>;

/*! @brief Interface by which a Follower sends requests and messages and applies configurations. */
class FollowerDelegate
{
public:
    virtual ~FollowerDelegate() = default;

    /**
     * @brief Sends a request to the platform.
     * @param request The request.
     * @return Id that the outcome will carry.
     */
    [[nodiscard]] virtual store::RequestId sendToPlatform(store::Request request) = 0;

    /**
     * @brief Sends a message to a peer.
     * @param peer The receiver.
     * @param message The message.
     */
    virtual void send(const Peer &peer, PeerPayload message) = 0;

    /**
     * @brief Lists the other daemons that can be reached.
     * @return The peers in any order, without this daemon.
     */
    [[nodiscard]] virtual std::vector<Peer> peers() const = 0;

    /**
     * @brief Counts the daemons that peers() lists.
     * @return Their number.
     */
    [[nodiscard]] virtual std::size_t countPeers() const = 0;

    /**
     * @brief Returns the duty of this daemon in reading the store for the fleet, by the current membership.
     * @return The duty.
     */
    [[nodiscard]] virtual ReadDuty readDuty() = 0;

    /**
     * @brief Returns the place of this daemon among the readers, by the current membership.
     * @return The place.
     */
    [[nodiscard]] virtual ReadTurn readTurn() = 0;

    /**
     * @brief Lists the daemons that get this one's regular adverts.
     *
     * The same ones for long, so that each advert does not open a connection of its own.
     * @return Up to some dozen peers, more of the same data centre than of others.
     */
    [[nodiscard]] virtual std::vector<Peer> neighbours() = 0;

    /**
     * @brief Lists the other daemons that read all the time.
     * @return The readers of all data centres.
     */
    [[nodiscard]] virtual std::vector<Peer> readers() = 0;

    /**
     * @brief Lists the daemons that replace this one if it is a reader and no longer confirms.
     * @return The deputies of its data centre; empty if it is no reader.
     */
    [[nodiscard]] virtual std::vector<Peer> deputies() = 0;

    /**
     * @brief Puts a configuration in force.
     * @param version Its version, higher than any previous one.
     * @param manifest The manifest.
     * @param sourceDaemon Daemon that sent the manifest; empty if it came from the platform.
     */
    virtual void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId &sourceDaemon) = 0;

    /**
     * @brief Counts an irregular event.
     * @param what Name of the event, in kebab case.
     */
    virtual void count(std::string_view what) = 0;
};

} // namespace egretlatch::configuration

#endif
