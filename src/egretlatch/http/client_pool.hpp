#ifndef EGRETLATCH_HTTP_CLIENT_POOL_HPP
#define EGRETLATCH_HTTP_CLIENT_POOL_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <egretlatch/http/client_connection.hpp>

namespace egretlatch::http
{

/*! @brief Identifier of a request passed to a ClientPool. */
struct ClientRequestId
{
    std::uint64_t value{};

    friend auto operator<=>(const ClientRequestId &, const ClientRequestId &) = default;
};

/**
 * @brief Pool of connections to one server, reused while the server keeps them open.
 *
 * Never resends a request, whatever happens to its connection. Must be used from one thread with an event loop.
 */
class ClientPool final : public ClientConnectionListener
{
public:
    /**
     * @brief Constructs a pool without connections.
     * @param poller Watches the sockets; must outlive the pool.
     * @param clock Source of time; must outlive the pool.
     * @param endpoint Endpoint of the server.
     * @param limits Maximum sizes of answers.
     */
    ClientPool(net::Poller &poller, const Clock &clock, net::Endpoint endpoint, const ReadLimits &limits);

    /**
     * @brief Sends a request on an idle connection, or on a new one.
     * @param outgoing The request; its result may be delivered before this returns.
     * @return Identifier for cancel().
     */
    ClientRequestId send(OutgoingRequest outgoing);

    /**
     * @brief Opens a connection without a request, to learn if the server accepts any; the next request uses it.
     * @param onResult Called with true once it is open, and with false if it cannot be opened; not called if a probe is in progress.
     */
    void probe(std::function<void(bool)> onResult);

    /**
     * @brief Closes the connection of a request in progress; no result follows.
     * @param id The request; ignored if it has ended.
     */
    void cancel(ClientRequestId id);

    /*! @brief Closes the idle connections, for example when another server takes over the address. */
    void closeIdle();

    /**
     * @brief Bounds the memory that incomplete answers take together, and those that wait for their receivers; see net::ReadBudget.
     * @param limit Maximum bytes of all incomplete answers but one, and of those that wait.
     * @param waitingBytes Returns the bytes of complete answers that wait for their receivers.
     * @param onPaused Called with the bytes of a connection's answer so far, each time that one is paused.
     */
    void limitAnswers(qsizetype limit, std::function<qsizetype()> waitingBytes, std::function<void(qsizetype)> onPaused);

    /*! @brief Enforces timeouts and destroys closed connections; call it a few times per second. */
    void tick();

private:
    void onIdle(ClientConnection &connection) override;
    void onPartReceived(ClientConnection &connection) override;
    void onClosed(ClientConnection &connection) override;
    void endProbe(const ClientConnection &connection, bool isConnected);
    [[nodiscard]] ClientConnection *takeIdle();

    net::Poller &m_poller;
    const Clock &m_clock;
    net::Endpoint m_endpoint;
    ReadLimits m_limits;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    /*! @brief Idle connections; the most recently used one is last, as the server is least likely to have closed it. */
    std::vector<ClientConnection *> m_idle;
    std::unordered_map<std::uint64_t, ClientConnection *> m_inFlight;
    std::vector<std::unique_ptr<ClientConnection>> m_closed;
    std::uint64_t m_lastRequest{};
    net::ReadBudget m_budget;
    /*! @brief Connection of the probe in progress; null if there is none. */
    const ClientConnection *m_probe{};
    std::function<void(bool)> m_onProbed;
};

} // namespace egretlatch::http

#endif
