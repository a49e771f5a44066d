#ifndef EGRETLATCH_NET_TCP_ACCEPTOR_HPP
#define EGRETLATCH_NET_TCP_ACCEPTOR_HPP

#include <functional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/net/endpoint.hpp>
#include <egretlatch/net/poller.hpp>

namespace egretlatch::net
{

/*! @brief Listens on an endpoint and accepts connections. */
class TcpAcceptor
{
public:
    /*! @brief Receives the socket of a new connection and takes ownership of it. */
    using Handler = std::function<void(int descriptor)>;

    /**
     * @brief Constructs an acceptor that does not listen yet.
     * @param poller Watches the socket; must outlive the acceptor.
     * @param clock Source of time; must outlive the acceptor.
     * @param handler Receives the connections.
     */
    TcpAcceptor(Poller &poller, const Clock &clock, Handler handler);
    TcpAcceptor(const TcpAcceptor &) = delete;
    TcpAcceptor &operator=(const TcpAcceptor &) = delete;
    ~TcpAcceptor();

    /**
     * @brief Starts listening.
     * @param endpoint Local endpoint.
     * @return Nothing, or `unavailable`.
     */
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /*! @brief Stops listening. */
    void stop();

private:
    void acceptAvailable();

    Poller &m_poller;
    const Clock &m_clock;
    Handler m_handler;
    SteadyTime m_lastAccept;
    int m_descriptor{-1};
};

} // namespace egretlatch::net

#endif
