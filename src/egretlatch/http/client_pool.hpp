#ifndef EGRETLATCH_HTTP_CLIENT_POOL_HPP
#define EGRETLATCH_HTTP_CLIENT_POOL_HPP

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include <egretlatch/http/client_connection.hpp>

namespace egretlatch::http
{

/*! @brief Names a request that was given to a ClientPool. */
struct TicketId
{
    std::uint64_t value{};

    friend auto operator<=>(const TicketId &, const TicketId &) = default;
};

/**
 * @brief Connections to one server, used again while the server keeps them open.
 *
 * A request is sent at most once, whatever becomes of its connection. Lives on one thread with an event loop.
 */
class ClientPool final : public ClientConnectionListener
{
public:
    /**
     * @brief Builds a pool without connections.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param endpoint The server.
     * @param limits Sizes of answers.
     */
    ClientPool(net::Poller &poller, const Clock &clock, net::Endpoint endpoint, const ReadLimits &limits);

    /**
     * @brief Sends a request on a free connection, or on a new one.
     * @param outgoing The request; its result may come before this returns.
     * @return What cancel() takes.
     */
    TicketId send(OutgoingRequest outgoing);

    /**
     * @brief Closes the connection of a request that is under way; no result follows.
     * @param ticket The request; one that has ended is passed over.
     */
    void cancel(TicketId ticket);

    /*! @brief Closes the connections on which nothing is under way, as when another server takes the address. */
    void closeFree();

    /*! @brief Ends what takes too long, and forgets what is over; to be called a few times a second. */
    void tick();

private:
    void onFree(ClientConnection &connection) override;
    void onClosed(ClientConnection &connection) override;
    [[nodiscard]] ClientConnection *takeFree();

    net::Poller &m_poller;
    const Clock &m_clock;
    net::Endpoint m_endpoint;
    ReadLimits m_limits;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    /*! @brief The one used last at the end: it is the least likely to be closed by the server meanwhile. */
    std::vector<ClientConnection *> m_free;
    std::unordered_map<std::uint64_t, ClientConnection *> m_underWay;
    std::vector<std::unique_ptr<ClientConnection>> m_over;
    std::uint64_t m_lastTicket{};
};

} // namespace egretlatch::http

#endif
