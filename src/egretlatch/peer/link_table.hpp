#ifndef EGRETLATCH_PEER_LINK_TABLE_HPP
#define EGRETLATCH_PEER_LINK_TABLE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <zmq.hpp>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/peer/peer_link.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::peer
{

/*! @brief Link that has ended, with the messages that were not sent over it. */
struct EndedLink
{
    DaemonId daemon;
    /*! @brief Tells whether unanswered messages may have been sent over it. */
    bool wasOpen{};
    std::deque<PendingMessage> unsent;
};

/**
 * @brief Holds a daemon's outgoing links: opens them on demand, limits their number and closes unused ones.
 *
 * A full mesh is not affordable at 750 daemons: each connection costs descriptors, memory and heartbeats.
 */
class LinkTable
{
public:
    /**
     * @brief Builds an empty table.
     * @param context Context of the sockets; must outlive this object.
     * @param watch Watches the sockets; must outlive this object.
     * @param routingId ZeroMQ routing id of this daemon.
     * @param keys Keys of the daemons; nothing without encryption.
     */
    LinkTable(zmq::context_t &context, SocketWatch &watch, std::string routingId, std::optional<settings::PeerKeys> keys);

    /**
     * @brief Tells whether linkTo() would close the link to a daemon, because the daemon has a new address.
     * @param daemon Daemon to reach.
     * @param endpoint Address of the daemon; empty to use an existing link only.
     * @return True if the link is to be read first, as what it has received is lost otherwise.
     */
    [[nodiscard]] bool isReplaced(const DaemonId &daemon, const std::string &endpoint) const;

    /**
     * @brief Returns the link to a daemon, opening one if necessary.
     * @param daemon Daemon to reach.
     * @param endpoint Address of the daemon; empty to use an existing link only.
     * @return The link, or null if there is none and none can be opened; valid until the next call.
     */
    [[nodiscard]] PeerLink *linkTo(const DaemonId &daemon, const std::string &endpoint);

    /**
     * @brief Closes ended and unused links, and retries failed ones with the next key.
     *
     * Reads no events: a link that ends after its owner has read its messages stays until the next call.
     * @param now Current time.
     */
    void closeUnneeded(SteadyTime now);

    /**
     * @brief Takes the links that have ended.
     * @return Links that ended since the last call.
     */
    [[nodiscard]] std::vector<EndedLink> takeEnded();

    [[nodiscard]] std::map<DaemonId, std::unique_ptr<PeerLink>> &links() noexcept
    {
        return m_links;
    }

private:
    [[nodiscard]] std::unique_ptr<PeerLink> open(const DaemonId &daemon, const std::string &endpoint);
    [[nodiscard]] bool evictLeastRecentlyUsed();
    [[nodiscard]] bool closeOthersAt(const std::string &endpoint);
    [[nodiscard]] bool reopen(const DaemonId &daemon, PeerLink &failed);
    void recordEnded(const DaemonId &daemon, PeerLink &link, bool wasOpen);

    zmq::context_t &m_context;
    SocketWatch &m_watch;
    std::string m_routingId;
    std::optional<settings::PeerKeys> m_keys;
    std::map<DaemonId, std::unique_ptr<PeerLink>> m_links;
    /*! @brief Index of the accepted key tried last for each endpoint; an endpoint not listed uses the first key. */
    std::map<std::string, std::size_t> m_keyIndexes;
    std::vector<EndedLink> m_ended;
    std::uint64_t m_lastNumber{};
};

} // namespace egretlatch::peer

#endif
