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

/*! @brief A link that ended, with what did not leave by it. */
struct EndedLink
{
    DaemonId daemon;
    /*! @brief Whether messages may have left by it that are not answered. */
    bool wasOpen{};
    std::deque<PendingMessage> unsent;
};

/**
 * @brief The links of a daemon, opened when needed, bounded in number and closed when unused.
 *
 * At 750 daemons nobody can be connected to everybody: each connection costs descriptors, memory and heartbeats.
 */
class LinkTable
{
public:
    /**
     * @brief Builds an empty table.
     * @param context Context of the sockets; must outlive it.
     * @param watch Watches the sockets; must outlive it.
     * @param routingId How this daemon makes itself known.
     * @param keys Keys of the daemons; nothing without encryption.
     */
    LinkTable(zmq::context_t &context, SocketWatch &watch, std::string routingId, std::optional<settings::PeerKeys> keys);

    /**
     * @brief Gives the link to a daemon, opening one if need be.
     * @param daemon The daemon.
     * @param endpoint Its address; empty to use only what is open.
     * @return The link, or null if there is none and none can be opened; valid until the next call.
     */
    [[nodiscard]] PeerLink *linkTo(const DaemonId &daemon, const std::string &endpoint);

    /**
     * @brief Takes what ZeroMQ says of all links, closes unused ones, and tries the next key where one did not do.
     * @param now Current time.
     */
    void update(SteadyTime now);

    /**
     * @brief Takes the links that ended.
     * @return Those since the last call.
     */
    [[nodiscard]] std::vector<EndedLink> takeEnded();

    [[nodiscard]] std::map<DaemonId, std::unique_ptr<PeerLink>> &links() noexcept
    {
        return m_links;
    }

private:
    [[nodiscard]] std::unique_ptr<PeerLink> open(const DaemonId &daemon, const std::string &endpoint);
    [[nodiscard]] bool evictLeastRecentlyUsed();
    [[nodiscard]] bool reopen(const DaemonId &daemon, PeerLink &failed, SteadyTime now);
    void recordEnded(const DaemonId &daemon, PeerLink &link, bool wasOpen);

    zmq::context_t &m_context;
    SocketWatch &m_watch;
    std::string m_routingId;
    std::optional<settings::PeerKeys> m_keys;
    std::map<DaemonId, std::unique_ptr<PeerLink>> m_links;
    /*! @brief Which of the accepted keys an endpoint had last, where it is not the first. */
    std::map<std::string, std::size_t> m_keyIndexes;
    std::vector<EndedLink> m_ended;
    std::uint64_t m_lastNumber{};
};

} // namespace egretlatch::peer

#endif
